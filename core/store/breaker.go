package store

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"wisteriarelay.example/core/fault"
)

const (
	// breakerFailures is the number of failures in a row that open the
	// breaker; a single lost reply doesn't.
	breakerFailures = 3
	backoffFirst    = 500 * time.Millisecond
	backoffMax      = 20 * time.Second
	// readBackoffMax keeps the longest wait between trials of table reads at 3 s,
	// because a settings change has to be in force within 7 s after the store is
	// back. The trials of 690 daemons are then 345 of the store's 2,000 reads/s.
	readBackoffMax = 2 * time.Second
	// backoffJitter spreads the trials of the daemons over half to one and a half of the wait.
	backoffJitter = 0.5
	backoffFactor = 2
)

// Status is the state of the client of one part of the platform, for the dump.
type Status struct {
	LastSuccess time.Time `json:"last-success"`
	LastError   string    `json:"last-error,omitempty"`
	LastErrorAt time.Time `json:"last-error-at"`
	// OpenSince is the time since which requests are refused; zero while they are admitted.
	OpenSince time.Time `json:"open-since"`
	// RetryAt is the time of the next trial while requests are refused.
	RetryAt   time.Time `json:"retry-at"`
	Successes uint64    `json:"successes"`
	Failures  uint64    `json:"failures"`
	Refused   uint64    `json:"refused"`
}

// breaker refuses requests while the part of the platform is away, and admits
// one trial at a time until a trial succeeds.
type breaker struct {
	mu       sync.Mutex
	failures int
	trial    bool
	wait     *backoff.ExponentialBackOff
	closedAt time.Time
	status   Status
}

func newBreaker(longest time.Duration) *breaker {
	return &breaker{wait: &backoff.ExponentialBackOff{
		InitialInterval:     backoffFirst,
		MaxInterval:         longest,
		RandomizationFactor: backoffJitter,
		Multiplier:          backoffFactor,
	}}
}

// admit returns a StoreUnavailable error if the request must not be sent. Each
// admitted request ends in exactly one call of succeed, fail or abandon.
func (b *breaker) admit(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.status.OpenSince.IsZero() {
		return nil
	}
	if b.trial || now.Before(b.status.RetryAt) {
		b.status.Refused++
		e := fault.New(fault.StoreUnavailable, "the store has been away since %s: %s", b.status.OpenSince.Format(time.RFC3339), b.status.LastError)
		return e.WithRetryAfter(max(b.status.RetryAt.Sub(now), backoffFirst))
	}
	b.trial = true
	return nil
}

func (b *breaker) succeed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status.Successes++
	b.status.LastSuccess = now
	b.failures, b.trial = 0, false
	if b.status.OpenSince.IsZero() {
		return
	}
	b.status.OpenSince, b.status.RetryAt = time.Time{}, time.Time{}
	b.closedAt = now
	b.wait.Reset()
}

func (b *breaker) fail(now time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status.Failures++
	b.status.LastError, b.status.LastErrorAt = err.Error(), now
	b.failures++
	open := !b.status.OpenSince.IsZero()
	if open && !b.trial || !open && b.failures < breakerFailures {
		return
	}
	b.trial = false
	if !open {
		b.status.OpenSince = now
		b.wait.Reset()
	}
	b.status.RetryAt = now.Add(b.wait.NextBackOff())
}

// abandon ends an admitted request that shows nothing about the store, because
// it was not sent.
func (b *breaker) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trial = false
}

// reopened returns the time at which the breaker last closed; zero if it never opened.
func (b *breaker) reopened() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closedAt
}

func (b *breaker) snapshot() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.status
}
