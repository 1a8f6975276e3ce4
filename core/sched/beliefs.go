package sched

import (
	"time"

	"wisteriarelay.example/core/judge"
)

// TargetEstimate is the state of one target as sent to a peer that needs it, for
// example because the peer starts to handle the service.
type TargetEstimate struct {
	ID          string
	StartMillis int64
	Snapshot    judge.Snapshot
	// Load is the number of requests that the whole fleet has in flight at the target.
	Load int
}

// Estimates returns the state of all targets with evidence about their health.
func (p *Pool) Estimates() []TargetEstimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []TargetEstimate
	for k, m := range p.members {
		if s, ok := m.estimate.Snapshot(now); ok {
			out = append(out, TargetEstimate{ID: k.ID, StartMillis: k.StartMillis, Snapshot: s, Load: m.load(now)})
		}
	}
	return out
}

// allPeers is the peer name under which the load received with a [TargetEstimate] is
// stored: the sum over all other daemons.
const allPeers = "all"

// MergeEstimates merges the state of targets received from a peer. The load is used only
// by a daemon that does not receive peer events, because one that does computes the load
// from the events.
func (p *Pool) MergeEstimates(estimates []TargetEstimate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, e := range estimates {
		if m := p.members[Key{ID: e.ID, StartMillis: e.StartMillis}]; m != nil {
			m.estimate.Merge(now, e.Snapshot)
			m.invalidateFailRate()
			if p.noPeerEvents {
				m.setPeerLoad(allPeers, max(e.Load-m.ownLoad, 0), now)
			}
		}
	}
}
