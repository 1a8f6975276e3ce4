package retry

import (
	"sync/atomic"
	"time"
)

const (
	// tokenScale is one retry; tokens are counted in 1/1000.
	tokenScale = 1000
	// retriesPerSecond lets a service with little traffic retry: a judgement on a sick
	// target takes 4 to 10 requests, and with one retry a second the callers of a
	// quiet service saw its failures although another target was healthy. At 97
	// requests/s it adds 5% to the load of a service that fails as a whole.
	retriesPerSecond = 5
	// burst is the most retries saved up. A few seconds of failures at one of about
	// 27 targets fit in it; a failure of all targets does not.
	burst = 32
)

// Budget bounds the retries and hedges of one service at one daemon to a ratio of
// its requests plus a few a second. It is safe for concurrent use.
type Budget struct {
	ratio      atomic.Int64
	tokens     atomic.Int64
	lastRefill atomic.Int64
	createdAt  time.Time
	spent      atomic.Uint64
	denied     atomic.Uint64
}

// BudgetStats are the counters of a Budget for the state dump.
type BudgetStats struct {
	Tokens float64 `json:"tokens"`
	Spent  uint64  `json:"spent"`
	Denied uint64  `json:"denied"`
}

// NewBudget returns a budget of ratio retries for each request, with a second's retries in hand.
func NewBudget(ratio float64, now time.Time) *Budget {
	b := &Budget{createdAt: now}
	b.SetRatio(ratio)
	b.tokens.Store(retriesPerSecond * tokenScale)
	return b
}

// SetRatio changes the number of retries allowed for each request.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio.Store(int64(max(ratio, 0) * tokenScale))
}

// Request counts one request of a caller. Retries and hedges are not counted, so
// that they earn no further retries.
func (b *Budget) Request() {
	b.add(b.ratio.Load())
}

// Take uses one retry and reports whether there was one left.
func (b *Budget) Take(now time.Time) bool {
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

// Return gives back a retry that was taken but not sent, for example because no
// other target had a free slot.
func (b *Budget) Return() {
	b.add(tokenScale)
	b.spent.Add(^uint64(0))
}

// Stats returns the counters at one moment.
func (b *Budget) Stats() BudgetStats {
	return BudgetStats{
		Tokens: float64(b.tokens.Load()) / tokenScale,
		Spent:  b.spent.Load(),
		Denied: b.denied.Load(),
	}
}

// refill adds what the time since the last refill earns.
func (b *Budget) refill(now time.Time) {
	at := int64(now.Sub(b.createdAt))
	last := b.lastRefill.Load()
	earned := (at - last) * retriesPerSecond * tokenScale / int64(time.Second)
	if earned <= 0 || !b.lastRefill.CompareAndSwap(last, at) {
		return
	}
	b.add(earned)
}

func (b *Budget) add(n int64) {
	for {
		have := b.tokens.Load()
		next := min(have+n, burst*tokenScale)
		if next <= have || b.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}
