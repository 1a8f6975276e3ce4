package inner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"wisteriarelay.example/core/fault"
)

const (
	dialRetryMin = 250 * time.Millisecond
	// dialRetryMax keeps the time until a peer is heard again after a partition close
	// to the 3 report intervals of 3 s after which a silent peer counts as unheard.
	dialRetryMax = 4 * time.Second
)

// pool is the connection pool of one peer. Each connection serves one call at a time.
type pool[T any] struct {
	dial      func(ctx context.Context) (T, error)
	isClosed  func(T) bool
	closeConn func(T)
	// inUse holds one entry for each connection in use; its capacity limits their number.
	inUse chan struct{}

	mu       sync.Mutex
	idle     []idleConn[T]
	lastUsed time.Time
	// closed says that closeIdle will not be called again, so put must close every
	// connection.
	closed      bool
	dialBackoff *backoff.ExponentialBackOff
	// nextDialAt is the earliest time of the next dial after a failed one.
	nextDialAt time.Time
}

type idleConn[T any] struct {
	conn      T
	idleSince time.Time
}

func newPool[T any](maxConns int, dial func(context.Context) (T, error), isClosed func(T) bool, closeConn func(T)) *pool[T] {
	dialBackoff := backoff.NewExponentialBackOff()
	dialBackoff.InitialInterval, dialBackoff.MaxInterval = dialRetryMin, dialRetryMax
	return &pool[T]{
		dial:        dial,
		isClosed:    isClosed,
		closeConn:   closeConn,
		inUse:       make(chan struct{}, maxConns),
		dialBackoff: dialBackoff,
		lastUsed:    time.Now(),
	}
}

// get returns an idle or a new connection, which the caller must return with put.
// fresh says that the connection was dialed for this call.
func (p *pool[T]) get(ctx context.Context) (conn T, fresh bool, err error) {
	select {
	case p.inUse <- struct{}{}:
	case <-ctx.Done():
		return conn, false, fault.Wrap(ctx.Err(), fault.PeerUnreachable, "no free connection")
	}
	if conn, ok := p.takeIdle(); ok {
		return conn, false, nil
	}
	conn, err = p.dialWithBackoff(ctx)
	if err != nil {
		<-p.inUse
	}
	return conn, true, err
}

// takeIdle removes and returns the most recently used idle connection that is still open.
func (p *pool[T]) takeIdle() (conn T, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = time.Now()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last].conn
		p.idle = slices.Delete(p.idle, last, last+1)
		if !p.isClosed(c) {
			return c, true
		}
	}
	return conn, false
}

// dialWithBackoff dials, or fails at once if the backoff after failed dials has not
// elapsed.
func (p *pool[T]) dialWithBackoff(ctx context.Context) (conn T, err error) {
	if d := p.untilNextDial(); d > 0 {
		return conn, fault.New(fault.PeerUnreachable, "next dial is due in %v", d).WithRetryAfter(d)
	}
	conn, err = p.dial(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.nextDialAt = time.Now().Add(p.dialBackoff.NextBackOff())
		return conn, err
	}
	p.dialBackoff.Reset()
	p.nextDialAt = time.Time{}
	return conn, nil
}

func (p *pool[T]) untilNextDial() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.nextDialAt)
}

// put returns a connection to the pool, or closes it if it is not reusable.
func (p *pool[T]) put(conn T, reusable bool) {
	if !reusable || !p.putIdle(conn) {
		p.closeConn(conn)
	}
	<-p.inUse
}

// putIdle adds an idle connection. It returns false if the pool is closed.
func (p *pool[T]) putIdle(conn T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.lastUsed = time.Now()
	p.idle = append(p.idle, idleConn[T]{conn, p.lastUsed})
	return true
}

// closeIdle closes the connections that have been idle since before the given
// time, or all idle ones if all is set. It closes the pool and returns true if all
// is set or if the pool itself has been unused since then.
func (p *pool[T]) closeIdle(before time.Time, all bool) (closed bool) {
	expired, closed := p.takeExpired(before, all)
	for _, i := range expired {
		p.closeConn(i.conn)
	}
	return closed
}

// takeExpired removes and returns the connections that closeIdle closes, which are
// the first ones of idle, and closes the pool under the same conditions.
func (p *pool[T]) takeExpired(before time.Time, all bool) (expired []idleConn[T], closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if !all {
		n = slices.IndexFunc(p.idle, func(i idleConn[T]) bool { return !i.idleSince.Before(before) })
		if n < 0 {
			n = len(p.idle)
		}
	}
	expired = slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.closed = all || p.lastUsed.Before(before) && len(p.inUse) == 0
	return expired, p.closed
}
