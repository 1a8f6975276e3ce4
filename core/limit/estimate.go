package limit

import (
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fleet"
)

// smoothing is the share of a new sample in a running mean, as a divisor.
const smoothing = 8

// average is a running mean of durations; 0 means no sample yet.
type average struct{ ns atomic.Int64 }

func (a *average) add(d time.Duration) {
	sample := max(int64(d), 1)
	for {
		old := a.ns.Load()
		next := sample
		if old > 0 {
			next = old + (sample-old)/smoothing
		}
		if a.ns.CompareAndSwap(old, next) {
			return
		}
	}
}

func (a *average) value() time.Duration {
	return time.Duration(a.ns.Load())
}

// estimate holds the measured times of a service.
type estimate struct {
	// held is how long a slot is in use, whatever the result; it sets the pace of the queue.
	held average
	// kinds is the service time of complete responses by kind.
	kinds [fleet.Batch + 1]average
}

func (e *estimate) heldFor(d time.Duration) { e.held.add(d) }

func (e *estimate) served(k fleet.Kind, d time.Duration) {
	e.kinds[min(k, fleet.Batch)].add(d)
}

// service returns the expected service time of a kind, 0 if nothing is measured.
func (e *estimate) service(k fleet.Kind) time.Duration {
	if d := e.kinds[min(k, fleet.Batch)].value(); d > 0 {
		return d
	}
	return e.held.value()
}

// Expected returns the measured service time of a kind, 0 if nothing is measured yet.
func (g *Gate) Expected(k fleet.Kind) time.Duration {
	return g.estimate.service(k)
}
