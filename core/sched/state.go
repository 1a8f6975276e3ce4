package sched

import (
	"cmp"
	"slices"
	"time"
)

// TargetState is the state of one target for the state dump.
type TargetState struct {
	ID         string  `json:"id"`
	Address    string  `json:"address"`
	DataCentre string  `json:"data-centre"`
	FailRate   float64 `json:"fail-rate"`
	// InFlight is the number of requests that the whole fleet has in flight at the
	// target, Own the number of this daemon's.
	InFlight int `json:"in-flight"`
	Own      int `json:"own"`
}

// State returns the state of all targets, sorted by ID.
func (p *Pool) State() []TargetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := make([]TargetState, 0, len(p.members))
	for _, m := range p.members {
		out = append(out, TargetState{
			ID:         m.target.ID,
			Address:    m.target.Address,
			DataCentre: m.target.DataCentre,
			FailRate:   m.failRate(p.model, now),
			InFlight:   m.load(now),
			Own:        m.ownLoad,
		})
	}
	slices.SortFunc(out, func(a, b TargetState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
