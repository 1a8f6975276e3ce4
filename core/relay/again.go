package relay

import (
	"math/rand/v2"
	"time"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/memory"
)

// allowRetry reports whether the request may be sent to another target after the
// result r. The retry takes one extra attempt from the retry budget, unless r sent no
// byte: up to maxUnsentAttempts of these are replaced without using the budget.
func (x *exchange) allowRetry(r *result) bool {
	x.withheld = false
	if r.attempt.grant == nil || x.callerGone || !x.mayStart() {
		return false
	}
	if !x.route.Idempotent() && x.mayHaveRun {
		return false
	}
	if r.unsent {
		x.attemptsUnsent++
		if x.attemptsUnsent > maxUnsentAttempts || !x.timeForAttempt() {
			return false
		}
		return r.attempt.extraAt.IsZero() || x.takeBudget()
	}
	return x.takeExtraAttempt()
}

// maxUnsentAttempts is the maximum number of attempts for one request that may be
// replaced because no byte of them was sent.
const maxUnsentAttempts = 3

// timeForAttempt reports whether another target is likely to respond before the
// deadline: at least half of the mean service time must be left.
func (x *exchange) timeForAttempt() bool {
	return time.Until(x.deadline) >= x.targetPool.ServiceTime()/2
}

// takeExtraAttempt reports whether the route, the time left and the retry budget
// allow one more attempt, and takes it from the budget if so.
func (x *exchange) takeExtraAttempt() bool {
	if x.attemptsStarted-x.attemptsUnsent >= x.route.MaxAttempts || !x.timeForAttempt() {
		return false
	}
	if !x.targetPool.Saturation(x.acquireParams()).WorthAttempt(x.retryBudget.Left(time.Now())) {
		x.withheld = true
		x.count("relay_retries_withheld")
		return false
	}
	return x.takeBudget()
}

// takeBudget takes one extra attempt from the retry budget for the attempt that is started
// next, and reports whether one was available.
func (x *exchange) takeBudget() bool {
	now := time.Now()
	if !x.retryBudget.Take(now) {
		x.count("relay_retries_denied")
		return false
	}
	x.extraAt = now
	return true
}

const (
	// minPause and maxPause bound the time that a request waits before its next attempt
	// while its service is saturated.
	minPause = 50 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// pause returns how long the request waits before it is decided again whether to make a
// further attempt, or 0 if it does not wait. A request waits once, if the last attempt was
// not followed by another one because the service is saturated: for a mean service time, in
// which the targets complete what they are running, and a random part of it, so that the
// requests refused at one moment do not come back at one moment.
func (x *exchange) pause() time.Duration {
	if !x.withheld || x.paused {
		return 0
	}
	length := min(max(x.targetPool.ServiceTime(), minPause), maxPause)
	length += rand.N(length)
	if time.Until(x.deadline)-length < x.targetPool.ServiceTime()/2 {
		return 0
	}
	x.paused = true
	return length
}

// overdueFactor is the multiple of the mean service time after which a request
// counts as overdue. At a healthy target fewer than one request in fifty takes longer.
const overdueFactor = 3

// reportSlow reports the attempts in flight to the target pool: as slow on the first
// call after an attempt acquired a target, and as overdue on the second. It sends a
// hedged attempt if a target is now expected to fail, or if the attempts are overdue
// and no response has started. It returns the delay until the next call, or 0.
func (x *exchange) reportSlow() time.Duration {
	if len(x.inFlight) == 0 {
		return 0
	}
	observation := judge.Slow
	if x.slowReported {
		observation = judge.Overdue
	}
	needsHedge := x.slowReported && !x.receivingResponse()
	for t := range x.inFlight {
		if t.headDelay.Load() == 0 {
			needsHedge = t.grant.ReportPending(observation) || needsHedge
		}
	}
	if needsHedge {
		x.hedge()
	}
	if x.slowReported {
		return 0
	}
	x.slowReported = true
	return max(overdueFactor*x.targetPool.ServiceTime()-x.targetPool.SlowThreshold(), time.Millisecond)
}

// receivingResponse reports whether the response header of an attempt in flight has
// arrived, so that its body is being read.
func (x *exchange) receivingResponse() bool {
	for t := range x.inFlight {
		if t.headDelay.Load() > 0 {
			return true
		}
	}
	return false
}

// hedge starts an additional attempt of an idempotent request at another target if
// every running attempt already has a target and the retry budget allows it.
func (x *exchange) hedge() {
	if !x.route.Idempotent() || !x.mayStart() || len(x.inFlight) == 0 || len(x.running) != len(x.inFlight) {
		return
	}
	if x.targetPool.Saturation(x.acquireParams()).Saturated {
		return
	}
	// The memory of the request covers one exchange with a target at a time.
	if !x.relay.memory.Reserve(memory.Exchanges, memory.ExchangeBytes) {
		return
	}
	if !x.takeExtraAttempt() {
		x.relay.memory.Release(memory.Exchanges, memory.ExchangeBytes)
		return
	}
	x.start(memory.ExchangeBytes)
}
