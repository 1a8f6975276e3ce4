package sched

import (
	"slices"
	"time"

	"wisteriarelay.example/core/judge"
)

const (
	// queueDepth is the work beyond its slots that a target is given. A longer
	// queue at the target would tie requests to it that another could serve sooner.
	queueDepth = 2
	// lossPenalty is the delay that the loss of a request is worth.
	lossPenalty = 6 * time.Second
	// sickRate is the expected share of failures from which a request rather waits
	// than goes to the target. A target of which nothing is known stays below it:
	// the service needs to learn of its capacity when the known targets are full.
	sickRate = 0.45
	// tendedRate is the same for a target that daemons of its own data centre look
	// after: nothing has to be learnt of it here.
	tendedRate = 0.15
	// retryPenalty is the delay that a failure costs if the request is sent again.
	retryPenalty = 600 * time.Millisecond
	// remotePenalty and remotePerKB prefer targets of the own data centre: traffic
	// between data centres is paid for by its bytes.
	remotePenalty = 60 * time.Millisecond
	remotePerKB   = 25 * time.Millisecond
	// maxRemotePenalty is below what a sick target costs a request that can be sent
	// again, so that large answers come from elsewhere rather than late.
	maxRemotePenalty = 450 * time.Millisecond
	// connectPenalty is charged for a target to which this daemon probably holds no
	// connection, because it has not used it within connectMemory.
	connectPenalty = 60 * time.Millisecond
	connectMemory  = 6 * time.Second
	// shedPenalty is charged for a target that refused a request within shedMemory.
	shedPenalty = 60 * time.Millisecond
	shedMemory  = 300 * time.Millisecond
	// coldPenalty is charged for a target that has just started and is slow.
	coldPenalty = 150 * time.Millisecond
)

// pathModel describes how long a way between a daemon and a target stays cut.
var pathModel = judge.Model{Spell: 4 * time.Second, Impaired: 0.01, Sick: 0.02}

func (a Ask) tried(k Key) bool {
	return slices.Contains(a.Tried, k)
}

// Reason says why a target was chosen.
type Reason string

// The reasons.
const (
	// Cheapest is the target with the lowest expected cost.
	Cheapest Reason = "cheapest"
	// Introduction is a target that nobody has used yet.
	Introduction Reason = "introduction"
	// Floor is a target that gets work to keep the service at its floor.
	Floor Reason = "floor"
)

// choice is a target for a request with what decided for it.
type choice struct {
	member *member
	rate   float64
	reason Reason
}

// choose returns the target for a request; its member is nil if the request should wait.
func (p *Pool) choose(a Ask, now time.Time) choice {
	if len(a.Tried) == 0 {
		if m, why := p.duty(a, now); m != nil {
			return choice{member: m, rate: m.failRate(p.model, now), reason: why}
		}
	}
	free, full := p.best(a, now)
	if full.member != nil && p.worthWaiting(a, now, free, full) {
		return choice{}
	}
	return choice{member: free.member, rate: free.rate, reason: Cheapest}
}

// option is a target that a request could go to.
type option struct {
	member *member
	cost   time.Duration
	rate   float64
}

func (o option) cheaper(other option) bool {
	return other.member == nil || o.cost < other.cost
}

// best returns the cheapest target that has room and the cheapest that has none.
func (p *Pool) best(a Ask, now time.Time) (free, full option) {
	for k, m := range p.members {
		if a.tried(k) {
			continue
		}
		p.weighed++
		o := option{member: m, rate: m.failRate(p.model, now)}
		o.cost = p.cost(m, a, now, o.rate)
		switch {
		case m.load(now) < m.target.Slots+queueDepth:
			if o.cheaper(free) {
				free = o
			}
		case o.cheaper(full):
			full = o
		}
	}
	return free, full
}

// worthWaiting reports whether the request should wait for a target without
// room. Load pattern: the targets that are well are full while sick ones stand
// idle; a request that is sent to those is most likely lost, and room at the
// others is a fraction of a second away. A request that would miss its objective
// does not wait, because it would take the room from one that can still meet it.
func (p *Pool) worthWaiting(a Ask, now time.Time, free, full option) bool {
	if free.member == nil {
		return true
	}
	if free.rate < p.waitRate(free.member) {
		return false
	}
	wait := p.expectedWait(a, now)
	if now.Add(wait + p.serviceTime()).After(a.objective()) {
		return false
	}
	return full.cost+wait < free.cost
}

// waitRate returns the expected share of failures from which a request rather waits
// than goes to the target.
func (p *Pool) waitRate(m *member) float64 {
	if p.tended[m.target.DataCentre] {
		return tendedRate
	}
	return sickRate
}

// cost returns the expected delay of a request at the target. All reasons for
// and against a target are expressed in time, so that they can be weighed.
func (p *Pool) cost(m *member, a Ask, now time.Time, rate float64) time.Duration {
	penalty := retryPenalty
	if a.Last {
		penalty = lossPenalty
	}
	cost := time.Duration(rate * float64(penalty))
	cost += p.waitAt(m, now)
	cost += m.speed.excess(now, p.serviceTime())
	if m.target.DataCentre != p.dataCentre {
		cost += a.remotePenalty()
	}
	if now.Sub(m.servedAt) >= connectMemory {
		cost += connectPenalty
	}
	if now.Sub(m.shedAt) < shedMemory {
		cost += shedPenalty
	}
	if now.Before(m.target.WarmAt) {
		cost += coldPenalty
	}
	return cost
}

// remotePenalty returns what another data centre costs the request.
func (a Ask) remotePenalty() time.Duration {
	return min(remotePenalty+time.Duration(a.Bytes)*remotePerKB/(1<<10), maxRemotePenalty)
}

// waitAt returns the expected wait for a slot at the target. A target in use
// is charged a little even with a slot free, so that load spreads among equals.
func (p *Pool) waitAt(m *member, now time.Time) time.Duration {
	load := m.load(now)
	slots := max(m.target.Slots, 1)
	if load < slots {
		return p.serviceTime() * time.Duration(load) / time.Duration(slots*spreadShare)
	}
	return p.serviceTime() * time.Duration(load-slots+1) / time.Duration(slots)
}

// spreadShare divides the charge for a target that is in use with a slot free.
const spreadShare = 10
