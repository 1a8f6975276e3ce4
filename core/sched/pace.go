package sched

import "time"

const (
	// minPaceSamples is the number of grants from which a pace is known.
	minPaceSamples = 8
	// paceWeight is the weight of the last interval in the mean.
	paceWeight = 0.1
	// paceMargin is the factor by which the wait is expected to be longer than at the mean
	// pace. Without it the queue of a workspace that asks for more than its share holds as
	// much as can just be served, and what is served late is lost for all.
	paceMargin = 1.3
	// paceMemory is how long after the last grant of a flow its pace is used for its next
	// waiters.
	paceMemory = time.Second
)

// pace is the mean interval between the grants to a flow while it has waiters. It shows
// what the number of slots does not: the capacity that other daemons, more urgent requests
// and workspaces that ask for less than their share take meanwhile.
type pace struct {
	interval time.Duration
	samples  int
	// asOf is when the last interval ended.
	asOf time.Time
}

// begin begins an interval when the flow gets its first waiter.
func (p *pace) begin(now time.Time) {
	if now.Sub(p.asOf) >= paceMemory {
		p.samples = 0
	}
	p.asOf = now
}

// add adds the interval that ends with a grant.
func (p *pace) add(now time.Time) {
	last := now.Sub(p.asOf)
	p.asOf = now
	p.samples++
	// The mean of all is used until there are enough for a moving one.
	weight := max(paceWeight, 1/float64(p.samples))
	p.interval += time.Duration(weight * float64(last-p.interval))
}

// wait returns the expected wait of a request with the given number of waiters of its flow
// before it, or 0 if the pace is not known.
func (p *pace) wait(ahead int) time.Duration {
	if p.samples < minPaceSamples {
		return 0
	}
	return time.Duration(paceMargin * float64(ahead+1) * float64(p.interval))
}
