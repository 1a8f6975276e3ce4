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
	// slowMargin is the least excess over the median latency that counts as
	// slow. Below it, the network distance between data centres (0.5 ms) and
	// scheduling noise outweigh the target's own latency.
	slowMargin = 5 * time.Millisecond
	// slowStartFactor multiplies the slow factor of a target in slow start.
	slowStartFactor = 4
	// minProbeFailures is the number of probes that have to fail, with no
	// successful request or probe since the first of them, before probes count
	// against a target.
	minProbeFailures = 3
	// minFailures is the least number of failures for which one observer finds
	// a target failing. With 4 requests and a limit of 40%, two unrelated
	// failures would suffice, which is common when 1 of 100 requests fails at
	// random.
	minFailures = 3
	// minConfirmingFailures is the least number of failures of its own with
	// which an observer confirms a finding from pooled evidence.
	minConfirmingFailures = 2
	// minConfirmingRequests is the least number of successful requests of its
	// own with which an observer confirms a pooled finding of slowness.
	minConfirmingRequests = 2
	// shortestSpanDivisor divides the window into the shortest span of pooled
	// evidence.
	shortestSpanDivisor = 4
	// minSuspectFailures is the number of failures at one observer from which a
	// target is a suspect, which is probed and reported on more often.
	minSuspectFailures = 2
	// minDataCentres is the number of data centres whose observers have to
	// agree if the carriers are in at least as many.
	minDataCentres = 2
)

// finding is the evidence of one observer about one target, and what it shows.
type finding struct {
	observer   *observer
	evidence   totals
	sufficient bool
	failing    bool
	slow       bool
}

func (v *finding) isUnhealthy() bool { return v.failing || v.slow }

// Assess evaluates all targets by the evidence up to now. It returns the
// verdicts, the most severe first, or none if the service as a whole fails.
func (s *Detector) Assess(now time.Time) []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.newEvaluation(now)
	s.suspects = map[fleet.TargetID]bool{}
	s.medianLatency = 0
	if code, ok := x.latencyCodes.median(); ok {
		s.medianLatency = latencyOf(code)
	}
	var verdicts []Verdict
	for t, id := range x.targets {
		if v, ok := x.assessTarget(t); ok {
			verdicts = append(verdicts, v)
			s.suspects[id] = true
		}
	}
	if x.isServiceFailing() {
		verdicts = nil
	}
	s.undersampled = x.undersampledSuspects()
	s.setSince(verdicts, now)
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Action, a.Action), cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Target, b.Target))
	})
	return verdicts
}

// undersampledSuspects returns the suspects for which this daemon has too few
// requests of its own.
func (x *evaluation) undersampledSuspects() map[fleet.TargetID]bool {
	out := map[fleet.TargetID]bool{}
	for id := range x.detector.suspects {
		if x.own == nil {
			out[id] = true
			continue
		}
		own := x.own.observer.series[id].newest(x.detection.MinRequests, x.longWindowStart)
		if own.requests() < x.detection.MinRequests {
			out[id] = true
		}
	}
	return out
}

// setSince fills Since of the verdicts. A target keeps its time for as long as
// each Assess returns a verdict on it.
func (s *Detector) setSince(verdicts []Verdict, now time.Time) {
	next := make(map[fleet.TargetID]time.Time, len(verdicts))
	s.slowTargets = map[fleet.TargetID]bool{}
	for i := range verdicts {
		v := &verdicts[i]
		v.Since = now
		if t, ok := s.verdictSince[v.Target]; ok {
			v.Since = t
		}
		next[v.Target] = v.Since
		if v.Cause == CauseSlow {
			s.slowTargets[v.Target] = true
		}
	}
	s.verdictSince = next
}

// criteria holds the limits and reference values by which a target is assessed.
type criteria struct {
	failureLimit float64 // failure ratio from which the target fails
	medianCode   float64 // median latency code of the other targets
	hasMedian    bool
	steadilySlow bool          // slow in both halves of slowSpan
	slowSpan     time.Duration // span of the evidence of slowness
}

// assessTarget returns the verdict on one target, and whether there is one.
func (x *evaluation) assessTarget(t int) (Verdict, bool) {
	id := x.targets[t]
	medianRatio, _ := x.failureRatios.medianWithout(t)
	c := criteria{failureLimit: medianRatio + (1-medianRatio)*x.detection.FailureRatio}
	c.medianCode, c.hasMedian = x.latencyCodes.medianWithout(t)
	c.slowSpan, c.steadilySlow = x.steadySlowness(t, c)
	confirmWith, pooled := x.assessPooled(t, c.failureLimit)
	probesFail := x.probesFail(t)

	agree, against := []*finding{}, 0
	for i := range x.included {
		v := x.observerFinding(&x.included[i], t, c)
		switch {
		case v.isUnhealthy(), confirmWith > 0 && v.confirmsFailures(confirmWith, c.failureLimit), c.steadilySlow && x.confirmsSlowness(v, t, c), probesFail && x.confirmsProbeFailures(v.observer, id):
			agree = append(agree, v)
		case v.sufficient && (!c.steadilySlow || x.included[i].totals[t].requests() >= x.detection.MinRequests):
			// Older evidence may date from before the target became slow, so
			// only evidence within the window contradicts slowness.
			against++
		}
		if v.evidence.failures() >= minSuspectFailures && v.evidence.failureRatio() >= c.failureLimit/2 {
			x.detector.suspects[id] = true
		}
	}
	if x.hasQuorum(agree, against) {
		return x.condemnVerdict(id, agree, pooled, c), true
	}
	return x.avoidVerdict(t, c, probesFail)
}

// observerFinding assesses one target by the evidence of one observer. It uses
// the window if that holds enough requests, and otherwise the newest requests
// of the long window. A burst of failures among the newest requests decides
// before the rest of the window does, at a stricter limit: halfway between the
// failure limit and 1.
func (x *evaluation) observerFinding(w *observerWindow, t int, c criteria) *finding {
	se := w.observer.series[x.targets[t]]
	v := &finding{observer: w.observer, evidence: w.totals[t]}
	if v.evidence.requests() < x.detection.MinRequests {
		v.evidence = se.newest(x.detection.MinRequests, x.longWindowStart)
	}
	v.sufficient = v.evidence.requests() >= x.detection.MinRequests
	if !v.sufficient {
		return v
	}
	v.failing = v.evidence.failures() >= min(minFailures, x.detection.MinRequests) && v.evidence.failureRatio() >= c.failureLimit
	if !v.failing && w.totals[t].failures() > 0 {
		if burst := se.newest(x.detection.MinRequests, x.windowStart); burst.requests() >= x.detection.MinRequests && burst.failureRatio() >= (1+c.failureLimit)/2 {
			v.failing, v.evidence = true, burst
		}
	}
	v.slow = c.steadilySlow && int(v.evidence.counts[OK]) >= x.detection.MinRequests && x.isSlow(x.targets[t], v.evidence.meanLatencyCode(), c.medianCode)
	return v
}

// confirmsFailures reports whether the observer saw at least this many
// failures, at a ratio of at least the limit.
func (v *finding) confirmsFailures(failures int, limit float64) bool {
	return v.evidence.failures() >= failures && v.evidence.failureRatio() >= limit
}

// isSlow reports whether the latency code exceeds the median by the slow
// factor, and the latency by more than slowMargin. The factor is larger during
// slow start.
func (x *evaluation) isSlow(id fleet.TargetID, code, medianCode float64) bool {
	factor := x.detection.SlowFactor
	if at, ok := x.detector.started[id]; ok && x.now.Sub(at) < x.detector.svc.Policy.SlowStart+x.detection.Window {
		factor *= slowStartFactor
	}
	return code-medianCode > codesPerOctave*math.Log2(factor) && latencyOf(code)-latencyOf(medianCode) > slowMargin
}

// steadySlowness reports whether the target is slow in both halves of a span,
// by the evidence of all included observers, and returns the span. The span
// starts as the window and doubles, up to the long window, while it holds too
// few requests. A queue that builds up at one target and clears within a second
// or two is not slowness of the target. A target with a verdict of slowness
// gets little or no traffic, so the check is not repeated for it.
func (x *evaluation) steadySlowness(t int, c criteria) (time.Duration, bool) {
	id := x.targets[t]
	if !c.hasMedian {
		return 0, false
	}
	if x.detector.slowTargets[id] {
		return longWindowFactor * x.detection.Window, true
	}
	for span := x.detection.Window; span <= longWindowFactor*x.detection.Window; span *= 2 {
		early, late := x.pooledOver(t, span), x.pooledOver(t, span/2)
		if int(early.counts[OK]) < 2*x.detection.MinRequests {
			continue
		}
		early.subtract(late)
		return span, x.isSpanSlow(id, early, c.medianCode) && x.isSpanSlow(id, late, c.medianCode)
	}
	return 0, false
}

// confirmsSlowness reports whether an observer with too few requests for a
// finding of its own confirms the pooled finding that the target is slow. If it
// does, the finding of the observer is changed to slow.
func (x *evaluation) confirmsSlowness(v *finding, t int, c criteria) bool {
	own := v.observer.series[x.targets[t]].since(x.now.Add(-c.slowSpan))
	if own.counts[OK] < minConfirmingRequests || !x.isSlow(x.targets[t], own.meanLatencyCode(), c.medianCode) {
		return false
	}
	v.evidence, v.slow = own, true
	return true
}

func (x *evaluation) isSpanSlow(id fleet.TargetID, span totals, medianCode float64) bool {
	return span.counts[OK] > 0 && x.isSlow(id, span.meanLatencyCode(), medianCode)
}

// assessPooled assesses the newest evidence of all included observers together,
// which suffices long before each observer has enough of its own. The span
// grows from a quarter of the window until it holds enough requests, up to the
// long window for a target with little traffic. It returns the number of
// failures of its own with which an observer confirms that the target fails, or
// 0 if the pooled evidence does not show it. One failure suffices if the pooled
// evidence holds at least the minimum number of requests as failures, and its
// failure ratio is at least halfway between the limit and 1.
func (x *evaluation) assessPooled(t int, limit float64) (int, totals) {
	if x.pooled[t].failures() < minConfirmingFailures {
		return 0, totals{}
	}
	need := x.detection.MinRequests * max(1, x.detection.MinObservers)
	for span := x.detection.Window / shortestSpanDivisor; span <= longWindowFactor*x.detection.Window; span *= 2 {
		pooled := x.pooledOver(t, span)
		if pooled.failures() >= max(x.detection.MinRequests, minFailures) && pooled.failureRatio() >= (1+limit)/2 {
			return 1, pooled
		}
		if pooled.requests() < need {
			continue
		}
		if pooled.failureRatio() >= limit {
			return minConfirmingFailures, pooled
		}
		return 0, pooled
	}
	return 0, totals{}
}

// probesFail reports whether probes failed in a row, with no successful request
// or probe since. Probes are weaker evidence than requests, so one successful
// request outweighs them. A recent failed probe alone makes the target a
// suspect.
func (x *evaluation) probesFail(t int) bool {
	id := x.targets[t]
	from := x.now.Add(-max(x.detection.Window, minProbeFailures*x.detector.svc.Policy.Probe.Interval))
	failed := false
	for i := range x.included {
		se := x.included[i].observer.series[id]
		if se == nil {
			continue
		}
		failed = failed || se.lastProbeFailure.After(from)
		if se.lastGood.After(from) {
			from = se.lastGood
		}
	}
	if !failed {
		return false
	}
	x.detector.suspects[id] = true
	all := x.pooledOver(t, x.now.Sub(from))
	return all.probesFailed >= minProbeFailures
}

// confirmsProbeFailures reports whether the observer itself saw the target
// fail, in requests or in enough probes.
func (x *evaluation) confirmsProbeFailures(o *observer, id fleet.TargetID) bool {
	t := o.series[id].since(x.longWindowStart)
	return t.failures() > 0 || t.probesFailed >= minProbeFailures
}

// hasQuorum reports whether the observers that agree suffice to condemn a
// target. There have to be at least the configured minimum of them, in two data
// centres if the carriers are in two or more, and no fewer than the observers
// with enough evidence to the contrary.
func (x *evaluation) hasQuorum(agree []*finding, against int) bool {
	if len(agree) < max(1, x.detection.MinObservers) || len(agree) < against {
		return false
	}
	return len(dataCentres(agree)) >= min(minDataCentres, x.carrierDataCentres())
}

// carrierDataCentres counts the data centres of the carriers, or those of the
// observers while the carriers are not known.
func (x *evaluation) carrierDataCentres() int {
	all := map[fleet.DataCentre]bool{}
	for _, dc := range x.detector.carriers {
		all[dc] = true
	}
	if len(all) > 0 {
		return len(all)
	}
	for _, o := range x.detector.observers {
		all[o.dc] = true
	}
	return len(all)
}

func dataCentres(findings []*finding) map[fleet.DataCentre]bool {
	dcs := map[fleet.DataCentre]bool{}
	for _, v := range findings {
		dcs[v.observer.dc] = true
	}
	return dcs
}

// condemnVerdict returns the verdict on which the given observers agree.
func (x *evaluation) condemnVerdict(id fleet.TargetID, agree []*finding, pooled totals, c criteria) Verdict {
	var all totals
	failing := false
	for _, v := range agree {
		all.merge(v.evidence)
		failing = failing || v.failing
	}
	if all.requests() == 0 {
		all = pooled
	}
	v := x.newVerdict(id, Condemn, all, c, failing || all.failures() > 0 && all.failureRatio() >= c.failureLimit)
	v.Observers, v.DataCentres = len(agree), len(dataCentres(agree))
	v.Reason += fmt.Sprintf("; %d observers in %d data centres agree", v.Observers, v.DataCentres)
	return v
}

// avoidVerdict returns the verdict of this daemon alone, if there is one.
// Unless probes fail, it requires another healthy target, since avoiding all
// targets gains nothing.
func (x *evaluation) avoidVerdict(t int, c criteria, probesFail bool) (Verdict, bool) {
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
	own := x.observerFinding(x.own, t, c)
	if !own.isUnhealthy() || !x.hasHealthyAlternative(t) {
		return Verdict{}, false
	}
	v := x.newVerdict(id, Avoid, own.evidence, c, own.failing)
	v.Observers, v.DataCentres = 1, 1
	v.Reason += "; not confirmed by other observers"
	return v, true
}

func (x *evaluation) hasHealthyAlternative(except int) bool {
	for t := range x.targets {
		seen := &x.own.totals[t]
		if t != except && seen.requests() > 0 && seen.failureRatio() < x.detection.FailureRatio {
			return true
		}
	}
	return false
}

func (x *evaluation) newVerdict(id fleet.TargetID, a Action, t totals, c criteria, failing bool) Verdict {
	v := Verdict{Target: id, Action: a}
	if failing {
		v.Cause, v.Severity, v.Reason = mainCause(t), 1+t.failureRatio(), failingReason(t, c.failureLimit)
		return v
	}
	v.Cause, v.Reason = CauseSlow, slowReason(t.meanLatencyCode(), c.medianCode)
	v.Severity = min(1, (t.meanLatencyCode()-c.medianCode)/math.MaxUint8)
	return v
}
