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

// copyBufferBytes is the size of the buffers for streaming response bodies.
const copyBufferBytes = 32 << 10

// copyBuffers holds buffers for reuse.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// respond passes the result to the caller.
func (c *call) respond(res *attemptResult) {
	if res.err != nil {
		c.refuse(res.err)
		return
	}
	rl := c.relay
	copyResponseHeader(c.writer.Header(), res.header)
	if c.writer.Header().Get(HeaderRequestID) == "" {
		c.writer.Header().Set(HeaderRequestID, c.requestID)
	}
	if res.outcome != "" {
		c.writer.Header().Set(HeaderOutcome, string(res.outcome))
	}
	if res.buffered() {
		c.writeBuffered(res)
	} else {
		c.streamBody(res)
	}
	rl.count("answered", res.ending.String())
	rl.metrics.Histogram("wisteria_request_micros").Update(time.Since(c.arrived).Microseconds())
}

// writeBuffered writes a response whose whole body is in memory.
func (c *call) writeBuffered(res *attemptResult) {
	if bodyAllowed(c.request.Method, res.status) {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	c.writer.WriteHeader(res.status)
	_, _ = c.writer.Write(res.body)
}

// bodyAllowed reports whether a response to the method with the status has a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// streamBody passes the body to the caller as it arrives. If the body is truncated,
// the response to the caller is aborted, so that the caller cannot take it for a
// complete one.
func (c *call) streamBody(res *attemptResult) {
	c.writer.WriteHeader(res.status)
	err := c.copyBody(res)
	if res.onStreamEnd != nil {
		res.onStreamEnd(err)
	}
	_ = res.rest.Close()
	res.releaseSlot(c.streamResult(err))
	res.cancel()
	if err == nil {
		return
	}
	_ = level.Info(c.relay.logger).Log("msg", "response aborted", "request-id", c.requestID, "service", c.serviceID,
		"target", res.target, "detail", err)
	c.relay.count("aborted", "stream")
	panic(http.ErrAbortHandler)
}

// errCallerWrite marks the errors of writing to the caller.
var errCallerWrite = errors.New("caller stopped reading")

// copyBody copies the body to the caller. A failure to write is marked with
// errCallerWrite; any other error means that the response is truncated.
func (c *call) copyBody(res *attemptResult) error {
	if _, err := c.writer.Write(res.body); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	flush := res.header.Get("Content-Length") == ""
	for {
		n, err := res.rest.Read(buffer[:])
		if n > 0 {
			if writeErr := c.writeChunk(buffer[:n], flush); writeErr != nil {
				return errors.Mark(writeErr, errCallerWrite)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			c.recordTruncation(res)
			return err
		}
	}
}

// writeChunk writes a part of the body. With flush the part is sent at once, which
// is used for a body of unknown length, because the caller may wait for the part.
func (c *call) writeChunk(p []byte, flush bool) error {
	if _, err := c.writer.Write(p); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(c.writer).Flush()
}

// recordTruncation counts a truncated response in the statistics of the target,
// unless the caller disconnected.
func (c *call) recordTruncation(res *attemptResult) {
	if c.request.Context().Err() != nil {
		return
	}
	if upstream, ok := c.relay.fleet.Upstream(c.serviceID); ok {
		upstream.recorder.Record(res.target, detect.Short, 0)
	}
}

// streamResult returns the result with which the slot of the target is released.
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
