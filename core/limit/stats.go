package limit

import "sync/atomic"

// counts are the counters of a limiter.
type counts struct {
	granted, shed, cancelled                                atomic.Uint64
	refusedEarly, refusedLate, refusedFull, refusedNoTarget atomic.Uint64
}

// Stats holds the counters of a Limiter for the state dump.
type Stats struct {
	Granted   uint64 `json:"granted"`
	Shed      uint64 `json:"shed"`
	Cancelled uint64 `json:"cancelled"`
	// RefusedEarly counts requests refused on arrival because they could not meet their
	// deadline.
	RefusedEarly uint64 `json:"refused-early"`
	// RefusedLate counts requests whose deadline passed, or could no longer be met,
	// while they waited.
	RefusedLate     uint64 `json:"refused-late"`
	RefusedFull     uint64 `json:"refused-full"`
	RefusedNoTarget uint64 `json:"refused-no-target"`
	// Waiting is the number of requests in the queue now.
	Waiting int `json:"waiting"`
}

// Stats returns the current counters.
func (g *Limiter) Stats() Stats {
	return Stats{
		Granted:         g.counts.granted.Load(),
		Shed:            g.counts.shed.Load(),
		Cancelled:       g.counts.cancelled.Load(),
		RefusedEarly:    g.counts.refusedEarly.Load(),
		RefusedLate:     g.counts.refusedLate.Load(),
		RefusedFull:     g.counts.refusedFull.Load(),
		RefusedNoTarget: g.counts.refusedNoTarget.Load(),
		Waiting:         int(g.waiting.Load()),
	}
}
