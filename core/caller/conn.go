package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/head"
	"wisteriarelay.example/core/route"
)

const (
	// maxPipelined bounds the requests of one connection that are handled concurrently:
	// it is the number that may wait for the writer. Beyond it no further request is
	// started until a response is written.
	maxPipelined = 32
	// bodyTimeout is the maximum time for reading the body of a request.
	bodyTimeout = 30 * time.Second
	// writeTimeout is the maximum time for which a write of a response may block.
	writeTimeout = 10 * time.Second
	bufferSize   = 4 << 10
	// idleGrace is how long an idle connection is kept beyond the idle timeout, because
	// a request that was sent before the timeout may still be on its way.
	idleGrace = time.Second
)

var (
	errHeadTooLarge = errors.New("request head is too large")
	errBodyTooLarge = errors.New("request body is too large")
	errMemory       = errors.New("no memory left for requests")
	// errMalformed replaces the errors of the parser, which quote the request: a malformed
	// line may contain a key.
	errMalformed = errors.New("request is malformed")
)

// conn is a connection of a caller.
type conn struct {
	server     *Server
	netConn    net.Conn
	headReader *limitedHeadReader
	reader     *bufio.Reader
	writer     *bufio.Writer
	reads      readWindow
	exchanges  chan *exchange
	ctx        context.Context
	cancel     context.CancelFunc

	mu sync.Mutex
	// pending holds the requests whose response is not written yet, in their order.
	pending []*exchange
	// readingSince is when the first byte of the request that is being read arrived; zero
	// if none is being read.
	readingSince time.Time
	// closing is set when a response that closes the connection is being written. No
	// further request is started then: the caller will send it again on another
	// connection, so that it would run twice.
	closing bool
	// surplus is set if the connection was accepted beyond the memory budget. It closes
	// after its first response.
	surplus bool
	// respondedAt is when the last response was written.
	respondedAt time.Time
}

// beginRequest reports whether a request may start, and adds it to the pending ones if so.
func (c *conn) beginRequest(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending = append(c.pending, x)
	return true
}

// endRequest removes the first pending request.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[0] = nil
	c.pending = c.pending[1:]
	c.respondedAt = time.Now()
}

// closeAfterCurrent reports whether the connection closes after the response that is
// due. It does unless requests after that one have already started.
func (c *conn) closeAfterCurrent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || len(c.pending) == 1
	return c.closing
}

func (c *conn) pendingRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// beginReading records that the first byte of a request has arrived.
func (c *conn) beginReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingSince = time.Now()
}

// endReading records that no request is being read.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingSince = time.Time{}
}

func newConn(s *Server, n net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	headReader := &limitedHeadReader{source: n, remaining: -1}
	return &conn{
		server:     s,
		netConn:    n,
		headReader: headReader,
		reader:     bufio.NewReaderSize(headReader, bufferSize),
		writer:     bufio.NewWriterSize(n, bufferSize),
		reads:      readWindow{netConn: n},
		exchanges:  make(chan *exchange, maxPipelined),
		ctx:        ctx,
		cancel:     cancel,
	}
}

// run reads requests until the caller disconnects or the connection closes.
func (c *conn) run() {
	w := &responseWriter{conn: c}
	go w.run()
	for c.readNext() {
	}
	// The writer sets a read deadline of its own once exchanges is closed.
	c.reads.lift()
	close(c.exchanges)
	c.awaitDisconnect()
}

// awaitDisconnect discards what the caller sends after its last request. It notices when
// the caller disconnects before the responses are written, and cancels the requests.
func (c *conn) awaitDisconnect() {
	if c.ctx.Err() != nil {
		return
	}
	_, err := io.Copy(io.Discard, c.reader)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return // The writer has written the last response and waited for the caller.
	}
	c.cancel()
}

// readNext reads one request and starts it. It returns false after the last one.
func (c *conn) readNext() bool {
	if !c.awaitRequest() {
		return false
	}
	c.beginReading()
	x, err := c.readRequest(c.server.limits())
	if err != nil {
		c.endReading()
		return c.respondError(x, err)
	}
	started := c.beginRequest(x)
	c.endReading()
	if !started {
		x.reservation.release()
		return false
	}
	// The requests of a connection whose caller never waits for a response are pending
	// without a gap, so that it would never close.
	x.closeAfter = x.closeAfter || c.surplus || c.server.draining.Load()
	closeAfter := x.closeAfter
	c.exchanges <- x
	go x.run()
	return !closeAfter
}

// awaitRequest waits for the first byte of a request and reports whether it arrived.
// The idle timeout, which may change meanwhile, applies only while no request of the
// connection is pending.
func (c *conn) awaitRequest() bool {
	began := time.Now()
	for c.reads.setDeadline(time.Now().Add(c.idleTime(began))) {
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() {
			c.cancel()
			return false
		}
		if c.pendingRequests() > 0 {
			began = time.Now()
		}
	}
	return false
}

// idleTime returns how much longer the connection is kept open. It is idle since the last
// response, or since began if there was none after that.
func (c *conn) idleTime(began time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.respondedAt.After(began) {
		began = c.respondedAt
	}
	limits := c.server.limits()
	timeout := limits.IdleTimeout
	if c.surplus {
		timeout = min(timeout, limits.HeaderTimeout)
	}
	return timeout - time.Since(began) + idleGrace
}

// readRequest reads a request. If it fails, the exchange has the id of the request if its
// head was read.
func (c *conn) readRequest(limits route.Limits) (*exchange, error) {
	x := newExchange(c, false)
	req, err := c.readHead(limits)
	if err != nil {
		return x, err
	}
	x.closeAfter = req.Close
	x.id = req.Header.Get(c.server.requestIDHeader)
	if !x.reservation.reserve(headMemory(req)) {
		return x, errMemory
	}
	c.reads.setDeadline(time.Now().Add(bodyTimeout))
	if expectsContinue(req) && req.ContentLength <= limits.BodyBytes {
		c.exchanges <- &exchange{conn: c, interim: true}
	}
	body, err := x.readBody(req, limits.BodyBytes)
	if err != nil {
		return x, c.readError(err)
	}
	x.request = &Request{
		Method:     req.Method,
		RequestURI: req.RequestURI,
		Host:       req.Host,
		Header:     req.Header,
		Body:       body,
		ReceivedAt: time.Now(),
		RemoteAddr: c.netConn.RemoteAddr().String(),
	}
	return x, nil
}

// readHead reads the head of a request.
func (c *conn) readHead(limits route.Limits) (*http.Request, error) {
	if c.server.memory.Bounded() {
		reservation := &headReservation{budget: c.server.memory}
		defer reservation.release()
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if !reservation.reserve(buffered) {
			return nil, errMemory
		}
		c.headReader.reserve = reservation.reserve
	}
	c.reads.setDeadline(time.Now().Add(limits.HeaderTimeout))
	c.headReader.remaining = limits.HeaderBytes
	req, err := http.ReadRequest(c.reader)
	c.headReader.remaining = -1
	denied := c.headReader.denied
	c.headReader.denied = false
	switch {
	case err != nil:
		return nil, c.readError(err)
	case denied:
		return nil, errMemory
	default:
		return req, head.CheckRequest(req)
	}
}

// readError returns the reason why a request could not be read: the error of the
// connection if there is one, and err otherwise. net/http reports a head or a trailer that
// an error of the connection cuts short as malformed.
func (c *conn) readError(err error) error {
	if c.headReader.err != nil && !errors.Is(err, errBodyTooLarge) && !errors.Is(err, errMemory) {
		return c.headReader.err
	}
	return err
}

// expectsContinue reports whether the caller waits for an interim response before it sends
// the body.
func expectsContinue(req *http.Request) bool {
	return req.ProtoAtLeast(1, 1) && strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// respondError responds to a request that could not be read. The connection closes,
// because it is not known where the next request starts. It always returns false.
func (c *conn) respondError(failed *exchange, err error) bool {
	failed.reservation.release()
	status := c.readErrorStatus(err)
	switch status {
	case 0:
		c.cancel()
		return false
	case http.StatusBadRequest:
		err = errMalformed
	}
	_ = c.server.logger.Log("msg", "failed to read request", "id", failed.id, "status", status, "caller", c.netConn.RemoteAddr(), "err", err)
	x := newExchange(c, true)
	if !c.beginRequest(x) {
		return false
	}
	if errors.Is(err, errMemory) {
		x.response <- memoryResponse()
	} else {
		x.response <- TextResponse(status, http.StatusText(status)+"\n")
	}
	c.exchanges <- x
	return false
}

// readErrorStatus returns the status of the response to a request that could not be read; 0
// if the connection has failed, so that none can be sent.
func (c *conn) readErrorStatus(err error) int {
	var netErr net.Error
	switch {
	case errors.Is(err, errHeadTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errMemory):
		return http.StatusServiceUnavailable
	case errors.As(err, &netErr) && netErr.Timeout() && c.reads.hasEnd():
		return http.StatusServiceUnavailable
	case errors.As(err, &netErr) && netErr.Timeout():
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return 0
	default:
		return http.StatusBadRequest
	}
}
