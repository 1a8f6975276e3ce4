package limit

import (
	"time"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// dispatchStep holds the counts that one step of a dispatch uses. All waiters are
// compared with the same counts, because a slot freed during the step would otherwise
// go to a waiter out of turn. Whoever frees a slot starts another dispatch.
type dispatchStep struct {
	view  *view
	now   time.Duration
	cands []choose.Candidate
	// belowGuarantee is set if this daemon has fewer requests in flight than
	// view.guaranteed.
	belowGuarantee bool
	// claimLost is set if a claim failed because of a concurrent one.
	claimLost bool
}

// dispatch grants free slots to waiters. The caller holds mu.
func (g *Limiter) dispatch(now time.Duration) {
	if g.queue.len() == 0 {
		return
	}
	var buf [maxStackCandidates]choose.Candidate
	for {
		v := g.currentView(now)
		step := dispatchStep{view: v, now: now, cands: v.candidates(now, buf[:0])}
		step.belowGuarantee = step.inFlight() < v.guaranteed
		if !g.dispatchOne(&step) && !step.claimLost {
			break
		}
	}
	g.publishLengths()
}

// dispatchOne grants a slot to the next waiter that can use one and reports whether
// there was one. Orders and lookups alternate; batch requests get what they leave.
func (g *Limiter) dispatchOne(step *dispatchStep) bool {
	if g.queue.interactive() > 0 {
		first := g.queue.nextInteractive
		served, exhausted := g.dispatchKind(step, first)
		if served || exhausted {
			return served
		}
		served, _ = g.dispatchKind(step, otherInteractive(first))
		return served
	}
	if g.queue.len() == 0 || step.freeSlots() <= g.reservedSlots(step.now) {
		return false
	}
	served, _ := g.dispatchKind(step, fleet.Batch)
	return served
}

// dispatchKind grants a slot to the first waiter of the kind that can use one and still
// meet its deadline, and refuses the waiters before it that cannot. If none is expected
// to meet its deadline, the first one is served anyway, so that a wrong estimate of the
// service time is corrected. exhausted is set if no waiter of any kind can use a slot,
// so that the search may end.
func (g *Limiter) dispatchKind(step *dispatchStep, k fleet.RequestKind) (served, exhausted bool) {
	var late []*waiter
	serviceTime := g.estimate.serviceTime(k)
	for w := range g.queue.kinds[k].inTurnOrder() {
		if g.deadlineOf(w.req)-step.now <= serviceTime {
			late = append(late, w)
			continue
		}
		if g.grantTo(step, w) {
			g.refuseLate(late, step.now)
			return true, false
		}
		if step.claimLost || (w.req.Idempotent && len(w.req.Exclude) == 0) {
			return false, true
		}
	}
	for _, w := range late {
		if g.deadlineOf(w.req) > step.now && g.grantTo(step, w) {
			return true, false
		}
	}
	return false, false
}

// grantTo grants w a slot if one is free for it.
func (g *Limiter) grantTo(step *dispatchStep, w *waiter) bool {
	usage := g.claimFor(step, w.req)
	if usage == nil {
		return false
	}
	g.queue.removeServed(w)
	w.grant = g.newGrant(usage, kindOf(w.req), step.now)
	close(w.done)
	return true
}

// refuseLate refuses waiters that cannot meet their deadlines.
func (g *Limiter) refuseLate(late []*waiter, now time.Duration) {
	for _, w := range late {
		g.counts.refusedLate.Add(1)
		g.refuse(w, fault.New(fault.DeadlineExceeded, "deadline cannot be met any more: %v left", g.deadlineOf(w.req)-now).
			WithRetryAfter(clampRetryAfter(g.expectedLatency(w))))
	}
}

// claimFor claims a slot for req, or returns nil. While this daemon is below its
// guarantee, the load that peers report does not count.
func (g *Limiter) claimFor(step *dispatchStep, req *Request) *targetUsage {
	var buf [maxStackCandidates]choose.Candidate
	pos, limit := g.pick(step.view, req, append(buf[:0], step.cands...))
	if pos < 0 && step.belowGuarantee {
		pos, limit = g.pick(step.view, req, step.guaranteedCandidates(buf[:0]))
	}
	if pos < 0 {
		return nil
	}
	usage := step.view.entries[pos].usage
	if !usage.claim(limit) {
		step.claimLost = true
		return nil
	}
	return usage
}

// guaranteedCandidates returns the candidates with a limit of at least one slot at each
// target that has not shed requests recently, regardless of the load that peers report.
func (s *dispatchStep) guaranteedCandidates(cands []choose.Candidate) []choose.Candidate {
	cands = append(cands, s.cands...)
	for i := range cands {
		if !s.view.entries[i].shedRecently(s.now) {
			cands[i].Limit = min(max(cands[i].Limit, 1), cands[i].Slots)
		}
	}
	return cands
}

// inFlight returns the number of requests that this daemon has in flight at all targets.
func (s *dispatchStep) inFlight() int {
	n := 0
	for i := range s.cands {
		n += s.cands[i].InFlight
	}
	return n
}

// freeSlots returns the number of slots that this daemon may still use, not counting
// the guarantee.
func (s *dispatchStep) freeSlots() int {
	n := 0
	for i := range s.cands {
		c := &s.cands[i]
		if c.State != choose.Unavailable && c.State != choose.Trial {
			n += max(c.Limit-c.InFlight, 0)
		}
	}
	return n
}

// reservedSlots returns the number of free slots that batch requests must leave for
// orders and lookups.
func (g *Limiter) reservedSlots(now time.Duration) int {
	if int64(now)-g.lastInteractive.Load() < int64(reservePeriod) {
		return 1
	}
	return 0
}
