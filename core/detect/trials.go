package detect

import (
	"math"
	"sync"
	"time"

	"wisteriarelay.example/core/fleet"
)

const (
	// trialSuccesses is the number of good requests that end a trial well.
	trialSuccesses = 3
	// trialProbeGrace is how long a trial waits for requests before good
	// probes count instead. A service whose requests are all orders has no
	// request that may be tried.
	trialProbeGrace = 10 * time.Second
)

// trials counts the results of trials at the prober.
type trials struct {
	mu    sync.Mutex
	tries map[fleet.TargetID]*try
}

type try struct {
	begun    time.Time
	oks      int
	codes    float64
	probeOKs int
	failed   bool
}

// follow begins and forgets tries as the list says.
func (t *trials) follow(j Ejections, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := map[fleet.TargetID]*try{}
	for _, e := range j.Entries {
		if e.Phase != PhaseTrial {
			continue
		}
		next[e.Target] = t.tries[e.Target]
		if next[e.Target] == nil {
			next[e.Target] = &try{begun: now}
		}
	}
	t.tries = next
}

func (t *trials) request(id fleet.TargetID, res Result, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	y := t.tries[id]
	switch {
	case y == nil:
	case res == OK:
		y.oks++
		y.codes += float64(CodeOf(latency))
	case res.IsFailure():
		y.failed = true
	}
}

func (t *trials) probe(id fleet.TargetID, res Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	y := t.tries[id]
	switch {
	case y == nil:
	case res == OK:
		y.probeOKs++
	case res.IsFailure() && y.oks == 0:
		y.failed = true
	}
}

// outcome says whether a trial is decided, and how. A target that is as slow
// as one that gets condemned fails.
func (t *trials) outcome(id fleet.TargetID, slowFactor float64, typical time.Duration, now time.Time) (passed, decided bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	y := t.tries[id]
	switch {
	case y == nil:
		return false, false
	case y.failed:
		return false, true
	case y.oks >= trialSuccesses:
		return !y.isSlow(slowFactor, typical), true
	case y.oks == 0 && y.probeOKs >= trialSuccesses && now.Sub(y.begun) >= trialProbeGrace:
		return true, true
	default:
		return false, false
	}
}

func (y *try) isSlow(factor float64, typical time.Duration) bool {
	if typical == 0 {
		return false
	}
	mean := latencyOf(y.codes / float64(y.oks))
	return float64(mean) > math.Max(factor, 1)*float64(typical) && mean-typical > slowMargin
}
