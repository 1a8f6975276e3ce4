package limit

import (
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Result says how the request under a grant ended.
type Result uint8

// The results of a grant.
const (
	// Served means that the target sent a complete response. The time for which the
	// slot was held counts as a service time.
	Served Result = iota
	// Failed means that the attempt failed. The time counts as a hold time only.
	Failed
	// Shed means that the target refused the request because of its load.
	Shed
	// Unused means that nothing was sent or that the caller disconnected. The time for
	// which the slot was held is not measured.
	Unused
)

// Grant is the right to use one slot of a target until Release.
type Grant struct {
	// Target names the target whose slot was granted.
	Target fleet.TargetID
	// Waited is the time spent in the queue.
	Waited   time.Duration
	limiter  *Limiter
	usage    *targetUsage
	start    time.Duration
	kind     fleet.RequestKind
	released atomic.Bool
}

// newGrant returns a grant for a slot that is already claimed.
func (g *Limiter) newGrant(usage *targetUsage, kind fleet.RequestKind, now time.Duration) *Grant {
	g.counts.granted.Add(1)
	usage.workOffset.Add(-int64(now))
	return &Grant{Target: usage.id, limiter: g, usage: usage, kind: kind, start: now}
}

// Release frees the slot. Calls after the first have no effect.
func (gr *Grant) Release(r Result) {
	if gr.released.Swap(true) {
		return
	}
	g := gr.limiter
	now := g.now()
	held := now - gr.start
	switch r {
	case Served:
		g.estimate.addServiceTime(gr.kind, held)
		g.estimate.addHoldTime(held)
	case Failed:
		g.estimate.addHoldTime(held)
	case Shed:
		g.counts.shed.Add(1)
		gr.usage.shedUntil.Store(int64(now + shedBackoff))
	}
	gr.usage.workOffset.Add(int64(now))
	gr.usage.inFlight.Add(-1)
	g.dispatchWaiting()
}
