package daemon

import (
	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fleet"
)

const (
	// holdReports is the number of reports of which one carries the rows of
	// targets with ordinary traffic.
	holdReports = 2
	// ordinarySteps is the largest change of the latency code that a held row
	// may show: 8 steps are a doubling, below every slow factor.
	ordinarySteps = 8
)

// heldRows keeps ordinary rows back, so that most reports carry news only.
type heldRows struct {
	reports int
	rows    map[fleet.TargetID]detect.IntervalStats
	// sent holds the latency code that the peers know of each target.
	sent map[fleet.TargetID]detect.LatencyCode
}

func newHeldRows() *heldRows {
	return &heldRows{rows: map[fleet.TargetID]detect.IntervalStats{}, sent: map[fleet.TargetID]detect.LatencyCode{}}
}

// pick returns the rows for the next report. A row with news replaces what is
// held of its target: older good results beside it would hide a fresh fault.
func (h *heldRows) pick(fresh []detect.IntervalStats) []detect.IntervalStats {
	h.reports++
	var out []detect.IntervalStats
	for _, r := range fresh {
		if h.isOrdinary(r) {
			h.hold(r)
			continue
		}
		delete(h.rows, r.Target)
		out = append(out, r)
	}
	if h.reports%holdReports == 0 {
		for _, r := range h.rows {
			out = append(out, r)
		}
		clear(h.rows)
	}
	for _, r := range out {
		if r.Counts[detect.OK] > 0 {
			h.sent[r.Target] = r.Latency
		}
	}
	return out
}

func (h *heldRows) hold(r detect.IntervalStats) {
	if old, ok := h.rows[r.Target]; ok {
		r = detect.MergeStats([]detect.IntervalStats{old}, []detect.IntervalStats{r})[0]
	}
	h.rows[r.Target] = r
}

// update forgets targets that the service no longer has.
func (h *heldRows) update(s *fleet.Service) {
	kept := newHeldRows()
	kept.reports = h.reports
	for i := range s.Targets {
		id := s.Targets[i].ID
		if r, ok := h.rows[id]; ok {
			kept.rows[id] = r
		}
		if code, ok := h.sent[id]; ok {
			kept.sent[id] = code
		}
	}
	*h = *kept
}

func (h *heldRows) isOrdinary(r detect.IntervalStats) bool {
	if r.Failures() > 0 || r.Counts[detect.Shed] > 0 || r.ProbesFailed > 0 {
		return false
	}
	sent, known := h.sent[r.Target]
	change := int(r.Latency) - int(sent)
	return r.Counts[detect.OK] == 0 || known && change <= ordinarySteps && change >= -ordinarySteps
}
