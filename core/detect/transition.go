package detect

import (
	"slices"
	"strings"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// flapFactor is the number of previous ejection periods within which a new
// ejection of the same target doubles the period.
const flapFactor = 10

// Eject adds the target of a verdict. It returns fault.FloorReached if the
// ejected targets, or these together with all drained and leaving ones, would
// leave fewer than the floor in service, and fault.NotFound for a target that
// is not part of the service. A target that is already listed is left as it is.
func (j Ejections) Eject(svc *fleet.Service, signals LeavingSignals, v Verdict, by string, now time.Time) (Ejections, error) {
	n := j.withSettings(svc, now)
	if _, ok := n.Find(v.Target); ok {
		return n.bumpSequence(j), nil
	}
	if err := n.checkCanEject(svc, signals, v.Target); err != nil {
		return j, err
	}
	period := n.nextPeriod(svc.Policy, v.Target, now)
	n.Entries = append(n.Entries, Ejection{
		Target: v.Target, Phase: PhaseEjected, Since: rowTime(now), Until: rowTime(now.Add(period)), PeriodMS: period.Milliseconds(),
		Severity: v.Severity, By: truncateText(by), Reason: truncateText(v.Reason),
	})
	return n.bumpSequence(j), nil
}

// EjectByHand adds a target for an operator, until an operator returns it. An
// entry that is already listed becomes a by-hand entry. The floor applies to
// operators too.
func (j Ejections) EjectByHand(svc *fleet.Service, signals LeavingSignals, id fleet.TargetID, operator, reason string, now time.Time) (Ejections, error) {
	if operator == "" {
		return j, fault.New(fault.BadRequest, "ejection by hand without an operator")
	}
	n := j.withSettings(svc, now)
	entry := Ejection{Target: id, Phase: PhaseByHand, Since: rowTime(now), By: truncateText(operator), Reason: truncateText(reason)}
	if i := n.indexOf(id); i >= 0 {
		if n.Entries[i].Phase != PhaseByHand {
			n.Entries[i] = entry
		}
		return n.bumpSequence(j), nil
	}
	if err := n.checkCanEject(svc, signals, id); err != nil {
		return j, err
	}
	n.Entries = append(n.Entries, entry)
	return n.bumpSequence(j), nil
}

// ReturnByHand removes a target from the list for an operator; slow start
// follows. It also resets the ejection period of the target. A target that is
// not listed is left as it is.
func (j Ejections) ReturnByHand(svc *fleet.Service, id fleet.TargetID, operator, reason string, now time.Time) (Ejections, error) {
	if operator == "" {
		return j, fault.New(fault.BadRequest, "return by hand without an operator")
	}
	n := j.withSettings(svc, now)
	if i := n.indexOf(id); i >= 0 {
		n.endEjection(i, PastEjection{Target: id, Returned: rowTime(now), By: truncateText(operator), Reason: truncateText(reason)})
	}
	return n.bumpSequence(j), nil
}

// BeginTrial starts the trial of a target whose ejection period is over.
func (j Ejections) BeginTrial(svc *fleet.Service, id fleet.TargetID, now time.Time) (Ejections, error) {
	n := j.withSettings(svc, now)
	i := n.indexOf(id)
	if i < 0 || n.Entries[i].Phase != PhaseEjected {
		return n.bumpSequence(j), nil
	}
	if now.Before(n.Entries[i].Until) {
		return j, fault.New(fault.BadRequest, "ejection of %s lasts until %s", id, n.Entries[i].Until.Format(time.RFC3339))
	}
	n.Entries[i].Phase = PhaseTrial
	return n.bumpSequence(j), nil
}

// EndTrial ends a trial: a target that passed returns to service, one that
// failed stays ejected for twice its period.
func (j Ejections) EndTrial(svc *fleet.Service, id fleet.TargetID, passed bool, by string, now time.Time) (Ejections, error) {
	n := j.withSettings(svc, now)
	i := n.indexOf(id)
	if i < 0 || n.Entries[i].Phase != PhaseTrial {
		return n.bumpSequence(j), nil
	}
	e := &n.Entries[i]
	if passed {
		n.endEjection(i, PastEjection{Target: id, Returned: rowTime(now), PeriodMS: e.PeriodMS, By: truncateText(by), Reason: "trial passed"})
		return n.bumpSequence(j), nil
	}
	period := min(2*e.Period(), svc.Policy.Ejection.Max)
	e.Phase, e.PeriodMS, e.Until, e.By = PhaseEjected, period.Milliseconds(), rowTime(now.Add(period)), truncateText(by)
	return n.bumpSequence(j), nil
}

// ApplySettings adapts the list to the settings: it removes entries of targets
// that no longer exist, and the last by priority if the entries exceed a raised
// floor or a smaller number of targets.
func (j Ejections) ApplySettings(svc *fleet.Service, now time.Time) Ejections {
	return j.withSettings(svc, now).bumpSequence(j)
}

// WithWriteID returns the list with the id of the write that stores it.
func (j Ejections) WithWriteID(writeID string) Ejections {
	n := j
	n.WriteIDs = append(slices.Clone(j.WriteIDs), writeID)
	if extra := len(n.WriteIDs) - maxWriteIDs; extra > 0 {
		n.WriteIDs = n.WriteIDs[extra:]
	}
	return n
}

// withSettings returns a copy, adapted to the settings, that the caller may
// modify.
func (j Ejections) withSettings(svc *fleet.Service, now time.Time) Ejections {
	n := j
	n.Targets = len(svc.Targets)
	n.Floor = svc.Policy.Floor.MinTargets(n.Targets)
	n.Past = slices.DeleteFunc(slices.Clone(j.Past), func(p PastEjection) bool {
		keep := max(flapFactor*time.Duration(p.PeriodMS)*time.Millisecond, svc.Policy.SlowStart)
		return now.Sub(p.Returned) > keep || !hasTarget(svc, p.Target)
	})
	n.Entries = make([]Ejection, 0, len(j.Entries)+1)
	for _, e := range j.byPriority() {
		switch {
		case !hasTarget(svc, e.Target):
		case len(n.Entries) >= n.Targets-n.Floor:
			n.addPast(PastEjection{Target: e.Target, Returned: rowTime(now), PeriodMS: e.PeriodMS, By: e.By, Reason: "floor reached"})
		default:
			n.Entries = append(n.Entries, e)
		}
	}
	return n
}

// bumpSequence raises the sequence if the list differs from the one before, and
// otherwise returns that one.
func (j Ejections) bumpSequence(before Ejections) Ejections {
	if j.Targets == before.Targets && j.Floor == before.Floor &&
		slices.Equal(j.Entries, before.byPriority()) {
		return before
	}
	j.Sequence = before.Sequence + 1
	return j
}

// checkCanEject checks that one more target may be ejected. The listed targets
// alone must leave the floor in service, and so must the listed, drained and
// leaving targets of the service together.
func (j Ejections) checkCanEject(svc *fleet.Service, signals LeavingSignals, id fleet.TargetID) error {
	if !hasTarget(svc, id) {
		return fault.New(fault.NotFound, "service %s has no target %s", svc.ID, id)
	}
	unavailable := 0
	for i := range svc.Targets {
		t := &svc.Targets[i]
		_, leaving := signals[t.ID]
		if t.ID == id || t.Drained || leaving || j.indexOf(t.ID) >= 0 {
			unavailable++
		}
	}
	if len(j.Entries)+1 > j.Targets-j.Floor || unavailable > j.Targets-j.Floor {
		return fault.New(fault.FloorReached, "service %s keeps at least %d of %d targets; %d are ejected, drained or leaving",
			svc.ID, j.Floor, j.Targets, unavailable-1)
	}
	return nil
}

// nextPeriod returns the ejection period of a target. It is twice the previous
// one if the target is ejected again within flapFactor times that period.
func (j Ejections) nextPeriod(p fleet.Policy, id fleet.TargetID, now time.Time) time.Duration {
	base := max(p.Ejection.Base, time.Millisecond)
	past, ok := j.FindPast(id)
	period := time.Duration(past.PeriodMS) * time.Millisecond
	if !ok || period == 0 || now.Sub(past.Returned) > flapFactor*period {
		return base
	}
	return max(base, min(2*period, p.Ejection.Max))
}

// endEjection removes the entry and records the past ejection.
func (j *Ejections) endEjection(i int, p PastEjection) {
	j.Entries = slices.Delete(j.Entries, i, i+1)
	j.addPast(p)
}

func (j *Ejections) addPast(p PastEjection) {
	j.Past = slices.DeleteFunc(j.Past, func(o PastEjection) bool { return o.Target == p.Target })
	j.Past = append(j.Past, p)
}

func (j Ejections) indexOf(id fleet.TargetID) int {
	return slices.IndexFunc(j.Entries, func(e Ejection) bool { return e.Target == id })
}

func hasTarget(svc *fleet.Service, id fleet.TargetID) bool {
	return slices.ContainsFunc(svc.Targets, func(t fleet.Target) bool { return t.ID == id })
}

// truncateText bounds a text for the row. It does not cut through a character:
// JSON encodes a broken one as three bytes, and the text would then exceed the
// bound at readers.
func truncateText(text string) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "")
}

// rowTime returns the time as it is stored in the row, in UTC and without the
// monotonic clock reading, so that values compare equal after a round trip.
func rowTime(t time.Time) time.Time {
	return t.Round(0).UTC()
}
