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
	// BackoffUntil is set while the target wants no requests.
	BackoffUntil *time.Time `json:"backoff-until,omitempty"`
	// WithdrawnAt is set if the target said that it leaves, or another one answered at its
	// address. Such a target has no other state.
	WithdrawnAt *time.Time `json:"withdrawn-at,omitempty"`
}

// State returns the state of all targets and of those that were withdrawn, sorted by ID.
func (p *Pool) State() []TargetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	out := make([]TargetState, 0, len(p.members))
	for k, m := range p.members {
		s := TargetState{
			ID:         m.target.ID,
			Address:    m.target.Address,
			DataCentre: m.target.DataCentre,
			FailRate:   m.failRate(p.model, now),
			InFlight:   m.load(now),
			Own:        m.ownLoad,
		}
		if p.restrictions.backingOff(k, now) {
			until := p.restrictions.backoff[k]
			s.BackoffUntil = &until
		}
		out = append(out, s)
	}
	for k, at := range p.restrictions.withdrawn {
		out = append(out, TargetState{ID: k.ID, WithdrawnAt: &at})
	}
	slices.SortFunc(out, func(a, b TargetState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
