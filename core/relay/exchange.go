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

// deadlineGrace is how long after the deadline a target's response is still awaited.
// The response of a target that works until its deadline arrives a moment later.
const deadlineGrace = 100 * time.Millisecond

// exchange handles one request of a caller, from its arrival until the response to
// the caller is chosen, over all attempts at targets.
type exchange struct {
	relay         *Relay
	request       *caller.Request
	route         *route.Route
	configVersion route.Version
	// workspace is the caller's workspace; nil if the route or the configuration asks for
	// no key.
	workspace *route.Workspace
	// weight is the weight of the workspace in the sharing of capacity.
	weight      float64
	service     string
	targetPool  *sched.Pool
	retryBudget *retry.WindowBudget
	id          string
	header      http.Header
	deadline    time.Time

	// results receives the result of each attempt, granted each attempt that has
	// acquired a target.
	results chan *result
	granted chan *attempt
	// finished is set once no further result is awaited; mu guards it.
	mu       sync.Mutex
	finished bool
	// running holds the attempts without a result, inFlight those of them that are
	// known to have acquired a target.
	running         map[*attempt]bool
	inFlight        map[*attempt]bool
	tried           []sched.Key
	attemptsStarted int
	// attemptsUnsent is the number of attempts of which no byte reached a target. They
	// count neither towards the route's attempt limit nor towards the retry budget.
	attemptsUnsent int
	// mayHaveRun is set if a target may have run the request.
	mayHaveRun bool
	// callerGone is set if the caller disconnected while a target may be running a
	// non-idempotent request; the attempt goes on but is not retried.
	callerGone bool
	// best is the failed result that the response is based on if no attempt succeeds.
	best *result
	// extraAt is when an extra attempt was taken from the retry budget for the attempt that
	// is started next; zero if it needs none.
	extraAt time.Time
	// withheld is set if no further attempt followed the last result because the service is
	// saturated, paused once the request has waited for that reason. resume fires when the
	// wait ends.
	withheld bool
	paused   bool
	resume   <-chan time.Time
	// lastResult is the result after which the request waits.
	lastResult *result
	// slowReported is set once the attempts in flight were reported as slow.
	slowReported bool
}

// run makes attempts until there is a response for the caller or no further attempt
// is allowed.
func (x *exchange) run(ctx context.Context) *caller.Response {
	defer x.finish()
	deadlineTimer := time.NewTimer(time.Until(x.deadline) + deadlineGrace)
	defer deadlineTimer.Stop()
	slowTimer := time.NewTimer(x.targetPool.SlowThreshold())
	defer slowTimer.Stop()
	callerDone := ctx.Done()
	shutdownBegan := x.relay.shutdown.began
	var recheck <-chan time.Time
	x.start(0)
	for {
		select {
		case t := <-x.granted:
			x.inFlight[t] = true
			x.tried = append(x.tried, t.grant.Target.Key)
			x.slowReported = false
			slowTimer.Reset(x.targetPool.SlowThreshold())
		case r := <-x.results:
			if resp := x.handleResult(r); resp != nil {
				return resp
			}
		case <-x.resume:
			x.resume = nil
			if resp := x.endPause(); resp != nil {
				return resp
			}
		case <-slowTimer.C:
			if next := x.reportSlow(); next > 0 {
				slowTimer.Reset(next)
			}
		case <-callerDone:
			if x.route.Idempotent() || len(x.inFlight) == 0 {
				x.discardBest()
				return x.fail(fault.CallerGone, "caller closed the connection")
			}
			x.callerGone = true
			callerDone = nil
		case <-shutdownBegan:
			shutdownBegan = nil
			times := x.applyShutdown()
			recheck = time.After(time.Until(times.recheck))
			deadlineTimer.Reset(time.Until(times.expiry) + deadlineGrace)
		case <-recheck:
			x.endUselessWaits()
		case <-deadlineTimer.C:
			return x.expire()
		}
	}
}

// start starts an attempt; its result arrives on x.results. reserved is the number of bytes
// that were reserved for it and are released at its end.
func (x *exchange) start(reserved int64) {
	ctx, cancel := context.WithDeadline(context.Background(), x.deadline.Add(deadlineGrace))
	waitCtx, stopWaiting := context.WithCancel(ctx)
	x.attemptsStarted++
	t := &attempt{
		exchange:      x,
		ctx:           ctx,
		cancel:        cancel,
		waitCtx:       waitCtx,
		stopWaiting:   stopWaiting,
		startedAt:     time.Now(),
		extraAt:       x.extraAt,
		results:       x.results,
		acquireParams: x.acquireParams(),
	}
	x.extraAt = time.Time{}
	t.reserved.Store(reserved)
	x.running[t] = true
	go t.run()
}

// acquireParams returns the description of the next attempt for the choice of its target.
func (x *exchange) acquireParams() sched.Request {
	return sched.Request{
		Idempotent:        x.route.Idempotent(),
		FinalAttempt:      !x.canRetry(),
		Priority:          x.route.Priority,
		Workspace:         x.workspaceName(),
		WorkspacePriority: x.workspacePriority(),
		Weight:            x.weight,
		Deadline:          x.deadline,
		Objective:         x.objective(),
		Bytes:             x.relay.sizes.mean(x.route.Name),
		Tried:             x.tried,
	}
}

// workspaceName returns the name of the caller's workspace, empty if there is none.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// workspacePriority returns the priority of the workspace, or that of the route if there
// is none.
func (x *exchange) workspacePriority() int {
	if x.workspace == nil || !x.workspace.HasPriority {
		return x.route.Priority
	}
	return x.workspace.Priority
}

// canRetry reports whether the request could be retried if the attempt that is about
// to start fails.
func (x *exchange) canRetry() bool {
	return x.route.Idempotent() && x.attemptsStarted-x.attemptsUnsent < x.route.MaxAttempts && x.retryBudget.Available(time.Now())
}

// objective returns the time by which the caller should have its response; zero if
// the route has no objective.
func (x *exchange) objective() time.Time {
	if x.route.Objective == 0 {
		return time.Time{}
	}
	return x.request.ReceivedAt.Add(x.route.Objective)
}

// deliver hands the result of an attempt over to [exchange.run]. A response that arrives
// after the exchange has finished is discarded.
func (x *exchange) deliver(r *result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.finished {
		x.results <- r
		return
	}
	if r.response != nil {
		r.response.discard(judge.Served)
	}
}

// finish cancels the remaining attempts and discards responses that are not relayed.
func (x *exchange) finish() {
	x.cancelRunning()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
	for len(x.results) > 0 {
		if r := <-x.results; r.response != nil {
			r.response.discard(judge.Served)
		}
	}
}

// cancelRunning cancels the attempts whose results are no longer awaited. Before the
// deadline, a non-idempotent request that a target may be running is not cancelled.
func (x *exchange) cancelRunning() {
	for t := range x.running {
		if x.route.Idempotent() || !x.inFlight[t] || time.Now().After(x.deadline) {
			t.cancel()
		}
	}
}
