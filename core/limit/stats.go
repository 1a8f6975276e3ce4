package limit

import "sync/atomic"

// counts are the counters of a gate.
type counts struct {
	granted, shed, cancelled                                atomic.Uint64
	refusedEarly, refusedLate, refusedFull, refusedNoTarget atomic.Uint64
}

// Stats are the counters of a Gate for the state dump.
type Stats struct {
	Granted   uint64 `json:"granted"`
	Shed      uint64 `json:"shed"`
	Cancelled uint64 `json:"cancelled"`
	// RefusedEarly counts requests refused at once because of their deadline.
	RefusedEarly uint64 `json:"refused-early"`
	// RefusedLate counts requests whose deadline passed in the queue.
	RefusedLate     uint64 `json:"refused-late"`
	RefusedFull     uint64 `json:"refused-full"`
	RefusedNoTarget uint64 `json:"refused-no-target"`
	// Waiting is the number of requests in the queue now.
	Waiting int `json:"waiting"`
}

// Stats returns the counters at one moment.
func (g *Gate) Stats() Stats {
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
