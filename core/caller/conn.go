package caller

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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
	// maxTrailingBytes is the maximum number of bytes that are read and discarded after
	// the last request of a connection. A caller that sends more counts as disconnected.
	maxTrailingBytes = 1 << 20
	// bodyReadStep is the size of the steps in which a body is read and memory for it
	// is reserved.
	bodyReadStep = 64 << 10
)

var (
	errHeadTooLarge = errors.New("request head is too large")
	errBodyTooLarge = errors.New("request body is too large")
	errBodyMemory   = errors.New("no memory left for request bodies")
)

// conn is a connection of a caller.
type conn struct {
	server     *Server
	netConn    net.Conn
	headReader *limitedHeadReader
	reader     *bufio.Reader
	writer     *bufio.Writer
	exchanges  chan *exchange
	ctx        context.Context
	cancel     context.CancelFunc

	mu sync.Mutex
	// pending is the number of requests whose response is not written yet.
	pending int
	// closing is set when a response that closes the connection is being written. No
	// further request is started then: the caller will send it again on another
	// connection, so that it would run twice.
	closing bool
}

// beginRequest reports whether a request may start, and counts it as pending if so.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	return true
}

// endRequest counts a request as no longer pending.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// closeAfterCurrent reports whether the connection closes after the response that is
// due. It does unless requests after that one have already started.
func (c *conn) closeAfterCurrent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || c.pending == 1
	return c.closing
}

func (c *conn) pendingRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// exchange is one request and the response to it.
type exchange struct {
	conn          *conn
	request       *Request
	reservedBytes int64
	// closeAfter is set if the connection closes after this response.
	closeAfter bool
	response   chan *Response
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
	close(c.exchanges)
	c.awaitDisconnect()
}

// awaitDisconnect discards what the caller sends after its last request. It notices when
// the caller disconnects before the responses are written, and cancels the requests.
func (c *conn) awaitDisconnect() {
	if c.ctx.Err() != nil {
		return
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	_, err := io.Copy(io.Discard, io.LimitReader(c.reader, maxTrailingBytes))
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return // The writer wrote the last response and ended the read.
	}
	c.cancel()
}

// readNext reads one request and starts it. It returns false after the last one.
func (c *conn) readNext() bool {
	limits := c.server.limits()
	if !c.awaitRequest(limits.IdleTimeout) {
		return false
	}
	x, err := c.readRequest(limits)
	if err != nil {
		return c.respondError(err)
	}
	if !c.beginRequest() {
		c.server.releaseBodyMemory(x.reservedBytes)
		return false
	}
	c.exchanges <- x
	go x.run()
	return !x.closeAfter
}

// awaitRequest waits for the first byte of a request and reports whether it arrived.
// The idle timeout applies only while no request of the connection is pending.
func (c *conn) awaitRequest(idleTimeout time.Duration) bool {
	for {
		_ = c.netConn.SetReadDeadline(time.Now().Add(idleTimeout + idleGrace))
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		if timedOut && c.pendingRequests() > 0 {
			continue
		}
		if !timedOut {
			c.cancel()
		}
		return false
	}
}

func (c *conn) readRequest(limits route.Limits) (*exchange, error) {
	_ = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.headReader.remaining = limits.HeaderBytes
	req, err := http.ReadRequest(c.reader)
	c.headReader.remaining = -1
	if err != nil {
		return nil, err
	}
	headReadAt := time.Now()
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		_, _ = c.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	x := &exchange{conn: c, closeAfter: req.Close, response: make(chan *Response, 1)}
	_ = c.netConn.SetReadDeadline(headReadAt.Add(bodyTimeout))
	body, err := x.readBody(req, limits.BodyBytes)
	if err != nil {
		c.server.releaseBodyMemory(x.reservedBytes)
		return nil, err
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

// readBody reads the whole body. It fails if the body exceeds the limit or the memory
// that the server has for bodies.
func (x *exchange) readBody(req *http.Request, limit int64) ([]byte, error) {
	if req.ContentLength == 0 || req.Body == nil {
		return nil, nil
	}
	if req.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	var b bytes.Buffer
	for {
		step := int64(bodyReadStep)
		if req.ContentLength > 0 {
			step = min(step, req.ContentLength-int64(b.Len()))
		}
		if !x.conn.server.reserveBodyMemory(step) {
			return nil, errBodyMemory
		}
		x.reservedBytes += step
		n, err := b.ReadFrom(io.LimitReader(req.Body, step))
		if err != nil {
			return nil, err
		}
		if int64(b.Len()) > limit {
			return nil, errBodyTooLarge
		}
		if n < step || int64(b.Len()) == req.ContentLength {
			return b.Bytes(), nil
		}
	}
}

// respondError responds to a request that could not be read. The connection closes,
// because it is not known where the next request starts. It always returns false.
func (c *conn) respondError(err error) bool {
	status := 0
	var netErr net.Error
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyMemory):
		status = http.StatusServiceUnavailable
	case errors.As(err, &netErr) && netErr.Timeout():
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		c.cancel()
		return false
	default:
		status = http.StatusBadRequest
	}
	_ = c.server.logger.Log("msg", "failed to read request", "status", status, "caller", c.netConn.RemoteAddr(), "err", err)
	x := &exchange{conn: c, closeAfter: true, response: make(chan *Response, 1)}
	if !c.beginRequest() {
		return false
	}
	x.response <- TextResponse(status, http.StatusText(status)+"\n")
	c.exchanges <- x
	return false
}

// run calls the handler and passes its response to the writer.
func (x *exchange) run() {
	resp := x.conn.server.handle(x.conn.ctx, x.request)
	x.conn.server.releaseBodyMemory(x.reservedBytes)
	x.response <- resp
}

// limitedHeadReader reads from source and, while remaining is not negative, applies the
// limit on request heads.
type limitedHeadReader struct {
	source    io.Reader
	remaining int
}

// Read returns errHeadTooLarge once a request head exceeds its limit.
func (h *limitedHeadReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		return 0, errHeadTooLarge
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.source.Read(p)
	if h.remaining > 0 {
		h.remaining -= n
	}
	return n, err
}
