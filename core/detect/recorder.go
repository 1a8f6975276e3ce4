package detect

import (
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Recorder counts results and latency by target of one service. Any number of
// goroutines may record at once; it takes no lock.
type Recorder struct {
	sheet atomic.Pointer[sheet]
}

// sheet is immutable but for the counters in its cells; cells of targets that
// stay are carried over to the next sheet, so an update loses no counts.
type sheet struct {
	ids   []fleet.TargetID
	cells map[fleet.TargetID]*cell
}

type cell struct {
	counts [resultCount]atomic.Uint32
	// ok and probeOK hold a count and the sum of its latency codes in one
	// word, so that a drain never sees one without the other.
	ok, probeOK  atomic.Uint64
	probesFailed atomic.Uint32
}

const (
	codeSumBits = 40
	codeSumMask = 1<<codeSumBits - 1
)

// NewRecorder returns a recorder for the targets of the service.
func NewRecorder(svc *fleet.Service) *Recorder {
	r := &Recorder{}
	r.Update(svc)
	return r
}

// Update replaces the target list; one goroutine at a time may call it.
func (r *Recorder) Update(svc *fleet.Service) {
	next := &sheet{cells: make(map[fleet.TargetID]*cell, len(svc.Targets))}
	old := r.sheet.Load()
	for i := range svc.Targets {
		id := svc.Targets[i].ID
		c := &cell{}
		if old != nil && old.cells[id] != nil {
			c = old.cells[id]
		}
		next.ids = append(next.ids, id)
		next.cells[id] = c
	}
	r.sheet.Store(next)
}

// Record counts one request; the latency counts for OK only. Results of
// targets that are no longer listed are dropped.
func (r *Recorder) Record(target fleet.TargetID, res Result, latency time.Duration) {
	c := r.sheet.Load().cells[target]
	if c == nil || res >= resultCount {
		return
	}
	if res == OK {
		c.ok.Add(1<<codeSumBits | uint64(CodeOf(latency)))
		return
	}
	c.counts[res].Add(1)
}

// RecordProbe counts one health probe; any result but OK, Shed and Cancelled
// counts as a failed probe.
func (r *Recorder) RecordProbe(target fleet.TargetID, res Result, latency time.Duration) {
	c := r.sheet.Load().cells[target]
	if c == nil {
		return
	}
	switch {
	case res == OK:
		c.probeOK.Add(1<<codeSumBits | uint64(CodeOf(latency)))
	case res.IsFailure():
		c.probesFailed.Add(1)
	}
}

// Drain returns the rows since the last drain, in the order of the target
// list, and starts the next interval. Rows with nothing to say are left out.
func (r *Recorder) Drain() []Row {
	s := r.sheet.Load()
	var rows []Row
	for _, id := range s.ids {
		if row := s.cells[id].drain(id); !row.IsEmpty() {
			rows = append(rows, row)
		}
	}
	return rows
}

func (c *cell) drain(id fleet.TargetID) Row {
	row := Row{Target: id}
	for res := range c.counts {
		row.Counts[res] = c.counts[res].Swap(0)
	}
	row.Counts[OK], row.Latency = split(c.ok.Swap(0))
	row.ProbesOK, row.ProbeLatency = split(c.probeOK.Swap(0))
	row.ProbesFailed = c.probesFailed.Swap(0)
	return row
}

func split(packed uint64) (uint32, Code) {
	n := packed >> codeSumBits
	if n == 0 {
		return 0, 0
	}
	return uint32(n), Code((packed&codeSumMask + n/2) / n)
}
