package store

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"wisteriarelay.example/core/fault"
)

const (
	// openAfterFailures is the number of consecutive failures that open the
	// breaker. It is above 1 so that a single lost reply does not.
	openAfterFailures = 3
	// initialBackoff and maxBackoff are the first and the longest mean wait before
	// a trial request.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 20 * time.Second
	// maxReadBackoff is maxBackoff for table reads. With jitter the longest wait is
	// 3 s, because a settings change has to be in force within 7 s after the store
	// recovers. The trial requests of 690 daemons are then 345 of the store's 2,000
	// reads/s.
	maxReadBackoff = 2 * time.Second
	// backoffJitter is the relative jitter of the wait, which is thus between half
	// and one and a half times its mean. It spreads the trials of the daemons.
	backoffJitter = 0.5
	backoffFactor = 2
)

// BreakerStatus is the status of a breaker and of the requests that it admitted, as
// shown in the state dump.
type BreakerStatus struct {
	LastSuccess time.Time `json:"last-success"`
	LastError   string    `json:"last-error,omitempty"`
	LastErrorAt time.Time `json:"last-error-at"`
	// OpenSince is the time at which the breaker opened; zero while it is closed.
	OpenSince time.Time `json:"open-since"`
	// RetryAt is the time of the next trial request while the breaker is open.
	RetryAt   time.Time `json:"retry-at"`
	Successes uint64    `json:"successes"`
	Failures  uint64    `json:"failures"`
	// Refused is the number of requests that the breaker rejected.
	Refused uint64 `json:"refused"`
}

// breaker is a circuit breaker for one component of the platform. While it is open,
// it rejects requests, except for one trial request at a time; a trial that succeeds
// closes it.
type breaker struct {
	mu sync.Mutex
	// failures is the number of consecutive failures.
	failures int
	// trialInFlight is set while a trial request is in progress.
	trialInFlight bool
	backoff       *backoff.ExponentialBackOff
	closedAt      time.Time
	status        BreakerStatus
}

func newBreaker(maxInterval time.Duration) *breaker {
	return &breaker{backoff: &backoff.ExponentialBackOff{
		InitialInterval:     initialBackoff,
		MaxInterval:         maxInterval,
		RandomizationFactor: backoffJitter,
		Multiplier:          backoffFactor,
	}}
}

// admit returns a StoreUnavailable error if the request must not be sent. For each
// admitted request the caller calls exactly one of succeed, fail and abandon.
func (b *breaker) admit(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.status.OpenSince.IsZero() {
		return nil
	}
	if b.trialInFlight || now.Before(b.status.RetryAt) {
		b.status.Refused++
		e := fault.New(fault.StoreUnavailable, "the store has been away since %s: %s", b.status.OpenSince.Format(time.RFC3339), b.status.LastError)
		return e.WithRetryAfter(max(b.status.RetryAt.Sub(now), initialBackoff))
	}
	b.trialInFlight = true
	return nil
}

// succeed records a successful request, which closes the breaker.
func (b *breaker) succeed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status.Successes++
	b.status.LastSuccess = now
	b.failures, b.trialInFlight = 0, false
	if b.status.OpenSince.IsZero() {
		return
	}
	b.status.OpenSince, b.status.RetryAt = time.Time{}, time.Time{}
	b.closedAt = now
	b.backoff.Reset()
}

// fail records a failed request. It opens the breaker after enough consecutive
// failures, and after a failed trial it sets the time of the next one.
func (b *breaker) fail(now time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status.Failures++
	b.status.LastError, b.status.LastErrorAt = err.Error(), now
	b.failures++
	open := !b.status.OpenSince.IsZero()
	if open && !b.trialInFlight || !open && b.failures < openAfterFailures {
		return
	}
	b.trialInFlight = false
	if !open {
		b.status.OpenSince = now
		b.backoff.Reset()
	}
	b.status.RetryAt = now.Add(b.backoff.NextBackOff())
}

// abandon ends an admitted request that was not sent or was cancelled by the caller
// and therefore says nothing about the store.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trialInFlight = false
}

// lastClosed returns the time at which the breaker last closed; zero if it never
// opened.
func (b *breaker) lastClosed() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closedAt
}

func (b *breaker) currentStatus() BreakerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.status
}
