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
