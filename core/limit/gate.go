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
	// shedBackoff is how long the limit of a target stays halved after it has shed a
	// request.
	shedBackoff = time.Second
	// reservePeriod is how long after the arrival of an order or lookup one slot is
	// kept free of batch requests.
	reservePeriod = time.Second
	// arrivalResolution is the resolution at which the last arrival of an order or
	// lookup is recorded. A store on each request would move the cache line between
	// cores.
	arrivalResolution = 10 * time.Millisecond
	// maxStackCandidates is the number of candidates up to which their slice is kept
	// on the stack.
	maxStackCandidates = 48
)

// Request describes a request that needs a slot at a target.
type Request struct {
	Workspace  fleet.WorkspaceID
	Kind       fleet.RequestKind
	Idempotent bool
	// Deadline is the deadline of the request; zero means none.
	Deadline time.Time
	// Exclude names the targets that were already tried for the request.
	Exclude []fleet.TargetID
	// NoWait refuses the request with NoTarget, instead of queueing it, if no slot is
	// free. It has no effect on batch requests.
	NoWait bool
}

// Limiter is the concurrency limiter of one service: it grants the slots of its targets.
// It is safe for concurrent use.
type Limiter struct {
	daemon  fleet.VMID
	seed    uint64
	created time.Time
	view    atomic.Pointer[view]

	randomState     atomic.Uint64
	lastInteractive atomic.Int64
	// waitingInteractive is the number of orders and lookups in the queue, and waiting
	// the number of all requests in it. They are read without mu.
	waitingInteractive atomic.Int64
	waiting            atomic.Int64

	estimate serviceEstimate
	counts   counts

	mu          sync.Mutex
	targets     []Target
	dataCentres map[fleet.VMID]fleet.DataCentre
	queueLength int
	usage       map[fleet.TargetID]*targetUsage
	peers       map[fleet.VMID]*peerReport
	queue       queue
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithSeed fixes the seed of the random choices; the default is 0.
func WithSeed(seed uint64) Option {
	return func(g *Limiter) { g.seed = seed }
}

// WithSnapshot sets the initial targets.
func WithSnapshot(s *Snapshot) Option {
	return func(g *Limiter) { g.Update(s) }
}

// New returns a limiter for one service on a daemon. It refuses all requests until it has
// received a snapshot.
func New(daemon fleet.VMID, options ...Option) *Limiter {
	g := &Limiter{
		daemon:  daemon,
		created: time.Now(),
		usage:   make(map[fleet.TargetID]*targetUsage),
		peers:   make(map[fleet.VMID]*peerReport),
	}
	g.lastInteractive.Store(-int64(reservePeriod))
	g.view.Store(&view{validUntil: never, queueLength: DefaultQueueLength})
	for _, o := range options {
		o(g)
	}
	return g
}

// now returns the monotonic time since the limiter was created.
func (g *Limiter) now() time.Duration {
	return time.Since(g.created)
}

// Acquire returns a grant for one slot. If none is free, the request waits in the queue.
// Errors are of the kinds NoTarget, QueueFull, DeadlineExceeded and CallerGone; the
// outcome of each is not-run. A grant must be released.
func (g *Limiter) Acquire(ctx context.Context, req Request) (*Grant, error) {
	if ctx.Err() != nil {
		return nil, g.contextError(ctx)
	}
	if d, ok := ctx.Deadline(); ok && (req.Deadline.IsZero() || d.Before(req.Deadline)) {
		req.Deadline = d
	}
	now := g.now()
	if req.Kind == fleet.Batch {
		return g.acquireQueued(ctx, req, now)
	}
	if int64(now)-g.lastInteractive.Load() > int64(arrivalResolution) {
		g.lastInteractive.Store(int64(now))
	}
	if g.waitingInteractive.Load() == 0 {
		if gr := g.tryAcquire(&req, now); gr != nil {
			return gr, nil
		}
	}
	if req.NoWait {
		return nil, noTarget()
	}
	return g.acquireQueued(ctx, req, now)
}

// tryAcquire grants a free slot without taking mu, or returns nil.
func (g *Limiter) tryAcquire(req *Request, now time.Duration) *Grant {
	if g.deadlineOf(req) <= now {
		return nil
	}
	for {
		v := g.view.Load()
		if now >= v.validUntil {
			return nil
		}
		var buf [maxStackCandidates]choose.Candidate
		pos, limit := g.pick(v, req, v.candidates(now, buf[:0]))
		if pos < 0 {
			return nil
		}
		usage := v.entries[pos].usage
		if !usage.claim(limit) {
			continue
		}
		if g.view.Load() == v {
			return g.newGrant(usage, req.Kind, now)
		}
		g.unclaim(usage)
	}
}

// unclaim undoes a claim.
func (g *Limiter) unclaim(usage *targetUsage) {
	usage.inFlight.Add(-1)
	g.dispatchWaiting()
}

// dispatchWaiting grants free slots to the queue if requests wait in it.
func (g *Limiter) dispatchWaiting() {
	if g.waiting.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(g.now())
}

// candidates appends the targets of the view as candidates with their current counts.
func (v *view) candidates(now time.Duration, cands []choose.Candidate) []choose.Candidate {
	for i := range v.entries {
		cands = append(cands, v.entries[i].candidate(now))
	}
	return cands
}

// pick returns the index of the best candidate for req and its limit, or -1.
func (g *Limiter) pick(v *view, req *Request, cands []choose.Candidate) (pos, limit int) {
	if len(req.Exclude) > 0 {
		for i := range cands {
			// A request that failed once is not put at risk again as a trial or to
			// collect evidence about a suspect target.
			cands[i].NeedsEvidence = false
			if cands[i].State == choose.Trial || slices.Contains(req.Exclude, v.entries[i].usage.id) {
				cands[i].State = choose.Unavailable
			}
		}
	}
	i, ok := choose.Pick(cands, req.Idempotent, g.nextRandom())
	if !ok {
		return -1, 0
	}
	return i, cands[i].Limit
}

// nextRandom returns the next input for choose.Pick, which mixes it into a uniformly
// distributed number.
func (g *Limiter) nextRandom() uint64 {
	const increment = 0x9e3779b97f4a7c15
	return g.seed + g.randomState.Add(increment)
}

// canServe reports whether any target of the view may serve req once it has a free slot.
func (v *view) canServe(req *Request) bool {
	for i := range v.entries {
		e := &v.entries[i]
		switch {
		case e.base.State == choose.Unavailable || e.base.Slots <= 0:
			continue
		case e.base.State == choose.Trial && (!req.Idempotent || !e.base.TrialAllowed || len(req.Exclude) > 0):
			continue
		case !slices.Contains(req.Exclude, e.usage.id):
			return true
		}
	}
	return false
}

// deadlineOf returns the deadline of req on the limiter's clock, or never.
func (g *Limiter) deadlineOf(req *Request) time.Duration {
	if req.Deadline.IsZero() {
		return never
	}
	return req.Deadline.Sub(g.created)
}

// contextError counts a request whose context ended and returns its error.
func (g *Limiter) contextError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		g.counts.refusedLate.Add(1)
		return fault.Wrap(context.Cause(ctx), fault.DeadlineExceeded, "deadline passed before a slot was free")
	}
	g.counts.cancelled.Add(1)
	return fault.Wrap(context.Cause(ctx), fault.CallerGone, "caller left before a slot was free").WithOutcome(fault.NotRun)
}
