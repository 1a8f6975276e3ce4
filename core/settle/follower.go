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
	// pollInterval is the mean time between two reads of the head row. 690 daemons
	// then use 345 of the store's about 2,000 reads/s.
	pollInterval = 2 * time.Second
	// pollJitter is the relative jitter of pollInterval. It spreads the polls of
	// daemons that were started at the same time.
	pollJitter = 0.2
	// callTimeout is the timeout of one call to the platform or to the peers.
	callTimeout = 2 * time.Second
	// initialBackoff and maxBackoff are the first and the longest mean wait after
	// store errors. With jitter the longest wait is maxBackoff times 1.5, which is
	// 6 s, so that a change is in force within 7 s after the store recovers.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	backoffJitter  = 0.5
	// maxRecentDeltas is the number of deltas that are kept for peers.
	maxRecentDeltas = 256
)

// Follower fetches committed revisions for one daemon, from the store and from
// peers. Its methods are safe for concurrent use. The fields below done belong to
// the goroutine of run.
type Follower struct {
	reader     storeReader
	queryPeers func(ctx context.Context, have Revision) []PeerReply
	numSeeds   int
	onApply    func(*AppliedRevision)
	rng        *rand.Rand

	// current is the revision in force; it is nil until the follower is ready.
	current atomic.Pointer[AppliedRevision]
	// held is the newest valid revision, also while the follower is not ready.
	held  atomic.Pointer[AppliedRevision]
	state atomic.Pointer[FollowerState]
	// peerRevision is the highest revision that a peer reported.
	peerRevision atomic.Uint64
	// wake triggers a poll before the next one is due.
	wake chan struct{}
	// encoded is the snapshot that was last encoded for a peer; encodeMu lets one
	// goroutine at a time encode one.
	encoded  atomic.Pointer[encodedSnapshot]
	encodeMu sync.Mutex

	cancel context.CancelFunc
	done   chan struct{}

	// pending holds the deltas after the held revision that were fetched but do not
	// yet produce a valid document.
	pending []*Delta
	invalid *InvalidRevision
	// head and headReadAt are the result and the time of the last read of the head
	// row; headReadAt is set only after all revisions up to the head were fetched.
	head       Revision
	headReadAt time.Time
	// blockedHead is the head at the time when a revision row was missing or could
	// not be decoded. The rows are not read again until the head rises. It is 0
	// if all rows could be decoded.
	blockedHead Revision
	storeErr    error
	ready       bool
	reason      string
	peerAnswers int
	// peerWait is the wait after a request to the peers that returned no usable
	// revision; peerRetryAt is its end. 0 stands for no wait.
	peerWait    time.Duration
	peerRetryAt time.Time
	// backoff determines the waits after store errors.
	backoff *backoff.ExponentialBackOff
	// due is the snapshot object to be written next; nil if there is none.
	due *dueSnapshot
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithSnapshots lets the follower read and write snapshot objects.
func WithSnapshots(o store.Objects) FollowerOption {
	return func(f *Follower) { f.reader.objects = o }
}

// WithPeers sets the function that requests the revisions above have from peers
// and returns the replies that arrive before its context ends. numSeeds is the
// number of seed addresses in the process settings; the majority of the seeds is
// determined from it.
func WithPeers(query func(ctx context.Context, have Revision) []PeerReply, numSeeds int) FollowerOption {
	return func(f *Follower) { f.queryPeers, f.numSeeds = query, numSeeds }
}

// WithOnApply sets a function that the follower's goroutine calls with each
// revision that comes into force. If several revisions are fetched together, it is
// called with the last one only.
func WithOnApply(onApply func(*AppliedRevision)) FollowerOption {
	return func(f *Follower) { f.onApply = onApply }
}

// WithRand sets the random number generator for jitter.
func WithRand(r *rand.Rand) FollowerOption {
	return func(f *Follower) { f.rng = r }
}

// NewFollower returns a follower of the settings in the table. It holds no revision
// before Start.
func NewFollower(table store.Table, opts ...FollowerOption) *Follower {
	f := &Follower{
		reader:  storeReader{table: table},
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		backoff: newBackoff(),
		reason:  "no revision yet",
	}
	for _, o := range opts {
		o(f)
	}
	f.held.Store(emptyRevision())
	f.state.Store(&FollowerState{Reason: f.reason})
	return f
}

// emptyRevision returns revision 0, which has an empty document.
func emptyRevision() *AppliedRevision {
	doc := tree.New()
	catalog, _ := doc.Catalog()
	return &AppliedRevision{Doc: doc, Catalog: catalog}
}

// newBackoff returns an exponential backoff without jitter.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	b.Multiplier = 2
	// The jitter is added by Follower.jittered, so that tests can seed it.
	b.RandomizationFactor = 0
	b.Reset()
	return b
}

// Start starts the goroutine of the follower, which runs until Stop is called or
// ctx ends. It must be called at most once.
func (f *Follower) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	go f.run(ctx)
}

// Stop stops a started follower and waits until its goroutine has returned.
func (f *Follower) Stop() {
	f.cancel()
	<-f.done
}

// Current returns the revision in force, or nil while the follower is not ready.
func (f *Follower) Current() *AppliedRevision { return f.current.Load() }

// State returns the state of the follower. The caller must not modify it.
func (f *Follower) State() *FollowerState { return f.state.Load() }

// ObservePeerRevision tells the follower that a peer holds the revision. If it is
// higher than the held one and any reported before, the follower polls the store
// immediately; after a store error it only queries the peers.
func (f *Follower) ObservePeerRevision(r Revision) {
	if f.raisePeerRevision(r) && r > f.held.Load().Revision {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// raisePeerRevision sets peerRevision to r if that is higher, and reports whether
// it did.
func (f *Follower) raisePeerRevision(r Revision) bool {
	for {
		old := f.peerRevision.Load()
		if uint64(r) <= old {
			return false
		}
		if f.peerRevision.CompareAndSwap(old, uint64(r)) {
			return true
		}
	}
}

// run polls until ctx ends.
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
				// The store stays in backoff; the revision comes from the peer.
				f.catchUp(ctx)
				continue
			}
			next = time.Now().Add(f.poll(ctx))
		}
	}
}

// poll reads the store, requests from peers what the store does not provide, and
// returns the wait until the next poll.
func (f *Follower) poll(ctx context.Context) time.Duration {
	f.storeErr = f.pollStore(ctx)
	f.catchUp(ctx)
	if f.storeErr != nil {
		return f.retryWait()
	}
	f.backoff.Reset()
	f.writeDueSnapshot(ctx)
	return f.jittered(pollInterval, pollJitter)
}

// retryWait returns the wait after a store error. If the store client rejected the
// call without sending it, the call is repeated as soon as the client allows it.
// Otherwise the wait of the follower would add to that of the client.
func (f *Follower) retryWait() time.Duration {
	wait := f.jittered(f.backoff.NextBackOff(), backoffJitter)
	if after := fault.From(f.storeErr).RetryAfter; after > 0 {
		return min(wait, f.jittered(after, pollJitter))
	}
	return wait
}

// jittered returns d times a random factor from 1-jitter to 1+jitter.
func (f *Follower) jittered(d time.Duration, jitter float64) time.Duration {
	return time.Duration(float64(d) * (1 - jitter + 2*jitter*f.rng.Float64()))
}

// catchUp requests revisions from peers if the store could not provide them, and
// publishes the result.
func (f *Follower) catchUp(ctx context.Context) {
	held := f.held.Load().Revision
	behind := held < Revision(f.peerRevision.Load()) || f.storeErr != nil && held < f.head
	starting := !f.ready && (f.storeErr != nil || f.blockedHead > 0)
	waiting := f.peerWait > 0 && time.Now().Before(f.peerRetryAt)
	if f.queryPeers != nil && (behind || starting) && !waiting {
		f.pollPeers(ctx)
	}
	f.publish()
}

// lastFetched returns the highest revision that was fetched, whether or not it is
// valid.
func (f *Follower) lastFetched() Revision {
	if n := len(f.pending); n > 0 {
		return f.pending[n-1].Revision
	}
	return f.held.Load().Revision
}

// publish makes the held revision current if the follower is ready, and updates the
// state that State returns.
func (f *Follower) publish() {
	held := f.held.Load()
	if !held.HeadReadAt.Equal(f.headReadAt) {
		updated := *held
		updated.HeadReadAt = f.headReadAt
		held = &updated
		f.held.Store(held)
	}
	if f.ready {
		old := f.current.Swap(held)
		if f.onApply != nil && (old == nil || old.Revision < held.Revision) {
			f.onApply(held)
		}
	}
	s := &FollowerState{
		Revision:     held.Revision,
		Head:         f.head,
		PeerRevision: Revision(f.peerRevision.Load()),
		HeadReadAt:   f.headReadAt,
		Ready:        f.ready,
		Reason:       f.reason,
		Invalid:      f.invalid,
		PeerAnswers:  f.peerAnswers,
	}
	if f.storeErr != nil {
		s.StoreError = f.storeErr.Error()
	}
	f.state.Store(s)
}
