package relay

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/memory"
)

// fillInterval is how often a response that is streamed looks for memory to buffer its
// rest. A caller that has not read for so long reads slowly.
const fillInterval = 100 * time.Millisecond

// bodyStream is the part of a body that is streamed to the caller without buffering. When
// memory becomes available while the caller reads slowly, the rest is read into memory:
// a target cuts off a response that stays unread for some seconds.
type bodyStream struct {
	attempt   *attempt
	body      io.ReadCloser
	remaining int64
	// length is the number of bytes that are still to be read from the body; below 0 if
	// it is not known.
	length int64
	// failed is set if the body could not be read to its end, broken if the target is the
	// cause: the stream was not aborted before.
	failed, broken bool
	aborted        atomic.Bool
	settled        sync.Once
	ended          sync.Once

	// turn holds one element while the body is read. The fields that are not safe for
	// concurrent use belong to the goroutine that put it there.
	turn chan struct{}
	// closed is closed when nothing more is read by the caller.
	closed chan struct{}
	// readAt is when the caller's last read ended.
	readAt time.Time
	// filled is the rest of the body if it was buffered, fillErr the error after it.
	filled   []byte
	fillErr  error
	isFilled bool
	reserved int64
}

// newBodyStream returns the stream of the part of a response's body after the first
// buffered bytes. With a bounded memory it starts a goroutine that buffers the rest if
// that is possible later; Close ends it.
func newBodyStream(t *attempt, resp *link.Response, buffered int64) *bodyStream {
	s := &bodyStream{
		attempt:   t,
		body:      resp.Body,
		remaining: responseLimit - buffered,
		length:    resp.ContentLength,
		turn:      make(chan struct{}, 1),
		closed:    make(chan struct{}),
		readAt:    time.Now(),
	}
	if s.length >= 0 {
		s.length -= buffered
	}
	if s.length >= 0 && t.exchange.relay.memory.Bounded() {
		go s.run()
	}
	return s
}

// run buffers the rest of the body once the caller reads slowly and there is memory.
func (s *bodyStream) run() {
	ticker := time.NewTicker(fillInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
		}
		select {
		case s.turn <- struct{}{}:
			done := s.tryFill()
			<-s.turn
			if done {
				return
			}
		default: // A read of the caller waits for the target.
		}
	}
}

// tryFill buffers the rest of the body if the caller reads slowly and there is memory. It
// returns true if no further call is needed.
func (s *bodyStream) tryFill() bool {
	if s.failed || s.length <= 0 {
		return true
	}
	if time.Since(s.readAt) < fillInterval || s.length > bufferLimit {
		return false
	}
	b := s.attempt.exchange.relay.memory
	if !b.Reserve(memory.Responses, s.length) {
		return false
	}
	s.reserved = s.length
	s.filled = make([]byte, s.length)
	n, err := io.ReadFull(s.body, s.filled)
	s.filled, s.isFilled = s.filled[:n], true
	if err != nil {
		s.fail()
		s.fillErr = err
		s.settle(s.observation())
		return true
	}
	s.fillErr = io.EOF
	// The connection can only be reused after the end of the body has been read.
	_, _ = s.body.Read(make([]byte, 1))
	s.settle(judge.Served)
	return true
}

// Read reads from the body and fails once the response exceeds responseLimit.
func (s *bodyStream) Read(p []byte) (int, error) {
	s.turn <- struct{}{}
	defer s.endRead()
	if s.isFilled {
		return s.readFilled(p)
	}
	if s.remaining <= 0 {
		s.fail()
		return 0, errResponseTooLarge
	}
	n, err := s.body.Read(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	if s.length >= 0 {
		s.length -= int64(n)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		s.fail()
	}
	return n, err
}

// fail records that the body could not be read to its end.
func (s *bodyStream) fail() {
	s.failed = true
	s.broken = s.broken || !s.aborted.Load()
}

func (s *bodyStream) endRead() {
	s.readAt = time.Now()
	<-s.turn
}

// readFilled reads from the part of the body that was buffered.
func (s *bodyStream) readFilled(p []byte) (int, error) {
	if len(s.filled) == 0 {
		return 0, s.fillErr
	}
	n := copy(p, s.filled)
	s.filled = s.filled[n:]
	return n, nil
}

// abort makes the current and all further reads fail.
func (s *bodyStream) abort() {
	s.aborted.Store(true)
	s.attempt.cancel()
}

// observation is what the stream showed about its target: nothing if it was aborted before
// it failed.
func (s *bodyStream) observation() judge.Result {
	switch {
	case s.broken:
		return judge.Broken
	case s.aborted.Load():
		return judge.Nothing
	default:
		return judge.Served
	}
}

// Close closes the body and settles the attempt: as served, as broken if a read failed, or
// without a result if the stream was aborted.
func (s *bodyStream) Close() error {
	s.ended.Do(func() {
		s.stop()
		s.settle(s.observation())
	})
	return nil
}

// discard closes a stream that is not relayed.
func (s *bodyStream) discard(observation judge.Result) {
	s.ended.Do(func() {
		s.stop()
		s.settle(observation)
	})
}

// stop ends the buffering of the rest and releases its memory. No read is in progress.
func (s *bodyStream) stop() {
	close(s.closed)
	select {
	case s.turn <- struct{}{}:
	default: // The rest is being read for a caller that has left.
		s.abort()
		s.turn <- struct{}{}
	}
	s.attempt.exchange.relay.memory.Release(memory.Responses, s.reserved)
	s.reserved, s.filled = 0, nil
	<-s.turn
}

// settle closes the body and reports the observation for the target, at the first call.
func (s *bodyStream) settle(observation judge.Result) {
	s.settled.Do(func() {
		_ = s.body.Close()
		s.attempt.settle(observation)
	})
}
