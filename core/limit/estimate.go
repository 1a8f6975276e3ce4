package limit

import (
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fleet"
)

// smoothingDivisor is the reciprocal of the weight of a new sample in a running mean.
const smoothingDivisor = 8

// runningMean is an exponentially weighted moving average of durations; 0 means that
// there is no sample yet.
type runningMean struct{ ns atomic.Int64 }

func (m *runningMean) add(d time.Duration) {
	sample := max(int64(d), 1)
	for {
		old := m.ns.Load()
		next := sample
		if old > 0 {
			next = old + (sample-old)/smoothingDivisor
		}
		if m.ns.CompareAndSwap(old, next) {
			return
		}
	}
}

func (m *runningMean) value() time.Duration {
	return time.Duration(m.ns.Load())
}

// serviceEstimate holds the measured times of a service.
type serviceEstimate struct {
	// holdTime is how long a slot is in use, whatever the result. It determines how
	// fast the queue moves.
	holdTime runningMean
	// serviceTimes are the service times of complete responses by request kind.
	serviceTimes [fleet.Batch + 1]runningMean
}

func (e *serviceEstimate) addHoldTime(d time.Duration) { e.holdTime.add(d) }

func (e *serviceEstimate) addServiceTime(k fleet.RequestKind, d time.Duration) {
	e.serviceTimes[min(k, fleet.Batch)].add(d)
}

// serviceTime returns the expected service time of a kind. It is the hold time if the
// kind has no sample yet, and 0 without any sample.
func (e *serviceEstimate) serviceTime(k fleet.RequestKind) time.Duration {
	if d := e.serviceTimes[min(k, fleet.Batch)].value(); d > 0 {
		return d
	}
	return e.holdTime.value()
}

// ExpectedServiceTime returns the expected service time of a kind, 0 without any sample.
func (g *Limiter) ExpectedServiceTime(k fleet.RequestKind) time.Duration {
	return g.estimate.serviceTime(k)
}
