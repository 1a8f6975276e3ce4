package detect

import (
	"math"
	"sync"
	"time"

	"wisteriarelay.example/core/fleet"
)

const (
	// trialSuccesses is the number of successful requests, or of successful
	// probes where no request may be tried, after which a trial is decided.
	trialSuccesses = 3
	// trialProbeGrace is how long a trial waits for requests before successful
	// probes decide it instead. Only idempotent requests are sent to a target
	// in trial, and a service may have none.
	trialProbeGrace = 10 * time.Second
)

// trialTracker counts the results of requests to and probes of targets in trial
// at their prober.
type trialTracker struct {
	mu     sync.Mutex
	active map[fleet.TargetID]*trialProgress
}

// trialProgress holds the results of one trial.
type trialProgress struct {
	startedAt      time.Time
	successes      int
	latencyCodeSum float64
	probeSuccesses int
	failed         bool
}

// update starts the trials that the list names and drops all others.
func (t *trialTracker) update(j Ejections, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := map[fleet.TargetID]*trialProgress{}
	for _, e := range j.Entries {
		if e.Phase != PhaseTrial {
			continue
		}
		next[e.Target] = t.active[e.Target]
		if next[e.Target] == nil {
			next[e.Target] = &trialProgress{startedAt: now}
		}
	}
	t.active = next
}

func (t *trialTracker) recordRequest(id fleet.TargetID, res Result, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.active[id]
	switch {
	case p == nil:
	case res == OK:
		p.successes++
		p.latencyCodeSum += float64(LatencyCodeOf(latency))
	case res.IsFailure():
		p.failed = true
	}
}

func (t *trialTracker) recordProbe(id fleet.TargetID, res Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.active[id]
	switch {
	case p == nil:
	case res == OK:
		p.probeSuccesses++
	case res.IsFailure() && p.successes == 0:
		p.failed = true
	}
}

// outcome reports whether a trial is decided, and whether the target passed. A
// target that is slow enough to be condemned fails.
func (t *trialTracker) outcome(id fleet.TargetID, slowFactor float64, medianLatency time.Duration, now time.Time) (passed, decided bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.active[id]
	switch {
	case p == nil:
		return false, false
	case p.failed:
		return false, true
	case p.successes >= trialSuccesses:
		return !p.isSlow(slowFactor, medianLatency), true
	case p.successes == 0 && p.probeSuccesses >= trialSuccesses && now.Sub(p.startedAt) >= trialProbeGrace:
		return true, true
	default:
		return false, false
	}
}

func (p *trialProgress) isSlow(factor float64, medianLatency time.Duration) bool {
	if medianLatency == 0 {
		return false
	}
	mean := latencyOf(p.latencyCodeSum / float64(p.successes))
	return float64(mean) > math.Max(factor, 1)*float64(medianLatency) && mean-medianLatency > slowMargin
}
