package detect

import (
	"cmp"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
)

// State says how a target may be used.
type State uint8

// The states of a target. Avoided targets are used only when no other has a
// free slot and so still count as capacity; Trial takes idempotent requests
// from the target's prober, one at a time; Ejected and Leaving take no work.
const (
	Ready State = iota
	SlowStart
	Trial
	Avoided
	Ejected
	Leaving
	stateCount
)

var stateNames = [stateCount]string{"ready", "slow-start", "trial", "avoided", "ejected", "leaving"}

// String returns the kebab-case name of the state.
func (s State) String() string {
	if s >= stateCount {
		return "invalid"
	}
	return stateNames[s]
}

// TargetState is the state of one target; Index is its place in the service's
// target list.
type TargetState struct {
	Target fleet.TargetID
	Index  int
	State  State
	// Weight is the share of a full target's work, from 0.1 to 1.
	Weight float64
	Reason string
	Since  time.Time
}

// startWeight is the weight at the beginning of slow start.
const startWeight = 0.1

// States returns the state of each target in the order of the service's target
// list. Started says when targets came up. The floor is applied last: entries
// of the list apply, by hand, oldest and worst first, only while the floor
// remains after drained and leaving targets are counted as gone. The other
// entries fall back to Avoided. Verdicts make targets Avoided only while the
// floor remains beside all targets that are gone, ejected or avoided.
func States(svc *fleet.Service, ej Ejections, signs Signs, verdicts []Verdict, started map[fleet.TargetID]time.Time, now time.Time) []TargetState {
	b := newBoard(svc, ej, signs, started, now)
	entries := ej.ranked()
	for i := range entries {
		b.applyEntry(&entries[i])
	}
	worst := slices.Clone(verdicts)
	slices.SortStableFunc(worst, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Action, a.Action), cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Target, b.Target))
	})
	for i := range worst {
		b.applyVerdict(&worst[i])
	}
	return b.states
}

// board holds the states while the floor is applied; room is the number of
// targets that may still be held back.
type board struct {
	states []TargetState
	index  map[fleet.TargetID]int
	room   int
}

func newBoard(svc *fleet.Service, ej Ejections, signs Signs, started map[fleet.TargetID]time.Time, now time.Time) *board {
	n := len(svc.Targets)
	b := &board{states: make([]TargetState, n), index: make(map[fleet.TargetID]int, n), room: n - svc.Policy.Floor.Of(n)}
	for i := range svc.Targets {
		t := &svc.Targets[i]
		s := &b.states[i]
		*s = TargetState{Target: t.ID, Index: i, Weight: 1}
		b.index[t.ID] = i
		sign, leaving := signs[t.ID]
		switch {
		case leaving:
			s.State, s.Reason, s.Since = Leaving, "leaving, by "+sign.Source.String(), sign.Since
			b.room--
		case t.Drained:
			s.State, s.Reason = Leaving, "drained"
			b.room--
		default:
			s.startSlowly(svc.Policy.SlowStart, cameUp(ej, started, t.ID), now)
		}
	}
	return b
}

// cameUp returns the latest time at which the target came up or returned.
func cameUp(ej Ejections, started map[fleet.TargetID]time.Time, id fleet.TargetID) time.Time {
	at := started[id]
	if p, ok := ej.FindPast(id); ok && p.Returned.After(at) {
		at = p.Returned
	}
	return at
}

func (s *TargetState) startSlowly(span time.Duration, from, now time.Time) {
	age := max(0, now.Sub(from))
	if from.IsZero() || age >= span {
		return
	}
	s.State, s.Since, s.Reason = SlowStart, from, "slow start"
	s.Weight = startWeight + (1-startWeight)*float64(age)/float64(span)
}

func (b *board) applyEntry(e *Ejection) {
	i, ok := b.index[e.Target]
	if !ok || b.states[i].State == Leaving {
		return
	}
	s := &b.states[i]
	s.Weight, s.Reason, s.Since = 1, e.Reason, e.Since
	switch {
	case b.room <= 0:
		s.State, s.Reason = Avoided, "ejected, but the floor needs it: "+e.Reason
	case e.Phase == PhaseTrial:
		s.State = Trial
	default:
		s.State = Ejected
	}
	b.room--
}

func (b *board) applyVerdict(v *Verdict) {
	i, ok := b.index[v.Target]
	if !ok || b.room <= 0 {
		return
	}
	s := &b.states[i]
	if s.State != Ready && s.State != SlowStart {
		return
	}
	b.room--
	s.State, s.Weight, s.Reason, s.Since = Avoided, 1, v.Reason, v.Since
}
