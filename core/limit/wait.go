package limit

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal advises.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxRecheckDelay bounds the time between two checks of a waiter: a report or shed
	// response that arrives meanwhile may require an earlier check.
	maxRecheckDelay = time.Second
)

// acquireQueued adds the request to the queue and waits until it is granted or refused.
func (g *Limiter) acquireQueued(ctx context.Context, req Request, now time.Duration) (*Grant, error) {
	w := &waiter{req: &req, done: make(chan struct{})}
	if delay := g.admit(w, now); delay > 0 {
		return g.wait(ctx, w, now, delay)
	}
	return w.grant, w.err
}

// admit adds w to the queue and dispatches. It returns the delay after which w must be
// checked again, or 0 if w is granted or refused. While w waits, its fields grant and
// err are guarded by mu.
func (g *Limiter) admit(w *waiter, now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.deadlineOf(w.req) <= now {
		g.counts.refusedEarly.Add(1)
		w.err = fault.New(fault.DeadlineExceeded, "deadline has passed")
		return 0
	}
	if !g.currentView(now).canServe(w.req) {
		g.counts.refusedNoTarget.Add(1)
		w.err = noTarget()
		return 0
	}
	g.queue.add(w)
	g.publishLengths()
	g.dispatch(now)
	if w.finished() {
		return 0
	}
	if needed := g.expectedLatency(w); now+needed > g.deadlineOf(w.req) {
		g.counts.refusedEarly.Add(1)
		g.refuse(w, fault.New(fault.DeadlineExceeded, "deadline cannot be met: about %v needed", needed).
			WithRetryAfter(clampRetryAfter(now+needed-g.deadlineOf(w.req))))
		return 0
	}
	if g.queue.len() > g.view.Load().queueLength {
		evicted := g.queue.evictee()
		g.counts.refusedFull.Add(1)
		g.refuse(evicted, fault.New(fault.QueueFull, "%d requests wait already", g.queue.len()).
			WithRetryAfter(clampRetryAfter(g.expectedLatency(evicted))))
	}
	if w.finished() {
		return 0
	}
	return g.recheckDelay(w, now)
}

func noTarget() error {
	return fault.New(fault.NoTarget, "no target is open for this request").WithRetryAfter(maxRetryAfter)
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// wait blocks until w is granted or refused, or until ctx ends.
func (g *Limiter) wait(ctx context.Context, w *waiter, queuedAt, delay time.Duration) (*Grant, error) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			if w.grant != nil {
				w.grant.Waited = w.grant.start - queuedAt
			}
			return w.grant, w.err
		case <-ctx.Done():
			g.abandon(w)
			return nil, g.contextError(ctx)
		case <-timer.C:
			timer.Reset(g.recheck(w))
		}
	}
}

// abandon removes w from the queue, or releases the slot that it was granted meanwhile.
func (g *Limiter) abandon(w *waiter) {
	g.mu.Lock()
	waiting := g.queue.remove(w)
	if waiting {
		g.publishLengths()
		g.dispatch(g.now())
	}
	g.mu.Unlock()
	if !waiting && w.grant != nil {
		w.grant.Release(Unused)
	}
}

// recheck dispatches and refuses w if its deadline has passed. It returns the delay
// until the next check.
func (g *Limiter) recheck(w *waiter) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.dispatch(now)
	if w.finished() {
		return maxRecheckDelay
	}
	if now >= g.deadlineOf(w.req) {
		g.counts.refusedLate.Add(1)
		g.refuse(w, fault.New(fault.DeadlineExceeded, "deadline passed before a slot was free").
			WithRetryAfter(clampRetryAfter(g.expectedLatency(w))))
		return maxRecheckDelay
	}
	return g.recheckDelay(w, now)
}

func (w *waiter) finished() bool {
	return w.grant != nil || w.err != nil
}

// recheckDelay returns the time until something may change for w without a release:
// its deadline, the decay of a peer's report, the end of a halved limit, or the end of
// the reserve for orders and lookups.
func (g *Limiter) recheckDelay(w *waiter, now time.Duration) time.Duration {
	v := g.view.Load()
	recheckAt := min(g.deadlineOf(w.req), v.validUntil, now+maxRecheckDelay)
	for i := range v.entries {
		if end := time.Duration(v.entries[i].usage.shedUntil.Load()); end > now {
			recheckAt = min(recheckAt, end)
		}
	}
	if w.req.Kind == fleet.Batch {
		if end := time.Duration(g.lastInteractive.Load()) + reservePeriod; end > now {
			recheckAt = min(recheckAt, end)
		}
	}
	return max(recheckAt-now, 1)
}

// expectedLatency returns the expected time until w has its response: the time for the
// waiters ahead of it at the measured rate, and its own service time.
func (g *Limiter) expectedLatency(w *waiter) time.Duration {
	inFlight := max(g.inFlight(g.view.Load()), 1)
	rounds := time.Duration(g.queue.ahead(w) + 1)
	return rounds*g.estimate.holdTime.value()/time.Duration(inFlight) + g.estimate.serviceTime(w.req.Kind)
}

// inFlight returns the number of requests that this daemon has in flight at the targets
// of the view.
func (g *Limiter) inFlight(v *view) int {
	n := 0
	for i := range v.entries {
		n += int(v.entries[i].usage.inFlight.Load())
	}
	return n
}

// refuse ends the wait of w with err. The caller holds mu.
func (g *Limiter) refuse(w *waiter, err error) {
	g.queue.remove(w)
	g.publishLengths()
	w.err = err
	close(w.done)
}

// refuseUnservable refuses the waiters that no target of the view may serve.
func (g *Limiter) refuseUnservable() {
	v := g.view.Load()
	var unservable []*waiter
	for k := range g.queue.kinds {
		for w := range g.queue.kinds[k].inTurnOrder() {
			if !v.canServe(w.req) {
				unservable = append(unservable, w)
			}
		}
	}
	for _, w := range unservable {
		g.counts.refusedNoTarget.Add(1)
		g.refuse(w, noTarget())
	}
}

// publishLengths publishes the length of the queue to readers without mu.
func (g *Limiter) publishLengths() {
	g.waitingInteractive.Store(int64(g.queue.interactive()))
	g.waiting.Store(int64(g.queue.len()))
}

// currentView returns the view, rebuilt if a report of a peer has decayed since. The
// caller holds mu.
func (g *Limiter) currentView(now time.Duration) *view {
	if now >= g.view.Load().validUntil {
		g.rebuildView(now)
	}
	return g.view.Load()
}
