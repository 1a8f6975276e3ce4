package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// exchange is one request and its response on one connection.
type exchange struct {
	pool      *Pool
	conn      *conn
	stopAbort func() bool
	ctx       context.Context
	sender    *sender
	finished  atomic.Bool
}

func (x *exchange) roundTrip(req *http.Request) (*http.Response, error) {
	x.conn.bytesSent = 0
	if err := x.send(req); err != nil {
		return nil, err
	}
	resp, err := x.readHead(req)
	if err != nil {
		return nil, err
	}
	x.wrapBody(resp, !resp.Close)
	return resp, nil
}

// send writes the request. If the body is not in memory, another goroutine writes the
// request, so that a response that arrives before the whole request is sent can be
// read. Such a body has no GetBody function.
func (x *exchange) send(req *http.Request) error {
	write := func(w *bufio.Writer) error { return req.Write(w) }
	x.sender = &sender{conn: x.conn, write: write, done: make(chan struct{})}
	if req.Body == nil || req.Body == http.NoBody || req.GetBody != nil {
		x.sender.run()
		return x.sendError()
	}
	go x.sender.run()
	return nil
}

func (x *exchange) sendError() error {
	err := x.sender.err
	if err == nil {
		return nil
	}
	if x.conn.bytesSent == 0 {
		return newError(x.ctx, StageUnsent, err)
	}
	// A target may answer before it has read the whole request and close the
	// connection. Its response can still be read.
	if x.ctx.Err() == nil {
		return nil
	}
	return newError(x.ctx, StageWrite, err)
}

func (x *exchange) readHead(req *http.Request) (*http.Response, error) {
	x.conn.headBytesLeft = maxHeadBytes
	resp, err := x.readFinalHead(req)
	if err != nil {
		return nil, err
	}
	return x.checkFraming(req, resp)
}

// readFinalHead reads the head of the next final response. Interim responses (1xx) are
// skipped and count towards the limit on heads.
func (x *exchange) readFinalHead(req *http.Request) (*http.Response, error) {
	for {
		resp, err := x.conn.readHead(req)
		if err != nil {
			return nil, x.headError(err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, newProtocolError(errors.New("target switched protocols without a request to do so"))
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// checkFraming rejects a response that ends with the connection: its end could not be
// distinguished from a truncation.
func (x *exchange) checkFraming(req *http.Request, resp *http.Response) (*http.Response, error) {
	if !selfDelimited(req.Method, resp) {
		return nil, newProtocolError(errors.New("response has neither a length nor chunked framing"))
	}
	return resp, nil
}

// hasNoBody reports whether responses to the method or with the status have no body.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

func (x *exchange) headError(err error) error {
	e := newError(x.ctx, StageHead, err)
	if x.sender.finished() && x.conn.bytesSent == 0 {
		e.Stage = StageUnsent
	}
	var netErr net.Error
	connectionLost := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
	e.Protocol = !connectionLost && !e.TimedOut && !e.Cancelled
	return e
}

// finish returns the connection to the pool if the response ended where its framing says
// and nothing is left to write or read, and closes it otherwise. Only the first call has
// an effect.
func (x *exchange) finish(complete bool) {
	if !x.finished.CompareAndSwap(false, true) {
		return
	}
	stopped := x.stopAbort()
	reusable := complete && stopped && x.sender.finished() && x.sender.err == nil && x.conn.reader.Buffered() == 0
	if reusable {
		x.pool.put(x.conn)
		return
	}
	x.pool.discards.Add(1)
	x.pool.closeConn(x.conn)
}

// sender writes one request to a connection.
type sender struct {
	conn  *conn
	write func(*bufio.Writer) error
	done  chan struct{}
	err   error
}

func (s *sender) run() {
	defer close(s.done)
	if err := s.write(s.conn.writer); err != nil {
		s.err = err
		return
	}
	s.err = s.conn.writer.Flush()
}

// wait waits until the request is sent and returns the error with which that failed. It
// takes no longer than the context of the exchange, at whose end writes fail.
func (s *sender) wait() error {
	<-s.done
	return s.err
}

func (s *sender) finished() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
