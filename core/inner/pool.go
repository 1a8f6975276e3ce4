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
	retryInitial = 250 * time.Millisecond
	// retryMax keeps the time to hear a peer again after a partition near the
	// 3 intervals of 3 s after which it counted as unheard.
	retryMax = 4 * time.Second
)

// pool keeps the connections to one peer, each used by one call at a time.
type pool[T any] struct {
	dial   func(ctx context.Context) (T, error)
	closed func(T) bool
	close  func(T)
	// slots holds one entry for each connection in use.
	slots chan struct{}

	mu      sync.Mutex
	idle    []idleConn[T]
	touched time.Time
	// ended says that no sweep will come again, so that put closes all connections.
	ended bool
	pause *backoff.ExponentialBackOff
	// retryAt is the earliest time of the next dial after failures.
	retryAt time.Time
}

type idleConn[T any] struct {
	conn  T
	since time.Time
}

func newPool[T any](size int, dial func(context.Context) (T, error), closed func(T) bool, closeConn func(T)) *pool[T] {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryInitial, retryMax
	return &pool[T]{
		dial:    dial,
		closed:  closed,
		close:   closeConn,
		slots:   make(chan struct{}, size),
		pause:   pause,
		touched: time.Now(),
	}
}

// get returns an idle or new connection; the caller returns it by put. fresh
// says that the connection was dialled for this call.
func (p *pool[T]) get(ctx context.Context) (conn T, fresh bool, err error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return conn, false, fault.Wrap(ctx.Err(), fault.PeerUnreachable, "no free connection")
	}
	if conn, ok := p.takeIdle(); ok {
		return conn, false, nil
	}
	conn, err = p.dialNew(ctx)
	if err != nil {
		<-p.slots
	}
	return conn, true, err
}

func (p *pool[T]) takeIdle() (conn T, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last].conn
		p.idle = slices.Delete(p.idle, last, last+1)
		if !p.closed(c) {
			return c, true
		}
	}
	return conn, false
}

func (p *pool[T]) dialNew(ctx context.Context) (conn T, err error) {
	if d := p.untilRetry(); d > 0 {
		return conn, fault.New(fault.PeerUnreachable, "next dial is due in %v", d).WithRetryAfter(d)
	}
	conn, err = p.dial(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.retryAt = time.Now().Add(p.pause.NextBackOff())
		return conn, err
	}
	p.pause.Reset()
	p.retryAt = time.Time{}
	return conn, nil
}

func (p *pool[T]) untilRetry() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.retryAt)
}

// put returns a connection; one that is not reusable is closed.
func (p *pool[T]) put(conn T, reusable bool) {
	if !reusable || !p.keep(conn) {
		p.close(conn)
	}
	<-p.slots
}

func (p *pool[T]) keep(conn T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	p.touched = time.Now()
	p.idle = append(p.idle, idleConn[T]{conn, p.touched})
	return true
}

// sweep closes the connections that have been idle since before the given
// time. It ends the pool, and returns true, if the pool itself has been unused
// since then or if last is set.
func (p *pool[T]) sweep(before time.Time, last bool) (ended bool) {
	old, ended := p.takeOld(before, last)
	for _, i := range old {
		p.close(i.conn)
	}
	return ended
}

func (p *pool[T]) takeOld(before time.Time, last bool) (old []idleConn[T], ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if !last {
		n = slices.IndexFunc(p.idle, func(i idleConn[T]) bool { return !i.since.Before(before) })
		if n < 0 {
			n = len(p.idle)
		}
	}
	old = slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.ended = last || p.touched.Before(before) && len(p.slots) == 0
	return old, p.ended
}
