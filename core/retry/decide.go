package retry

import (
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// nonIdempotentAttempts is the number of targets tried for a non-idempotent request as long
// as each attempt ends untouched. Such a route has `attempts` 1, which would
// otherwise turn a connection refused by one target into a failed order.
const nonIdempotentAttempts = 2

// Attempt describes an attempt that has ended.
type Attempt struct {
	// Number counts the attempts of the request, hedges included, from 1.
	Number int
	Ending Ending
	// Earlier is the merged outcome of the attempts before this one; empty for the first.
	Earlier fault.Outcome
	// Deadline is the deadline of the request; zero means none.
	Deadline time.Time
	// Expected is the measured service time, 0 if unknown; less time left than this
	// rules out another attempt.
	Expected time.Duration
	// ResponseStarted says that response bytes have been passed to the caller, after which
	// nothing can be repeated.
	ResponseStarted bool
}

// Reason says why a decision was taken.
type Reason string

// The reasons of a decision.
const (
	Retried       Reason = "retried"
	Finished      Reason = "finished"
	NotRepeatable Reason = "not-repeatable"
	NotIdempotent Reason = "not-idempotent"
	NoAttemptLeft Reason = "no-attempt-left"
	NoTimeLeft    Reason = "no-time-left"
	BudgetSpent   Reason = "budget-spent"
)

// Decision says what follows a failed attempt.
type Decision struct {
	// Retry allows one more attempt at another target; its retry is taken from the budget.
	Retry  bool
	Reason Reason
	// Outcome is what is certain about the request if no further attempt follows.
	Outcome fault.Outcome
	// Kind is the error kind of the request if no further attempt follows.
	Kind fault.Kind
}

// Decide returns what the end of an attempt allows on the route. It takes one
// retry from the budget exactly when the decision is to retry.
func Decide(route *fleet.Route, a Attempt, b *Budget, now time.Time) Decision {
	row := effectiveEnding(route, a.Ending).Row()
	d := Decision{Outcome: mergeEarlier(a.Earlier, row.Outcome), Kind: row.Kind}
	d.Reason = reasonFor(route, a, row, now)
	if d.Reason == Retried && !b.Take(now) {
		d.Reason = BudgetSpent
	}
	d.Retry = d.Reason == Retried
	return d
}

// effectiveEnding drops the promise of a refusal on a route without a refusal rule:
// only that rule states that the target has not started.
func effectiveEnding(route *fleet.Route, e Ending) Ending {
	if e == RefusedBeforeStart && route.Refusal == nil {
		return FailedStatus
	}
	return e
}

func mergeEarlier(earlier, last fault.Outcome) fault.Outcome {
	if earlier == "" {
		return last
	}
	return Merge(earlier, last)
}

func reasonFor(route *fleet.Route, a Attempt, row Row, now time.Time) Reason {
	most := route.Attempts
	if !route.Idempotent {
		most = max(most, nonIdempotentAttempts)
	}
	switch {
	case a.Ending == OK:
		return Finished
	case !row.RetryIdempotent || a.ResponseStarted:
		return NotRepeatable
	case !route.Idempotent && (!row.RetryNonIdempotent || mergeEarlier(a.Earlier, row.Outcome) != fault.NotRun):
		return NotIdempotent
	case a.Number >= most:
		return NoAttemptLeft
	case !a.Deadline.IsZero() && a.Deadline.Sub(now) <= a.Expected:
		return NoTimeLeft
	default:
		return Retried
	}
}

// Pending describes a request that waits for its first response.
type Pending struct {
	// Started is when the first copy was sent.
	Started time.Time
	// Copies is the number of copies sent, the first included.
	Copies   int
	Deadline time.Time
	// Expected is the measured service time, 0 if unknown.
	Expected time.Duration
}

// Hedge says whether a second copy is sent.
type Hedge struct {
	// Send allows one copy now; its retry is taken from the budget.
	Send bool
	// Wait is the time after which to ask again; 0 means never.
	Wait time.Duration
}

// DecideHedge returns whether a second copy of a pending request is sent now, later
// or never. Only idempotent requests are hedged, and at most once.
func DecideHedge(route *fleet.Route, p Pending, b *Budget, now time.Time) Hedge {
	if !route.Idempotent || route.HedgeAfter <= 0 || p.Copies > 1 {
		return Hedge{}
	}
	due := p.Started.Add(route.HedgeAfter)
	if !p.Deadline.IsZero() && p.Deadline.Sub(due) <= p.Expected {
		return Hedge{}
	}
	if wait := due.Sub(now); wait > 0 {
		return Hedge{Wait: wait}
	}
	return Hedge{Send: b.Take(now)}
}
