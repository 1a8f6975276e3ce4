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

// tally counts what callers were told and keeps what has to be checked.
type tally struct {
	mu       sync.Mutex
	services map[fleet.ServiceID]*counts
	// told holds the last outcome that a caller was told for each order key.
	told  map[string]fault.Outcome
	wrong []string
}

// counts are the outcomes of one service since the last line of the report.
type counts struct {
	good, refused, failed, run, notRun, unknown int
}

func newTally() *tally {
	return &tally{services: map[fleet.ServiceID]*counts{}, told: map[string]fault.Outcome{}}
}

func (t *tally) of(id fleet.ServiceID) *counts {
	c, ok := t.services[id]
	if !ok {
		c = &counts{}
		t.services[id] = c
	}
	return c
}

func (t *tally) lookup(service fleet.ServiceID, id string, r reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(service)
	switch {
	case r.err != nil:
		c.failed++
	case r.problem.Kind != "" || r.status != 200:
		c.refused++
	default:
		c.good++
		t.check(id, r)
	}
}

func (t *tally) order(service fleet.ServiceID, id, key string, r reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(service)
	switch {
	case r.err == nil && r.outcome == fault.Run:
		c.run++
		t.told[key] = fault.Run
		if r.status == 200 {
			t.check(id, r)
		}
	case r.err == nil && r.outcome == fault.NotRun:
		c.notRun++
		t.told[key] = fault.NotRun
	default:
		c.unknown++
		t.told[key] = fault.Unknown
	}
}

func (t *tally) check(id string, r reply) {
	if r.answer.RequestID != id {
		t.wrong = append(t.wrong, fmt.Sprintf("request %s got the answer to %q", id, r.answer.RequestID))
	}
}

// line returns the counts since the last line, by service.
func (t *tally) line() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := ""
	for _, id := range slices.Sorted(maps.Keys(t.services)) {
		c := t.services[id]
		if c.run+c.notRun+c.unknown > 0 {
			text += fmt.Sprintf("  %s: %d run, %d not-run, %d unknown", id, c.run, c.notRun, c.unknown)
		} else {
			text += fmt.Sprintf("  %s: %d good, %d refused, %d failed", id, c.good, c.refused, c.failed)
		}
		*c = counts{}
	}
	return text
}

// verdict compares what callers were told with what the targets ran.
func (t *tally) verdict(runs map[string]int, out io.Writer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	doubled, lost, contradicted := 0, 0, 0
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	byOutcome := map[fault.Outcome]int{}
	for key, outcome := range t.told {
		byOutcome[outcome]++
		switch {
		case outcome == fault.Run && runs[key] == 0:
			lost++
		case outcome == fault.NotRun && runs[key] > 0:
			contradicted++
		}
	}
	fmt.Fprintf(out, "orders: %d told run, %d told not-run, %d told unknown\n", byOutcome[fault.Run], byOutcome[fault.NotRun], byOutcome[fault.Unknown])
	fmt.Fprintf(out, "doubled orders: %d\ntold run but lost: %d\ntold not-run but run: %d\nwrong or mixed-up answers: %d\n", doubled, lost, contradicted, len(t.wrong))
	for _, w := range t.wrong {
		fmt.Fprintln(out, "  "+w)
	}
	return doubled+lost+contradicted+len(t.wrong) == 0
}
