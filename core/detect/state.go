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
// free slot, and so still count as capacity; Trial takes idempotent requests
// from the target's prober, one at a time; Ejected and Leaving targets get no
// requests.
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

// TargetState is the state of one target; Index is its index in the service's
// target list.
type TargetState struct {
	Target fleet.TargetID
	Index  int
	State  State
	// Weight is the share of a target's full load that it gets, from 0.1 to 1.
	Weight float64
	Reason string
	Since  time.Time
}

// initialWeight is the weight at the beginning of slow start.
const initialWeight = 0.1

// States returns the state of each target in the order of the service's target
// list. The argument started holds the times at which targets came up.
//
// The floor is applied last. Drained and leaving targets count as out of
// service. Entries of the ejection list then apply in order of priority (by
// hand, then the oldest, then the most severe) while the floor is kept; the
// remaining entries make their targets Avoided. Verdicts make targets Avoided
// only while enough targets for the floor are neither out of service nor
// avoided.
func States(svc *fleet.Service, ej Ejections, signals LeavingSignals, verdicts []Verdict, started map[fleet.TargetID]time.Time, now time.Time) []TargetState {
	b := newStateBuilder(svc, ej, signals, started, now)
	entries := ej.byPriority()
	for i := range entries {
		b.applyEntry(&entries[i])
	}
	bySeverity := slices.Clone(verdicts)
	slices.SortStableFunc(bySeverity, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Action, a.Action), cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Target, b.Target))
	})
	for i := range bySeverity {
		b.applyVerdict(&bySeverity[i])
	}
	return b.states
}

// stateBuilder holds the states while the floor is applied; removable is the
// number of targets that may still be taken out of full service.
type stateBuilder struct {
	states    []TargetState
	index     map[fleet.TargetID]int
	removable int
}

func newStateBuilder(svc *fleet.Service, ej Ejections, signals LeavingSignals, started map[fleet.TargetID]time.Time, now time.Time) *stateBuilder {
	n := len(svc.Targets)
	b := &stateBuilder{states: make([]TargetState, n), index: make(map[fleet.TargetID]int, n), removable: n - svc.Policy.Floor.MinTargets(n)}
	for i := range svc.Targets {
		t := &svc.Targets[i]
		s := &b.states[i]
		*s = TargetState{Target: t.ID, Index: i, Weight: 1}
		b.index[t.ID] = i
		signal, leaving := signals[t.ID]
		switch {
		case leaving:
			s.State, s.Reason, s.Since = Leaving, "leaving, by "+signal.Source.String(), signal.Since
			b.removable--
		case t.Drained:
			s.State, s.Reason = Leaving, "drained"
			b.removable--
		default:
			s.applySlowStart(svc.Policy.SlowStart, lastStart(ej, started, t.ID), now)
		}
	}
	return b
}

// lastStart returns the latest time at which the target came up or returned to
// service.
func lastStart(ej Ejections, started map[fleet.TargetID]time.Time, id fleet.TargetID) time.Time {
	at := started[id]
	if p, ok := ej.FindPast(id); ok && p.Returned.After(at) {
		at = p.Returned
	}
	return at
}

// applySlowStart sets the state and weight of a target that came up less than
// span ago. The weight grows linearly.
func (s *TargetState) applySlowStart(span time.Duration, from, now time.Time) {
	age := max(0, now.Sub(from))
	if from.IsZero() || age >= span {
		return
	}
	s.State, s.Since, s.Reason = SlowStart, from, "slow start"
	s.Weight = initialWeight + (1-initialWeight)*float64(age)/float64(span)
}

func (b *stateBuilder) applyEntry(e *Ejection) {
	i, ok := b.index[e.Target]
	if !ok || b.states[i].State == Leaving {
		return
	}
	s := &b.states[i]
	s.Weight, s.Reason, s.Since = 1, e.Reason, e.Since
	switch {
	case b.removable <= 0:
		s.State, s.Reason = Avoided, "ejected, but the floor needs it: "+e.Reason
	case e.Phase == PhaseTrial:
		s.State = Trial
	default:
		s.State = Ejected
	}
	b.removable--
}

func (b *stateBuilder) applyVerdict(v *Verdict) {
	i, ok := b.index[v.Target]
	if !ok || b.removable <= 0 {
		return
	}
	s := &b.states[i]
	if s.State != Ready && s.State != SlowStart {
		return
	}
	b.removable--
	s.State, s.Weight, s.Reason, s.Since = Avoided, 1, v.Reason, v.Since
}
