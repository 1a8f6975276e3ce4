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
}

// Beliefs returns what is believed of the targets.
func (p *Pool) Beliefs() []TargetBelief {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []TargetBelief
	for k, m := range p.members {
		if s, ok := m.belief.Snapshot(now); ok {
			out = append(out, TargetBelief{ID: k.ID, Born: k.Born, Snapshot: s})
		}
	}
	return out
}

// Adopt takes over what a peer believes of the targets.
func (p *Pool) Adopt(beliefs []TargetBelief) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, b := range beliefs {
		if m := p.members[Key{ID: b.ID, Born: b.Born}]; m != nil {
			m.belief.Adopt(now, b.Snapshot)
			m.evidenceChanged()
		}
	}
}
