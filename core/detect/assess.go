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
	// sickFailures is the least number of failures from which one observer finds
	// a target sick. With 4 requests and a limit of 40%, two stray failures
	// would do, which 1 of 100 failing at random makes common.
	sickFailures = 3
	// pooledFailures is the least number of own failures with which an
	// observer joins an agreement that rests on pooled evidence.
	pooledFailures = 2
	// pooledRequests is the same for requests that were slow.
	pooledRequests = 2
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

// Assess judges all targets by the evidence up to now, the worst first.
func (s *Service) Assess(now time.Time) []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.newEvaluation(now)
	s.suspect = map[fleet.TargetID]bool{}
	s.typical = 0
	if code, ok := x.codes.median(); ok {
		s.typical = latencyOf(code)
	}
	var verdicts []Verdict
	for t, id := range x.targets {
		if v, ok := x.judge(t); ok {
			verdicts = append(verdicts, v)
			s.suspect[id] = true
		}
	}
	if x.mostFail() {
		verdicts = nil
	}
	s.unconfirmed = x.unconfirmed()
	s.stamp(verdicts, now)
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Action, a.Action), cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Target, b.Target))
	})
	return verdicts
}

// unconfirmed returns the suspects that this daemon has not used enough to judge.
func (x *evaluation) unconfirmed() map[fleet.TargetID]bool {
	out := map[fleet.TargetID]bool{}
	for id := range x.s.suspect {
		if x.own == nil {
			out[id] = true
			continue
		}
		basis := x.own.o.series[id].newest(x.p.MinRequests, x.wide)
		if basis.requests() < x.p.MinRequests {
			out[id] = true
		}
	}
	return out
}

// stamp fills Since, which survives as long as a target has a verdict.
func (s *Service) stamp(verdicts []Verdict, now time.Time) {
	next := make(map[fleet.TargetID]time.Time, len(verdicts))
	s.slow = map[fleet.TargetID]bool{}
	for i := range verdicts {
		v := &verdicts[i]
		v.Since = now
		if t, ok := s.since[v.Target]; ok {
			v.Since = t
		}
		next[v.Target] = v.Since
		if v.Cause == CauseSlow {
			s.slow[v.Target] = true
		}
	}
	s.since = next
}

// measure is what a target is compared with.
type measure struct {
	limit    float64 // failure ratio
	base     float64 // median latency code of the other targets
	haveBase bool
	steady   bool          // slowness lasts
	slowSpan time.Duration // in which it shows
}

// judge gives the verdict on one target, if there is one.
func (x *evaluation) judge(t int) (Verdict, bool) {
	id := x.targets[t]
	typical, _ := x.ratios.without(t)
	m := measure{limit: typical + (1-typical)*x.p.FailureRatio}
	m.base, m.haveBase = x.codes.without(t)
	m.slowSpan, m.steady = x.steadySlowness(t, m)
	joinWith, pool := x.poolFails(t, m.limit)
	probesFail := x.probesFail(t)

	agree, against := []*view{}, 0
	for i := range x.counted {
		v := x.view(&x.counted[i], t, m)
		switch {
		case v.sick(), joinWith > 0 && v.joins(joinWith, m.limit), m.steady && x.joinsSlow(v, t, m), probesFail && x.confirmsProbes(v.o, id):
			agree = append(agree, v)
		case v.enough && (!m.steady || x.counted[i].recent[t].requests() >= x.p.MinRequests):
			// Evidence from before a target became slow does not speak against slowness.
			against++
		}
		if v.basis.failures() >= suspectFailures && v.basis.ratio() >= m.limit/2 {
			x.s.suspect[id] = true
		}
	}
	if x.agreed(agree, against) {
		return x.condemn(id, agree, pool, m), true
	}
	return x.avoid(t, m, probesFail)
}

// view judges one target by the evidence of one observer. The window decides
// if it holds enough requests; else the newest requests of the wide window do.
// A burst of failures in the newest requests decides before the window is
// full, at a limit halfway to certainty.
func (x *evaluation) view(w *observation, t int, m measure) *view {
	se := w.o.series[x.targets[t]]
	v := &view{o: w.o, basis: w.recent[t]}
	if v.basis.requests() < x.p.MinRequests {
		v.basis = se.newest(x.p.MinRequests, x.wide)
	}
	v.enough = v.basis.requests() >= x.p.MinRequests
	if !v.enough {
		return v
	}
	v.failing = v.basis.failures() >= min(sickFailures, x.p.MinRequests) && v.basis.ratio() >= m.limit
	if !v.failing && w.recent[t].failures() > 0 {
		if burst := se.newest(x.p.MinRequests, x.recent); burst.requests() >= x.p.MinRequests && burst.ratio() >= (1+m.limit)/2 {
			v.failing, v.basis = true, burst
		}
	}
	v.slow = m.steady && int(v.basis.counts[OK]) >= x.p.MinRequests && x.isSlow(x.targets[t], v.basis.code(), m.base)
	return v
}

func (v *view) joins(failures int, limit float64) bool {
	return v.basis.failures() >= failures && v.basis.ratio() >= limit
}

func (x *evaluation) isSlow(id fleet.TargetID, code, base float64) bool {
	factor := x.p.SlowFactor
	if at, ok := x.s.started[id]; ok && x.now.Sub(at) < x.s.svc.Policy.SlowStart+x.p.Window {
		factor *= coldFactor
	}
	return code-base > codesPerOctave*math.Log2(factor) && latencyOf(code)-latencyOf(base) > slowMargin
}

// steadySlowness reports whether the target is slow in both halves of the
// window, or of a longer span if the window holds too few requests, by the
// evidence of all counted observers. A burst of requests that queue at one
// target, which takes a second or two to pass, is not slowness of the target.
// Once there is a verdict of slowness, little or no work follows, so the check is not
// repeated.
func (x *evaluation) steadySlowness(t int, m measure) (time.Duration, bool) {
	id := x.targets[t]
	if !m.haveBase {
		return 0, false
	}
	if x.s.slow[id] {
		return wideWindows * x.p.Window, true
	}
	for span := x.p.Window; span <= wideWindows*x.p.Window; span *= 2 {
		early, late := x.poolSince(t, span), x.poolSince(t, span/2)
		if int(early.counts[OK]) < 2*x.p.MinRequests {
			continue
		}
		early.subtract(late)
		return span, x.halfSlow(id, early, m.base) && x.halfSlow(id, late, m.base)
	}
	return 0, false
}

// joinsSlow reports whether an observer that has too few requests of its own
// shares the pooled finding that the target is slow.
func (x *evaluation) joinsSlow(v *view, t int, m measure) bool {
	own := v.o.series[x.targets[t]].since(x.now.Add(-m.slowSpan))
	if own.counts[OK] < pooledRequests || !x.isSlow(x.targets[t], own.code(), m.base) {
		return false
	}
	v.basis, v.slow = own, true
	return true
}

func (x *evaluation) halfSlow(id fleet.TargetID, half tally, base float64) bool {
	return half.counts[OK] > 0 && x.isSlow(id, half.code(), base)
}

// poolFails judges the newest evidence of all counted observers together,
// which suffices long before each observer has enough of its own. The span
// grows from a quarter of the window until it holds enough requests, up to the
// wide window for a target with little traffic. It returns the number of own
// failures with which an observer joins, 0 if the pool does not fail: one is
// enough if the pool holds a whole minimum of failures and little else.
func (x *evaluation) poolFails(t int, limit float64) (int, tally) {
	if x.pooled[t].failures() < pooledFailures {
		return 0, tally{}
	}
	need := x.p.MinRequests * max(1, x.p.MinObservers)
	for span := x.p.Window / poolSteps; span <= wideWindows*x.p.Window; span *= 2 {
		pool := x.poolSince(t, span)
		if pool.failures() >= max(x.p.MinRequests, sickFailures) && pool.ratio() >= (1+limit)/2 {
			return 1, pool
		}
		if pool.requests() < need {
			continue
		}
		if pool.ratio() >= limit {
			return pooledFailures, pool
		}
		return 0, pool
	}
	return 0, tally{}
}

// probesFail reports whether probes fail in a row and nothing better is known:
// probes are evidence of second rank, so one good request outweighs them.
func (x *evaluation) probesFail(t int) bool {
	id := x.targets[t]
	from := x.now.Add(-max(x.p.Window, probeFailures*x.s.svc.Policy.Probe.Interval))
	failed := false
	for i := range x.counted {
		se := x.counted[i].o.series[id]
		if se == nil {
			continue
		}
		failed = failed || se.probeFailed.After(from)
		if se.good.After(from) {
			from = se.good
		}
	}
	if !failed {
		return false
	}
	x.s.suspect[id] = true
	all := x.poolSince(t, x.now.Sub(from))
	return all.probesFailed >= probeFailures
}

func (x *evaluation) confirmsProbes(o *observer, id fleet.TargetID) bool {
	t := o.series[id].since(x.wide)
	return t.failures() > 0 || t.probesFailed >= probeFailures
}

// agreed applies the rule of agreement: enough observers, in two data centres
// where carriers stand in two, and not fewer than those with enough evidence
// to the contrary.
func (x *evaluation) agreed(agree []*view, against int) bool {
	if len(agree) < max(1, x.p.MinObservers) || len(agree) < against {
		return false
	}
	return len(dataCentres(agree)) >= min(minDataCentres, x.carrierDataCentres())
}

func (x *evaluation) carrierDataCentres() int {
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

func (x *evaluation) condemn(id fleet.TargetID, agree []*view, pool tally, m measure) Verdict {
	var all tally
	failing := false
	for _, v := range agree {
		all.merge(v.basis)
		failing = failing || v.failing
	}
	if all.requests() == 0 {
		all = pool
	}
	v := x.verdict(id, Condemn, all, m, failing || all.failures() > 0 && all.ratio() >= m.limit)
	v.Observers, v.DataCentres = len(agree), len(dataCentres(agree))
	v.Reason += fmt.Sprintf("; %d observers in %d data centres agree", v.Observers, v.DataCentres)
	return v
}

// avoid gives this daemon's own view. It needs another target in good order,
// since avoiding all of them gains nothing.
func (x *evaluation) avoid(t int, m measure, probesFail bool) (Verdict, bool) {
	id := x.targets[t]
	if probesFail {
		return Verdict{
			Target: id, Action: Avoid, Cause: CauseProbes, Severity: 1, Observers: 1, DataCentres: 1,
			Reason: "probes fail and no request succeeded",
		}, true
	}
	if x.own == nil {
		return Verdict{}, false
	}
	own := x.view(x.own, t, m)
	if !own.sick() || !x.ownAlternative(t) {
		return Verdict{}, false
	}
	v := x.verdict(id, Avoid, own.basis, m, own.failing)
	v.Observers, v.DataCentres = 1, 1
	v.Reason += "; not confirmed by other observers"
	return v, true
}

func (x *evaluation) ownAlternative(but int) bool {
	for t := range x.targets {
		seen := &x.own.recent[t]
		if t != but && seen.requests() > 0 && seen.ratio() < x.p.FailureRatio {
			return true
		}
	}
	return false
}

func (x *evaluation) verdict(id fleet.TargetID, a Action, t tally, m measure, failing bool) Verdict {
	v := Verdict{Target: id, Action: a}
	if failing {
		v.Cause, v.Severity, v.Reason = causeOf(t), 1+t.ratio(), failingReason(t, m.limit)
		return v
	}
	v.Cause, v.Reason = CauseSlow, slowReason(t.code(), m.base)
	v.Severity = min(1, (t.code()-m.base)/math.MaxUint8)
	return v
}
