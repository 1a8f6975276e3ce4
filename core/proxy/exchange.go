package proxy

import (
	"context"
	"strconv"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
	"wisteriarelay.example/core/retry"
)

// forwarder sends one request of a caller to targets, in one or more attempts.
type forwarder struct {
	upstream *Upstream
	in       *inboundRequest
	// tried names the targets of the attempts so far.
	tried []fleet.TargetID
	// attempts is the number of attempts so far; hedged attempts count.
	attempts int
	// outcome is the merged outcome of the attempts so far.
	outcome fault.Outcome
	// lastResult is the result of the last attempt while the next slot is awaited.
	lastResult *attemptResult
}

// run makes attempts until one is not to be retried or no slot is granted, and
// returns the result for the caller.
func (f *forwarder) run(ctx context.Context) *attemptResult {
	f.upstream.budget.CountRequest()
	for {
		grant, err := f.upstream.limiter.Acquire(ctx, f.slotRequest())
		if err != nil {
			return f.finishWithoutSlot(err)
		}
		if f.lastResult != nil {
			f.lastResult.discard()
		}
		res := f.send(ctx, grant)
		decision := f.decide(res)
		if !decision.Retry {
			return f.finish(res, decision)
		}
		f.lastResult = res
		if !res.buffered() && res.err == nil {
			// The body is not in memory, so keeping the response would hold the target's slot.
			res.discard()
			f.lastResult = nil
		}
	}
}

// slotRequest returns the request for a slot at a target that was not tried yet.
func (f *forwarder) slotRequest() limit.Request {
	return limit.Request{
		Workspace:  f.in.workspace,
		Kind:       f.in.route.Kind,
		Idempotent: f.in.route.Idempotent,
		Deadline:   f.in.deadline,
		Exclude:    f.tried,
	}
}

// finishWithoutSlot returns the result of a request for which no further slot is
// granted: the last result if there is one, else the error. It gives back the
// retry that was taken from the budget.
func (f *forwarder) finishWithoutSlot(err error) *attemptResult {
	if f.attempts > 0 {
		f.upstream.budget.Return()
	}
	if f.lastResult != nil {
		return f.finish(f.lastResult, retry.Decision{Outcome: f.outcome})
	}
	e := fault.From(err)
	if f.attempts > 0 {
		e = e.WithOutcome(f.outcome)
	}
	return &attemptResult{err: e, outcome: e.Outcome, releaseSlot: func(limit.Result) {}, cancel: func() {}}
}

// send makes one attempt, hedged if the route allows it, at the target of the grant.
func (f *forwarder) send(ctx context.Context, grant *limit.Grant) *attemptResult {
	a, ok := f.newAttempt(grant)
	if !ok {
		return f.targetRemoved(grant.Target)
	}
	if f.in.route.HedgeAfter > 0 && f.in.route.Idempotent && f.in.buffered {
		return f.runHedged(ctx, a)
	}
	return a.run(ctx)
}

// newAttempt returns an attempt at the target of the grant. It returns false if
// the target was removed from the settings after the grant.
func (f *forwarder) newAttempt(grant *limit.Grant) (*attempt, bool) {
	f.attempts++
	f.tried = append(f.tried, grant.Target)
	r := f.upstream.routing.Load()
	pool, ok := r.pools[grant.Target]
	if !ok {
		grant.Release(limit.Unused)
		return nil, false
	}
	return &attempt{
		upstream: f.upstream,
		in:       f.in,
		grant:    grant,
		pool:     pool,
		target:   r.targets[grant.Target],
		timeout:  f.attemptTimeout(),
	}, true
}

// targetRemoved returns the result for a target that was removed from the settings
// between the grant and the attempt.
func (f *forwarder) targetRemoved(target fleet.TargetID) *attemptResult {
	res := &attemptResult{target: target, ending: retry.NotDialled, releaseSlot: func(limit.Result) {}, cancel: func() {}}
	res.err = fault.New(fault.TargetUnreachable, "target %s was removed from the settings", target)
	return res
}

// minTimeoutFactor is the multiple of the expected service time that an attempt
// gets at least, even if that leaves little time for another one.
const minTimeoutFactor = 4

// attemptTimeout returns the timeout of the next attempt. It divides the time
// that is left among the attempts that are left, so that a target that hangs
// does not use up the whole deadline.
func (f *forwarder) attemptTimeout() time.Duration {
	timeLeft := time.Until(f.in.deadline)
	attemptsLeft := f.in.route.Attempts - f.attempts + 1
	if !f.in.route.Idempotent || attemptsLeft <= 1 {
		return timeLeft
	}
	share := max(timeLeft/time.Duration(attemptsLeft), minTimeoutFactor*f.upstream.limiter.ExpectedServiceTime(f.in.route.Kind))
	return min(timeLeft, share)
}

// decide returns whether to retry after the result, and reports the attempt to
// onAttempt.
func (f *forwarder) decide(res *attemptResult) retry.Decision {
	now := time.Now()
	d := retry.Decide(f.in.route, retry.Attempt{
		Number:         f.attempts,
		Ending:         res.ending,
		EarlierOutcome: f.outcome,
		Deadline:       f.in.deadline,
		ServiceTime:    f.upstream.limiter.ExpectedServiceTime(f.in.route.Kind),
	}, f.upstream.budget, now)
	if d.Retry && !f.in.buffered {
		// A streamed body has been read from the caller and cannot be sent again.
		f.upstream.budget.Return()
		d.Retry = false
	}
	f.outcome = d.Outcome
	f.upstream.onAttempt(AttemptReport{
		RequestID:    f.in.requestID,
		Service:      f.in.service.ID,
		Route:        f.in.route.Name,
		Target:       res.target,
		Number:       f.attempts,
		Ending:       res.ending,
		TargetResult: res.targetResult,
		Decision:     d,
		Latency:      res.latency,
	})
	return d
}

// finish sets the outcome of the request in its final result.
func (f *forwarder) finish(res *attemptResult, d retry.Decision) *attemptResult {
	res.outcome = d.Outcome
	if res.ending == retry.RefusedBeforeStart && res.err == nil {
		f.replaceRefusal(res)
	}
	if res.err != nil {
		res.err = res.err.WithOutcome(d.Outcome)
	}
	return res
}

// replaceRefusal replaces a target's refusal by an error of the daemon, whose
// problem details say that the request was not run and when it can be retried.
func (f *forwarder) replaceRefusal(res *attemptResult) {
	if res.rest != nil {
		res.discard()
		res.rest = nil
	}
	e := fault.New(fault.TargetShed, "target %s refused the request before it started it", res.target)
	if seconds, err := strconv.Atoi(res.header.Get("Retry-After")); err == nil && seconds > 0 {
		e = e.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	res.err = e
}
