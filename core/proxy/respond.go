package proxy

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/limit"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// respond passes an answer to the caller.
func (c *call) respond(a *answer) {
	if a.err != nil {
		c.refuse(a.err)
		return
	}
	rl := c.relay
	copyResponseHeader(c.writer.Header(), a.header)
	if c.writer.Header().Get(HeaderRequestID) == "" {
		c.writer.Header().Set(HeaderRequestID, c.requestID)
	}
	if a.outcome != "" {
		c.writer.Header().Set(HeaderOutcome, string(a.outcome))
	}
	if a.whole() {
		c.writeWhole(a)
	} else {
		c.stream(a)
	}
	rl.count("answered", a.ending.String())
	rl.meters.Histogram("wisteria_request_micros").Update(time.Since(c.arrived).Microseconds())
}

func (c *call) writeWhole(a *answer) {
	if bodyAllowed(c.request.Method, a.status) {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.writer.WriteHeader(a.status)
	_, _ = c.writer.Write(a.body)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream passes a body on as it comes. If the body is truncated, the caller's
// stream is aborted, so that it cannot be taken for a whole one.
func (c *call) stream(a *answer) {
	c.writer.WriteHeader(a.status)
	err := c.copy(a)
	if a.ended != nil {
		a.ended(err)
	}
	_ = a.rest.Close()
	a.settle(c.streamResult(err))
	a.cancel()
	if err == nil {
		return
	}
	_ = level.Info(c.relay.logger).Log("msg", "response aborted", "request-id", c.requestID, "service", c.serviceID,
		"target", a.target, "detail", err)
	c.relay.count("aborted", "stream")
	panic(http.ErrAbortHandler)
}

var errCallerWrite = errors.New("caller stopped reading")

func (c *call) copy(a *answer) error {
	if _, err := c.writer.Write(a.body); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	flush := a.header.Get("Content-Length") == ""
	for {
		n, err := a.rest.Read(buffer[:])
		if n > 0 {
			if writeErr := c.pass(buffer[:n], flush); writeErr != nil {
				return errors.Mark(writeErr, errCallerWrite)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			c.recordCut(a)
			return err
		}
	}
}

// pass writes a part of the body; parts of a body of unknown length are
// flushed at once, because the caller may wait for them.
func (c *call) pass(p []byte, flush bool) error {
	if _, err := c.writer.Write(p); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(c.writer).Flush()
}

func (c *call) recordCut(a *answer) {
	if c.request.Context().Err() != nil {
		return
	}
	if carrier, ok := c.relay.fleet.Carrier(c.serviceID); ok {
		carrier.recorder.Record(a.target, detect.Short, 0)
	}
}

func (c *call) streamResult(err error) limit.Result {
	switch {
	case err == nil:
		return limit.Served
	case errors.Is(err, errCallerWrite) || c.request.Context().Err() != nil:
		return limit.Unused
	default:
		return limit.Failed
	}
}
