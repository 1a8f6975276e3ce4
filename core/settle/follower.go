package settle

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

const (
	// pollEvery is the mean time between two reads of the head row: 690 daemons
	// take 345 of about 2,000 reads/s.
	pollEvery = 2 * time.Second
	// pollJitter spreads the polls of daemons that were started together.
	pollJitter = 0.2
	// callTimeout bounds one call to the platform or the peers.
	callTimeout = 2 * time.Second
	// backoffFirst and backoffMost bound the mean wait after store errors. The
	// longest wait is backoffMost times 1.5, 6 s, so that a change is in force
	// within 7 s after the store returns.
	backoffFirst  = 500 * time.Millisecond
	backoffMost   = 4 * time.Second
	backoffJitter = 0.5
	// keepDeltas is the number of deltas kept for peers.
	keepDeltas = 256
)

// Follower brings accepted revisions to one daemon. Its methods may be called
// from any goroutine; the unexported state belongs to its run goroutine.
type Follower struct {
	src      source
	askPeers func(ctx context.Context, have Revision) []PeerReply
	seeds    int
	applied  func(*Applied)
	rng      *rand.Rand

	current atomic.Pointer[Applied]
	held    atomic.Pointer[Applied]
	state   atomic.Pointer[FollowerState]
	heard   atomic.Uint64
	wake    chan struct{}
	packed  atomic.Pointer[packedSnapshot]
	packing sync.Mutex

	cancel context.CancelFunc
	done   chan struct{}

	pending    []*Delta
	refused    *Refused
	head       Revision
	headReadAt time.Time
	// stuckAt is the head at which a row could not be decoded; the rows are
	// not read again until the head rises.
	stuckAt  Revision
	storeErr error
	ready    bool
	reason   string
	answers  int
	askWait  time.Duration
	askAfter time.Time
	backoff  *backoff.ExponentialBackOff
	due      *dueSnapshot
}

// FollowerOption changes a Follower.
type FollowerOption func(*Follower)

// WithSnapshots lets the follower read and write snapshot objects.
func WithSnapshots(o store.Objects) FollowerOption {
	return func(f *Follower) { f.src.objects = o }
}

// WithPeers sets how peers are asked for revisions above have. The function
// returns the answers that arrive before its context ends, and the number of
// seed addresses in the process settings is needed to know their majority.
func WithPeers(ask func(ctx context.Context, have Revision) []PeerReply, seeds int) FollowerOption {
	return func(f *Follower) { f.askPeers, f.seeds = ask, seeds }
}

// WithApplied sets a function that the follower's goroutine calls with each
// revision that becomes current; of revisions fetched together it is the last.
func WithApplied(applied func(*Applied)) FollowerOption {
	return func(f *Follower) { f.applied = applied }
}

// WithRand sets the source of jitter.
func WithRand(r *rand.Rand) FollowerOption {
	return func(f *Follower) { f.rng = r }
}

// NewFollower returns a follower of the table that holds no revision.
func NewFollower(table store.Table, opts ...FollowerOption) *Follower {
	f := &Follower{
		src:     source{table: table},
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		backoff: newBackoff(),
		reason:  "no revision yet",
	}
	for _, o := range opts {
		o(f)
	}
	f.held.Store(emptyApplied())
	f.state.Store(&FollowerState{Reason: f.reason})
	return f
}

func emptyApplied() *Applied {
	doc := tree.New()
	catalog, _ := doc.Compile()
	return &Applied{Doc: doc, Catalog: catalog}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffFirst
	b.MaxInterval = backoffMost
	b.Multiplier = 2
	// The follower's own seeded source adds the jitter.
	b.RandomizationFactor = 0
	b.Reset()
	return b
}

// Start begins to follow; Stop or the end of ctx ends it. It is called once.
func (f *Follower) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	go f.run(ctx)
}

// Stop ends a started follower and waits for its goroutine.
func (f *Follower) Stop() {
	f.cancel()
	<-f.done
}

// Current returns the revision in force, or nil while the follower is not ready.
func (f *Follower) Current() *Applied { return f.current.Load() }

// State returns the follower's report about itself; it must not be changed.
func (f *Follower) State() *FollowerState { return f.state.Load() }

// Hear tells the follower that a peer holds the revision. A higher one than
// any before makes it poll at once.
func (f *Follower) Hear(r Revision) {
	if f.raiseHeard(r) && r > f.held.Load().Revision {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

func (f *Follower) raiseHeard(r Revision) bool {
	for {
		old := f.heard.Load()
		if uint64(r) <= old {
			return false
		}
		if f.heard.CompareAndSwap(old, uint64(r)) {
			return true
		}
	}
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	next := time.Now()
	for {
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			next = time.Now().Add(f.poll(ctx))
		case <-f.wake:
			timer.Stop()
			if f.storeErr != nil {
				// The store keeps its backoff; the peer that was heard has the revision.
				f.catchUp(ctx)
				continue
			}
			next = time.Now().Add(f.poll(ctx))
		}
	}
}

// poll reads the store, asks peers for what the store does not give, and
// returns the wait until the next poll.
func (f *Follower) poll(ctx context.Context) time.Duration {
	f.storeErr = f.pollStore(ctx)
	f.catchUp(ctx)
	if f.storeErr != nil {
		return f.retryWait()
	}
	f.backoff.Reset()
	f.writeSnapshot(ctx)
	return f.spread(pollEvery, pollJitter)
}

// retryWait returns the wait after a store error. A call that the client of the
// store refused without sending it comes again as soon as the client admits it,
// because it would otherwise add the client's wait to the follower's.
func (f *Follower) retryWait() time.Duration {
	wait := f.spread(f.backoff.NextBackOff(), backoffJitter)
	if after := fault.From(f.storeErr).RetryAfter; after > 0 {
		return min(wait, f.spread(after, pollJitter))
	}
	return wait
}

// spread returns d times a random factor from 1-jitter to 1+jitter.
func (f *Follower) spread(d time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(d) * (1 - jitter + 2*jitter*f.rng.Float64()))
}

// catchUp asks peers if the store left something open, and publishes.
func (f *Follower) catchUp(ctx context.Context) {
	held := f.held.Load().Revision
	behind := held < Revision(f.heard.Load()) || f.storeErr != nil && held < f.head
	booting := !f.ready && (f.storeErr != nil || f.stuckAt > 0)
	paced := f.askWait > 0 && time.Now().Before(f.askAfter)
	if f.askPeers != nil && (behind || booting) && !paced {
		f.pollPeers(ctx)
	}
	f.publish()
}

// last returns the highest revision at hand, in force or refused.
func (f *Follower) last() Revision {
	if n := len(f.pending); n > 0 {
		return f.pending[n-1].Revision
	}
	return f.held.Load().Revision
}

// publish makes the held revision current if the follower is ready, and
// renews the state.
func (f *Follower) publish() {
	held := f.held.Load()
	if !held.HeadReadAt.Equal(f.headReadAt) {
		renewed := *held
		renewed.HeadReadAt = f.headReadAt
		held = &renewed
		f.held.Store(held)
	}
	if f.ready {
		old := f.current.Swap(held)
		if f.applied != nil && (old == nil || old.Revision < held.Revision) {
			f.applied(held)
		}
	}
	s := &FollowerState{
		Revision:    held.Revision,
		Head:        f.head,
		Heard:       Revision(f.heard.Load()),
		HeadReadAt:  f.headReadAt,
		Ready:       f.ready,
		Reason:      f.reason,
		Refused:     f.refused,
		PeerAnswers: f.answers,
	}
	if f.storeErr != nil {
		s.StoreError = f.storeErr.Error()
	}
	f.state.Store(s)
}
