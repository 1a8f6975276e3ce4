package node

import (
	"sync"
	"time"
)

// maxTrackedReceivers limits the number of daemons whose last transmission is
// remembered.
const maxTrackedReceivers = 4096

// resendLimiter limits how often the same data is sent to the same daemon. It is safe for
// concurrent use.
type resendLimiter struct {
	interval time.Duration
	mu       sync.Mutex
	lastSent map[string]time.Time
}

func newResendLimiter(interval time.Duration) *resendLimiter {
	return &resendLimiter{interval: interval, lastSent: map[string]time.Time{}}
}

// allow reports whether data may be sent to the daemon now, and records the
// transmission. known says that there was an earlier one.
func (l *resendLimiter) allow(vm string, now time.Time) (allowed, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.lastSent[vm]
	if known && now.Sub(last) < l.interval {
		return false, true
	}
	if len(l.lastSent) >= maxTrackedReceivers {
		clear(l.lastSent)
	}
	l.lastSent[vm] = now
	return true, known
}
