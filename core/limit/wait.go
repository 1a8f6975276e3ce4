package limit

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

const (
	// retryLeast and retryMost bound the advised wait of a refusal.
	retryLeast = 50 * time.Millisecond
	retryMost  = 5 * time.Second
	// idleCheck bounds the sleep of a waiter: a report or shed response that comes
	// meanwhile may set an earlier time to look again.
	idleCheck = time.Second
)

// enter queues the request, serves the queue and refuses or waits.
func (g *Gate) enter(ctx context.Context, ask Ask, now time.Duration) (*Grant, error) {
	w := &waiter{ask: &ask, done: make(chan struct{})}
	if sleep := g.admit(w, now); sleep > 0 {
		return g.wait(ctx, w, now, sleep)
	}
	return w.grant, w.err
}

// admit queues w and serves the queue. It returns how long until the queue must be
// looked at again for w, or 0 if w is granted or refused. While w waits, its grant
// and error belong to the holder of mu.
func (g *Gate) admit(w *waiter, now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.until(w.ask) <= now {
		g.counts.refusedEarly.Add(1)
		w.err = fault.New(fault.DeadlineExceeded, "deadline has passed")
		return 0
	}
	if !g.fresh(now).usable(w.ask) {
		g.counts.refusedNoTarget.Add(1)
		w.err = noTarget()
		return 0
	}
	g.queue.add(w)
	g.recount()
	g.dispatch(now)
	if w.finished() {
		return 0
	}
	if need := g.need(w); now+need > g.until(w.ask) {
		g.counts.refusedEarly.Add(1)
		g.refuse(w, fault.New(fault.DeadlineExceeded, "deadline cannot be met: about %v needed", need).
			WithRetryAfter(bounded(now+need-g.until(w.ask))))
		return 0
	}
	if g.queue.len() > g.view.Load().queueLength {
		v := g.queue.victim()
		g.counts.refusedFull.Add(1)
		g.refuse(v, fault.New(fault.QueueFull, "%d requests wait already", g.queue.len()).
			WithRetryAfter(bounded(g.need(v))))
	}
	if w.finished() {
		return 0
	}
	return g.sleep(w, now)
}

func noTarget() error {
	return fault.New(fault.NoTarget, "no target is open for this request").WithRetryAfter(retryMost)
}

func bounded(d time.Duration) time.Duration {
	return min(max(d, retryLeast), retryMost)
}

// wait blocks until w is granted, refused or given up.
func (g *Gate) wait(ctx context.Context, w *waiter, entered, sleep time.Duration) (*Grant, error) {
	timer := time.NewTimer(sleep)
	defer timer.Stop()
	for {
		select {
		case <-w.done:
			if w.grant != nil {
				w.grant.Waited = w.grant.start - entered
			}
			return w.grant, w.err
		case <-ctx.Done():
			g.leave(w)
			return nil, g.gone(ctx)
		case <-timer.C:
			timer.Reset(g.look(w))
		}
	}
}

// leave takes w out of the queue, or gives back what it was granted meanwhile.
func (g *Gate) leave(w *waiter) {
	g.mu.Lock()
	waiting := g.queue.remove(w)
	if waiting {
		g.recount()
		g.dispatch(g.now())
	}
	g.mu.Unlock()
	if !waiting && w.grant != nil {
		w.grant.Release(Unused)
	}
}

// look serves the queue and refuses w if its deadline has passed. It returns how
// long until the next look.
func (g *Gate) look(w *waiter) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.dispatch(now)
	if w.finished() {
		return idleCheck
	}
	if now >= g.until(w.ask) {
		g.counts.refusedLate.Add(1)
		g.refuse(w, fault.New(fault.DeadlineExceeded, "deadline passed before a slot was free").
			WithRetryAfter(bounded(g.need(w))))
		return idleCheck
	}
	return g.sleep(w, now)
}

func (w *waiter) finished() bool {
	return w.grant != nil || w.err != nil
}

// sleep is the time until something may change for w without a release: its
// deadline, the decay of peers' shares, the end of a halved share, or the end of
// the reserve for orders and lookups.
func (g *Gate) sleep(w *waiter, now time.Duration) time.Duration {
	v := g.view.Load()
	at := min(g.until(w.ask), v.until, now+idleCheck)
	for i := range v.entries {
		if u := time.Duration(v.entries[i].slot.shedUntil.Load()); u > now {
			at = min(at, u)
		}
	}
	if w.ask.Kind == fleet.Batch {
		if u := time.Duration(g.lastUrgent.Load()) + urgentRecent; u > now {
			at = min(at, u)
		}
	}
	return max(at-now, 1)
}

// need is the time until w would have its response: the queue ahead of it at the
// measured pace, and its own service time.
func (g *Gate) need(w *waiter) time.Duration {
	busy := max(g.own(g.view.Load()), 1)
	rounds := time.Duration(g.queue.ahead(w) + 1)
	return rounds*g.estimate.held.value()/time.Duration(busy) + g.estimate.service(w.ask.Kind)
}

// own is this daemon's work at the targets of the view.
func (g *Gate) own(v *view) int {
	n := 0
	for i := range v.entries {
		n += int(v.entries[i].slot.inFlight.Load())
	}
	return n
}

// refuse ends the wait of w with err; mu is held.
func (g *Gate) refuse(w *waiter, err error) {
	g.queue.remove(w)
	g.recount()
	w.err = err
	close(w.done)
}

// refuseStranded refuses the waiters that no target of the view may serve.
func (g *Gate) refuseStranded() {
	v := g.view.Load()
	var stranded []*waiter
	for k := range g.queue.bands {
		for w := range g.queue.bands[k].all() {
			if !v.usable(w.ask) {
				stranded = append(stranded, w)
			}
		}
	}
	for _, w := range stranded {
		g.counts.refusedNoTarget.Add(1)
		g.refuse(w, noTarget())
	}
}

// recount publishes the queue's length to the lock-free paths.
func (g *Gate) recount() {
	g.urgent.Store(int64(g.queue.urgent()))
	g.waiting.Store(int64(g.queue.len()))
}

// fresh returns the view with the peers' shares of this moment; mu is held.
func (g *Gate) fresh(now time.Duration) *view {
	if now >= g.view.Load().until {
		g.rebuild(now)
	}
	return g.view.Load()
}
