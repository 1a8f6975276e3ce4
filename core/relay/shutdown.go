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
	// ShortenUntil is the time until which a request whose deadline is after End is
	// served with End as its deadline, if no peer can serve it.
	ShortenUntil time.Time
	// PeerReady reports whether another daemon can serve requests.
	PeerReady func() bool
}

// limit returns the deadline for a request that would be sent now and has the given one.
// ok is false if the request has to be refused: the caller then still has time to use
// another daemon, while a request that is cut off may or may not have run.
func (p *ShutdownPlan) limit(now, deadline time.Time) (limited time.Time, ok bool) {
	switch {
	case !deadline.After(p.End):
		return deadline, true
	case p.PeerReady() || now.After(p.ShortenUntil):
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

// limitDeadline applies the plan of a shutdown to the deadline of a request that was not
// sent yet, and reports whether the request may be served.
func (s *shutdown) limitDeadline(deadline time.Time) (limited time.Time, ok bool) {
	if p := s.plan.Load(); p != nil {
		return p.limit(time.Now(), deadline)
	}
	return deadline, true
}

// mayStart reports whether another attempt may be sent: it must be able to end before the
// daemon does.
func (x *exchange) mayStart() bool {
	_, ok := x.relay.shutdown.limitDeadline(x.deadline)
	return ok
}

// beginShutdown returns the time at which the exchange expires once the daemon shuts
// down. If the exchange cannot be served until then, its attempts that wait for a target
// are ended.
func (x *exchange) beginShutdown() time.Time {
	if !x.mayStart() {
		for t := range x.running {
			t.stopWaiting()
		}
	}
	if end := x.relay.shutdown.plan.Load().End; end.Before(x.deadline) {
		return end
	}
	return x.deadline
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
