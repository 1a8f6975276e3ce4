package proxy

import (
	"context"
	"time"

	"wisteriarelay.example/core/retry"
)

// hedgedAttempt is one of the concurrent attempts of a hedged request.
type hedgedAttempt struct {
	index   int
	attempt *attempt
	results chan<- hedgeResult
}

// hedgeResult is the result of the hedged attempt with the given index.
type hedgeResult struct {
	index  int
	result *attemptResult
}

// run makes the attempt and sends its result.
func (h *hedgedAttempt) run(ctx context.Context) {
	h.results <- hedgeResult{index: h.index, result: h.attempt.run(ctx)}
}

// runHedged runs the attempt and, if it is slow, a second one at another target.
// It returns the first success and cancels the other attempt.
func (f *forwarder) runHedged(ctx context.Context, first *attempt) *attemptResult {
	r := &hedgedRequest{forwarder: f, results: make(chan hedgeResult, maxHedgedAttempts), started: time.Now()}
	r.start(ctx, first)
	return r.wait(ctx)
}

// maxHedgedAttempts is the number of concurrent attempts of a hedged request.
const maxHedgedAttempts = 2

// hedgedRequest is a request with its concurrent attempts.
type hedgedRequest struct {
	forwarder *forwarder
	results   chan hedgeResult
	// cancels holds the cancel function of each started attempt, by index.
	cancels []context.CancelFunc
	// ended is the number of attempts that have ended.
	ended   int
	started time.Time
}

// start runs the attempt in a goroutine.
func (r *hedgedRequest) start(ctx context.Context, a *attempt) {
	attemptCtx, cancel := context.WithCancel(ctx)
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	go (&hedgedAttempt{index: index, attempt: a, results: r.results}).run(attemptCtx)
}

// wait returns the result of the first successful attempt, or of the last one if
// all failed.
func (r *hedgedRequest) wait(ctx context.Context) *attemptResult {
	timer := time.NewTimer(r.forwarder.in.route.HedgeAfter)
	defer timer.Stop()
	for {
		select {
		case done := <-r.results:
			r.ended++
			if done.result.ending == retry.OK || r.ended == len(r.cancels) {
				return r.finish(done)
			}
			done.result.discard()
			r.cancels[done.index]()
		case <-timer.C:
			if delay := r.startSecond(ctx); delay > 0 {
				timer.Reset(delay)
			}
		}
	}
}

// finish returns the winning result. It cancels the other attempts, whose results
// are discarded in the background.
func (r *hedgedRequest) finish(winner hedgeResult) *attemptResult {
	for i, cancel := range r.cancels {
		if i != winner.index {
			cancel()
		}
	}
	if pending := len(r.cancels) - r.ended; pending > 0 {
		go (&resultDiscarder{results: r.results, count: pending}).run()
	}
	res := winner.result
	cancelAttempt := res.cancel
	res.cancel = func() {
		cancelAttempt()
		r.cancels[winner.index]()
	}
	if res.rest == nil {
		res.cancel()
	}
	return res
}

// startSecond starts a second attempt if the retry budget allows it and a slot
// is free. It returns the delay after which to call it again; 0 means never.
func (r *hedgedRequest) startSecond(ctx context.Context) time.Duration {
	f := r.forwarder
	h := retry.DecideHedge(f.in.route, retry.Pending{
		Started:     r.started,
		Copies:      len(r.cancels),
		Deadline:    f.in.deadline,
		ServiceTime: f.upstream.limiter.ExpectedServiceTime(f.in.route.Kind),
	}, f.upstream.budget, time.Now())
	if !h.Send {
		return h.Wait
	}
	req := f.slotRequest()
	req.NoWait = true
	grant, err := f.upstream.limiter.Acquire(ctx, req)
	if err != nil {
		f.upstream.budget.Return()
		return 0
	}
	if a, ok := f.newAttempt(grant); ok {
		a.timeout = time.Until(f.in.deadline)
		r.start(ctx, a)
	}
	return 0
}

// resultDiscarder waits for the other attempts and discards their results, which
// releases their slots and connections.
type resultDiscarder struct {
	results <-chan hedgeResult
	count   int
}

// run ends after the last result.
func (d *resultDiscarder) run() {
	for range d.count {
		(<-d.results).result.discard()
	}
}
