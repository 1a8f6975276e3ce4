package node

import (
	"context"
	"sync"
	"time"

	"wisteriarelay.example/core/roster"
)

const (
	// healthQueryTimeout is the longest time that a request waits for the health
	// estimates of carriers, which are usually in the same data centre.
	healthQueryTimeout = 10 * time.Millisecond
	// healthQueryTTL is how long an answer is reused. Episodes, in which a target
	// fails, last seconds.
	healthQueryTTL = time.Second
	// healthQueryPeers is the number of carriers that are queried.
	healthQueryPeers = 2
)

// healthQueries asks carriers for health estimates of the targets of services that
// this daemon does not carry. Under load, callers with an outdated address reach
// daemons that receive no events about these targets. With every third target in an
// episode, such a daemon would send non-idempotent requests to failing targets.
type healthQueries struct {
	node   *Node
	mu     sync.Mutex
	latest map[string]*healthQuery
}

// healthQuery is one query about the targets of a service.
type healthQuery struct {
	sentAt time.Time
	done   chan struct{}
	once   sync.Once
}

func newHealthQueries(n *Node) *healthQueries {
	return &healthQueries{node: n, latest: map[string]*healthQuery{}}
}

// wait asks for the health of the targets of the service if this daemon receives no
// events about them, and waits up to healthQueryTimeout for the answer. An
// occasional request that can be repeated does not wait: it is sent again if it
// fails, and its result tells what no daemon may know yet.
func (q *healthQueries) wait(ctx context.Context, service string, repeatable bool) {
	if q.node.relay.TargetPool(service).ReceivesPeerEvents() || repeatable && q.node.relay.RecentRequests(service) < minRequestsForEvents {
		return
	}
	query := q.getOrSend(service)
	timer := time.NewTimer(time.Until(query.sentAt.Add(healthQueryTimeout)))
	defer timer.Stop()
	select {
	case <-query.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// getOrSend returns the last query about the service, or sends a new one if that is
// older than healthQueryTTL.
func (q *healthQueries) getOrSend(service string) *healthQuery {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if query := q.latest[service]; query != nil && now.Sub(query.sentAt) < healthQueryTTL {
		return query
	}
	query := &healthQuery{sentAt: now, done: make(chan struct{})}
	q.latest[service] = query
	carriers := q.node.nearestCarriers(now, service)
	if len(carriers) == 0 {
		query.finish()
		return query
	}
	q.node.gossip.RequestEstimates(carriers, service)
	return query
}

// complete finishes the query about the service.
func (q *healthQueries) complete(service string) {
	q.mu.Lock()
	query := q.latest[service]
	q.mu.Unlock()
	if query != nil {
		query.finish()
	}
}

func (q *healthQuery) finish() {
	q.once.Do(func() { close(q.done) })
}

// nearestCarriers returns up to healthQueryPeers carriers of the service in the
// local data centre, or in another one if the local one has none.
func (n *Node) nearestCarriers(now time.Time, service string) []roster.Member {
	group, cores := n.plan().Group(service)
	for _, dc := range n.roster.DataCentres() {
		if members := n.roster.Carriers(now, group, dc, cores); len(members) > 0 {
			return members[:min(len(members), healthQueryPeers)]
		}
	}
	return nil
}

// handleHealthQuery sends a peer the health estimates of the targets of a service.
func (n *Node) handleHealthQuery(peer roster.Member, service string) {
	if t := n.relay.Table(); t == nil {
		return
	} else if _, known := t.Service(service); !known {
		return
	}
	if pool := n.relay.TargetPool(service); pool.ReceivesPeerEvents() {
		n.gossip.SendEstimates(peer, service, pool.Estimates())
	}
}
