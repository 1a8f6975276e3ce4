package retry

import (
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// nonIdempotentAttempts is the minimum limit on attempts for a non-idempotent request
// as long as no attempt was run. Its route has `attempts` 1, with which a single
// refused connection would fail a request such as an order.
const nonIdempotentAttempts = 2

// Attempt describes an attempt that has ended.
type Attempt struct {
	// Number is the number of the attempt, from 1; hedged attempts count.
	Number int
	Ending Ending
	// EarlierOutcome is the merged outcome of the earlier attempts; empty for the first.
	EarlierOutcome fault.Outcome
	// Deadline is the deadline of the request; zero if it has none.
	Deadline time.Time
	// ServiceTime is the measured service time, 0 if unknown. No further attempt is made
	// if the time left is not longer than this.
	ServiceTime time.Duration
	// ResponseStarted is set if response bytes were sent to the caller, after which the
	// request cannot be retried.
	ResponseStarted bool
}

// Reason is the reason for a decision.
type Reason string

// The reasons for a decision.
const (
	Retried       Reason = "retried"
	Finished      Reason = "finished"
	NotRepeatable Reason = "not-repeatable"
	NotIdempotent Reason = "not-idempotent"
	NoAttemptLeft Reason = "no-attempt-left"
	NoTimeLeft    Reason = "no-time-left"
	BudgetSpent   Reason = "budget-spent"
)

// Decision says whether an attempt is followed by a retry.
type Decision struct {
	// Retry is set if another target may be tried; the retry has been taken from the
	// budget.
	Retry  bool
	Reason Reason
	// Outcome is the outcome of the request if no further attempt follows.
	Outcome fault.Outcome
	// Kind is the error kind of the request if no further attempt follows.
	Kind fault.Kind
}

// Decide returns whether to retry a request on the route after an attempt has ended.
// It takes one retry from the budget if and only if the decision is to retry.
func Decide(route *fleet.Route, a Attempt, b *TokenBudget, now time.Time) Decision {
	info := effectiveEnding(route, a.Ending).Info()
	d := Decision{Outcome: mergeEarlier(a.EarlierOutcome, info.Outcome), Kind: info.Kind}
	d.Reason = reasonFor(route, a, info, now)
	if d.Reason == Retried && !b.Take(now) {
		d.Reason = BudgetSpent
	}
	d.Retry = d.Reason == Retried
	return d
}

// effectiveEnding returns the ending on which the decision is based. A refusal counts
// as RefusedBeforeStart only on a route with a refusal rule, because only that rule
// guarantees that the target did not start to run the request.
func effectiveEnding(route *fleet.Route, e Ending) Ending {
	if e == RefusedBeforeStart && route.Refusal == nil {
		return FailedStatus
	}
	return e
}

// mergeEarlier merges the outcome of the last attempt into that of the earlier ones,
// if there are any.
func mergeEarlier(earlier, last fault.Outcome) fault.Outcome {
	if earlier == "" {
		return last
	}
	return MergeOutcomes(earlier, last)
}

// reasonFor returns Retried if everything but the budget allows another attempt, or
// else the reason why none is made.
func reasonFor(route *fleet.Route, a Attempt, info EndingInfo, now time.Time) Reason {
	maxAttempts := route.Attempts
	if !route.Idempotent {
		maxAttempts = max(maxAttempts, nonIdempotentAttempts)
	}
	switch {
	case a.Ending == OK:
		return Finished
	case !info.RetryIdempotent || a.ResponseStarted:
		return NotRepeatable
	case !route.Idempotent && (!info.RetryNonIdempotent || mergeEarlier(a.EarlierOutcome, info.Outcome) != fault.NotRun):
		return NotIdempotent
	case a.Number >= maxAttempts:
		return NoAttemptLeft
	case !a.Deadline.IsZero() && a.Deadline.Sub(now) <= a.ServiceTime:
		return NoTimeLeft
	default:
		return Retried
	}
}

// Pending describes a request that has not received a response yet.
type Pending struct {
	// Started is the time at which the first copy was sent.
	Started time.Time
	// Copies is the number of copies of the request sent so far, at least 1.
	Copies   int
	Deadline time.Time
	// ServiceTime is the measured service time, 0 if unknown.
	ServiceTime time.Duration
}

// Hedge says whether a hedged request, a second copy of a pending one, is sent.
type Hedge struct {
	// Send is set if the second copy may be sent now; a retry has been taken from the
	// budget for it.
	Send bool
	// Wait is the delay after which to call DecideHedge again; 0 means never.
	Wait time.Duration
}

// DecideHedge returns whether to send a second copy of a pending request now, later or
// never. Only idempotent requests are hedged, and at most once.
func DecideHedge(route *fleet.Route, p Pending, b *TokenBudget, now time.Time) Hedge {
	if !route.Idempotent || route.HedgeAfter <= 0 || p.Copies > 1 {
		return Hedge{}
	}
	due := p.Started.Add(route.HedgeAfter)
	if !p.Deadline.IsZero() && p.Deadline.Sub(due) <= p.ServiceTime {
		return Hedge{}
	}
	if wait := due.Sub(now); wait > 0 {
		return Hedge{Wait: wait}
	}
	return Hedge{Send: b.Take(now)}
}
