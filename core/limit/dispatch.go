package limit

import (
	"time"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// scene is what one step of the dispatch sees. All waiters are held against the same
// counts: a slot freed during the step would otherwise go to a waiter out of turn.
// Whoever frees a slot starts a dispatch of its own.
type scene struct {
	view  *view
	now   time.Duration
	cands []choose.Candidate
	// lift says that this daemon has less in flight than it may always have.
	lift bool
	// raced says that a claim failed because of a concurrent one.
	raced bool
}

// dispatch grants free slots to waiters; mu is held.
func (g *Gate) dispatch(now time.Duration) {
	if g.queue.len() == 0 {
		return
	}
	var room [stackTargets]choose.Candidate
	for {
		v := g.fresh(now)
		s := scene{view: v, now: now, cands: v.look(now, room[:0])}
		s.lift = s.own() < v.least
		if !g.dispatchOne(&s) && !s.raced {
			break
		}
	}
	g.recount()
}

// dispatchOne grants a slot to the first waiter in order that can use one.
func (g *Gate) dispatchOne(s *scene) bool {
	if g.queue.urgent() > 0 {
		next := g.queue.next
		served, blocked := g.dispatchBand(s, next)
		if served || blocked {
			return served
		}
		served, _ = g.dispatchBand(s, other(next))
		return served
	}
	if g.queue.len() == 0 || s.free() <= g.reserve(s.now) {
		return false
	}
	served, _ := g.dispatchBand(s, fleet.Batch)
	return served
}

// dispatchBand grants a slot to the first waiter of the kind that can use one and be
// in time; those passed over are refused. If all would be late, the first of them is
// served, so that a wrong estimate of the service time is corrected. blocked says
// that no waiter of any kind can use a slot, so that the search may end.
func (g *Gate) dispatchBand(s *scene, k fleet.Kind) (served, blocked bool) {
	var late []*waiter
	service := g.estimate.service(k)
	for w := range g.queue.bands[k].all() {
		if g.until(w.ask)-s.now <= service {
			late = append(late, w)
			continue
		}
		if g.serve(s, w) {
			g.refuseLate(late, s.now)
			return true, false
		}
		if s.raced || (w.ask.Idempotent && len(w.ask.Exclude) == 0) {
			return false, true
		}
	}
	for _, w := range late {
		if g.until(w.ask) > s.now && g.serve(s, w) {
			return true, false
		}
	}
	return false, false
}

// serve grants w a slot if one is free for it.
func (g *Gate) serve(s *scene, w *waiter) bool {
	t := g.take(s, w.ask)
	if t == nil {
		return false
	}
	g.queue.serve(w)
	w.grant = g.grant(t, kindOf(w.ask), s.now)
	close(w.done)
	return true
}

// refuseLate refuses waiters that were passed over.
func (g *Gate) refuseLate(late []*waiter, now time.Duration) {
	for _, w := range late {
		g.counts.refusedLate.Add(1)
		g.refuse(w, fault.New(fault.DeadlineExceeded, "deadline cannot be met any more: %v left", g.until(w.ask)-now).
			WithRetryAfter(bounded(g.need(w))))
	}
}

// take claims a slot for ask, whatever the peers report if this daemon has less in
// flight than it may always have.
func (g *Gate) take(s *scene, ask *Ask) *slot {
	var room [stackTargets]choose.Candidate
	i, limit := g.pick(s.view, ask, append(room[:0], s.cands...))
	if i < 0 && s.lift {
		i, limit = g.pick(s.view, ask, s.lifted(room[:0]))
	}
	if i < 0 {
		return nil
	}
	t := s.view.entries[i].slot
	if !t.claim(limit) {
		s.raced = true
		return nil
	}
	return t
}

// lifted returns the candidates with the first slot of each target open whatever
// the peers report.
func (s *scene) lifted(cands []choose.Candidate) []choose.Candidate {
	cands = append(cands, s.cands...)
	for i := range cands {
		if !s.view.entries[i].shed(s.now) {
			cands[i].Limit = min(max(cands[i].Limit, 1), cands[i].Slots)
		}
	}
	return cands
}

// own is this daemon's work at the targets of the scene.
func (s *scene) own() int {
	n := 0
	for i := range s.cands {
		n += s.cands[i].InFlight
	}
	return n
}

// free is the number of slots that this daemon may still use without the lift.
func (s *scene) free() int {
	n := 0
	for i := range s.cands {
		c := &s.cands[i]
		if c.State != choose.Closed && c.State != choose.Trial {
			n += max(c.Limit-c.InFlight, 0)
		}
	}
	return n
}

// reserve is the number of free slots that batch requests leave.
func (g *Gate) reserve(now time.Duration) int {
	if int64(now)-g.lastUrgent.Load() < int64(urgentRecent) {
		return 1
	}
	return 0
}
