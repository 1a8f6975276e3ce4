package relay

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
)

// errLeaving is the error of an attempt that could not end before the daemon does.
var errLeaving = errors.New("daemon shuts down before the deadline of the request")

// ShutdownPlan says which requests a daemon that shuts down may still serve.
type ShutdownPlan struct {
	// End is the time by which each request must have its response.
	End time.Time
	// ShortenUntil is the time before which a request whose deadline is after End is
	// served with End as its deadline, if no peer can serve it.
	ShortenUntil time.Time
	// PeerReady reports whether another daemon can serve requests.
	PeerReady func() bool
}

// allowedDeadline returns the deadline for a request that would be sent now and wants the
// given one.
// ok is false if the request has to be refused: the caller then still has time to use
// another daemon, while a request that is cut off may or may not have run.
func (p *ShutdownPlan) allowedDeadline(now, wanted time.Time) (allowed time.Time, ok bool) {
	switch {
	case !wanted.After(p.End):
		return wanted, true
	case p.PeerReady() || !now.Before(p.ShortenUntil):
		return time.Time{}, false
	default:
		return p.End, true
	}
}

// shutdown is the shutdown of a relay, if one has begun.
type shutdown struct {
	plan  atomic.Pointer[ShutdownPlan]
	began chan struct{}
}

// BeginShutdown makes the relay refuse requests that could not be answered before the
// plan's end, also those that wait for a target. Calls after the first have no effect.
func (r *Relay) BeginShutdown(p ShutdownPlan) {
	if r.shutdown.plan.CompareAndSwap(nil, &p) {
		close(r.shutdown.began)
	}
}

// allowedDeadline returns the deadline for a request that was not sent yet and wants the
// given one, and reports whether the request may be served.
func (s *shutdown) allowedDeadline(wanted time.Time) (allowed time.Time, ok bool) {
	if p := s.plan.Load(); p != nil {
		return p.allowedDeadline(time.Now(), wanted)
	}
	return wanted, true
}

// mayStart reports whether another attempt may be sent: it must be able to end before the
// daemon does.
func (x *exchange) mayStart() bool {
	_, ok := x.relay.shutdown.allowedDeadline(x.deadline)
	return ok
}

// shutdownTimes are the moments of a shutdown that concern an exchange.
type shutdownTimes struct {
	// recheck is when it has to be decided again whether the exchange may still start an
	// attempt, expiry when the exchange ends.
	recheck, expiry time.Time
}

// applyShutdown ends what the exchange can no longer do because the daemon shuts down, and
// returns when to look at it again.
func (x *exchange) applyShutdown() shutdownTimes {
	p := x.relay.shutdown.plan.Load()
	times := shutdownTimes{recheck: p.ShortenUntil, expiry: x.deadline}
	if p.End.Before(x.deadline) {
		times.expiry = p.End
	}
	x.endUselessWaits()
	return times
}

// endUselessWaits ends the attempts that wait for a target, and the wait for the end of
// saturation, if the exchange may start no attempt any more.
func (x *exchange) endUselessWaits() {
	if x.mayStart() {
		return
	}
	for t := range x.running {
		t.stopWaiting()
	}
	if x.resume != nil {
		x.resume = time.After(0)
	}
}

// leavingResponse returns the response to a request that is refused because the daemon
// shuts down. If a peer can serve the request, the caller need not wait.
func (r *Relay) leavingResponse(availableIn time.Duration) *caller.Response {
	resp := errorResponse(fault.Leaving, availableIn)
	if r.shutdown.plan.Load().PeerReady() {
		resp.Header.Set("Retry-After", "0")
	}
	return resp
}
