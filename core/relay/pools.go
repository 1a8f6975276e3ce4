package relay

import (
	"strconv"
	"sync"
	"time"

	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/sched"
)

const (
	// dialTimeout is the longest wait for a connection to a target. A lost
	// opening packet is sent again after a second; another target is faster.
	dialTimeout = 250 * time.Millisecond
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 4
	// idleTimeout is the longest idle time of a connection that carries an idempotent request.
	idleTimeout = 30 * time.Second
	// orderIdleTimeout is the same for a request that must not run twice.
	orderIdleTimeout = 8 * time.Second
)

// pools holds the connections to each target.
type pools struct {
	mu   sync.Mutex
	each map[string]*link.Pool
	opts []link.Option
}

// poolKey tells apart the incarnations of a target and the targets of an address.
func poolKey(t sched.Target) string {
	return t.Address + " " + t.ID + " " + strconv.FormatInt(t.Born, 10)
}

func (p *pools) get(t sched.Target) *link.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolKey(t)
	if pool := p.each[key]; pool != nil {
		return pool
	}
	if p.each == nil {
		p.each = map[string]*link.Pool{}
	}
	pool := link.NewPool(t.Address, append([]link.Option{
		link.WithDialTimeout(dialTimeout),
		link.WithMaxIdle(maxIdleConns),
		link.WithIdleTimeout(idleTimeout),
	}, p.opts...)...)
	p.each[key] = pool
	return pool
}

// keep closes the pools of targets that are gone.
func (p *pools) keep(live map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, pool := range p.each {
		if !live[key] {
			pool.Close()
			delete(p.each, key)
		}
	}
}

// maxIdle returns the longest idle time of a connection that may carry the request.
func (x *exchange) maxIdle() time.Duration {
	if x.route.Idempotent() {
		return idleTimeout
	}
	return orderIdleTimeout
}
