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
func (v *visit) respond(a *answer) {
	if a.err != nil {
		v.refuse(a.err)
		return
	}
	rl := v.relay
	copyResponseHeader(v.writer.Header(), a.header)
	if v.writer.Header().Get(HeaderRequestID) == "" {
		v.writer.Header().Set(HeaderRequestID, v.requestID)
	}
	if a.outcome != "" {
		v.writer.Header().Set(HeaderOutcome, string(a.outcome))
	}
	if a.whole() {
		v.writeWhole(a)
	} else {
		v.stream(a)
	}
	rl.count("answered", a.ending.String())
	rl.meters.Histogram("wisteria_request_micros").Update(time.Since(v.arrived).Microseconds())
}

func (v *visit) writeWhole(a *answer) {
	if bodyAllowed(v.request.Method, a.status) {
		v.writer.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	v.writer.WriteHeader(a.status)
	_, _ = v.writer.Write(a.body)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream passes a body on as it comes. If the body is truncated, the caller's
// stream is aborted, so that it cannot be taken for a whole one.
func (v *visit) stream(a *answer) {
	v.writer.WriteHeader(a.status)
	err := v.copy(a)
	if a.ended != nil {
		a.ended(err)
	}
	_ = a.rest.Close()
	a.settle(v.streamResult(err))
	a.cancel()
	if err == nil {
		return
	}
	_ = level.Info(v.relay.logger).Log("msg", "response aborted", "request-id", v.requestID, "service", v.serviceID,
		"target", a.target, "detail", err)
	v.relay.count("aborted", "stream")
	panic(http.ErrAbortHandler)
}

var errCallerWrite = errors.New("caller stopped reading")

func (v *visit) copy(a *answer) error {
	if _, err := v.writer.Write(a.body); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	flush := a.header.Get("Content-Length") == ""
	for {
		n, err := a.rest.Read(buffer[:])
		if n > 0 {
			if writeErr := v.pass(buffer[:n], flush); writeErr != nil {
				return errors.Mark(writeErr, errCallerWrite)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			v.recordCut(a)
			return err
		}
	}
}

// pass writes a part of the body; parts of a body of unknown length are
// flushed at once, because the caller may wait for them.
func (v *visit) pass(p []byte, flush bool) error {
	if _, err := v.writer.Write(p); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(v.writer).Flush()
}

func (v *visit) recordCut(a *answer) {
	if v.request.Context().Err() != nil {
		return
	}
	if carrier, ok := v.relay.fleet.Carrier(v.serviceID); ok {
		carrier.recorder.Record(a.target, detect.Short, 0)
	}
}

func (v *visit) streamResult(err error) limit.Result {
	switch {
	case err == nil:
		return limit.Served
	case errors.Is(err, errCallerWrite) || v.request.Context().Err() != nil:
		return limit.Unused
	default:
		return limit.Failed
	}
}
