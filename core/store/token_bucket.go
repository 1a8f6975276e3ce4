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
	// fleetWriteRate and fleetReadRate are the default rate limits of the whole fleet
	// in requests/s. The platform serves several hundred writes/s and about 2,000
	// reads/s; the rest is left to other users of the platform.
	fleetWriteRate = 400
	fleetReadRate  = 1800
	// burstSeconds is the size of a burst, in seconds of the daemon's rate limit.
	burstSeconds = 2
	// After an outage the limit rises linearly from the fraction rampStart to its
	// full value within rampDuration, so that the whole fleet does not return to
	// the store at once.
	rampStart    = 0.1
	rampDuration = 10 * time.Second
)

// tokenBucket limits the requests of one daemon to its share of the fleet's rate
// limit.
type tokenBucket struct {
	fleetRate float64
	daemons   func() int

	mu      sync.Mutex
	limiter *rate.Limiter
	// emptiedFor is the end of the last outage after which the bucket was emptied.
	emptiedFor time.Time
}

func newTokenBucket(fleetRate float64, daemons func() int) *tokenBucket {
	b := &tokenBucket{fleetRate: fleetRate, daemons: daemons}
	share := b.share()
	b.limiter = rate.NewLimiter(rate.Limit(share), burst(share))
	return b
}

// share returns the rate limit of this daemon: an equal part of that of the fleet.
func (b *tokenBucket) share() float64 {
	return b.fleetRate / float64(max(b.daemons(), 1))
}

// burst returns the number of requests in a burst at the rate share, at least 1.
func burst(share float64) int {
	return max(int(math.Ceil(share*burstSeconds)), 1)
}

// acquire waits until one request may be sent. It returns StoreUnavailable if ctx
// would end before that. outageEnd is the end of the last outage.
func (b *tokenBucket) acquire(ctx context.Context, outageEnd time.Time) error {
	if err := b.adjust(time.Now(), outageEnd).Wait(ctx); err != nil {
		return fault.Wrap(err, fault.StoreUnavailable, "budget of requests to the store is used up")
	}
	return nil
}

// adjust sets the limiter to the current share and returns it. The first call after
// an outage also removes the tokens that accumulated during the outage.
func (b *tokenBucket) adjust(now, outageEnd time.Time) *rate.Limiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.share()
	if since := now.Sub(outageEnd); !outageEnd.IsZero() && since < rampDuration {
		share *= rampStart + (1-rampStart)*float64(since)/float64(rampDuration)
	}
	if limit := rate.Limit(share); limit != b.limiter.Limit() {
		b.limiter.SetLimitAt(now, limit)
		b.limiter.SetBurstAt(now, burst(share))
	}
	if outageEnd.After(b.emptiedFor) {
		b.emptiedFor = outageEnd
		b.limiter.AllowN(now, int(b.limiter.TokensAt(now)))
	}
	return b.limiter
}
