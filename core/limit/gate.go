package limit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

const (
	// shedPause is how long a shed response halves the share of its target.
	shedPause = time.Second
	// urgentRecent is how long after an order or lookup one slot is kept free of batch.
	urgentRecent = time.Second
	// urgentStamp is the resolution of the last urgent arrival; a store on each
	// request would move the cache line between cores.
	urgentStamp = 10 * time.Millisecond
	// stackTargets is the number of candidates that fit on the stack of a request.
	stackTargets = 48
)

// Ask describes a request that needs a slot of a target.
type Ask struct {
	Workspace  fleet.WorkspaceID
	Kind       fleet.Kind
	Idempotent bool
	// Deadline is the deadline of the request; zero means none.
	Deadline time.Time
	// Exclude names targets already tried for the request.
	Exclude []fleet.TargetID
	// NoWait refuses the request with NoTarget if no slot is free at once.
	NoWait bool
}

// Gate grants slots of the targets of one carried service. It is safe for
// concurrent use.
type Gate struct {
	daemon fleet.VMID
	seed   uint64
	born   time.Time
	view   atomic.Pointer[view]

	draws      atomic.Uint64
	lastUrgent atomic.Int64
	// urgent and waiting count waiting orders and lookups, and all waiting requests.
	urgent  atomic.Int64
	waiting atomic.Int64

	estimate estimate
	counts   counts

	mu          sync.Mutex
	targets     []Target
	centres     map[fleet.VMID]fleet.DataCentre
	queueLength int
	slots       map[fleet.TargetID]*slot
	peers       map[fleet.VMID]*peer
	queue       queue
}

// Option configures a Gate.
type Option func(*Gate)

// WithSeed fixes the seed of the random choices; the default is 0.
func WithSeed(seed uint64) Option {
	return func(g *Gate) { g.seed = seed }
}

// WithSnapshot sets the first targets.
func WithSnapshot(s *Snapshot) Option {
	return func(g *Gate) { g.Update(s) }
}

// New returns the gate of one service on a daemon. Without a snapshot it refuses
// all requests.
func New(daemon fleet.VMID, options ...Option) *Gate {
	g := &Gate{
		daemon: daemon,
		born:   time.Now(),
		slots:  make(map[fleet.TargetID]*slot),
		peers:  make(map[fleet.VMID]*peer),
	}
	g.lastUrgent.Store(-int64(urgentRecent))
	g.view.Store(&view{until: never, queueLength: DefaultQueueLength})
	for _, o := range options {
		o(g)
	}
	return g
}

// now is the time of the gate's clock, which is monotonic.
func (g *Gate) now() time.Duration {
	return time.Since(g.born)
}

// Acquire returns a grant of one slot, waiting for it in the queue if none is free.
// Errors are of the kinds NoTarget, QueueFull, DeadlineExceeded and CallerGone; the
// outcome of each is not-run. A grant must be released.
func (g *Gate) Acquire(ctx context.Context, ask Ask) (*Grant, error) {
	if ctx.Err() != nil {
		return nil, g.gone(ctx)
	}
	if d, ok := ctx.Deadline(); ok && (ask.Deadline.IsZero() || d.Before(ask.Deadline)) {
		ask.Deadline = d
	}
	now := g.now()
	if ask.Kind == fleet.Batch {
		return g.enter(ctx, ask, now)
	}
	if int64(now)-g.lastUrgent.Load() > int64(urgentStamp) {
		g.lastUrgent.Store(int64(now))
	}
	if g.urgent.Load() == 0 {
		if gr := g.fast(&ask, now); gr != nil {
			return gr, nil
		}
	}
	if ask.NoWait {
		return nil, noTarget()
	}
	return g.enter(ctx, ask, now)
}

// fast grants a free slot without the lock, or returns nil.
func (g *Gate) fast(ask *Ask, now time.Duration) *Grant {
	if g.until(ask) <= now {
		return nil
	}
	for {
		v := g.view.Load()
		if now >= v.until {
			return nil
		}
		var room [stackTargets]choose.Candidate
		i, limit := g.pick(v, ask, v.look(now, room[:0]))
		if i < 0 {
			return nil
		}
		s := v.entries[i].slot
		if !s.claim(limit) {
			continue
		}
		if g.view.Load() == v {
			return g.grant(s, ask.Kind, now)
		}
		g.giveBack(s)
	}
}

// giveBack undoes a claim.
func (g *Gate) giveBack(s *slot) {
	s.inFlight.Add(-1)
	g.wake()
}

// wake offers freed slots to the queue.
func (g *Gate) wake() {
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(g.now())
}

// look appends the candidates of the view at this moment.
func (v *view) look(now time.Duration, cands []choose.Candidate) []choose.Candidate {
	for i := range v.entries {
		cands = append(cands, v.entries[i].candidate(now))
	}
	return cands
}

// pick returns the position of the best candidate for ask and its limit, or -1.
func (g *Gate) pick(v *view, ask *Ask, cands []choose.Candidate) (pos, limit int) {
	if len(ask.Exclude) > 0 {
		for i := range cands {
			// A request that failed once is not spent on a trial, or on evidence, as well.
			cands[i].Confirm = false
			if cands[i].State == choose.Trial || slices.Contains(ask.Exclude, v.entries[i].slot.id) {
				cands[i].State = choose.Closed
			}
		}
	}
	i, ok := choose.Pick(cands, ask.Idempotent, g.draw())
	if !ok {
		return -1, 0
	}
	return i, cands[i].Limit
}

// draw returns the next random number of the gate's sequence.
func (g *Gate) draw() uint64 {
	const golden = 0x9e3779b97f4a7c15
	return g.seed + g.draws.Add(golden)
}

// usable reports whether any target of the view may ever serve ask.
func (v *view) usable(ask *Ask) bool {
	for i := range v.entries {
		e := &v.entries[i]
		switch {
		case e.cand.State == choose.Closed || e.cand.Slots <= 0:
			continue
		case e.cand.State == choose.Trial && (!ask.Idempotent || !e.cand.TrialAllowed || len(ask.Exclude) > 0):
			continue
		case !slices.Contains(ask.Exclude, e.slot.id):
			return true
		}
	}
	return false
}

// until is the deadline of ask on the gate's clock.
func (g *Gate) until(ask *Ask) time.Duration {
	if ask.Deadline.IsZero() {
		return never
	}
	return ask.Deadline.Sub(g.born)
}

func (g *Gate) gone(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		g.counts.refusedLate.Add(1)
		return fault.Wrap(context.Cause(ctx), fault.DeadlineExceeded, "deadline passed before a slot was free")
	}
	g.counts.cancelled.Add(1)
	return fault.Wrap(context.Cause(ctx), fault.CallerGone, "caller left before a slot was free").WithOutcome(fault.NotRun)
}
