package retry

import (
	"sync/atomic"
	"time"
)

const (
	// tokenUnit is one retry; tokens are counted in 1/1000.
	tokenUnit = 1000
	// perSecond lets a service with little traffic retry: a judgement on a sick
	// target takes 4 to 10 requests, and with one retry a second the callers of a
	// quiet service saw its failures although another target was healthy. At 97
	// requests/s it adds 5% to the load of a service that fails as a whole.
	perSecond = 5
	// burst is the most retries saved up. A few seconds of failures at one of about
	// 27 targets fit in it; a failure of all targets does not.
	burst = 32
)

// Budget bounds the retries and hedges of one service at one daemon to a ratio of
// its requests plus a few a second. It is safe for concurrent use.
type Budget struct {
	ratio  atomic.Int64
	tokens atomic.Int64
	filled atomic.Int64
	born   time.Time
	spent  atomic.Uint64
	denied atomic.Uint64
}

// BudgetStats are the counters of a Budget for the state dump.
type BudgetStats struct {
	Tokens float64 `json:"tokens"`
	Spent  uint64  `json:"spent"`
	Denied uint64  `json:"denied"`
}

// NewBudget returns a budget of ratio retries for each request, with a second's retries in hand.
func NewBudget(ratio float64, now time.Time) *Budget {
	b := &Budget{born: now}
	b.SetRatio(ratio)
	b.tokens.Store(perSecond * tokenUnit)
	return b
}

// SetRatio changes the number of retries allowed for each request.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio.Store(int64(max(ratio, 0) * tokenUnit))
}

// Request counts one request of a caller. Retries and hedges are not counted, so
// that they earn no further retries.
func (b *Budget) Request() {
	b.add(b.ratio.Load())
}

// Take uses one retry and reports whether there was one left.
func (b *Budget) Take(now time.Time) bool {
	b.fill(now)
	for {
		n := b.tokens.Load()
		if n < tokenUnit {
			b.denied.Add(1)
			return false
		}
		if b.tokens.CompareAndSwap(n, n-tokenUnit) {
			b.spent.Add(1)
			return true
		}
	}
}

// Return gives back a retry that was taken but not sent, for example because no
// other target had a free slot.
func (b *Budget) Return() {
	b.add(tokenUnit)
	b.spent.Add(^uint64(0))
}

// Stats returns the counters at one moment.
func (b *Budget) Stats() BudgetStats {
	return BudgetStats{
		Tokens: float64(b.tokens.Load()) / tokenUnit,
		Spent:  b.spent.Load(),
		Denied: b.denied.Load(),
	}
}

// fill adds what the time since the last fill earns.
func (b *Budget) fill(now time.Time) {
	at := int64(now.Sub(b.born))
	last := b.filled.Load()
	earned := (at - last) * perSecond * tokenUnit / int64(time.Second)
	if earned <= 0 || !b.filled.CompareAndSwap(last, at) {
		return
	}
	b.add(earned)
}

func (b *Budget) add(n int64) {
	for {
		have := b.tokens.Load()
		next := min(have+n, burst*tokenUnit)
		if next <= have || b.tokens.CompareAndSwap(have, next) {
			return
		}
	}
}
