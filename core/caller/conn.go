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
	// maxPending bounds the requests of one connection that run side by side.
	// The reader stops beyond it until an answer is written.
	maxPending = 32
	// bodyTimeout is the longest wait for the body of a request.
	bodyTimeout = 30 * time.Second
	// writeTimeout is the longest wait for a caller to take its answer.
	writeTimeout = 10 * time.Second
	bufferBytes  = 4 << 10
	// idleGrace is how much longer than the limit an idle connection is kept: a
	// request that was sent within the limit may still be on its way.
	idleGrace = time.Second
	// maxDropped bounds the bytes that are read behind the last request of a
	// connection; a caller that sends more counts as gone.
	maxDropped = 1 << 20
	// bodyStep is the size in which memory for a body of unknown length is reserved.
	bodyStep = 64 << 10
)

var (
	errHeadTooLarge = errors.New("request head is too large")
	errBodyTooLarge = errors.New("request body is too large")
	errBodyMemory   = errors.New("no memory left for request bodies")
)

// conn is one connection of a caller.
type conn struct {
	server *Server
	net    net.Conn
	head   *headReader
	reader *bufio.Reader
	writer *bufio.Writer
	queue  chan *exchange
	ctx    context.Context
	leave  context.CancelFunc

	mu sync.Mutex
	// pending is the number of requests without an answer.
	pending int
	// ending says that no further request is started, because an answer that
	// ends the connection is being written. A caller sends a request behind
	// such an answer again, so it must not run.
	ending bool
}

// begin counts a request and reports whether it may start.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return false
	}
	c.pending++
	return true
}

// end counts the answer to a request.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// endAfterThis ends the connection with the answer that is due, unless
// requests behind it have started.
func (c *conn) endAfterThis() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = c.ending || c.pending == 1
	return c.ending
}

func (c *conn) busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// exchange is one request on its way to its answer.
type exchange struct {
	conn     *conn
	request  *Request
	reserved int64
	// last says that the connection ends with this answer.
	last bool
	done chan *Answer
}

func newConn(s *Server, n net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	head := &headReader{source: n, left: -1}
	return &conn{
		server: s,
		net:    n,
		head:   head,
		reader: bufio.NewReaderSize(head, bufferBytes),
		writer: bufio.NewWriterSize(n, bufferBytes),
		queue:  make(chan *exchange, maxPending),
		ctx:    ctx,
		leave:  cancel,
	}
}

// run reads requests until the caller leaves or the connection ends.
func (c *conn) run() {
	w := &answers{conn: c}
	go w.run()
	for c.readOne() {
	}
	close(c.queue)
	c.watch()
}

// watch drops what the caller sends behind its last request, to see when it
// leaves while it could still be answered.
func (c *conn) watch() {
	if c.ctx.Err() != nil {
		return
	}
	_ = c.net.SetReadDeadline(time.Time{})
	_, err := io.Copy(io.Discard, io.LimitReader(c.reader, maxDropped))
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return // The last answer is being written.
	}
	c.leave()
}

// readOne reads one request and starts it; it returns false after the last one.
func (c *conn) readOne() bool {
	limits := c.server.limits()
	if !c.awaitRequest(limits.IdleTimeout) {
		return false
	}
	x, err := c.read(limits)
	if err != nil {
		return c.refuse(err)
	}
	if !c.begin() {
		c.server.release(x.reserved)
		return false
	}
	c.queue <- x
	go x.run()
	return !x.last
}

// awaitRequest waits for the first byte of a request. The idle time counts
// only while no request of the connection is without its answer.
func (c *conn) awaitRequest(idle time.Duration) bool {
	for {
		_ = c.net.SetReadDeadline(time.Now().Add(idle + idleGrace))
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		if timedOut && c.busy() > 0 {
			continue
		}
		if !timedOut {
			c.leave()
		}
		return false
	}
}

func (c *conn) read(limits route.Limits) (*exchange, error) {
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.head.left = limits.HeaderBytes
	req, err := http.ReadRequest(c.reader)
	c.head.left = -1
	if err != nil {
		return nil, err
	}
	received := time.Now()
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		_, _ = c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	x := &exchange{conn: c, last: req.Close, done: make(chan *Answer, 1)}
	_ = c.net.SetReadDeadline(received.Add(bodyTimeout))
	body, err := x.readBody(req, limits.BodyBytes)
	if err != nil {
		c.server.release(x.reserved)
		return nil, err
	}
	x.request = &Request{
		Method:   req.Method,
		Target:   req.RequestURI,
		Host:     req.Host,
		Header:   req.Header,
		Body:     body,
		Received: time.Now(),
		Remote:   c.net.RemoteAddr().String(),
	}
	return x, nil
}

// readBody reads the whole body within the limit and the server's memory.
func (x *exchange) readBody(req *http.Request, limit int64) ([]byte, error) {
	if req.ContentLength == 0 || req.Body == nil {
		return nil, nil
	}
	if req.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	var b bytes.Buffer
	for {
		step := int64(bodyStep)
		if req.ContentLength > 0 {
			step = min(step, req.ContentLength-int64(b.Len()))
		}
		if !x.conn.server.reserve(step) {
			return nil, errBodyMemory
		}
		x.reserved += step
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

// refuse answers a request that could not be read. The connection ends,
// because the start of the next request is not known.
func (c *conn) refuse(err error) bool {
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
		c.leave()
		return false
	default:
		status = http.StatusBadRequest
	}
	_ = c.server.logger.Log("msg", "request not read", "status", status, "caller", c.net.RemoteAddr(), "err", err)
	x := &exchange{conn: c, last: true, done: make(chan *Answer, 1)}
	if !c.begin() {
		return false
	}
	x.done <- Text(status, http.StatusText(status)+"\n")
	c.queue <- x
	return false
}

// run answers one request.
func (x *exchange) run() {
	a := x.conn.server.handle(x.conn.ctx, x.request)
	x.conn.server.release(x.reserved)
	x.done <- a
}

// headReader applies the limit on request heads while left is not negative.
type headReader struct {
	source io.Reader
	left   int
}

// Read fails once a request head has used up its limit.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left == 0 {
		return 0, errHeadTooLarge
	}
	if h.left > 0 && len(p) > h.left {
		p = p[:h.left]
	}
	n, err := h.source.Read(p)
	if h.left > 0 {
		h.left -= n
	}
	return n, err
}
