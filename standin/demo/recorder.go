package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// recorder counts the outcomes that callers were told and records what verify
// compares with the runs at the targets.
type recorder struct {
	mu       sync.Mutex
	services map[fleet.ServiceID]*outcomeCounts
	// reported is the last outcome that a caller was told for each order key.
	reported   map[string]fault.Outcome
	mismatches []string
}

// outcomeCounts holds the outcomes of one service since the last summary.
type outcomeCounts struct {
	good, refused, failed, run, notRun, unknown int
}

func newRecorder() *recorder {
	return &recorder{services: map[fleet.ServiceID]*outcomeCounts{}, reported: map[string]fault.Outcome{}}
}

func (rec *recorder) countsOf(id fleet.ServiceID) *outcomeCounts {
	c, ok := rec.services[id]
	if !ok {
		c = &outcomeCounts{}
		rec.services[id] = c
	}
	return c
}

func (rec *recorder) recordLookup(service fleet.ServiceID, id string, r reply) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	c := rec.countsOf(service)
	switch {
	case r.err != nil:
		c.failed++
	case r.problem.Kind != "" || r.status != 200:
		c.refused++
	default:
		c.good++
		rec.checkRequestID(id, r)
	}
}

func (rec *recorder) recordOrder(service fleet.ServiceID, id, key string, r reply) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	c := rec.countsOf(service)
	switch {
	case r.err == nil && r.outcome == fault.Run:
		c.run++
		rec.reported[key] = fault.Run
		if r.status == 200 {
			rec.checkRequestID(id, r)
		}
	case r.err == nil && r.outcome == fault.NotRun:
		c.notRun++
		rec.reported[key] = fault.NotRun
	default:
		c.unknown++
		rec.reported[key] = fault.Unknown
	}
}

// checkRequestID records a mismatch if a response belongs to another request.
func (rec *recorder) checkRequestID(id string, r reply) {
	if r.answer.RequestID != id {
		rec.mismatches = append(rec.mismatches, fmt.Sprintf("request %s got the answer to %q", id, r.answer.RequestID))
	}
}

// summary returns the counts of each service since the last summary and resets them.
func (rec *recorder) summary() string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	summary := ""
	for _, id := range slices.Sorted(maps.Keys(rec.services)) {
		c := rec.services[id]
		if c.run+c.notRun+c.unknown > 0 {
			summary += fmt.Sprintf("  %s: %d run, %d not-run, %d unknown", id, c.run, c.notRun, c.unknown)
		} else {
			summary += fmt.Sprintf("  %s: %d good, %d refused, %d failed", id, c.good, c.refused, c.failed)
		}
		*c = outcomeCounts{}
	}
	return summary
}

// verify compares the outcomes that callers were told with the runs at the targets.
// It prints the result and returns false if an order ran twice, an outcome
// contradicts the runs, or a response did not match its request.
func (rec *recorder) verify(runCounts map[string]int, out io.Writer) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	duplicated, lost, contradicted := 0, 0, 0
	for _, n := range runCounts {
		if n > 1 {
			duplicated++
		}
	}
	byOutcome := map[fault.Outcome]int{}
	for key, outcome := range rec.reported {
		byOutcome[outcome]++
		switch {
		case outcome == fault.Run && runCounts[key] == 0:
			lost++
		case outcome == fault.NotRun && runCounts[key] > 0:
			contradicted++
		}
	}
	fmt.Fprintf(out, "orders: %d told run, %d told not-run, %d told unknown\n", byOutcome[fault.Run], byOutcome[fault.NotRun], byOutcome[fault.Unknown])
	fmt.Fprintf(out, "doubled orders: %d\ntold run but lost: %d\ntold not-run but run: %d\nwrong or mixed-up answers: %d\n", duplicated, lost, contradicted, len(rec.mismatches))
	for _, w := range rec.mismatches {
		fmt.Fprintln(out, "  "+w)
	}
	return duplicated+lost+contradicted+len(rec.mismatches) == 0
}
