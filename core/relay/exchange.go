package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/retry"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
)

// answerSlack is how long after the deadline a target's answer is still waited
// for: a target that keeps its deadline answers a moment after it.
const answerSlack = 100 * time.Millisecond

// exchange is the handling of one request over all its attempts.
type exchange struct {
	relay    *Relay
	request  *caller.Request
	route    *route.Route
	version  route.Version
	service  string
	pool     *sched.Pool
	window   *retry.Window
	id       string
	header   http.Header
	deadline time.Time

	results chan *result
	granted chan *attempt
	// over says that no further result is awaited.
	mu   sync.Mutex
	over bool
	// running are the attempts without a result; sent those that have a target.
	running map[*attempt]bool
	sent    map[*attempt]bool
	tried   []sched.Key
	started int
	// unsent is the number of attempts of which no byte reached a target. They
	// count neither against the route's attempts nor against the budget.
	unsent int
	// mayHaveRun says that a target may have run the request.
	mayHaveRun bool
	// left says that the caller has gone while a target may be at work.
	left bool
	last *result
	// slow says that the attempts that run were reported as slow.
	slow bool
}

// run tries targets until one response stands or nothing more is allowed.
func (x *exchange) run(ctx context.Context) *caller.Answer {
	defer x.finish()
	limit := time.NewTimer(time.Until(x.deadline) + answerSlack)
	defer limit.Stop()
	patience := time.NewTimer(x.pool.SlowAfter())
	defer patience.Stop()
	gone := ctx.Done()
	x.start()
	for {
		select {
		case t := <-x.granted:
			x.sent[t] = true
			x.tried = append(x.tried, t.grant.Target.Key)
			x.slow = false
			patience.Reset(x.pool.SlowAfter())
		case r := <-x.results:
			if a := x.take(r); a != nil {
				return a
			}
		case <-patience.C:
			if next := x.impatient(); next > 0 {
				patience.Reset(next)
			}
		case <-gone:
			if x.route.Idempotent() || len(x.sent) == 0 {
				x.drop()
				return x.fail(fault.CallerGone, "caller left")
			}
			x.left = true
			gone = nil
		case <-limit.C:
			return x.expire()
		}
	}
}

func (x *exchange) start() {
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline.Add(answerSlack))
	x.started++
	t := &attempt{
		exchange: x,
		ctx:      ctx,
		cancel:   cancel,
		started:  time.Now(),
		results:  x.results,
		ask: sched.Ask{
			Idempotent: x.route.Idempotent(),
			Last:       !x.repeatable(),
			Priority:   x.route.Priority,
			Deadline:   x.deadline,
			Objective:  x.objective(),
			Bytes:      x.relay.sizes.mean(x.route.Name),
			Tried:      x.tried,
		},
	}
	x.running[t] = true
	go t.run()
}

// repeatable reports whether the request could be sent once more after the
// attempt that is about to start.
func (x *exchange) repeatable() bool {
	return x.route.Idempotent() && x.started-x.unsent < x.route.Attempts && x.window.Left(time.Now())
}

// objective returns when the answer should have arrived; zero if the route states none.
func (x *exchange) objective() time.Time {
	if x.route.Objective == 0 {
		return time.Time{}
	}
	return x.request.Received.Add(x.route.Objective)
}

// deliver hands over the result of an attempt. A response that comes after the
// final answer is dropped.
func (x *exchange) deliver(r *result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.over {
		x.results <- r
		return
	}
	if r.response != nil {
		r.response.discard(judge.Served)
	}
}

// finish ends what runs beside the final answer.
func (x *exchange) finish() {
	x.cancelRunning()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.over = true
	for len(x.results) > 0 {
		if r := <-x.results; r.response != nil {
			r.response.discard(judge.Served)
		}
	}
}

// cancelRunning ends the attempts whose results are not awaited any more. A
// non-idempotent request that a target may be working on is left to end.
func (x *exchange) cancelRunning() {
	for t := range x.running {
		if x.route.Idempotent() || !x.sent[t] || time.Now().After(x.deadline) {
			t.cancel()
		}
	}
}

// take handles the result of an attempt and returns the final answer if there is one.
func (x *exchange) take(r *result) *caller.Answer {
	if r.attempt.grant != nil && !x.sent[r.attempt] {
		x.tried = append(x.tried, r.attempt.grant.Target.Key)
	}
	delete(x.running, r.attempt)
	delete(x.sent, r.attempt)
	x.mayHaveRun = x.mayHaveRun || !r.notRun
	x.relay.note(x, r)
	if r.response != nil && r.verdict == judge.Served {
		x.drop()
		return x.pass(r.response)
	}
	if x.tellsMore(r) {
		x.drop()
		x.last = r
	}
	if x.mayRetry(r) {
		x.start()
		return nil
	}
	if len(x.running) > 0 {
		return nil
	}
	return x.conclude()
}

// drop frees the response that would have been passed on for want of a better one.
func (x *exchange) drop() {
	if x.last != nil && x.last.response != nil {
		x.last.response.discard(judge.Nothing)
		x.last = nil
	}
}

// tellsMore reports whether the result is a better answer than the last one: a
// response of a target comes before a failure, and that before the lack of a target.
func (x *exchange) tellsMore(r *result) bool {
	switch {
	case x.last == nil || r.response != nil:
		return true
	case x.last.response != nil:
		return false
	default:
		return r.attempt.grant != nil
	}
}

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

// conclude answers after the last attempt has failed.
func (x *exchange) conclude() *caller.Answer {
	switch {
	case x.last.response != nil:
		return x.pass(x.last.response)
	case !x.mayHaveRun:
		kind := x.last.kind
		if kind.Answer().Status != http.StatusServiceUnavailable {
			kind = fault.NoTarget
		}
		return x.fail(kind, x.last.err.Error())
	case x.last.kind == fault.TargetTimeout:
		return x.fail(fault.TargetTimeout, x.last.err.Error())
	default:
		return x.fail(fault.TargetProtocol, x.last.err.Error())
	}
}

// expire answers at the deadline. It ends the attempts and waits for their
// results first: after a pause of the process an attempt may have sent the request
// without this being known here, and the answer must not promise that it did not run.
func (x *exchange) expire() *caller.Answer {
	for t := range x.sent {
		t.grant.Settle(judge.Broken, 0)
	}
	for t := range x.running {
		t.cancel()
	}
	for len(x.running) > 0 {
		r := <-x.results
		delete(x.running, r.attempt)
		x.mayHaveRun = x.mayHaveRun || !r.notRun
		if r.response != nil {
			x.drop()
			return x.pass(r.response)
		}
	}
	x.drop()
	if x.mayHaveRun {
		return x.fail(fault.TargetTimeout, "no answer until the deadline")
	}
	return x.fail(fault.QueueFull, "no target had room until the deadline")
}

// pass returns a target's response unchanged.
func (x *exchange) pass(r *response) *caller.Answer {
	h := forwardable(r.header)
	x.relay.sizes.add(x.route.Name, int64(len(x.request.Body))+max(r.length, int64(len(r.body))))
	x.relay.logAnswer(x, r.status, "")
	a := &caller.Answer{Status: r.status, Header: h, Body: r.body, Length: r.length}
	if r.rest != nil {
		a.Rest = r.rest
	}
	a.Done = func() { r.memory.give(r.held) }
	return a
}

// fail returns an answer of the relay's own.
func (x *exchange) fail(kind fault.Kind, why string) *caller.Answer {
	a := ownAnswer(kind)
	x.relay.logAnswer(x, a.Status, why)
	return a
}
