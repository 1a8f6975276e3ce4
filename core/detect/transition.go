package detect

import (
	"slices"
	"strings"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// flapFactor is the number of previous periods within which a new ejection of
// the same target doubles the period.
const flapFactor = 10

// Eject adds the target of a verdict. It returns fault.FloorReached if the
// list, or the list with all drained and leaving targets, would leave less
// than the floor, and fault.NotFound for a target outside the service. A target
// that is already listed is left as it is.
func (j Ejections) Eject(svc *fleet.Service, signs Signs, v Verdict, by string, now time.Time) (Ejections, error) {
	n := j.fit(svc, now)
	if _, ok := n.Find(v.Target); ok {
		return n.seal(j), nil
	}
	if err := n.admit(svc, signs, v.Target); err != nil {
		return j, err
	}
	period := n.nextPeriod(svc.Policy, v.Target, now)
	n.Entries = append(n.Entries, Ejection{
		Target: v.Target, Phase: PhaseEjected, Since: stored(now), Until: stored(now.Add(period)), PeriodMS: period.Milliseconds(),
		Severity: v.Severity, By: clip(by), Reason: clip(v.Reason),
	})
	return n.seal(j), nil
}

// EjectByHand adds a target on behalf of an operator, until the operator
// returns it, or turns its entry into one by hand. The floor binds operators too.
func (j Ejections) EjectByHand(svc *fleet.Service, signs Signs, id fleet.TargetID, operator, reason string, now time.Time) (Ejections, error) {
	if operator == "" {
		return j, fault.New(fault.BadRequest, "ejection by hand without an operator")
	}
	n := j.fit(svc, now)
	entry := Ejection{Target: id, Phase: PhaseByHand, Since: stored(now), By: clip(operator), Reason: clip(reason)}
	if i := n.index(id); i >= 0 {
		if n.Entries[i].Phase != PhaseByHand {
			n.Entries[i] = entry
		}
		return n.seal(j), nil
	}
	if err := n.admit(svc, signs, id); err != nil {
		return j, err
	}
	n.Entries = append(n.Entries, entry)
	return n.seal(j), nil
}

// Return takes a target off the list, with slow start. An operator's return
// also clears the memory of its ejection periods. A target that is not listed
// is left as it is.
func (j Ejections) Return(svc *fleet.Service, id fleet.TargetID, operator, reason string, now time.Time) (Ejections, error) {
	if operator == "" {
		return j, fault.New(fault.BadRequest, "return by hand without an operator")
	}
	n := j.fit(svc, now)
	if i := n.index(id); i >= 0 {
		n.retire(i, Past{Target: id, Returned: stored(now), By: clip(operator), Reason: clip(reason)})
	}
	return n.seal(j), nil
}

// BeginTrial moves a target whose period is over to trial.
func (j Ejections) BeginTrial(svc *fleet.Service, id fleet.TargetID, now time.Time) (Ejections, error) {
	n := j.fit(svc, now)
	i := n.index(id)
	if i < 0 || n.Entries[i].Phase != PhaseEjected {
		return n.seal(j), nil
	}
	if now.Before(n.Entries[i].Until) {
		return j, fault.New(fault.BadRequest, "ejection of %s lasts until %s", id, n.Entries[i].Until.Format(time.RFC3339))
	}
	n.Entries[i].Phase = PhaseTrial
	return n.seal(j), nil
}

// TrialResult ends a trial: a target that passed returns, one that failed
// stays out for twice its period.
func (j Ejections) TrialResult(svc *fleet.Service, id fleet.TargetID, passed bool, by string, now time.Time) (Ejections, error) {
	n := j.fit(svc, now)
	i := n.index(id)
	if i < 0 || n.Entries[i].Phase != PhaseTrial {
		return n.seal(j), nil
	}
	e := &n.Entries[i]
	if passed {
		n.retire(i, Past{Target: id, Returned: stored(now), PeriodMS: e.PeriodMS, By: clip(by), Reason: "trial passed"})
		return n.seal(j), nil
	}
	period := min(2*e.Period(), svc.Policy.Ejection.Max)
	e.Phase, e.PeriodMS, e.Until, e.By = PhaseEjected, period.Milliseconds(), stored(now.Add(period)), clip(by)
	return n.seal(j), nil
}

// Fit adapts the list to the settings: entries of removed targets are dropped,
// and so are the youngest and mildest that exceed a raised floor or a smaller
// target list.
func (j Ejections) Fit(svc *fleet.Service, now time.Time) Ejections {
	return j.fit(svc, now).seal(j)
}

// Stamp returns the list with the id of the write that carries it.
func (j Ejections) Stamp(change string) Ejections {
	n := j
	n.Changes = append(slices.Clone(j.Changes), change)
	if extra := len(n.Changes) - maxChanges; extra > 0 {
		n.Changes = n.Changes[extra:]
	}
	return n
}

// fit returns a copy that the caller may change.
func (j Ejections) fit(svc *fleet.Service, now time.Time) Ejections {
	n := j
	n.Targets = len(svc.Targets)
	n.Floor = svc.Policy.Floor.Of(n.Targets)
	n.Past = slices.DeleteFunc(slices.Clone(j.Past), func(p Past) bool {
		keep := max(flapFactor*time.Duration(p.PeriodMS)*time.Millisecond, svc.Policy.SlowStart)
		return now.Sub(p.Returned) > keep || !lists(svc, p.Target)
	})
	n.Entries = make([]Ejection, 0, len(j.Entries)+1)
	for _, e := range j.ranked() {
		switch {
		case !lists(svc, e.Target):
		case len(n.Entries) >= n.Targets-n.Floor:
			n.remember(Past{Target: e.Target, Returned: stored(now), PeriodMS: e.PeriodMS, By: e.By, Reason: "floor reached"})
		default:
			n.Entries = append(n.Entries, e)
		}
	}
	return n
}

// seal raises the sequence if the list differs from the one before.
func (j Ejections) seal(before Ejections) Ejections {
	if j.Targets == before.Targets && j.Floor == before.Floor &&
		slices.Equal(j.Entries, before.ranked()) {
		return before
	}
	j.Sequence = before.Sequence + 1
	return j
}

// admit checks that one more target may go. The list alone must leave the
// floor, and so must the list together with what is drained or leaving.
func (j Ejections) admit(svc *fleet.Service, signs Signs, id fleet.TargetID) error {
	if !lists(svc, id) {
		return fault.New(fault.NotFound, "service %s has no target %s", svc.ID, id)
	}
	gone := 0
	for i := range svc.Targets {
		t := &svc.Targets[i]
		_, leaving := signs[t.ID]
		if t.ID == id || t.Drained || leaving || j.index(t.ID) >= 0 {
			gone++
		}
	}
	if len(j.Entries)+1 > j.Targets-j.Floor || gone > j.Targets-j.Floor {
		return fault.New(fault.FloorReached, "service %s keeps at least %d of %d targets; %d are ejected, drained or leaving",
			svc.ID, j.Floor, j.Targets, gone-1)
	}
	return nil
}

// nextPeriod doubles the period of a target that was ejected again within
// flapFactor times its previous period.
func (j Ejections) nextPeriod(p fleet.Policy, id fleet.TargetID, now time.Time) time.Duration {
	base := max(p.Ejection.Base, time.Millisecond)
	past, ok := j.FindPast(id)
	period := time.Duration(past.PeriodMS) * time.Millisecond
	if !ok || period == 0 || now.Sub(past.Returned) > flapFactor*period {
		return base
	}
	return max(base, min(2*period, p.Ejection.Max))
}

func (j *Ejections) retire(i int, p Past) {
	j.Entries = slices.Delete(j.Entries, i, i+1)
	j.remember(p)
}

func (j *Ejections) remember(p Past) {
	j.Past = slices.DeleteFunc(j.Past, func(o Past) bool { return o.Target == p.Target })
	j.Past = append(j.Past, p)
}

func (j Ejections) index(id fleet.TargetID) int {
	return slices.IndexFunc(j.Entries, func(e Ejection) bool { return e.Target == id })
}

func lists(svc *fleet.Service, id fleet.TargetID) bool {
	return slices.ContainsFunc(svc.Targets, func(t fleet.Target) bool { return t.ID == id })
}

// clip bounds a text for the row. It keeps whole characters, since JSON turns
// a broken one into three bytes and the text would exceed its bound at readers.
func clip(text string) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= maxReason {
		return text
	}
	return strings.ToValidUTF8(text[:maxReason], "")
}

// stored returns the time as the row keeps it: UTC and without the reading of
// the monotonic clock, so that values compare equal after a round trip.
func stored(t time.Time) time.Time {
	return t.Round(0).UTC()
}
