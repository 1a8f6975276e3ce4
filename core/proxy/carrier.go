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

// Carrier is the run-time state of one service that this daemon carries.
type Carrier struct {
	self     fleet.VM
	routing  atomic.Pointer[routing]
	gate     *limit.Gate
	recorder *detect.Recorder
	budget   *retry.Budget
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	// onLeaving is told with each response whether its target announces that it leaves.
	onLeaving func(fleet.TargetID, bool)
	sink      RouteSink
}

// RouteSink receives the end of each attempt, for metrics and logs.
type RouteSink func(AttemptMsg)

// AttemptMsg describes one attempt on a target that has ended.
type AttemptMsg struct {
	RequestID string
	Service   fleet.ServiceID
	Route     string
	Target    fleet.TargetID
	Number    int
	Ending    retry.Ending
	// Result is what the attempt says about the target.
	Result   detect.Result
	Decision retry.Decision
	// Latency is the time to the response head, or to the failure.
	Latency time.Duration
}

// routing is the immutable snapshot that requests read.
type routing struct {
	service *fleet.Service
	pools   map[fleet.TargetID]*link.Pool
	targets map[fleet.TargetID]fleet.Target
}

// CarrierOption changes a Carrier.
type CarrierOption func(*Carrier)

// WithTargetDial replaces the function that opens connections to targets.
func WithTargetDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) CarrierOption {
	return func(c *Carrier) { c.dial = dial }
}

// WithLeavingSign sets the function that is told with each response whether its
// target announces that it leaves.
func WithLeavingSign(f func(id fleet.TargetID, leaving bool)) CarrierOption {
	return func(c *Carrier) { c.onLeaving = f }
}

// WithAttempts sets the function that receives the end of each attempt.
func WithAttempts(sink RouteSink) CarrierOption {
	return func(c *Carrier) { c.sink = sink }
}

// NewCarrier returns the state of a service that the daemon self starts to
// carry. It has no usable target until Update is called.
func NewCarrier(self fleet.VM, service *fleet.Service, opts ...CarrierOption) *Carrier {
	c := &Carrier{
		self:      self,
		gate:      limit.New(self.ID),
		recorder:  detect.NewRecorder(service),
		budget:    retry.NewBudget(service.Policy.RetryBudget, time.Now()),
		dial:      (&net.Dialer{}).DialContext,
		onLeaving: func(fleet.TargetID, bool) {},
		sink:      func(AttemptMsg) {},
	}
	for _, o := range opts {
		o(c)
	}
	c.routing.Store(&routing{service: service})
	return c
}

// Gate returns the gate of the service.
func (c *Carrier) Gate() *limit.Gate {
	return c.gate
}

// Recorder returns the recorder of the service's evidence.
func (c *Carrier) Recorder() *detect.Recorder {
	return c.recorder
}

// Service returns the settings that requests use now.
func (c *Carrier) Service() *fleet.Service {
	return c.routing.Load().service
}

// Update takes over new settings, target states and the daemons that share the
// targets; one goroutine at a time may call it. Requests in progress keep the connections that they use.
func (c *Carrier) Update(service *fleet.Service, states []limit.Target, members map[fleet.VMID]fleet.DataCentre) {
	old := c.routing.Load()
	next := &routing{
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
	c.gate.Update(&limit.Snapshot{Targets: states, QueueLength: service.Policy.QueueLength, Members: members})
	old.closeUnused(next)
}

// idlePerSlot leaves room for a connection that is being replaced while all
// slots are busy.
const idlePerSlot = 2

func (c *Carrier) poolFor(old *routing, t fleet.Target) *link.Pool {
	if pool, ok := old.pools[t.ID]; ok && old.targets[t.ID].Address == t.Address {
		return pool
	}
	return link.NewPool(t.Address, link.WithDial(c.dial), link.WithMaxIdle(idlePerSlot*max(1, t.Slots)))
}

func (r *routing) closeUnused(next *routing) {
	kept := slices.Collect(maps.Values(next.pools))
	for _, pool := range r.pools {
		if !slices.Contains(kept, pool) {
			pool.Close()
		}
	}
}

// Prune closes connections that were idle for too long.
func (c *Carrier) Prune(now time.Time) {
	for _, pool := range c.routing.Load().pools {
		pool.Prune(now)
	}
}

// Close closes the idle connections of a service that is no longer carried.
func (c *Carrier) Close() {
	for _, pool := range c.routing.Load().pools {
		pool.Close()
	}
}

// CarrierState is the state of a carried service for the dump.
type CarrierState struct {
	Connections map[fleet.TargetID]link.Counts `json:"connections"`
	Gate        limit.Stats                    `json:"gate"`
	Retries     retry.BudgetStats              `json:"retries"`
}

// State returns the state for the dump.
func (c *Carrier) State() CarrierState {
	pools := c.routing.Load().pools
	s := CarrierState{
		Connections: make(map[fleet.TargetID]link.Counts, len(pools)),
		Gate:        c.gate.Stats(),
		Retries:     c.budget.Stats(),
	}
	for id, pool := range pools {
		s.Connections[id] = pool.Counts()
	}
	return s
}
