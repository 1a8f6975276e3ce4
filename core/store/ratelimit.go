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
	// burstSeconds is the size of a burst: the requests of so many seconds.
	burstSeconds = 2
	// After an outage the limit rises linearly from the fraction rampStart to its
	// full value within rampDuration, so that the whole fleet does not return to
	// the store at once.
	rampStart    = 0.1
	rampDuration = 10 * time.Second
)

// rateLimiter limits the requests of one daemon to its share of the fleet's rate
// limit.
type rateLimiter struct {
	fleetRate float64
	daemons   func() int

	mu     sync.Mutex
	bucket *rate.Limiter
	// emptiedFor is the end of the last outage after which the bucket was emptied.
	emptiedFor time.Time
}

func newRateLimiter(fleetRate float64, daemons func() int) *rateLimiter {
	l := &rateLimiter{fleetRate: fleetRate, daemons: daemons}
	share := l.share()
	l.bucket = rate.NewLimiter(rate.Limit(share), burst(share))
	return l
}

// share returns the rate limit of this daemon: an equal part of that of the fleet.
func (l *rateLimiter) share() float64 {
	return l.fleetRate / float64(max(l.daemons(), 1))
}

// burst returns the number of requests in a burst at the rate share, at least 1.
func burst(share float64) int {
	return max(int(math.Ceil(share*burstSeconds)), 1)
}

// acquire waits until one request may be sent. It returns StoreUnavailable if ctx
// would end before that. outageEnd is the end of the last outage.
func (l *rateLimiter) acquire(ctx context.Context, outageEnd time.Time) error {
	if err := l.adjust(time.Now(), outageEnd).Wait(ctx); err != nil {
		return fault.Wrap(err, fault.StoreUnavailable, "budget of requests to the store is used up")
	}
	return nil
}

// adjust sets the bucket to the current share and returns it. The first call after
// an outage also removes the tokens that accumulated during the outage.
func (l *rateLimiter) adjust(now, outageEnd time.Time) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.share()
	if since := now.Sub(outageEnd); !outageEnd.IsZero() && since < rampDuration {
		share *= rampStart + (1-rampStart)*float64(since)/float64(rampDuration)
	}
	if limit := rate.Limit(share); limit != l.bucket.Limit() {
		l.bucket.SetLimitAt(now, limit)
		l.bucket.SetBurstAt(now, burst(share))
	}
	if outageEnd.After(l.emptiedFor) {
		l.emptiedFor = outageEnd
		l.bucket.AllowN(now, int(l.bucket.TokensAt(now)))
	}
	return l.bucket
}
