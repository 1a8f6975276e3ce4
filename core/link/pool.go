package link

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultMaxIdleConns = 16
	defaultIdleTimeout  = 30 * time.Second
	defaultDialTimeout  = time.Second
	// nonIdempotentMaxIdle is the longest idle time of a connection that is reused
	// for a non-idempotent request. If the target closes an idle connection while the
	// request is on the way, the outcome is unknown, and that is likelier the longer
	// the connection was idle.
	nonIdempotentMaxIdle = time.Second
)

var errPoolClosed = errors.New("pool is closed")

// Pool is a pool of connections to one target. It is safe for concurrent use.
type Pool struct {
	address     string
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	idle        stack[*conn]
	idleTimeout time.Duration
	dialTimeout time.Duration
	// reserveIdle reserves the memory of a connection that becomes idle, releaseIdle
	// returns it.
	reserveIdle func() bool
	releaseIdle func()
	closed      atomic.Bool
	open        atomic.Int64
	dials       atomic.Int64
	discards    atomic.Int64
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithMaxIdleConns sets the maximum number of idle connections.
func WithMaxIdleConns(n int) Option {
	return func(p *Pool) { p.idle.limit = n }
}

// WithIdleTimeout sets how long a connection may be idle before it is closed instead
// of reused.
func WithIdleTimeout(d time.Duration) Option {
	return func(p *Pool) { p.idleTimeout = d }
}

// WithDialTimeout sets the timeout for opening a connection.
func WithDialTimeout(d time.Duration) Option {
	return func(p *Pool) { p.dialTimeout = d }
}

// WithIdleMemory sets the functions that reserve and release the memory of one idle
// connection. A connection for which reserve returns false is closed instead of kept.
func WithIdleMemory(reserve func() bool, release func()) Option {
	return func(p *Pool) { p.reserveIdle, p.releaseIdle = reserve, release }
}

// NewPool returns a pool of connections to the address.
func NewPool(address string, opts ...Option) *Pool {
	p := &Pool{
		address:     address,
		dial:        (&net.Dialer{}).DialContext,
		idle:        stack[*conn]{limit: defaultMaxIdleConns},
		idleTimeout: defaultIdleTimeout,
		dialTimeout: defaultDialTimeout,
		reserveIdle: func() bool { return true },
		releaseIdle: func() {},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Stats holds the statistics of a pool for metrics and state dumps: the open and idle
// connections now, and the dials and the connections discarded after an exchange so far.
type Stats struct {
	Open     int64 `json:"open"`
	Idle     int   `json:"idle"`
	Dials    int64 `json:"dials"`
	Discards int64 `json:"discards"`
}

// Stats returns the current statistics of the pool.
func (p *Pool) Stats() Stats {
	return Stats{Open: p.open.Load(), Idle: p.idle.len(), Dials: p.dials.Load(), Discards: p.discards.Load()}
}

// Close closes the idle connections. Exchanges whose requests were sent continue, and
// their connections are closed afterwards; those that wait for a connection fail.
func (p *Pool) Close() {
	p.closed.Store(true)
	for _, c := range p.idle.removeIf(func(*conn) bool { return true }) {
		p.releaseIdle()
		p.closeConn(c)
	}
}

// Prune closes connections that have been idle for longer than the idle timeout.
func (p *Pool) Prune(now time.Time) {
	expired := func(c *conn) bool { return now.Sub(c.lastUsed) > p.idleTimeout }
	for _, c := range p.idle.removeIf(expired) {
		p.releaseIdle()
		p.closeConn(c)
	}
}

// Do sends the request once and returns the response, whose body is still to be read
// and must be closed. If nonIdempotent is set, only a connection that was used within
// the last second is reused. Errors are of type [*Error].
func (p *Pool) Do(ctx context.Context, req *http.Request, nonIdempotent bool) (*http.Response, error) {
	c, err := p.get(ctx, nonIdempotent)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { abort(c) })
	x := &exchange{pool: p, conn: c, stopAbort: stop, ctx: ctx}
	resp, err := x.roundTrip(req)
	if err != nil {
		x.finish(false)
		return nil, err
	}
	return resp, nil
}

// abort makes blocked and future reads and writes of the connection fail.
func abort(c *conn) {
	_ = c.netConn.SetDeadline(time.Unix(1, 0))
}

func (p *Pool) get(ctx context.Context, nonIdempotent bool) (*conn, error) {
	maxIdle := p.idleTimeout
	if nonIdempotent {
		maxIdle = min(maxIdle, nonIdempotentMaxIdle)
	}
	return p.getConn(ctx, maxIdle)
}

// getConn returns a connection that was idle for at most maxIdle, or a new one.
func (p *Pool) getConn(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		c, ok := p.idle.pop()
		if !ok {
			return p.dialConn(ctx)
		}
		p.releaseIdle()
		idle := time.Since(c.lastUsed)
		if idle <= maxIdle && idle <= c.maxIdle() && c.alive() {
			c.reused = true
			return c, nil
		}
		p.closeConn(c)
	}
}

func (p *Pool) dialConn(ctx context.Context) (*conn, error) {
	if p.closed.Load() {
		return nil, newError(ctx, StageDial, errPoolClosed)
	}
	p.dials.Add(1)
	dialCtx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	n, err := p.dial(dialCtx, "tcp", p.address)
	if err != nil {
		return nil, newError(ctx, StageDial, err)
	}
	if p.closed.Load() {
		_ = n.Close()
		return nil, newError(ctx, StageDial, errPoolClosed)
	}
	p.open.Add(1)
	return newConn(n), nil
}

func (p *Pool) put(c *conn) {
	c.lastUsed = time.Now()
	if p.closed.Load() || !p.reserveIdle() {
		p.closeConn(c)
		return
	}
	if !p.idle.push(c) {
		p.releaseIdle()
		p.closeConn(c)
		return
	}
	if p.closed.Load() {
		p.Close() // The pool was closed between the check above and the push.
	}
}

func (p *Pool) closeConn(c *conn) {
	p.open.Add(-1)
	c.close()
}
