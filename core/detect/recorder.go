package detect

import (
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Recorder counts results and sums latencies by target of one service. Any
// number of goroutines may record at the same time; recording takes no lock.
type Recorder struct {
	counters atomic.Pointer[counterSet]
}

// counterSet holds the counters of all targets. It is immutable but for the
// counters themselves; an update carries over the counters of targets that
// stay, so it loses no counts.
type counterSet struct {
	ids      []fleet.TargetID
	byTarget map[fleet.TargetID]*targetCounters
}

// targetCounters holds what was counted about one target since the last Collect.
type targetCounters struct {
	counts [resultCount]atomic.Uint32
	// packedOK and packedProbeOK each hold a count and the sum of its latency
	// codes in one word, so that a reader never sees one without the other.
	packedOK, packedProbeOK atomic.Uint64
	probesFailed            atomic.Uint32
}

const (
	// A packed word holds the sum of latency codes in its lower codeSumBits and
	// the count above them.
	codeSumBits = 40
	codeSumMask = 1<<codeSumBits - 1
)

// NewRecorder returns a recorder for the targets of the service.
func NewRecorder(svc *fleet.Service) *Recorder {
	r := &Recorder{}
	r.Update(svc)
	return r
}

// Update replaces the target list. It must not be called concurrently with
// itself.
func (r *Recorder) Update(svc *fleet.Service) {
	next := &counterSet{byTarget: make(map[fleet.TargetID]*targetCounters, len(svc.Targets))}
	old := r.counters.Load()
	for i := range svc.Targets {
		id := svc.Targets[i].ID
		c := &targetCounters{}
		if old != nil && old.byTarget[id] != nil {
			c = old.byTarget[id]
		}
		next.ids = append(next.ids, id)
		next.byTarget[id] = c
	}
	r.counters.Store(next)
}

// Record counts one request; the latency is used for OK only. Results of
// targets that are no longer listed are dropped.
func (r *Recorder) Record(target fleet.TargetID, res Result, latency time.Duration) {
	c := r.counters.Load().byTarget[target]
	if c == nil || res >= resultCount {
		return
	}
	if res == OK {
		c.packedOK.Add(1<<codeSumBits | uint64(LatencyCodeOf(latency)))
		return
	}
	c.counts[res].Add(1)
}

// RecordProbe counts one health probe; any result but OK, Shed and Cancelled
// counts as a failed probe.
func (r *Recorder) RecordProbe(target fleet.TargetID, res Result, latency time.Duration) {
	c := r.counters.Load().byTarget[target]
	if c == nil {
		return
	}
	switch {
	case res == OK:
		c.packedProbeOK.Add(1<<codeSumBits | uint64(LatencyCodeOf(latency)))
	case res.IsFailure():
		c.probesFailed.Add(1)
	}
}

// Collect returns the statistics since the previous call, in the order of the
// target list, and resets them. It leaves out targets with nothing to report.
func (r *Recorder) Collect() []IntervalStats {
	s := r.counters.Load()
	var all []IntervalStats
	for _, id := range s.ids {
		if stats := s.byTarget[id].collect(id); !stats.IsEmpty() {
			all = append(all, stats)
		}
	}
	return all
}

func (c *targetCounters) collect(id fleet.TargetID) IntervalStats {
	stats := IntervalStats{Target: id}
	for res := range c.counts {
		stats.Counts[res] = c.counts[res].Swap(0)
	}
	stats.Counts[OK], stats.Latency = unpackMean(c.packedOK.Swap(0))
	stats.ProbesOK, stats.ProbeLatency = unpackMean(c.packedProbeOK.Swap(0))
	stats.ProbesFailed = c.probesFailed.Swap(0)
	return stats
}

// unpackMean returns the count and the mean latency code of a packed word.
func unpackMean(packed uint64) (uint32, LatencyCode) {
	n := packed >> codeSumBits
	if n == 0 {
		return 0, 0
	}
	return uint32(n), LatencyCode((packed&codeSumMask + n/2) / n)
}
