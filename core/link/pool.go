package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultMaxIdle     = 16
	defaultIdleTimeout = 30 * time.Second
	defaultDialTimeout = time.Second
	// strictIdle is the longest idle time of a connection that carries a
	// request which must not be repeated. A target that closes an idle
	// connection while the request is on its way leaves the outcome unknown,
	// and that is likelier the longer the connection was idle.
	strictIdle = time.Second
)

var errPoolClosed = errors.New("pool is closed")

// Pool holds the connections to one target.
type Pool struct {
	address     string
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	idle        stack[*conn]
	idleTimeout time.Duration
	dialTimeout time.Duration
	closed      atomic.Bool
	open        atomic.Int64
	dials       atomic.Int64
	discards    atomic.Int64
}

// Option changes a Pool.
type Option func(*Pool)

// WithDial replaces the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithMaxIdle bounds the number of idle connections.
func WithMaxIdle(n int) Option {
	return func(p *Pool) { p.idle.limit = n }
}

// WithIdleTimeout sets the longest idle time of a reused connection.
func WithIdleTimeout(d time.Duration) Option {
	return func(p *Pool) { p.idleTimeout = d }
}

// WithDialTimeout sets the longest wait for a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(p *Pool) { p.dialTimeout = d }
}

// NewPool returns a pool of connections to the address.
func NewPool(address string, opts ...Option) *Pool {
	p := &Pool{
		address:     address,
		dial:        (&net.Dialer{}).DialContext,
		idle:        stack[*conn]{limit: defaultMaxIdle},
		idleTimeout: defaultIdleTimeout,
		dialTimeout: defaultDialTimeout,
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Counts are the figures of a pool for metrics and state dumps.
type Counts struct {
	Open     int64 `json:"open"`
	Idle     int   `json:"idle"`
	Dials    int64 `json:"dials"`
	Discards int64 `json:"discards"`
}

// Counts returns the current figures of the pool.
func (p *Pool) Counts() Counts {
	return Counts{Open: p.open.Load(), Idle: p.idle.len(), Dials: p.dials.Load(), Discards: p.discards.Load()}
}

// Close closes the idle connections; exchanges in progress end as usual and
// their connections are closed afterwards.
func (p *Pool) Close() {
	p.closed.Store(true)
	for _, c := range p.idle.take(func(*conn) bool { return true }) {
		p.drop(c)
	}
}

// Prune closes connections that were idle for longer than the idle timeout.
func (p *Pool) Prune(now time.Time) {
	expired := func(c *conn) bool { return now.Sub(c.lastUsed) > p.idleTimeout }
	for _, c := range p.idle.take(expired) {
		p.drop(c)
	}
}

// Do sends the request once and returns the response with its body still to
// be read. The body must be closed. With strict set, only a connection used
// within the last second is reused. Errors are of type *Failure.
func (p *Pool) Do(ctx context.Context, req *http.Request, strict bool) (*http.Response, error) {
	c, err := p.get(ctx, strict)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { abort(c) })
	x := &exchange{pool: p, conn: c, stop: stop, ctx: ctx}
	resp, err := x.start(req)
	if err != nil {
		x.finish(false)
		return nil, err
	}
	return resp, nil
}

// abort makes pending reads and writes of the connection fail.
func abort(c *conn) {
	_ = c.net.SetDeadline(time.Unix(1, 0))
}

func (p *Pool) get(ctx context.Context, strict bool) (*conn, error) {
	limit := p.idleTimeout
	if strict {
		limit = min(limit, strictIdle)
	}
	return p.getWithin(ctx, limit)
}

// getWithin returns a connection that was idle for at most limit, or a new one.
func (p *Pool) getWithin(ctx context.Context, limit time.Duration) (*conn, error) {
	for {
		c, ok := p.idle.pop()
		if !ok {
			return p.connect(ctx)
		}
		idle := time.Since(c.lastUsed)
		if idle <= limit && idle <= c.idleLimit() && c.alive() {
			c.used = true
			return c, nil
		}
		p.drop(c)
	}
}

func (p *Pool) connect(ctx context.Context) (*conn, error) {
	if p.closed.Load() {
		return nil, newFailure(ctx, StageDial, errPoolClosed)
	}
	p.dials.Add(1)
	dialCtx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	n, err := p.dial(dialCtx, "tcp", p.address)
	if err != nil {
		return nil, newFailure(ctx, StageDial, err)
	}
	p.open.Add(1)
	return newConn(n), nil
}

func (p *Pool) put(c *conn) {
	c.lastUsed = time.Now()
	if p.closed.Load() || !p.idle.push(c) {
		p.drop(c)
	}
}

func (p *Pool) drop(c *conn) {
	p.open.Add(-1)
	c.close()
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool     *Pool
	conn     *conn
	stop     func() bool
	ctx      context.Context
	sender   *sender
	finished atomic.Bool
}

func (x *exchange) start(req *http.Request) (*http.Response, error) {
	x.conn.sent = 0
	if err := x.send(req); err != nil {
		return nil, err
	}
	resp, err := x.readHead(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &body{exchange: x, inner: resp.Body, keep: !resp.Close}
	return resp, nil
}

// send writes the request. A request with a body that is not in memory is
// written by a goroutine of its own, so that a response that comes before the
// whole request is sent can be read.
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
	if x.conn.sent == 0 {
		return newFailure(x.ctx, StageUnsent, err)
	}
	// A target may refuse a request early and close; its response can still
	// be read although the rest of the request was not sent.
	if x.ctx.Err() == nil {
		return nil
	}
	return newFailure(x.ctx, StageWrite, err)
}

func (x *exchange) readHead(req *http.Request) (*http.Response, error) {
	x.conn.headLeft = maxHeadBytes
	resp, err := x.readResponse(req)
	if err != nil {
		return nil, err
	}
	return x.checkFraming(req, resp)
}

// readResponse reads the head of the next final response. Interim responses use
// up the limit on heads too.
func (x *exchange) readResponse(req *http.Request) (*http.Response, error) {
	for {
		x.conn.limited = true
		resp, err := http.ReadResponse(x.conn.reader, req)
		x.conn.limited = false
		if err != nil {
			return nil, x.headFailure(err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, newProtocolFailure(errors.New("target switched protocols unasked"))
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// checkFraming refuses a response whose end cannot be told from a cut
// connection.
func (x *exchange) checkFraming(req *http.Request, resp *http.Response) (*http.Response, error) {
	if !endIsKnown(req.Method, resp) {
		return nil, newProtocolFailure(errors.New("response has neither a length nor chunked framing"))
	}
	return resp, nil
}

// bodyless reports whether responses to the method or with the status have no body.
func bodyless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

func (x *exchange) headFailure(err error) error {
	f := newFailure(x.ctx, StageHead, err)
	if x.sender.finished() && x.conn.sent == 0 {
		f.Stage = StageUnsent
	}
	var netErr net.Error
	closed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
	f.Protocol = !closed && !f.TimedOut && !f.Cancelled
	return f
}

// finish returns the connection to the pool if the exchange ended as framed,
// and closes it otherwise.
func (x *exchange) finish(clean bool) {
	if !x.finished.CompareAndSwap(false, true) {
		return
	}
	stopped := x.stop()
	reusable := clean && stopped && x.sender.finished() && x.sender.err == nil && x.conn.reader.Buffered() == 0
	if reusable {
		x.pool.put(x.conn)
		return
	}
	x.pool.discards.Add(1)
	x.pool.drop(x.conn)
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

func (s *sender) finished() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// body is the body of a response; it settles the exchange when it ends.
type body struct {
	exchange *exchange
	inner    io.ReadCloser
	keep     bool
}

// Read reads the body and reports a truncated one as *Failure.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.exchange.finish(b.keep)
		return n, io.EOF
	default:
		failure := newFailure(b.exchange.ctx, StageBody, err)
		b.exchange.finish(false)
		return n, failure
	}
}

// Close ends the exchange; a body that was not read to its end costs the connection.
func (b *body) Close() error {
	b.exchange.finish(false)
	return nil
}
