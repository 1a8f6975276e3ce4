package sched

import (
	"time"

	"wisteriarelay.example/core/judge"
)

// TargetBelief is what is believed of one target, for a daemon that begins to
// carry the service.
type TargetBelief struct {
	ID       string
	Born     int64
	Snapshot judge.Snapshot
	// Load is the work in flight of the whole fleet.
	Load int
}

// Beliefs returns what is believed of the targets.
func (p *Pool) Beliefs() []TargetBelief {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []TargetBelief
	for k, m := range p.members {
		if s, ok := m.belief.Snapshot(now); ok {
			out = append(out, TargetBelief{ID: k.ID, Born: k.Born, Snapshot: s, Load: m.load(now)})
		}
	}
	return out
}

// adoptedLoad stands for all peers in the work in flight that was told with beliefs.
const adoptedLoad = "all"

// Adopt takes over what a peer believes of the targets. A daemon that is told the
// events of its peers knows their work in flight from these.
func (p *Pool) Adopt(beliefs []TargetBelief) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, b := range beliefs {
		if m := p.members[Key{ID: b.ID, Born: b.Born}]; m != nil {
			m.belief.Adopt(now, b.Snapshot)
			m.evidenceChanged()
			if p.uninformed {
				m.setPeerLoad(adoptedLoad, max(b.Load-m.own, 0), now)
			}
		}
	}
}
