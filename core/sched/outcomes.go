package sched

import (
	"math"
	"time"

	"wisteriarelay.example/core/judge"
)

const (
	// outcomeMemory is the time constant with which outcomes stop counting. It is short
	// enough that a sudden failure of a part of the targets is noticed within a second.
	outcomeMemory = 1500 * time.Millisecond
	// minOutcomes is the number of outcomes below which nothing is concluded from them.
	minOutcomes = 20
	// maxFailedShare is the share of failed requests up to which a service counts as well
	// served. Operators expect the usage floor to hold when more than a tenth of the
	// requests fail; the margin leaves time to bring targets back into use.
	maxFailedShare = 0.07
)

// outcomes counts the recent outcomes of requests at targets that were expected to serve
// them. Outcomes at targets that are known to fail are left out: requests that are sent
// there to find out whether the target has recovered say nothing about the service.
type outcomes struct {
	served float64
	failed float64
	asOf   time.Time
}

// add counts the result of a request. Results that do not end a request do not count.
func (o *outcomes) add(now time.Time, r judge.Result) {
	o.decay(now)
	switch {
	case r.Success():
		o.served++
	case r == judge.Broken || r == judge.Failed || r == judge.Shed:
		o.failed++
	}
}

// wellServed reports whether enough of the recent requests were served that failing
// targets need not be tried with requests that cannot be retried.
func (o *outcomes) wellServed(now time.Time) bool {
	o.decay(now)
	all := o.served + o.failed
	return all >= minOutcomes && o.failed <= maxFailedShare*all
}

func (o *outcomes) decay(now time.Time) {
	factor := math.Exp(-float64(max(now.Sub(o.asOf), 0)) / float64(outcomeMemory))
	o.served *= factor
	o.failed *= factor
	o.asOf = now
}
