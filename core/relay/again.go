package relay

import (
	"time"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/memory"
)

// allowRetry reports whether the request may be sent to another target after the
// result r. The retry takes one extra attempt from the retry budget, unless r sent no
// byte: up to maxUnsentAttempts of these are replaced without using the budget.
func (x *exchange) allowRetry(r *result) bool {
	if r.attempt.grant == nil || x.callerGone || !x.mayStart() {
		return false
	}
	if !x.route.Idempotent() && x.mayHaveRun {
		return false
	}
	if r.unsent {
		x.attemptsUnsent++
		return x.attemptsUnsent <= maxUnsentAttempts && x.timeForAttempt()
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
	return x.retryBudget.Take(time.Now())
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
	// The memory of the request covers one exchange with a target at a time.
	if !x.relay.reserveExchange() {
		return
	}
	if !x.takeExtraAttempt() {
		x.relay.memory.Release(memory.Exchanges, memory.ExchangeBytes)
		return
	}
	x.start(memory.ExchangeBytes)
}

// reserveExchange reserves the memory of an exchange with a target beyond the one that
// belongs to the request, and reports whether it succeeded.
func (r *Relay) reserveExchange() bool {
	return r.memory.Reserve(memory.Exchanges, memory.ExchangeBytes)
}
