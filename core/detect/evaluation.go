package detect

import (
	"cmp"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
)

// observerWindow holds one observer's evidence within the window, by target
// index.
type observerWindow struct {
	observer *observer
	totals   []totals
}

// evaluation is the state of one call of Assess. A target is identified by its
// index in targets, which leaves out the targets that are not assessed.
type evaluation struct {
	detector        *Detector
	detection       fleet.Detection
	now             time.Time
	windowStart     time.Time
	longWindowStart time.Time
	targets         []fleet.TargetID
	// included holds the observers that do not see most targets fail;
	// excludedCount is the number of the others.
	included      []observerWindow
	excludedCount int
	own           *observerWindow
	// pooled is the evidence of all included observers within the window or, if
	// that holds too few requests, within the long window.
	pooled        []totals
	latencyCodes  targetValues
	failureRatios targetValues
}

// newEvaluation sums the evidence within the window, and drops observers that
// have not reported within the long window.
func (s *Detector) newEvaluation(now time.Time) *evaluation {
	p := s.svc.Policy.Detection
	x := &evaluation{detector: s, detection: p, now: now, windowStart: now.Add(-p.Window), longWindowStart: now.Add(-longWindowFactor * p.Window)}
	for i := range s.svc.Targets {
		t := &s.svc.Targets[i]
		if !s.outOfService[t.ID] && !t.Drained {
			x.targets = append(x.targets, t.ID)
		}
	}
	for id, o := range s.observers {
		if o.lastReport.Before(x.longWindowStart) {
			delete(s.observers, id)
			continue
		}
		w := observerWindow{observer: o, totals: make([]totals, len(x.targets))}
		for t, id := range x.targets {
			w.totals[t] = o.series[id].since(x.windowStart)
		}
		if o.id == s.self {
			x.own = &w
		}
		if x.seesMostTargetsFail(&w) {
			x.excludedCount++
		} else {
			x.included = append(x.included, w)
		}
	}
	slices.SortFunc(x.included, func(a, b observerWindow) int { return cmp.Compare(a.observer.id, b.observer.id) })
	x.poolEvidence()
	return x
}

// seesMostTargetsFail reports whether the observer sees failures at most
// targets that it used, which points at the observer or the service rather than
// a target.
func (x *evaluation) seesMostTargetsFail(w *observerWindow) bool {
	used, failing := 0, 0
	for t := range w.totals {
		seen := &w.totals[t]
		if seen.requests() == 0 {
			continue
		}
		used++
		if seen.failureRatio() >= x.detection.FailureRatio {
			failing++
		}
	}
	return failing > 1 && 2*failing > used
}

func (x *evaluation) poolEvidence() {
	n := len(x.targets)
	x.pooled, x.latencyCodes, x.failureRatios = make([]totals, n), newTargetValues(n), newTargetValues(n)
	for t := range x.targets {
		pooled := x.pooledInWindow(t)
		if pooled.requests() < x.detection.MinRequests {
			pooled = x.pooledOver(t, longWindowFactor*x.detection.Window)
		}
		x.pooled[t] = pooled
		if pooled.requests() >= x.detection.MinRequests {
			x.failureRatios.set(t, pooled.failureRatio())
		}
		if int(pooled.counts[OK]) >= x.detection.MinRequests {
			x.latencyCodes.set(t, pooled.meanLatencyCode())
		}
	}
	x.latencyCodes.sort()
	x.failureRatios.sort()
}

func (x *evaluation) pooledInWindow(t int) totals {
	var all totals
	for i := range x.included {
		all.merge(x.included[i].totals[t])
	}
	return all
}

// pooledOver sums the evidence of all included observers over the span.
func (x *evaluation) pooledOver(t int, span time.Duration) totals {
	var all totals
	for i := range x.included {
		all.merge(x.included[i].observer.series[x.targets[t]].since(x.now.Add(-span)))
	}
	return all
}

// isServiceFailing reports whether more than half of the targets with evidence
// fail, or more than half of the observers see most targets fail. The cause is
// then the service as a whole.
func (x *evaluation) isServiceFailing() bool {
	if x.excludedCount > len(x.included) {
		return true
	}
	return x.majorityFails(x.failureRatios.sorted) || x.majorityFails(x.newestFailureRatios())
}

// newestFailureRatios returns the failure ratios over the shortest span, for
// the targets with enough requests in it, by the evidence of all included
// observers. When a whole service begins to fail, some targets pass the limit
// of the window before others; the newest evidence shows earlier that most of
// them fail.
func (x *evaluation) newestFailureRatios() []float64 {
	ratios := make([]float64, 0, len(x.targets))
	for t := range x.targets {
		if newest := x.pooledOver(t, x.detection.Window/shortestSpanDivisor); newest.requests() >= x.detection.MinRequests/2 {
			ratios = append(ratios, newest.failureRatio())
		}
	}
	return ratios
}

func (x *evaluation) majorityFails(ratios []float64) bool {
	failing := 0
	for _, r := range ratios {
		if r >= x.detection.FailureRatio {
			failing++
		}
	}
	return failing > 1 && 2*failing > len(ratios)
}

// targetValues holds one value for each target that has one, by target index.
type targetValues struct {
	values []float64
	known  []bool
	sorted []float64
}

func newTargetValues(n int) targetValues {
	return targetValues{values: make([]float64, n), known: make([]bool, n)}
}

func (c *targetValues) set(t int, v float64) {
	c.values[t], c.known[t] = v, true
	c.sorted = append(c.sorted, v)
}

func (c *targetValues) sort() {
	slices.Sort(c.sorted)
}

// median returns the median over all targets that have a value.
func (c *targetValues) median() (float64, bool) {
	return c.medianSkipping(len(c.sorted))
}

// medianWithout returns the median over all targets but one.
func (c *targetValues) medianWithout(t int) (float64, bool) {
	if !c.known[t] {
		return c.median()
	}
	i, _ := slices.BinarySearch(c.sorted, c.values[t])
	return c.medianSkipping(i)
}

// medianSkipping returns the median without the sorted value at the index skip.
// An index past the end skips nothing.
func (c *targetValues) medianSkipping(skip int) (float64, bool) {
	n := len(c.sorted)
	if skip < n {
		n--
	}
	if n == 0 {
		return 0, false
	}
	at := func(i int) float64 {
		if i >= skip {
			i++
		}
		return c.sorted[i]
	}
	if n%2 == 1 {
		return at(n / 2), true
	}
	return (at(n/2-1) + at(n/2)) / 2, true
}
