package relay

import (
	"strconv"
	"sync"
	"time"

	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/memory"
	"wisteriarelay.example/core/sched"
)

const (
	// dialTimeout is the maximum time to open a connection to a target. A lost SYN
	// is retransmitted only after a second, so trying another target is faster.
	dialTimeout = 250 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections to one target.
	maxIdleConns = 4
	// idleTimeout is the maximum idle time of a connection that is reused for an
	// idempotent request.
	idleTimeout = 30 * time.Second
	// nonIdempotentIdleTimeout is the maximum idle time of a connection that is reused
	// for a non-idempotent request, which cannot be retried if the target closes the
	// connection while the request is being sent.
	nonIdempotentIdleTimeout = 8 * time.Second
)

// connPools holds one connection pool for each target; opts are added to the options
// of each pool, and memory counts the idle connections.
type connPools struct {
	mu     sync.Mutex
	byKey  map[string]*link.Pool
	opts   []link.Option
	memory *memory.Budget
}

// connPoolKey returns the key of a target's connection pool. It differs between the
// incarnations of a target and between targets that use the same address in turn.
func connPoolKey(t sched.Target) string {
	return t.Address + " " + t.ID + " " + strconv.FormatInt(t.StartMillis, 10)
}

// get returns the connection pool of a target, creating it on first use.
func (p *connPools) get(t sched.Target) *link.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := connPoolKey(t)
	if pool := p.byKey[key]; pool != nil {
		return pool
	}
	if p.byKey == nil {
		p.byKey = map[string]*link.Pool{}
	}
	pool := link.NewPool(t.Address, append([]link.Option{
		link.WithDialTimeout(dialTimeout),
		link.WithMaxIdleConns(maxIdleConns),
		link.WithIdleTimeout(idleTimeout),
		link.WithIdleMemory(p.reserveIdle, p.releaseIdle),
	}, p.opts...)...)
	p.byKey[key] = pool
	return pool
}

// idleConnMemory is the memory in bytes of an idle connection to a target: two buffers of
// 4 KiB and the state of the connection.
const idleConnMemory = 12 << 10

// reserveIdle reserves the memory of a connection that becomes idle. Without memory for
// it the connection is closed. One in use is counted with its request.
func (p *connPools) reserveIdle() bool {
	return !p.memory.Bounded() || p.memory.Reserve(memory.IdleConnections, idleConnMemory)
}

// releaseIdle returns the memory of a connection that is no longer idle.
func (p *connPools) releaseIdle() {
	if p.memory.Bounded() {
		p.memory.Release(memory.IdleConnections, idleConnMemory)
	}
}

// close closes the connection pool of a target.
func (p *connPools) close(t sched.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := connPoolKey(t)
	if pool := p.byKey[key]; pool != nil {
		pool.Close()
		delete(p.byKey, key)
	}
}

// closeUnused closes the pools of targets that were removed; live holds the pool keys
// of the present targets.
func (p *connPools) closeUnused(live map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, pool := range p.byKey {
		if !live[key] {
			pool.Close()
			delete(p.byKey, key)
		}
	}
}

// maxIdle returns the maximum idle time of a connection reused for the request.
func (x *exchange) maxIdle() time.Duration {
	if x.route.Idempotent() {
		return idleTimeout
	}
	return nonIdempotentIdleTimeout
}
