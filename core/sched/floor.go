package sched

import "time"

const (
	// floorSpan is the time in which each target of the floor gets a request.
	floorSpan = 1300 * time.Millisecond
	// turnSpan bounds the random delay by which the daemons of a service take
	// turns, so that only one of them sends a request to a target for the floor.
	// Daemons of other data centres take theirs behind those of the target's own.
	turnSpan = 250 * time.Millisecond
	// defaultFloor is the part of the targets that always get work. A service must
	// not be reduced to a few targets: what is believed of the others may be
	// wrong, and when a part of the fleet fails there is no time to find out.
	defaultFloor = 0.7
	// repeatFloor is the same for requests that are sent again when they fail, so
	// that knowledge of all targets costs little.
	repeatFloor = 0.95
	// largeFloor is the same for requests that are dear to carry between data
	// centres; above it they only go to targets of the own one.
	largeFloor = 0.8
	// dearPenalty is the penalty for another data centre from which a request is dear.
	dearPenalty = 250 * time.Millisecond
	// failureMemory is how long a target that failed does not count for the floor.
	failureMemory = 1900 * time.Millisecond
	// introduceAfter is the time after which a target that nobody has used yet gets
	// a request, so that new capacity is known before it is needed.
	introduceAfter = 1500 * time.Millisecond
)

// duty returns a target that has to get a request although another costs less:
// one that nobody has used yet, or one that keeps the service at its floor. Load
// pattern: hundreds of daemons get a stray request each. To those that do not hear
// from their peers every target is new: a request that can be sent again may find
// out what nobody knows, others go where they are served.
func (p *Pool) duty(a Ask, now time.Time) (*member, Reason) {
	if p.uninformed && a.Last {
		return nil, ""
	}
	fits := p.unintroduced
	if p.uninformed && a.remotePenalty() >= dearPenalty {
		fits = p.unintroducedNear
	}
	if m := p.leastFailing(a, now, fits); m != nil {
		return m, Introduction
	}
	fits = p.due(a, now)
	if fits == nil {
		return nil, ""
	}
	return p.leastFailing(a, now, fits), Floor
}

// due returns which targets have to get a request now, or nil if none has to.
func (p *Pool) due(a Ask, now time.Time) func(*member, time.Time) bool {
	used := p.usedShare(now)
	switch {
	case a.Last:
		if used < p.floor {
			return p.unused
		}
	case used < largeFloor || used < repeatFloor && a.remotePenalty() < dearPenalty:
		return p.unused
	case used < repeatFloor:
		return p.unusedNear
	}
	return nil
}

func (p *Pool) unusedNear(m *member, now time.Time) bool {
	return m.target.DataCentre == p.dataCentre && p.unused(m, now)
}

func (p *Pool) unintroduced(m *member, now time.Time) bool {
	return !p.tended[m.target.DataCentre] && m.usedAt.IsZero() && now.Sub(m.addedAt) > introduceAfter+m.turn && now.After(m.target.WarmAt)
}

func (p *Pool) unintroducedNear(m *member, now time.Time) bool {
	return m.target.DataCentre == p.dataCentre && p.unintroduced(m, now)
}

func (p *Pool) unused(m *member, now time.Time) bool {
	if p.tended[m.target.DataCentre] {
		return false
	}
	last := m.usedAt
	if m.addedAt.After(last) {
		last = m.addedAt
	}
	return now.Sub(last) > floorSpan+m.turn && now.Sub(m.badAt) >= failureMemory
}

// usedShare returns the share of the targets that got a request in the span. Those
// that have just failed are left out.
func (p *Pool) usedShare(now time.Time) float64 {
	used, all := 0, 0
	for _, m := range p.members {
		if now.Sub(m.badAt) < failureMemory || p.tended[m.target.DataCentre] {
			continue
		}
		all++
		if !p.unused(m, now) {
			used++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(used) / float64(all)
}

// leastFailing returns the target with a free slot that fits and is expected to fail least.
func (p *Pool) leastFailing(a Ask, now time.Time, fits func(*member, time.Time) bool) *member {
	var best *member
	for k, m := range p.members {
		if !fits(m, now) || a.tried(k) || m.load(now) >= m.target.Slots {
			continue
		}
		if best == nil || m.failRate(p.model, now) < best.failRate(p.model, now) {
			best = m
		}
	}
	return best
}
