package detect

import (
	"cmp"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
)

// observation is one observer with its evidence of the window, by target.
type observation struct {
	o      *observer
	recent []tally
}

// evaluation is the work of one Assess. Targets are numbered as in targets, which
// leaves out those that are not judged.
type evaluation struct {
	s       *Service
	p       fleet.Detection
	now     time.Time
	recent  time.Time
	wide    time.Time
	targets []fleet.TargetID
	// counted observers do not fail against most targets.
	counted  []observation
	excluded int
	own      *observation
	// pooled is the evidence of all counted observers, of the window or, with
	// too few requests, of the wide window.
	pooled []tally
	codes  column
	ratios column
}

func (s *Service) newEvaluation(now time.Time) *evaluation {
	p := s.svc.Policy.Detection
	x := &evaluation{s: s, p: p, now: now, recent: now.Add(-p.Window), wide: now.Add(-wideWindows * p.Window)}
	for i := range s.svc.Targets {
		t := &s.svc.Targets[i]
		if !s.held[t.ID] && !t.Drained {
			x.targets = append(x.targets, t.ID)
		}
	}
	for id, o := range s.observers {
		if o.heard.Before(x.wide) {
			delete(s.observers, id)
			continue
		}
		w := observation{o: o, recent: make([]tally, len(x.targets))}
		for t, id := range x.targets {
			w.recent[t] = o.series[id].since(x.recent)
		}
		if o.id == s.self {
			x.own = &w
		}
		if x.failsEverywhere(&w) {
			x.excluded++
		} else {
			x.counted = append(x.counted, w)
		}
	}
	slices.SortFunc(x.counted, func(a, b observation) int { return cmp.Compare(a.o.id, b.o.id) })
	x.pool()
	return x
}

// failsEverywhere reports whether the observer fails against most targets it
// used, which points at the observer or at the service rather than at a target.
func (x *evaluation) failsEverywhere(w *observation) bool {
	used, failing := 0, 0
	for t := range w.recent {
		seen := &w.recent[t]
		if seen.requests() == 0 {
			continue
		}
		used++
		if seen.ratio() >= x.p.FailureRatio {
			failing++
		}
	}
	return failing > 1 && 2*failing > used
}

func (x *evaluation) pool() {
	n := len(x.targets)
	x.pooled, x.codes, x.ratios = make([]tally, n), newColumn(n), newColumn(n)
	for t := range x.targets {
		pool := x.pooledRecent(t)
		if pool.requests() < x.p.MinRequests {
			pool = x.poolSince(t, wideWindows*x.p.Window)
		}
		x.pooled[t] = pool
		if pool.requests() >= x.p.MinRequests {
			x.ratios.set(t, pool.ratio())
		}
		if int(pool.counts[OK]) >= x.p.MinRequests {
			x.codes.set(t, pool.code())
		}
	}
	x.codes.sort()
	x.ratios.sort()
}

func (x *evaluation) pooledRecent(t int) tally {
	var all tally
	for i := range x.counted {
		all.merge(x.counted[i].recent[t])
	}
	return all
}

// poolSince sums the evidence of all counted observers over the span.
func (x *evaluation) poolSince(t int, span time.Duration) tally {
	var all tally
	for i := range x.counted {
		all.merge(x.counted[i].o.series[x.targets[t]].since(x.now.Add(-span)))
	}
	return all
}

// mostFail reports whether more than half of the targets with evidence fail, or
// more than half of the observers fail everywhere, so that the service as a
// whole is at fault.
func (x *evaluation) mostFail() bool {
	if x.excluded > len(x.counted) {
		return true
	}
	return x.mostFailing(x.ratios.sorted) || x.mostFailing(x.onset())
}

// onset returns the failure ratios over the shortest span that holds enough
// requests, by the evidence of all observers. When a whole service begins to
// fail, some targets pass the limit of the window before others; the newest
// evidence shows earlier that most of them fail.
func (x *evaluation) onset() []float64 {
	ratios := make([]float64, 0, len(x.targets))
	for t := range x.targets {
		if newest := x.poolSince(t, x.p.Window/poolSteps); newest.requests() >= x.p.MinRequests/2 {
			ratios = append(ratios, newest.ratio())
		}
	}
	return ratios
}

func (x *evaluation) mostFailing(ratios []float64) bool {
	failing := 0
	for _, r := range ratios {
		if r >= x.p.FailureRatio {
			failing++
		}
	}
	return failing > 1 && 2*failing > len(ratios)
}

// column holds one figure for each target that has it.
type column struct {
	values []float64
	known  []bool
	sorted []float64
}

func newColumn(n int) column {
	return column{values: make([]float64, n), known: make([]bool, n)}
}

func (c *column) set(t int, v float64) {
	c.values[t], c.known[t] = v, true
	c.sorted = append(c.sorted, v)
}

func (c *column) sort() {
	slices.Sort(c.sorted)
}

// median returns the median over all targets.
func (c *column) median() (float64, bool) {
	return c.medianSkipping(len(c.sorted))
}

// without returns the median over all targets but one.
func (c *column) without(t int) (float64, bool) {
	if !c.known[t] {
		return c.median()
	}
	i, _ := slices.BinarySearch(c.sorted, c.values[t])
	return c.medianSkipping(i)
}

func (c *column) medianSkipping(skip int) (float64, bool) {
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
