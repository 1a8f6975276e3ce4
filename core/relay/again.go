package relay

import (
	"time"

	"wisteriarelay.example/core/judge"
)

// mayRetry decides whether the request goes to another target.
func (x *exchange) mayRetry(r *result) bool {
	if r.attempt.grant == nil || x.left {
		return false
	}
	if !x.route.Idempotent() && x.mayHaveRun {
		return false
	}
	if r.unsent {
		x.unsent++
		return x.unsent <= maxUnsent && x.timeForAnother()
	}
	return x.mayStart()
}

// maxUnsent bounds the targets that are tried for one request without reaching them.
const maxUnsent = 3

// timeForAnother reports whether another target could answer until the deadline.
func (x *exchange) timeForAnother() bool {
	return time.Until(x.deadline) >= x.pool.ServiceTime()/2
}

// mayStart reports whether the route, the time left and the budget allow one more attempt.
func (x *exchange) mayStart() bool {
	if x.started-x.unsent >= x.route.Attempts || !x.timeForAnother() {
		return false
	}
	return x.window.Take(time.Now())
}

// overdueFactor is the multiple of the mean service time after which a request
// is overdue; fewer than one in fifty takes longer at a target that is well.
const overdueFactor = 3

// impatient tells the targets' pool that the attempts that run are slow, and then
// that they are overdue. It returns the time until it is to be called again, or 0.
func (x *exchange) impatient() time.Duration {
	if len(x.sent) == 0 {
		return 0
	}
	result := judge.Slow
	if x.slow {
		result = judge.Overdue
	}
	lost := x.slow && !x.answering()
	for t := range x.sent {
		if t.headAt.Load() == 0 {
			lost = t.grant.Report(result) || lost
		}
	}
	if lost {
		x.hedge()
	}
	if x.slow {
		return 0
	}
	x.slow = true
	return max(overdueFactor*x.pool.ServiceTime()-x.pool.SlowAfter(), time.Millisecond)
}

// answering reports whether the response of an attempt is being read.
func (x *exchange) answering() bool {
	for t := range x.sent {
		if t.headAt.Load() > 0 {
			return true
		}
	}
	return false
}

// hedge sends an idempotent request to a second target as well.
func (x *exchange) hedge() {
	if x.route.Idempotent() && len(x.sent) > 0 && len(x.running) == len(x.sent) && x.mayStart() {
		x.start()
	}
}
