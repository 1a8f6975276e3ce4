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

// exchange is the handling of one request over all its attempts.
type exchange struct {
	carrier *Carrier
	in      *inbound
	tried   []fleet.TargetID
	number  int
	outcome fault.Outcome
	last    *answer
}

// run tries targets until one answer stands or nothing more is allowed.
func (x *exchange) run(ctx context.Context) *answer {
	x.carrier.budget.Request()
	for {
		grant, err := x.carrier.gate.Acquire(ctx, x.ask())
		if err != nil {
			return x.withoutGrant(err)
		}
		if x.last != nil {
			x.last.discard()
		}
		a := x.send(ctx, grant)
		decision := x.decide(a)
		if !decision.Retry {
			return x.finish(a, decision)
		}
		x.last = a
		if !a.whole() && a.err == nil {
			// The body is not in memory, so keeping it would hold the target's slot.
			a.discard()
			x.last = nil
		}
	}
}

func (x *exchange) ask() limit.Ask {
	return limit.Ask{
		Workspace:  x.in.workspace,
		Kind:       x.in.route.Kind,
		Idempotent: x.in.route.Idempotent,
		Deadline:   x.in.deadline,
		Exclude:    x.tried,
	}
}

// withoutGrant ends the exchange because no target can take the request. An
// earlier response stands if there is one.
func (x *exchange) withoutGrant(err error) *answer {
	if x.number > 0 {
		x.carrier.budget.Return()
	}
	if x.last != nil {
		return x.finish(x.last, retry.Decision{Outcome: x.outcome})
	}
	e := fault.From(err)
	if x.number > 0 {
		e = e.WithOutcome(x.outcome)
	}
	return &answer{err: e, outcome: e.Outcome, settle: func(limit.Result) {}, cancel: func() {}}
}

func (x *exchange) send(ctx context.Context, grant *limit.Grant) *answer {
	t, ok := x.attempt(grant)
	if !ok {
		return x.gone(grant.Target)
	}
	if x.in.route.HedgeAfter > 0 && x.in.route.Idempotent && x.in.buffered {
		return x.hedge(ctx, t)
	}
	return t.run(ctx)
}

// attempt prepares a request to the target of the grant; ok is false if the
// target was removed from the settings since the grant.
func (x *exchange) attempt(grant *limit.Grant) (*attempt, bool) {
	x.number++
	x.tried = append(x.tried, grant.Target)
	r := x.carrier.routing.Load()
	pool, ok := r.pools[grant.Target]
	if !ok {
		grant.Release(limit.Unused)
		return nil, false
	}
	return &attempt{
		carrier: x.carrier,
		in:      x.in,
		grant:   grant,
		pool:    pool,
		target:  r.targets[grant.Target],
		limit:   x.attemptTime(),
	}, true
}

// gone is the answer for a target that was removed from the settings between
// the grant and the attempt.
func (x *exchange) gone(target fleet.TargetID) *answer {
	a := &answer{target: target, ending: retry.NotDialled, settle: func(limit.Result) {}, cancel: func() {}}
	a.err = fault.New(fault.TargetUnreachable, "target %s was removed from the settings", target)
	return a
}

// expectedMultiple is the multiple of the usual service time that one attempt
// gets at least, even if that leaves little time for another one.
const expectedMultiple = 4

// attemptTime shares the remaining time among the attempts that are left, so
// that a target that hangs does not use up the whole deadline.
func (x *exchange) attemptTime() time.Duration {
	left := time.Until(x.in.deadline)
	attempts := x.in.route.Attempts - x.number + 1
	if !x.in.route.Idempotent || attempts <= 1 {
		return left
	}
	share := max(left/time.Duration(attempts), expectedMultiple*x.carrier.gate.Expected(x.in.route.Kind))
	return min(left, share)
}

func (x *exchange) decide(a *answer) retry.Decision {
	now := time.Now()
	d := retry.Decide(x.in.route, retry.Attempt{
		Number:   x.number,
		Ending:   a.ending,
		Earlier:  x.outcome,
		Deadline: x.in.deadline,
		Expected: x.carrier.gate.Expected(x.in.route.Kind),
	}, x.carrier.budget, now)
	if d.Retry && !x.in.buffered {
		// A streamed body has been consumed and cannot be sent again.
		x.carrier.budget.Return()
		d.Retry = false
	}
	x.outcome = d.Outcome
	x.carrier.sink(AttemptMsg{
		RequestID: x.in.requestID,
		Service:   x.in.service.ID,
		Route:     x.in.route.Name,
		Target:    a.target,
		Number:    x.number,
		Ending:    a.ending,
		Result:    a.result,
		Decision:  d,
		Latency:   a.latency,
	})
	return d
}

func (x *exchange) finish(a *answer, d retry.Decision) *answer {
	a.outcome = d.Outcome
	if a.ending == retry.RefusedBeforeStart && a.err == nil {
		x.replaceRefusal(a)
	}
	if a.err != nil {
		a.err = a.err.WithOutcome(d.Outcome)
	}
	return a
}

// replaceRefusal turns a target's refusal into a failure of the daemon, whose
// problem body says that the request was not run and when to try again.
func (x *exchange) replaceRefusal(a *answer) {
	if a.rest != nil {
		a.discard()
		a.rest = nil
	}
	e := fault.New(fault.TargetShed, "target %s refused the request before it started it", a.target)
	if seconds, err := strconv.Atoi(a.header.Get("Retry-After")); err == nil && seconds > 0 {
		e = e.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	a.err = e
}
