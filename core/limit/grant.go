package limit

import (
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Result says how the work under a grant ended.
type Result uint8

// The results of a grant.
const (
	// Served: the target gave a complete response; the time held is a service time.
	Served Result = iota
	// Failed: the attempt failed.
	Failed
	// Shed: the target refused the work for its load.
	Shed
	// Unused: nothing was sent, or the caller left; the time held says nothing.
	Unused
)

// Grant is the right to use one slot of a target.
type Grant struct {
	// Target names the target whose slot was granted.
	Target fleet.TargetID
	// Waited is the time spent in the queue.
	Waited   time.Duration
	gate     *Gate
	slot     *slot
	start    time.Duration
	kind     fleet.Kind
	released atomic.Bool
}

// grant hands out a slot that is claimed already.
func (g *Gate) grant(s *slot, kind fleet.Kind, now time.Duration) *Grant {
	g.counts.granted.Add(1)
	s.worked.Add(-int64(now))
	return &Grant{Target: s.id, gate: g, slot: s, kind: kind, start: now}
}

// Release frees the slot. Calls after the first have no effect.
func (gr *Grant) Release(r Result) {
	if gr.released.Swap(true) {
		return
	}
	g := gr.gate
	now := g.now()
	held := now - gr.start
	switch r {
	case Served:
		g.estimate.served(gr.kind, held)
		g.estimate.heldFor(held)
	case Failed:
		g.estimate.heldFor(held)
	case Shed:
		g.counts.shed.Add(1)
		gr.slot.shedUntil.Store(int64(now + shedPause))
	}
	gr.slot.worked.Add(int64(now))
	gr.slot.inFlight.Add(-1)
	g.wake()
}
