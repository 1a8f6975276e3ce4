package detect

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
)

const (
	// slowMargin is the least difference to the median that counts as slow.
	// Below it, the network distance between data centres (0.5 ms) and
	// scheduling noise outweigh what the target does.
	slowMargin = 5 * time.Millisecond
	// coldFactor multiplies the slow factor while a target starts slowly.
	coldFactor = 4
	// probeFailures is the number of failed probes in a row, with no good
	// request or probe beside them, that speaks against a target.
	probeFailures = 3
	// pooledFailures is the least number of own failures with which an
	// observer joins an agreement that rests on pooled evidence.
	pooledFailures = 2
	// poolSteps divides the window into the shortest span of pooled evidence.
	poolSteps = 4
	// suspectFailures is the number of failures at one observer from which a
	// target is watched more closely.
	suspectFailures = 2
	// minDataCentres is the number of data centres that agree if carriers
	// stand in as many.
	minDataCentres = 2
)

// view is what one observer has against one target.
type view struct {
	o       *observer
	basis   tally
	enough  bool
	failing bool
	slow    bool
}

func (v *view) sick() bool { return v.failing || v.slow }

// exam is the work of one Assess.
type exam struct {
	s       *Service
	p       fleet.Detection
	now     time.Time
	recent  time.Time
	wide    time.Time
	targets []fleet.TargetID
	// counted observers do not fail against most targets.
	counted []*observer
	own     *observer
	pooled  map[fleet.TargetID]tally
	codes   map[fleet.TargetID]float64
	ratios  map[fleet.TargetID]float64
}

// Assess judges all targets by the evidence up to now, the worst first.
func (s *Service) Assess(now time.Time) []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.newExam(now)
	s.suspect = map[fleet.TargetID]bool{}
	s.typical = 0
	if code, ok := others(x.codes, ""); ok {
		s.typical = latencyOf(code)
	}
	var verdicts []Verdict
	for _, id := range x.targets {
		if v, ok := x.judge(id); ok {
			verdicts = append(verdicts, v)
			s.suspect[id] = true
		}
	}
	if x.mostFail() {
		verdicts = nil
	}
	s.stamp(verdicts, now)
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Action, a.Action), cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Target, b.Target))
	})
	return verdicts
}

// stamp fills Since, which survives as long as a target has a verdict.
func (s *Service) stamp(verdicts []Verdict, now time.Time) {
	next := make(map[fleet.TargetID]time.Time, len(verdicts))
	for i := range verdicts {
		v := &verdicts[i]
		v.Since = now
		if t, ok := s.since[v.Target]; ok {
			v.Since = t
		}
		next[v.Target] = v.Since
	}
	s.since = next
}

func (s *Service) newExam(now time.Time) *exam {
	p := s.svc.Policy.Detection
	x := &exam{
		s: s, p: p, now: now, recent: now.Add(-p.Window), wide: now.Add(-wideWindows * p.Window),
		pooled: map[fleet.TargetID]tally{}, codes: map[fleet.TargetID]float64{}, ratios: map[fleet.TargetID]float64{},
		own: s.observers[s.self],
	}
	for i := range s.svc.Targets {
		t := &s.svc.Targets[i]
		if !s.held[t.ID] && !t.Drained {
			x.targets = append(x.targets, t.ID)
		}
	}
	for _, o := range s.observers {
		if !x.failsEverywhere(o) {
			x.counted = append(x.counted, o)
		}
	}
	slices.SortFunc(x.counted, func(a, b *observer) int { return cmp.Compare(a.id, b.id) })
	for _, id := range x.targets {
		x.pool(id)
	}
	return x
}

// failsEverywhere reports whether the observer fails against most targets it
// used, which points at the observer or at the service rather than at a target.
func (x *exam) failsEverywhere(o *observer) bool {
	used, failing := 0, 0
	for _, id := range x.targets {
		t := o.series[id].since(x.recent)
		if t.requests() == 0 {
			continue
		}
		used++
		if t.ratio() >= x.p.FailureRatio {
			failing++
		}
	}
	return failing > 1 && 2*failing > used
}

func (x *exam) pool(id fleet.TargetID) {
	recent, wide := tally{}, tally{}
	for _, o := range x.counted {
		recent.merge(o.series[id].since(x.recent))
		wide.merge(o.series[id].since(x.wide))
	}
	if recent.requests() < x.p.MinRequests {
		recent = wide
	}
	x.pooled[id] = recent
	if recent.requests() >= x.p.MinRequests {
		x.ratios[id] = recent.ratio()
	}
	if int(recent.counts[OK]) >= x.p.MinRequests {
		x.codes[id] = recent.code()
	}
}

// mostFail reports whether more than half of the targets with evidence fail,
// so that the service as a whole is at fault.
func (x *exam) mostFail() bool {
	failing := 0
	for _, r := range x.ratios {
		if r >= x.p.FailureRatio {
			failing++
		}
	}
	return failing > 1 && 2*failing > len(x.ratios)
}

// others returns the median over all targets but one.
func others(of map[fleet.TargetID]float64, but fleet.TargetID) (float64, bool) {
	var values []float64
	for id, v := range of {
		if id != but {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0, false
	}
	slices.Sort(values)
	mid := len(values) / 2
	if len(values)%2 == 1 {
		return values[mid], true
	}
	return (values[mid-1] + values[mid]) / 2, true
}

// judge gives the verdict on one target, if there is one.
func (x *exam) judge(id fleet.TargetID) (Verdict, bool) {
	typical, _ := others(x.ratios, id)
	limit := typical + (1-typical)*x.p.FailureRatio
	base, haveBase := others(x.codes, id)
	poolFails, pool := x.poolFails(id, limit)
	probesFail := x.probesFail(id)

	agree, against := []*view{}, 0
	for _, o := range x.counted {
		v := x.view(o, id, limit, base, haveBase)
		switch {
		case v.sick(), poolFails && v.joins(limit), probesFail && x.confirmsProbes(o, id):
			agree = append(agree, v)
		case v.enough:
			against++
		}
		if v.basis.failures() >= suspectFailures && v.basis.ratio() >= limit/2 {
			x.s.suspect[id] = true
		}
	}
	if x.agreed(agree, against) {
		return x.condemn(id, agree, pool, limit, base), true
	}
	return x.avoid(id, limit, base, haveBase, probesFail)
}

// view judges one target by the evidence of one observer. The window decides
// if it holds enough requests; else the newest requests of the wide window do.
// A burst of failures in the newest requests decides before the window is
// full, at a limit halfway to certainty.
func (x *exam) view(o *observer, id fleet.TargetID, limit, base float64, haveBase bool) *view {
	se := o.series[id]
	v := &view{o: o, basis: se.since(x.recent)}
	if v.basis.requests() < x.p.MinRequests {
		v.basis = se.newest(x.p.MinRequests, x.wide)
	}
	v.enough = v.basis.requests() >= x.p.MinRequests
	if !v.enough {
		return v
	}
	v.failing = v.basis.ratio() >= limit
	if burst := se.newest(x.p.MinRequests, x.recent); burst.requests() >= x.p.MinRequests && burst.ratio() >= (1+limit)/2 {
		v.failing, v.basis = true, burst
	}
	v.slow = haveBase && int(v.basis.counts[OK]) >= x.p.MinRequests && x.isSlow(id, v.basis.code(), base)
	return v
}

func (v *view) joins(limit float64) bool {
	return v.basis.failures() >= pooledFailures && v.basis.ratio() >= limit
}

func (x *exam) isSlow(id fleet.TargetID, code, base float64) bool {
	factor := x.p.SlowFactor
	if at, ok := x.s.started[id]; ok && x.now.Sub(at) < x.s.svc.Policy.SlowStart+x.p.Window {
		factor *= coldFactor
	}
	return code-base > codesPerOctave*math.Log2(factor) && latencyOf(code)-latencyOf(base) > slowMargin
}

// poolFails judges the newest evidence of all counted observers together,
// which suffices long before each observer has enough of its own. The span
// grows from a quarter of the window until it holds enough requests, up to the
// wide window for a target with little traffic.
func (x *exam) poolFails(id fleet.TargetID, limit float64) (bool, tally) {
	need := x.p.MinRequests * max(1, x.p.MinObservers)
	for span := x.p.Window / poolSteps; span <= wideWindows*x.p.Window; span *= 2 {
		var t tally
		for _, o := range x.counted {
			t.merge(o.series[id].since(x.now.Add(-span)))
		}
		if t.requests() >= need {
			return t.ratio() >= limit, t
		}
	}
	return false, tally{}
}

// probesFail reports whether probes fail and nothing better is known: probes
// are evidence of second rank, so one good request outweighs them.
func (x *exam) probesFail(id fleet.TargetID) bool {
	span := max(x.p.Window, probeFailures*x.s.svc.Policy.Probe.Interval)
	var t tally
	for _, o := range x.counted {
		t.merge(o.series[id].since(x.now.Add(-span)))
	}
	if t.probesFailed > 0 {
		x.s.suspect[id] = true
	}
	return t.probesFailed >= probeFailures && t.probesOK == 0 && t.counts[OK] == 0
}

func (x *exam) confirmsProbes(o *observer, id fleet.TargetID) bool {
	t := o.series[id].since(x.wide)
	return t.failures() > 0 || t.probesFailed >= probeFailures
}

// agreed applies the rule of agreement: enough observers, in two data centres
// where carriers stand in two, and not fewer than those with enough evidence
// to the contrary.
func (x *exam) agreed(agree []*view, against int) bool {
	if len(agree) < max(1, x.p.MinObservers) || len(agree) < against {
		return false
	}
	return len(dataCentres(agree)) >= min(minDataCentres, x.carrierDataCentres())
}

func (x *exam) carrierDataCentres() int {
	all := map[fleet.DataCentre]bool{}
	for _, dc := range x.s.carriers {
		all[dc] = true
	}
	if len(all) > 0 {
		return len(all)
	}
	for _, o := range x.s.observers {
		all[o.dc] = true
	}
	return len(all)
}

func dataCentres(views []*view) map[fleet.DataCentre]bool {
	dcs := map[fleet.DataCentre]bool{}
	for _, v := range views {
		dcs[v.o.dc] = true
	}
	return dcs
}

func (x *exam) condemn(id fleet.TargetID, agree []*view, pool tally, limit, base float64) Verdict {
	var all tally
	failing := false
	for _, v := range agree {
		all.merge(v.basis)
		failing = failing || v.failing
	}
	if all.requests() == 0 {
		all = pool
	}
	v := x.verdict(id, Condemn, all, limit, base, failing || all.failures() > 0 && all.ratio() >= limit)
	v.Observers, v.DataCentres = len(agree), len(dataCentres(agree))
	v.Reason += fmt.Sprintf("; %d observers in %d data centres agree", v.Observers, v.DataCentres)
	return v
}

// avoid gives this daemon's own view. It needs another target in good order,
// since avoiding all of them gains nothing.
func (x *exam) avoid(id fleet.TargetID, limit, base float64, haveBase, probesFail bool) (Verdict, bool) {
	if probesFail {
		return Verdict{
			Target: id, Action: Avoid, Cause: CauseProbes, Severity: 1, Observers: 1, DataCentres: 1,
			Reason: "probes fail and no request succeeded",
		}, true
	}
	if x.own == nil {
		return Verdict{}, false
	}
	own := x.view(x.own, id, limit, base, haveBase)
	if !own.sick() || !x.ownAlternative(id) {
		return Verdict{}, false
	}
	v := x.verdict(id, Avoid, own.basis, limit, base, own.failing)
	v.Observers, v.DataCentres = 1, 1
	v.Reason += "; not confirmed by other observers"
	return v, true
}

func (x *exam) ownAlternative(but fleet.TargetID) bool {
	for _, id := range x.targets {
		t := x.own.series[id].since(x.recent)
		if id != but && t.requests() > 0 && t.ratio() < x.p.FailureRatio {
			return true
		}
	}
	return false
}

func (x *exam) verdict(id fleet.TargetID, a Action, t tally, limit, base float64, failing bool) Verdict {
	v := Verdict{Target: id, Action: a}
	if failing {
		v.Cause, v.Severity, v.Reason = causeOf(t), 1+t.ratio(), failingReason(t, limit)
		return v
	}
	v.Cause, v.Reason = CauseSlow, slowReason(t.code(), base)
	v.Severity = min(1, (t.code()-base)/math.MaxUint8)
	return v
}
