package retry

import (
	"sync/atomic"
	"time"
)

const (
	// tokenScale is the cost of one retry; tokens are counted in units of 1/1000 of a
	// retry.
	tokenScale = 1000
	// retriesPerSecond is the number of retries allowed regardless of traffic, so that
	// a service with little traffic can retry. Detecting a failing target takes 4 to
	// 10 requests; with one retry a second, callers of a service with little traffic
	// saw failures although another target was healthy. At 97 requests/s it adds 5%
	// to the load of a service whose targets all fail.
	retriesPerSecond = 5
	// burst is the maximum number of retries that accumulate. It covers a few seconds
	// of failures at one of about 27 targets, but not a failure of all targets.
	burst = 32
)

// TokenBudget is a token bucket that limits the retries and hedged requests of one
// service at one daemon to a ratio of its requests plus retriesPerSecond. It is safe
// for concurrent use.
type TokenBudget struct {
	ratio  atomic.Int64
	tokens atomic.Int64
	// lastRefill is the time of the last refill, in nanoseconds since createdAt.
	lastRefill atomic.Int64
	createdAt  time.Time
	spent      atomic.Uint64
	denied     atomic.Uint64
}

// TokenBudgetStats are the counters of a TokenBudget for the state dump.
type TokenBudgetStats struct {
	Tokens float64 `json:"tokens"`
	Spent  uint64  `json:"spent"`
	Denied uint64  `json:"denied"`
}

// NewTokenBudget returns a budget of ratio retries for each request. It starts with the
// retries of one second.
func NewTokenBudget(ratio float64, now time.Time) *TokenBudget {
	b := &TokenBudget{createdAt: now}
	b.SetRatio(ratio)
	b.tokens.Store(retriesPerSecond * tokenScale)
	return b
}

// SetRatio sets the number of retries allowed for each request.
func (b *TokenBudget) SetRatio(ratio float64) {
	b.ratio.Store(int64(max(ratio, 0) * tokenScale))
}

// CountRequest counts one request of a caller. Retries and hedged requests are not
// counted, so that they do not add to the budget.
func (b *TokenBudget) CountRequest() {
	b.add(b.ratio.Load())
}

// Take takes one retry from the budget and reports whether one was available.
func (b *TokenBudget) Take(now time.Time) bool {
	b.refill(now)
	for {
		n := b.tokens.Load()
		if n < tokenScale {
			b.denied.Add(1)
			return false
		}
		if b.tokens.CompareAndSwap(n, n-tokenScale) {
			b.spent.Add(1)
			return true
		}
	}
}

// Return returns a retry that was taken but not sent, for example because no other
// target had a free slot.
func (b *TokenBudget) Return() {
	b.add(tokenScale)
	b.spent.Add(^uint64(0))
}

// Stats returns the current counters.
func (b *TokenBudget) Stats() TokenBudgetStats {
	return TokenBudgetStats{
		Tokens: float64(b.tokens.Load()) / tokenScale,
		Spent:  b.spent.Load(),
		Denied: b.denied.Load(),
	}
}

// refill adds the tokens for the time since the last refill.
func (b *TokenBudget) refill(now time.Time) {
	elapsed := int64(now.Sub(b.createdAt))
	last := b.lastRefill.Load()
	earned := (elapsed - last) * retriesPerSecond * tokenScale / int64(time.Second)
	if earned <= 0 || !b.lastRefill.CompareAndSwap(last, elapsed) {
		return
	}
	b.add(earned)
}

// add adds n tokens, up to the burst limit.
func (b *TokenBudget) add(n int64) {
	for {
		current := b.tokens.Load()
		next := min(current+n, burst*tokenScale)
		if next <= current || b.tokens.CompareAndSwap(current, next) {
			return
		}
	}
}
