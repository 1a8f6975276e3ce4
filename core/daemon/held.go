package daemon

import (
	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fleet"
)

const (
	// ordinaryRowInterval is the interval, in reports, at which the rows of targets
	// with ordinary traffic are sent: 2 sends them with every second report.
	ordinaryRowInterval = 2
	// maxOrdinaryChange is the largest change of the latency code in a row that may
	// be delayed. 8 steps are a doubling, which is below every slow factor.
	maxOrdinaryChange = 8
)

// rowBuffer delays the rows of targets with ordinary traffic, so that most reports
// contain only rows with failures, refusals or a changed latency.
type rowBuffer struct {
	reportCount int
	delayed     map[fleet.TargetID]detect.IntervalStats
	// sentLatency holds the latency code of each target as last sent to the peers.
	sentLatency map[fleet.TargetID]detect.LatencyCode
}

func newRowBuffer() *rowBuffer {
	return &rowBuffer{delayed: map[fleet.TargetID]detect.IntervalStats{}, sentLatency: map[fleet.TargetID]detect.LatencyCode{}}
}

// nextReport returns the rows for the next report. A row that is not ordinary
// replaces the delayed row of its target: together with older good results, a new
// fault would be diluted.
func (b *rowBuffer) nextReport(fresh []detect.IntervalStats) []detect.IntervalStats {
	b.reportCount++
	var out []detect.IntervalStats
	for _, r := range fresh {
		if b.isOrdinary(r) {
			b.delay(r)
			continue
		}
		delete(b.delayed, r.Target)
		out = append(out, r)
	}
	if b.reportCount%ordinaryRowInterval == 0 {
		for _, r := range b.delayed {
			out = append(out, r)
		}
		clear(b.delayed)
	}
	for _, r := range out {
		if r.Counts[detect.OK] > 0 {
			b.sentLatency[r.Target] = r.Latency
		}
	}
	return out
}

// delay adds the row to the delayed row of its target.
func (b *rowBuffer) delay(r detect.IntervalStats) {
	if old, ok := b.delayed[r.Target]; ok {
		r = detect.MergeStats([]detect.IntervalStats{old}, []detect.IntervalStats{r})[0]
	}
	b.delayed[r.Target] = r
}

// update removes targets that the service no longer has.
func (b *rowBuffer) update(s *fleet.Service) {
	kept := newRowBuffer()
	kept.reportCount = b.reportCount
	for i := range s.Targets {
		id := s.Targets[i].ID
		if r, ok := b.delayed[id]; ok {
			kept.delayed[id] = r
		}
		if code, ok := b.sentLatency[id]; ok {
			kept.sentLatency[id] = code
		}
	}
	*b = *kept
}

// isOrdinary reports whether the row has no failed or refused requests and no failed
// probes, and a latency close to the one that the peers know.
func (b *rowBuffer) isOrdinary(r detect.IntervalStats) bool {
	if r.Failures() > 0 || r.Counts[detect.Shed] > 0 || r.ProbesFailed > 0 {
		return false
	}
	sent, known := b.sentLatency[r.Target]
	change := int(r.Latency) - int(sent)
	return r.Counts[detect.OK] == 0 || known && change <= maxOrdinaryChange && change >= -maxOrdinaryChange
}
