package relay

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/memory"
)

const (
	// bufferLimit is the maximum size in bytes of a response that is buffered before
	// its first byte is sent to the caller, so that a truncated one can be replaced by
	// a retry.
	bufferLimit = 1 << 20
	// minBuffer is the size in bytes of the first buffer for a response of unknown length.
	minBuffer = 32 << 10
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
	memory *memory.Budget
	// reserved is the number of bytes reserved for the body, head those counted for the
	// header.
	reserved, head int64
}

// discard releases the memory and the connection of a response that is not relayed.
// observation is reported for the target if a part of the body was not read yet.
func (r *targetResponse) discard(observation judge.Result) {
	r.release()
	if r.rest != nil {
		r.rest.discard(observation)
	}
}

// release returns the memory of the response.
func (r *targetResponse) release() {
	r.memory.Release(memory.Responses, r.reserved+r.head)
	r.reserved, r.head = 0, 0
}

// countHead counts the memory of the header, which is held already.
func (r *targetResponse) countHead() {
	r.head = memory.HeaderBytes(r.header)
	r.memory.Add(memory.Responses, r.head)
}

// readResponse buffers the response completely, or only its start if it is large or
// there is no memory for it. The rest is then streamed to the caller, and such a
// response can no longer be replaced by a retry. This keeps memory bounded when many
// callers read large responses slowly: each target sends at the speed of its caller.
func (t *attempt) readResponse(resp *link.Response) (*targetResponse, error) {
	if resp.ContentLength > responseLimit {
		_ = resp.Body.Close()
		return nil, errResponseTooLarge
	}
	out := &targetResponse{status: resp.StatusCode, header: resp.Header, memory: t.exchange.relay.memory}
	if out.memory.Bounded() {
		out.countHead()
	}
	for out.grow(resp.ContentLength) {
		ended, err := out.fill(resp.Body)
		if err != nil {
			_ = resp.Body.Close()
			out.discard(judge.Nothing)
			return nil, err
		}
		if ended || int64(len(out.body)) == resp.ContentLength {
			return out.complete(resp), nil
		}
	}
	out.length = resp.ContentLength
	out.rest = newBodyStream(t, resp, int64(len(out.body)))
	return out, nil
}

// grow makes room for the next part of a body, of length bytes in all; length is below 0
// if it is unknown. It reports whether that part may be buffered: the body must stay
// within bufferLimit, and the memory must be available. The room is reserved in full, so
// that the memory in use never exceeds the quota.
func (r *targetResponse) grow(length int64) bool {
	size := max(2*int64(cap(r.body)), minBuffer)
	if length >= 0 {
		size = length
	}
	if size > bufferLimit || !r.memory.Reserve(memory.Responses, size) {
		return false
	}
	body := make([]byte, len(r.body), size)
	copy(body, r.body)
	r.body = body
	r.memory.Release(memory.Responses, r.reserved)
	r.reserved = size
	return true
}

// fill reads the body until its room is used up, and reports whether the body has ended.
func (r *targetResponse) fill(body io.Reader) (ended bool, err error) {
	for len(r.body) < cap(r.body) {
		n, err := body.Read(r.body[len(r.body):cap(r.body)])
		r.body = r.body[:len(r.body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// complete closes the target's response after its body was buffered.
func (r *targetResponse) complete(resp *link.Response) *targetResponse {
	if resp.ContentLength >= 0 {
		// The connection can only be reused after the end of the body has been read.
		_, _ = resp.Body.Read(make([]byte, 1))
	}
	_ = resp.Body.Close()
	r.length = int64(len(r.body))
	return r
}
