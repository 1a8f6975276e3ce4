package relay

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/link"
)

const (
	// bufferLimit is the maximum size in bytes of a response that is buffered before
	// its first byte is sent to the caller, so that a truncated one can be replaced by
	// a retry.
	bufferLimit = 1 << 20
	// reserveStep is the number of bytes by which the memory reserved for a response
	// of unknown length grows.
	reserveStep = 32 << 10
	// responseLimit is the maximum size of a response in bytes, because a target may
	// send an endless one.
	responseLimit = 64 << 20
)

var errResponseTooLarge = errors.New("response is larger than 64 MiB")

// targetResponse is a response of a target, either buffered completely or with only
// the start of its body buffered.
type targetResponse struct {
	status int
	header http.Header
	body   []byte
	// rest is the part of the body after the buffered one; nil if all is buffered.
	rest *bodyStream
	// length is the length of the whole body in bytes; below 0 if it is not known.
	length int64
	memory *memoryQuota
	// reserved is the number of bytes reserved from memory.
	reserved int64
}

// discard releases the memory and the connection of a response that is not relayed.
// observation is reported for the target if a part of the body was not read yet.
func (r *targetResponse) discard(observation judge.Result) {
	r.memory.release(r.reserved)
	r.reserved = 0
	if r.rest != nil {
		r.rest.settle(observation)
	}
}

// readResponse buffers the response completely, or only its start if it is large or
// the memory quota is used up. The rest is then streamed to the caller, and such a
// response can no longer be replaced by a retry. This keeps memory bounded when many
// callers read large responses slowly: each target sends at the speed of its caller.
func (t *attempt) readResponse(resp *link.Response) (*targetResponse, error) {
	if resp.ContentLength > responseLimit {
		_ = resp.Body.Close()
		return nil, errResponseTooLarge
	}
	out := &targetResponse{status: resp.StatusCode, header: resp.Header, memory: &t.exchange.relay.memory}
	var b bytes.Buffer
	for out.reserveNext(int64(b.Len()), resp.ContentLength) {
		step := out.reserved - int64(b.Len())
		n, err := b.ReadFrom(io.LimitReader(resp.Body, step))
		if err != nil {
			_ = resp.Body.Close()
			out.discard(judge.Nothing)
			return nil, err
		}
		if n < step || int64(b.Len()) == resp.ContentLength {
			return out.complete(resp, b.Bytes()), nil
		}
	}
	out.body = b.Bytes()
	out.length = resp.ContentLength
	out.rest = &bodyStream{attempt: t, body: resp.Body, remaining: responseLimit - int64(b.Len())}
	return out, nil
}

// reserveNext reserves memory for the next part of a body, after read bytes of length
// bytes. It reports whether that part may be buffered: the body must stay within
// bufferLimit, and the memory must be available. length is below 0 if unknown.
func (r *targetResponse) reserveNext(read, length int64) bool {
	step := int64(reserveStep)
	if length >= 0 {
		step = length - read
	}
	if read+step > bufferLimit || !r.memory.reserve(step) {
		return false
	}
	r.reserved += step
	return true
}

// complete closes the target's response after its body was buffered.
func (r *targetResponse) complete(resp *link.Response, body []byte) *targetResponse {
	if resp.ContentLength >= 0 {
		// The connection can only be reused after the end of the body has been read.
		_, _ = resp.Body.Read(make([]byte, 1))
	}
	_ = resp.Body.Close()
	r.body = body
	r.length = int64(len(body))
	return r
}

// bodyStream is the part of a body that is streamed to the caller without buffering.
type bodyStream struct {
	attempt   *attempt
	body      io.ReadCloser
	remaining int64
	failed    bool
	aborted   atomic.Bool
}

// Read reads from the body and fails once the response exceeds responseLimit.
func (s *bodyStream) Read(p []byte) (int, error) {
	if s.remaining <= 0 {
		s.failed = true
		return 0, errResponseTooLarge
	}
	n, err := s.body.Read(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	s.failed = s.failed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// abort makes the current and all further reads fail.
func (s *bodyStream) abort() {
	s.aborted.Store(true)
	s.attempt.cancel()
}

// Close closes the body and settles the attempt: as served, as broken if a read failed, or
// without a result if the stream was aborted.
func (s *bodyStream) Close() error {
	observation := judge.Served
	switch {
	case s.aborted.Load():
		observation = judge.Nothing
	case s.failed:
		observation = judge.Broken
	}
	s.settle(observation)
	return nil
}

// settle closes the body and reports the observation for the target.
func (s *bodyStream) settle(observation judge.Result) {
	_ = s.body.Close()
	s.attempt.settle(observation)
}
