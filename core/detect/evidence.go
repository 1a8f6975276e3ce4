package detect

import (
	"time"

	"wisteriarelay.example/core/fleet"
)

// totals sums the evidence about one target.
type totals struct {
	counts         [resultCount]uint32
	latencyCodeSum float64
	probesOK       uint32
	probesFailed   uint32
}

func (t *totals) add(r IntervalStats) {
	for i := range r.Counts {
		t.counts[i] += r.Counts[i]
	}
	t.latencyCodeSum += float64(r.Latency) * float64(r.Counts[OK])
	t.probesOK += r.ProbesOK
	t.probesFailed += r.ProbesFailed
}

func (t *totals) merge(o totals) {
	for i := range o.counts {
		t.counts[i] += o.counts[i]
	}
	t.latencyCodeSum += o.latencyCodeSum
	t.probesOK += o.probesOK
	t.probesFailed += o.probesFailed
}

func (t *totals) subtract(o totals) {
	for i := range o.counts {
		t.counts[i] -= o.counts[i]
	}
	t.latencyCodeSum -= o.latencyCodeSum
	t.probesOK -= o.probesOK
	t.probesFailed -= o.probesFailed
}

func (t *totals) failures() int {
	return int(t.counts[Failed] + t.counts[TimedOut] + t.counts[Short] + t.counts[BodyFailure] + t.counts[Unreachable])
}

// requests returns the number of requests that tell about the target's health;
// shed and cancelled requests do not.
func (t *totals) requests() int {
	return int(t.counts[OK]) + t.failures()
}

func (t *totals) failureRatio() float64 {
	if n := t.requests(); n > 0 {
		return float64(t.failures()) / float64(n)
	}
	return 0
}

// meanLatencyCode returns the mean latency code of the OK requests. Without an
// OK request it is 0, which means nothing.
func (t *totals) meanLatencyCode() float64 {
	if t.counts[OK] == 0 {
		return 0
	}
	return t.latencyCodeSum / float64(t.counts[OK])
}

type sample struct {
	at    time.Time
	stats IntervalStats
}

// series holds what one observer reported about one target, oldest first.
type series struct {
	samples []sample
	// lastProbeFailure is the time of the last report with a failed probe,
	// lastGood that of the last report with a successful probe or request.
	lastProbeFailure, lastGood time.Time
}

// add appends the statistics of one interval and drops samples older than keep.
func (s *series) add(r IntervalStats, now time.Time, keep time.Duration) {
	old := 0
	for old < len(s.samples) && now.Sub(s.samples[old].at) > keep {
		old++
	}
	if old > 0 {
		s.samples = append(s.samples[:0], s.samples[old:]...)
	}
	if r.ProbesFailed > 0 {
		s.lastProbeFailure = now
	}
	if r.ProbesOK+r.Counts[OK] > 0 {
		s.lastGood = now
	}
	s.samples = append(s.samples, sample{at: now, stats: r})
}

// since sums the samples that arrived after the cutoff.
func (s *series) since(cutoff time.Time) totals {
	var t totals
	if s == nil {
		return t
	}
	for i := len(s.samples) - 1; i >= 0 && s.samples[i].at.After(cutoff); i-- {
		t.add(s.samples[i].stats)
	}
	return t
}

// newest sums the latest samples after the cutoff until they hold n requests.
func (s *series) newest(n int, cutoff time.Time) totals {
	var t totals
	if s == nil {
		return t
	}
	for i := len(s.samples) - 1; i >= 0 && s.samples[i].at.After(cutoff); i-- {
		t.add(s.samples[i].stats)
		if t.requests() >= n {
			break
		}
	}
	return t
}

// observer holds what one carrier reported.
type observer struct {
	id         fleet.VMID
	dc         fleet.DataCentre
	lastReport time.Time
	series     map[fleet.TargetID]*series
}
