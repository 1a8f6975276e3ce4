package sched

import (
	"slices"
	"time"

	"wisteriarelay.example/core/judge"
)

const (
	// targetQueueDepth is the number of requests beyond its slots that a target is
	// given. A longer queue at the target would hold requests that another target
	// could serve sooner.
	targetQueueDepth = 2
	// lossPenalty is the delay that is considered as bad as the loss of a request.
	lossPenalty = 6 * time.Second
	// failRateLimit is the expected failure rate from which a target is considered to be
	// failing, so that a request may wait for another one. A target without evidence is
	// below it: when the known targets are full, the service has to find out whether the
	// others have capacity.
	failRateLimit = 0.45
	// monitoredFailRateLimit is the limit from which a request may wait if the target is
	// in a data centre whose own daemons monitor it: this daemon does not have to find
	// out about its capacity.
	monitoredFailRateLimit = 0.15
	// retryPenalty is the delay that a failure costs if the request can be retried.
	retryPenalty = 600 * time.Millisecond
	// baseRemotePenalty and remotePenaltyPerKB make targets of this daemon's data
	// centre preferred: traffic between data centres is billed by volume.
	baseRemotePenalty  = 60 * time.Millisecond
	remotePenaltyPerKB = 25 * time.Millisecond
	// maxRemotePenalty is less than what a failing target costs a request that can be
	// retried, so that a large response comes from another data centre rather than late
	// from a failing local target.
	maxRemotePenalty = 450 * time.Millisecond
	// connectPenalty is added for a target to which this daemon probably holds no
	// idle connection, because the target served no request of this daemon within
	// connectionReuseWindow.
	connectPenalty        = 60 * time.Millisecond
	connectionReuseWindow = 6 * time.Second
	// shedPenalty is added for a target that refused a request within shedWindow.
	shedPenalty = 60 * time.Millisecond
	shedWindow  = 300 * time.Millisecond
	// coldPenalty is added for a target that has just started and is still slow.
	coldPenalty = 150 * time.Millisecond
)

// pathModel describes the failure episodes of the network path between a daemon
// and a target.
var pathModel = judge.Model{EpisodeDuration: 4 * time.Second, DegradedShare: 0.01, FailingShare: 0.02}

func (req Request) hasTried(k Key) bool {
	return slices.Contains(req.Tried, k)
}

// Reason says why a target was chosen.
type Reason string

// The reasons.
const (
	// Cheapest means that the target had the lowest expected cost.
	Cheapest Reason = "cheapest"
	// Introduction means that no daemon had used the target before.
	Introduction Reason = "introduction"
	// Floor means that the target got a request so that enough targets stay in use.
	Floor Reason = "floor"
)

// choice is the target chosen for a request.
type choice struct {
	member *member
	rate   float64
	reason Reason
}

// choose returns the target for a request; its member is nil if the request has to wait.
func (p *Pool) choose(req Request, now time.Time) choice {
	if len(req.Tried) == 0 {
		if m, why := p.requiredTarget(req, now); m != nil {
			return choice{member: m, rate: m.failRate(p.model, now), reason: why}
		}
	}
	free, full := p.cheapest(req, now)
	if full.member != nil && p.worthWaiting(req, now, free, full) {
		return choice{}
	}
	return choice{member: free.member, rate: free.rate, reason: Cheapest}
}

// candidate is a target considered for a request. Its rate is the expected failure rate.
type candidate struct {
	member *member
	cost   time.Duration
	rate   float64
}

func (c candidate) cheaperThan(other candidate) bool {
	return other.member == nil || c.cost < other.cost
}

// cheapest returns the cheapest target with free capacity and the cheapest one without.
func (p *Pool) cheapest(req Request, now time.Time) (free, full candidate) {
	for k, m := range p.members {
		if req.hasTried(k) || p.restrictions.backingOff(k, now) {
			continue
		}
		p.evaluatedCount++
		c := candidate{member: m, rate: m.failRate(p.model, now)}
		c.cost = p.cost(m, req, now, c.rate)
		switch {
		case m.load(now) < m.target.Slots+targetQueueDepth:
			if c.cheaperThan(free) {
				free = c
			}
		case c.cheaperThan(full):
			full = c
		}
	}
	return free, full
}

// worthWaiting reports whether the request should wait for a target that is full.
// This matters when the healthy targets are full and the failing ones are idle: a
// request sent to a failing target would most likely be lost, although a healthy one
// has capacity again within a fraction of a second. A request that would miss its
// objective does not wait, because it would take the slot of one that can still meet it.
func (p *Pool) worthWaiting(req Request, now time.Time, free, full candidate) bool {
	if free.member == nil {
		return true
	}
	if free.rate < p.failRateLimitFor(free.member) {
		return false
	}
	wait := p.expectedWait(req, now)
	if now.Add(wait + p.serviceTime()).After(req.objective()) {
		return false
	}
	return full.cost+wait < free.cost
}

// failRateLimitFor returns the expected failure rate of the target from which a
// request may wait for another one.
func (p *Pool) failRateLimitFor(m *member) float64 {
	if p.monitoredElsewhere[m.target.DataCentre] {
		return monitoredFailRateLimit
	}
	return failRateLimit
}

// cost returns the expected delay of a request at the target. All criteria are
// expressed as time, so that they can be added up and compared.
func (p *Pool) cost(m *member, req Request, now time.Time, rate float64) time.Duration {
	penalty := retryPenalty
	if req.FinalAttempt {
		penalty = lossPenalty
	}
	cost := time.Duration(rate * float64(penalty))
	cost += p.slotWait(m, now)
	cost += m.latency.excess(now, p.serviceTime())
	if m.target.DataCentre != p.dataCentre {
		cost += req.remotePenalty()
	}
	if now.Sub(m.servedAt) >= connectionReuseWindow {
		cost += connectPenalty
	}
	if now.Sub(m.shedAt) < shedWindow {
		cost += shedPenalty
	}
	if now.Before(m.target.WarmAt) {
		cost += coldPenalty
	}
	return cost
}

// remotePenalty returns the cost of sending the request to another data centre.
func (req Request) remotePenalty() time.Duration {
	return min(baseRemotePenalty+time.Duration(req.Bytes)*remotePenaltyPerKB/(1<<10), maxRemotePenalty)
}

// slotWait returns the expected wait for a slot of the target. A target with free
// slots costs a little more the more of its slots are in use, so that load spreads
// over equal targets.
func (p *Pool) slotWait(m *member, now time.Time) time.Duration {
	load := m.load(now)
	slots := max(m.target.Slots, 1)
	if load < slots {
		return p.serviceTime() * time.Duration(load) / time.Duration(slots*spreadDivisor)
	}
	return p.serviceTime() * time.Duration(load-slots+1) / time.Duration(slots)
}

// spreadDivisor reduces the cost of the slots in use while a slot is free.
const spreadDivisor = 10
