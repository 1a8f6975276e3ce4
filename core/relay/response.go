package relay

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/link"
)

const (
	// wholeLimit is the size in bytes up to which a response is read whole before
	// the caller sees its first byte, so that a cut one can be replaced.
	wholeLimit = 1 << 20
	// holdStep is the step in which memory for a response of unknown length is taken.
	holdStep = 32 << 10
	// answerLimit bounds a response in bytes; a target may send without end.
	answerLimit = 64 << 20
)

var errAnswerTooLarge = errors.New("response is larger than 64 MiB")

// response is a whole response of a target, or the start of a long one.
type response struct {
	status int
	header http.Header
	body   []byte
	// rest continues the body; it is nil if the body is whole.
	rest   *stream
	length int64
	memory *memory
	held   int64
}

// discard frees what the response holds; verdict is what its target gets if a part
// of the response was not read yet.
func (r *response) discard(verdict judge.Result) {
	r.memory.give(r.held)
	r.held = 0
	if r.rest != nil {
		r.rest.end(verdict)
	}
}

// read reads the response whole, or the first part of one that is long or for
// which the daemon has no memory left. Load pattern: many callers take large
// answers slowly; those past the memory are passed on as they come, at the speed
// of their callers, and can no longer be replaced by another target's.
func (t *attempt) read(resp *link.Response) (*response, error) {
	if resp.ContentLength > answerLimit {
		_ = resp.Body.Close()
		return nil, errAnswerTooLarge
	}
	out := &response{status: resp.StatusCode, header: resp.Header, memory: &t.exchange.relay.memory}
	var b bytes.Buffer
	for out.hold(int64(b.Len()), resp.ContentLength) {
		step := out.held - int64(b.Len())
		n, err := b.ReadFrom(io.LimitReader(resp.Body, step))
		if err != nil {
			_ = resp.Body.Close()
			out.discard(judge.Nothing)
			return nil, err
		}
		if n < step || int64(b.Len()) == resp.ContentLength {
			return out.whole(resp, b.Bytes()), nil
		}
	}
	out.body = b.Bytes()
	out.length = resp.ContentLength
	out.rest = &stream{attempt: t, inner: resp.Body, left: answerLimit - int64(b.Len())}
	return out, nil
}

// hold takes memory for the next part of a body and reports whether it may be read whole.
func (r *response) hold(read, length int64) bool {
	step := int64(holdStep)
	if length >= 0 {
		step = length - read
	}
	if read+step > wholeLimit || !r.memory.take(step) {
		return false
	}
	r.held += step
	return true
}

// whole ends the exchange with the target.
func (r *response) whole(resp *link.Response, body []byte) *response {
	if resp.ContentLength >= 0 {
		// The end has to be read for the connection to be kept.
		_, _ = resp.Body.Read(make([]byte, 1))
	}
	_ = resp.Body.Close()
	r.body = body
	r.length = int64(len(body))
	return r
}

// stream is the part of a body that is passed on as it comes.
type stream struct {
	attempt *attempt
	inner   io.ReadCloser
	left    int64
	failed  bool
}

// Read fails past the limit on responses.
func (s *stream) Read(p []byte) (int, error) {
	if s.left <= 0 {
		s.failed = true
		return 0, errAnswerTooLarge
	}
	n, err := s.inner.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	s.failed = s.failed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// Close ends the attempt with what its target has shown.
func (s *stream) Close() error {
	verdict := judge.Served
	if s.failed {
		verdict = judge.Broken
	}
	s.end(verdict)
	return nil
}

func (s *stream) end(verdict judge.Result) {
	_ = s.inner.Close()
	s.attempt.end(verdict)
}
