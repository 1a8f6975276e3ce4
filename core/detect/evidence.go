package detect

import (
	"time"

	"wisteriarelay.example/core/fleet"
)

// tally sums the evidence about one target.
type tally struct {
	counts       [resultCount]uint32
	codes        float64
	probesOK     uint32
	probesFailed uint32
}

func (t *tally) add(r Row) {
	for i := range r.Counts {
		t.counts[i] += r.Counts[i]
	}
	t.codes += float64(r.Latency) * float64(r.Counts[OK])
	t.probesOK += r.ProbesOK
	t.probesFailed += r.ProbesFailed
}

func (t *tally) merge(o tally) {
	for i := range o.counts {
		t.counts[i] += o.counts[i]
	}
	t.codes += o.codes
	t.probesOK += o.probesOK
	t.probesFailed += o.probesFailed
}

func (t *tally) subtract(o tally) {
	for i := range o.counts {
		t.counts[i] -= o.counts[i]
	}
	t.codes -= o.codes
	t.probesOK -= o.probesOK
	t.probesFailed -= o.probesFailed
}

func (t *tally) failures() int {
	return int(t.counts[Failed] + t.counts[TimedOut] + t.counts[Short] + t.counts[BodyFailure] + t.counts[Unreachable])
}

// requests counts what says something about health: shed and cancelled
// requests do not.
func (t *tally) requests() int {
	return int(t.counts[OK]) + t.failures()
}

func (t *tally) ratio() float64 {
	if n := t.requests(); n > 0 {
		return float64(t.failures()) / float64(n)
	}
	return 0
}

// code is the mean latency code; it means nothing without an OK request.
func (t *tally) code() float64 {
	if t.counts[OK] == 0 {
		return 0
	}
	return t.codes / float64(t.counts[OK])
}

type sample struct {
	at  time.Time
	row Row
}

// series is what one observer reported about one target, oldest first.
type series struct {
	samples []sample
	// probeFailed and good are when the last failed probe, and the last good
	// probe or request, were reported.
	probeFailed, good time.Time
}

// add keeps what is younger than keep.
func (s *series) add(r Row, now time.Time, keep time.Duration) {
	old := 0
	for old < len(s.samples) && now.Sub(s.samples[old].at) > keep {
		old++
	}
	if old > 0 {
		s.samples = append(s.samples[:0], s.samples[old:]...)
	}
	if r.ProbesFailed > 0 {
		s.probeFailed = now
	}
	if r.ProbesOK+r.Counts[OK] > 0 {
		s.good = now
	}
	s.samples = append(s.samples, sample{at: now, row: r})
}

// since sums what arrived after the cutoff.
func (s *series) since(cutoff time.Time) tally {
	var t tally
	if s == nil {
		return t
	}
	for i := len(s.samples) - 1; i >= 0 && s.samples[i].at.After(cutoff); i-- {
		t.add(s.samples[i].row)
	}
	return t
}

// newest sums the latest samples after the cutoff until they hold n requests.
func (s *series) newest(n int, cutoff time.Time) tally {
	var t tally
	if s == nil {
		return t
	}
	for i := len(s.samples) - 1; i >= 0 && s.samples[i].at.After(cutoff); i-- {
		t.add(s.samples[i].row)
		if t.requests() >= n {
			break
		}
	}
	return t
}

// observer is one carrier and what it reported.
type observer struct {
	id     fleet.VMID
	dc     fleet.DataCentre
	heard  time.Time
	series map[fleet.TargetID]*series
}
