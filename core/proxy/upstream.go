package proxy

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/retry"
)

// Upstream is the run-time state that this daemon keeps to forward the requests
// of one service to its targets: the connection pools, the concurrency limiter,
// the retry budget and the recorder of the target statistics.
type Upstream struct {
	self     fleet.VM
	routing  atomic.Pointer[routingSnapshot]
	limiter  *limit.Limiter
	recorder *detect.Recorder
	budget   *retry.TokenBudget
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	// onLeaving is called for each response, with true if its target announces
	// that it is leaving.
	onLeaving func(fleet.TargetID, bool)
	// onAttempt is called after each attempt.
	onAttempt AttemptFunc
}

// AttemptFunc is a function that is called after each attempt, for metrics and logs.
type AttemptFunc func(AttemptReport)

// AttemptReport describes an attempt at a target that has ended. Of the concurrent
// attempts of a hedged request, only the one whose result is used is reported.
type AttemptReport struct {
	RequestID string
	Service   fleet.ServiceID
	Route     string
	Target    fleet.TargetID
	// Number is the number of the attempt within its request, from 1.
	Number int
	Ending retry.Ending
	// TargetResult is what the attempt says about the health of the target.
	TargetResult detect.Result
	// Decision says whether the attempt is followed by a retry.
	Decision retry.Decision
	// Latency is the time to the response head, or to the failure.
	Latency time.Duration
}

// routingSnapshot holds the settings of a service with its targets and their
// connection pools. It is immutable: Carrier.Update stores a new one.
type routingSnapshot struct {
	service *fleet.Service
	pools   map[fleet.TargetID]*link.Pool
	targets map[fleet.TargetID]fleet.Target
}

// UpstreamOption configures a Carrier.
type UpstreamOption func(*Upstream)

// WithTargetDial sets the function that opens connections to targets.
func WithTargetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) UpstreamOption {
	return func(c *Upstream) { c.dial = dial }
}

// WithLeavingFunc sets the function that is called for each response; leaving is
// true if its target announces that it is leaving.
func WithLeavingFunc(f func(id fleet.TargetID, leaving bool)) UpstreamOption {
	return func(c *Upstream) { c.onLeaving = f }
}

// WithAttemptFunc sets the function that is called after each attempt.
func WithAttemptFunc(f AttemptFunc) UpstreamOption {
	return func(c *Upstream) { c.onAttempt = f }
}

// NewUpstream returns the state of a service that the daemon self starts to
// carry. It has no target until Update is called.
func NewUpstream(self fleet.VM, service *fleet.Service, opts ...UpstreamOption) *Upstream {
	c := &Upstream{
		self:      self,
		limiter:   limit.New(self.ID),
		recorder:  detect.NewRecorder(service),
		budget:    retry.NewTokenBudget(service.Policy.RetryBudget, time.Now()),
		dial:      (&net.Dialer{}).DialContext,
		onLeaving: func(fleet.TargetID, bool) {},
		onAttempt: func(AttemptReport) {},
	}
	for _, o := range opts {
		o(c)
	}
	c.routing.Store(&routingSnapshot{service: service})
	return c
}

// Limiter returns the concurrency limiter of the service.
func (c *Upstream) Limiter() *limit.Limiter {
	return c.limiter
}

// Recorder returns the recorder of the target statistics.
func (c *Upstream) Recorder() *detect.Recorder {
	return c.recorder
}

// Service returns the current settings of the service.
func (c *Upstream) Service() *fleet.Service {
	return c.routing.Load().service
}

// Update replaces the settings, the target states and the data centres of the
// daemons that share the targets. Requests in progress keep the connections that
// they use. Concurrent calls are not allowed.
func (c *Upstream) Update(service *fleet.Service, states []limit.Target, members map[fleet.VMID]fleet.DataCentre) {
	old := c.routing.Load()
	next := &routingSnapshot{
		service: service,
		pools:   make(map[fleet.TargetID]*link.Pool, len(service.Targets)),
		targets: make(map[fleet.TargetID]fleet.Target, len(service.Targets)),
	}
	for _, t := range service.Targets {
		next.targets[t.ID] = t
		next.pools[t.ID] = c.poolFor(old, t)
	}
	if old.service != service {
		c.recorder.Update(service)
		c.budget.SetRatio(service.Policy.RetryBudget)
	}
	c.routing.Store(next)
	c.limiter.Update(&limit.Snapshot{Targets: states, QueueLength: service.Policy.QueueLength, DataCentres: members})
	old.closeUnused(next)
}

// maxIdlePerSlot is the number of idle connections kept for each slot of a
// target. The second one allows for a connection that is being replaced while all
// slots are in use.
const maxIdlePerSlot = 2

// poolFor returns the pool of the target in the old snapshot, or a new one if the
// target is new or has another address.
func (c *Upstream) poolFor(old *routingSnapshot, t fleet.Target) *link.Pool {
	if pool, ok := old.pools[t.ID]; ok && old.targets[t.ID].Address == t.Address {
		return pool
	}
	return link.NewPool(t.Address, link.WithDial(c.dial), link.WithMaxIdleConns(maxIdlePerSlot*max(1, t.Slots)))
}

// closeUnused closes the pools that next does not use any more.
func (r *routingSnapshot) closeUnused(next *routingSnapshot) {
	kept := slices.Collect(maps.Values(next.pools))
	for _, pool := range r.pools {
		if !slices.Contains(kept, pool) {
			pool.Close()
		}
	}
}

// Prune closes connections that have been idle for too long.
func (c *Upstream) Prune(now time.Time) {
	for _, pool := range c.routing.Load().pools {
		pool.Prune(now)
	}
}

// Close closes the idle connections to all targets. It is called when the service
// is no longer carried.
func (c *Upstream) Close() {
	for _, pool := range c.routing.Load().pools {
		pool.Close()
	}
}

// UpstreamState is the state of a Carrier for the state dump.
type UpstreamState struct {
	Connections map[fleet.TargetID]link.Stats `json:"connections"`
	Limiter     limit.Stats                   `json:"gate"`
	Retries     retry.TokenBudgetStats        `json:"retries"`
}

// State returns the current state for the state dump.
func (c *Upstream) State() UpstreamState {
	pools := c.routing.Load().pools
	s := UpstreamState{
		Connections: make(map[fleet.TargetID]link.Stats, len(pools)),
		Limiter:     c.limiter.Stats(),
		Retries:     c.budget.Stats(),
	}
	for id, pool := range pools {
		s.Connections[id] = pool.Stats()
	}
	return s
}
