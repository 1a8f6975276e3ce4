package store

import (
	"context"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wisteriarelay.example/core/fault"
)

const (
	// fleetWrites and fleetReads are the budgets of the whole fleet in
	// requests/s. The platform takes several hundred writes/s and about 2,000
	// reads/s; the rest is left to other users of the platform.
	fleetWrites = 400
	fleetReads  = 1800
	// burstSeconds is the time whose budget may be spent at once.
	burstSeconds = 2
	// rampStart and rampTime raise the budget slowly after an outage, so that
	// the fleet doesn't return to the store all at once.
	rampStart = 0.1
	rampTime  = 10 * time.Second
)

// budget limits the requests of one daemon to its share of the fleet's budget.
type budget struct {
	fleet   float64
	daemons func() int

	mu      sync.Mutex
	limiter *rate.Limiter
	drained time.Time
}

func newBudget(fleet float64, daemons func() int) *budget {
	b := &budget{fleet: fleet, daemons: daemons}
	share := b.share()
	b.limiter = rate.NewLimiter(rate.Limit(share), burst(share))
	return b
}

func (b *budget) share() float64 {
	return b.fleet / float64(max(b.daemons(), 1))
}

func burst(share float64) int {
	return max(int(math.Ceil(share*burstSeconds)), 1)
}

// take waits for one request's worth of budget. It returns StoreUnavailable if
// ctx would end before that; reopened is the end of the last outage.
func (b *budget) take(ctx context.Context, reopened time.Time) error {
	if err := b.adjust(time.Now(), reopened).Wait(ctx); err != nil {
		return fault.Wrap(err, fault.StoreUnavailable, "budget of requests to the store is used up")
	}
	return nil
}

// adjust sets the limiter to the present share. The first call after an outage
// also empties the budget that was saved up during the outage.
func (b *budget) adjust(now, reopened time.Time) *rate.Limiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.share()
	if since := now.Sub(reopened); !reopened.IsZero() && since < rampTime {
		share *= rampStart + (1-rampStart)*float64(since)/float64(rampTime)
	}
	if limit := rate.Limit(share); limit != b.limiter.Limit() {
		b.limiter.SetLimitAt(now, limit)
		b.limiter.SetBurstAt(now, burst(share))
	}
	if reopened.After(b.drained) {
		b.drained = reopened
		b.limiter.AllowN(now, int(b.limiter.TokensAt(now)))
	}
	return b.limiter
}
