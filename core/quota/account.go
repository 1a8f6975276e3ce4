package quota

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"wisteriarelay.example/core/fault"
)

const (
	// batchDelay is how long requests for tokens are collected into a message.
	batchDelay = 3 * time.Millisecond
	// prefetchDelay replaces batchDelay for tokens that no request waits for yet.
	prefetchDelay = 15 * time.Millisecond
	// minRefusal and maxRefusal bound how long a daemon refuses requests of a workspace
	// without asking after it got too few tokens.
	minRefusal = 20 * time.Millisecond
	maxRefusal = 100 * time.Millisecond
	// minRetryWait is the least time before a coordinator whose bucket fills is asked
	// again.
	minRetryWait = 5 * time.Millisecond
	// prefetchTime is the time for which tokens are fetched ahead, and minPrefetchRate
	// the number of requests per second at this daemon from which they are.
	prefetchTime    = 100 * time.Millisecond
	minPrefetchRate = 10
	// maxPending is the largest number of requests for tokens of one workspace that are
	// on the way, so that tokens without use stay few.
	maxPending = 8
	// maxReplyAge is how long a reply is accepted.
	maxReplyAge = time.Second
	// minWaiters is the number of requests of a workspace that may wait at least.
	minWaiters = 8
	// waitersPerRate is the time, in seconds, for whose tokens requests may wait.
	waitersPerRate = 1
	// minGrantPart is the least part of the quota that is assumed for this daemon. A part
	// of 0 would advise refused callers to wait without bound.
	minGrantPart = 1.0 / 64
	// maxRetrySeconds is the longest Retry-After, for quotas of less than a request a day.
	maxRetrySeconds = 24 * 60 * 60
)

// waiter is a request that waits for a token. outcome receives nil with the token.
type waiter struct {
	outcome chan error
}

// pendingRequest is a request for tokens that is on the way.
type pendingRequest struct {
	seq    uint64
	sentAt time.Time
	count  int
}

// account holds the tokens and the waiting requests of one workspace at this daemon.
type account struct {
	name  string
	hash  WorkspaceHash
	limit Limit

	tokens  tokenStore
	waiters []*waiter
	pending []pendingRequest
	// askAt is when tokens are to be asked for; zero if they are not.
	askAt time.Time
	// refuseUntil ends the time in which requests are refused without asking, and
	// prefetchAt begins the time in which tokens may be fetched ahead.
	refuseUntil time.Time
	prefetchAt  time.Time
	// nextRetry is when the last refused caller was told to return.
	nextRetry time.Time
	// lastState is why the last grant was too small.
	lastState GrantState

	arrivals meter
	grants   meter
	lastUsed time.Time
	counts   Counts
	counters Counters
}

// Counts are the requests of a workspace at this daemon by outcome.
type Counts struct {
	Granted     int64 `json:"granted"`
	OverQuota   int64 `json:"over-quota"`
	Unavailable int64 `json:"unavailable"`
}

// Counters are the metrics for the counts of a workspace.
type Counters struct {
	Granted, OverQuota, Unavailable metrics.Counter
}

// NopCounters returns counters that count nothing.
func NopCounters() Counters {
	return Counters{Granted: metrics.NilCounter{}, OverQuota: metrics.NilCounter{}, Unavailable: metrics.NilCounter{}}
}

func (a *account) countGranted() {
	a.counts.Granted++
	a.counters.Granted.Inc(1)
}

// arrive counts a request and reports whether a token is at hand, which it takes.
func (a *account) arrive(now time.Time) bool {
	a.lastUsed = now
	a.arrivals.add(now, 1)
	a.tokens.expire(now)
	if len(a.waiters) > 0 || !a.tokens.take() {
		return false
	}
	a.countGranted()
	return true
}

// prefetchTarget returns the number of tokens to hold.
func (a *account) prefetchTarget(now time.Time) int {
	rate := min(a.arrivals.rate(now), a.limit.Rate)
	if rate < minPrefetchRate || now.Before(a.prefetchAt) {
		return 0
	}
	return int(rate * prefetchTime.Seconds())
}

// wants returns how many tokens to ask for beyond those that are on the way.
func (a *account) wants(now time.Time) int {
	expected := a.tokens.count()
	for _, p := range a.pending {
		if now.Sub(p.sentAt) < repeatInterval {
			expected += p.count
		}
	}
	missing := len(a.waiters) - expected
	target := a.prefetchTarget(now)
	if missing > 0 || 2*(expected-len(a.waiters)) < target {
		missing += target
	}
	return min(missing, maxTokens)
}

// record notes a request for tokens that is being sent. The oldest one is forgotten if
// there are too many.
func (a *account) record(now time.Time, seq uint64, count int) {
	a.pending = slices.DeleteFunc(a.pending, func(p pendingRequest) bool { return now.Sub(p.sentAt) >= maxReplyAge })
	if len(a.pending) >= maxPending {
		a.pending = slices.Delete(a.pending, 0, 1)
	}
	a.pending = append(a.pending, pendingRequest{seq: seq, sentAt: now, count: count})
}

// canAsk reports whether another request for tokens may be sent.
func (a *account) canAsk(now time.Time) bool {
	return len(a.pending) < maxPending || now.Sub(a.pending[0].sentAt) >= repeatInterval
}

// answered removes the request with the number and returns how many tokens it asked for;
// ok is false if it is not known or too old.
func (a *account) answered(now time.Time, seq uint64) (count int, ok bool) {
	i := slices.IndexFunc(a.pending, func(p pendingRequest) bool { return p.seq == seq })
	if i < 0 {
		return 0, false
	}
	p := a.pending[i]
	a.pending = slices.Delete(a.pending, i, i+1)
	return p.count, now.Sub(p.sentAt) < maxReplyAge
}

// handleGrant adds granted tokens, gives them to the waiting requests, and refuses those
// that remain if the quota is used up. It returns how long to wait before asking again for
// those that go on waiting; 0 if there are none.
func (a *account) handleGrant(now time.Time, asked int, g *Grant) (askIn time.Duration) {
	a.tokens.expire(now)
	a.tokens.add(min(g.Count, asked), now.Add(tokenTTL))
	a.grants.add(now, g.Count)
	a.lastState = g.State
	a.serve()
	if g.Count >= asked {
		return 0
	}
	a.prefetchAt = now.Add(min(max(g.wait(), minRefusal), maxRefusal))
	if next := now.Add(g.wait()); next.After(a.nextRetry) {
		a.nextRetry = next
	}
	switch {
	case len(a.waiters) == 0:
		return 0
	case g.State != BucketEmpty:
		return min(max(g.wait(), minRetryWait), maxRefusal)
	}
	a.refuseUntil = a.prefetchAt
	a.refuseWaiters(now)
	return 0
}

// refuseWaiters refuses the waiting requests because the quota is used up.
func (a *account) refuseWaiters(now time.Time) {
	for _, w := range a.waiters {
		w.outcome <- a.overQuota(now)
	}
	a.waiters = nil
}

// admitWaiters admits the waiting requests without tokens.
func (a *account) admitWaiters() {
	for _, w := range a.waiters {
		w.outcome <- nil
		a.countGranted()
	}
	a.waiters = nil
}

// serve gives tokens to the waiting requests.
func (a *account) serve() {
	served := 0
	for served < len(a.waiters) && a.tokens.take() {
		a.waiters[served].outcome <- nil
		a.countGranted()
		served++
	}
	a.waiters = slices.Delete(a.waiters, 0, served)
}

// overQuota counts a request over the quota and returns its error. Each caller is told to
// return one token later than the one before.
func (a *account) overQuota(now time.Time) error {
	a.counts.OverQuota++
	a.counters.OverQuota.Inc(1)
	if a.nextRetry.Before(now) {
		a.nextRetry = now
	}
	rate := max(a.limit.Rate, 1e-9)
	part := min(max(a.grants.rate(now)/rate, minGrantPart), 1)
	longest := min((a.limit.Burst+1)/rate, maxRetrySeconds)
	wait := min(a.nextRetry.Sub(now).Seconds(), longest)
	if wait < longest {
		a.nextRetry = a.nextRetry.Add(time.Duration(min(1/(rate*part), longest) * float64(time.Second)))
	}
	err := fault.New(fault.QuotaExceeded, "workspace %q is over its quota", a.name)
	return err.WithRetryAfter(time.Duration(max(wait, time.Millisecond.Seconds()) * float64(time.Second)))
}

// unavailable counts a request for which no coordinator granted or refused a token, and
// returns its error.
func (a *account) unavailable(detail string) error {
	a.counts.Unavailable++
	a.counters.Unavailable.Inc(1)
	return fault.New(fault.QuotaUnavailable, "workspace %q: %s", a.name, detail)
}

// maxWaiters returns how many requests may wait.
func (a *account) maxWaiters() int {
	return max(minWaiters, int(min(a.limit.Rate*waitersPerRate, maxTokens)))
}

// remove removes a waiting request and reports whether it was still waiting.
func (a *account) remove(w *waiter) bool {
	i := slices.Index(a.waiters, w)
	if i < 0 {
		return false
	}
	a.waiters = slices.Delete(a.waiters, i, i+1)
	return true
}
