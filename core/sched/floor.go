package sched

import "time"

// The usage floor is the share of the targets that has to be in use. A target is in use
// if it got a request within floorInterval.
const (
	// floorInterval is the time within which each target in use gets a request.
	floorInterval = 1300 * time.Millisecond
	// floorJitter bounds the random delay after which a daemon sends a request to an
	// unused target, so that only one of the daemons does so. The delay is longer for
	// targets in another data centre, so that the daemons there come first.
	floorJitter = 250 * time.Millisecond
	// defaultUsageFloor is the usage floor for requests that cannot be retried. A service
	// must not be reduced to a few targets: the estimates of the others may be wrong, and
	// when a part of the fleet fails there is no time to find out.
	defaultUsageFloor = 0.7
	// retryableUsageFloor is the usage floor for requests that can be retried. It is
	// higher, because learning about the targets with these costs little.
	retryableUsageFloor = 0.95
	// recoveredUsageFloor is the usage floor among the targets that are not expected to
	// fail, for requests that cannot be retried. A target returns into use once its episode
	// has probably ended.
	recoveredUsageFloor = 0.95
	// largeUsageFloor is the usage floor for retryable requests that are expensive to
	// send to another data centre. Above it, up to retryableUsageFloor, they only go to
	// unused targets of this daemon's data centre.
	largeUsageFloor = 0.8
	// expensiveRemotePenalty is the remote penalty from which a request is expensive
	// to send to another data centre.
	expensiveRemotePenalty = 250 * time.Millisecond
	// failureWindow is how long a target that failed is left out of the usage floor.
	failureWindow = 1900 * time.Millisecond
	// introductionDelay is the time after which a new target that no daemon has used
	// gets a request, so that new capacity is known before it is needed.
	introductionDelay = 1500 * time.Millisecond
)

// requiredTarget returns a target that has to get a request even if another one costs
// less: a target that no daemon has used yet, or an unused one that is needed for the
// usage floor. Without peer events every target looks new. When hundreds of such daemons
// get an occasional request each, only retryable requests may go to a new target; the
// others go where they are most likely served.
func (p *Pool) requiredTarget(req Request, now time.Time) (*member, Reason) {
	if p.noPeerEvents && req.FinalAttempt {
		return nil, ""
	}
	eligible := p.needsIntroduction
	if p.noPeerEvents && req.remotePenalty() >= expensiveRemotePenalty {
		eligible = p.needsLocalIntroduction
	}
	if m := p.leastFailing(req, now, eligible); m != nil {
		return m, Introduction
	}
	eligible = p.floorFilter(req, now)
	if eligible == nil {
		return nil, ""
	}
	return p.leastFailing(req, now, eligible), Floor
}

// floorFilter returns a filter for the targets to which the request may go to reach
// the usage floor, or nil if the floor is reached. Requests that cannot be retried first
// bring the targets back into use that have probably recovered, because most of those that
// are sent to a failing target are lost.
func (p *Pool) floorFilter(req Request, now time.Time) func(*member, time.Time) bool {
	if req.FinalAttempt && p.usedShare(now, p.probablyRecovered) < recoveredUsageFloor {
		return p.unusedRecovered
	}
	used := p.usedShare(now, anyMember)
	switch {
	case req.FinalAttempt:
		if used < p.usageFloor {
			return p.unused
		}
	case used < largeUsageFloor || used < retryableUsageFloor && req.remotePenalty() < expensiveRemotePenalty:
		return p.unused
	case used < retryableUsageFloor:
		return p.unusedLocal
	}
	return nil
}

func (p *Pool) unusedLocal(m *member, now time.Time) bool {
	return m.target.DataCentre == p.dataCentre && p.unused(m, now)
}

// recoveryJitterFactor scales the jitter of a target for the trial after its episode. All
// daemons expect the episode to end at the same moment, and the first of them should know
// the result of its trial before the next one sends a request.
const recoveryJitterFactor = 4

// probablyRecovered reports whether the target has not failed, or its episode has probably
// ended. Daemons find so one after the other.
func (p *Pool) probablyRecovered(m *member, now time.Time) bool {
	return m.estimate.FailRate(p.model, now.Add(-recoveryJitterFactor*m.jitter)) < failRateLimit
}

func (p *Pool) unusedRecovered(m *member, now time.Time) bool {
	return p.unused(m, now) && p.probablyRecovered(m, now)
}

func anyMember(*member, time.Time) bool {
	return true
}

// needsIntroduction reports whether the target is new and no daemon has used it in time.
func (p *Pool) needsIntroduction(m *member, now time.Time) bool {
	return !p.monitoredElsewhere[m.target.DataCentre] && m.usedAt.IsZero() && now.Sub(m.addedAt) > introductionDelay+m.jitter && now.After(m.target.WarmAt)
}

func (p *Pool) needsLocalIntroduction(m *member, now time.Time) bool {
	return m.target.DataCentre == p.dataCentre && p.needsIntroduction(m, now)
}

// unused reports whether this daemon has to send the target a request to bring it back
// into use. A target that has just failed is exempt.
func (p *Pool) unused(m *member, now time.Time) bool {
	if p.monitoredElsewhere[m.target.DataCentre] {
		return false
	}
	last := m.usedAt
	if m.addedAt.After(last) {
		last = m.addedAt
	}
	return now.Sub(last) > floorInterval+m.jitter && now.Sub(m.failedAt) >= failureWindow
}

// usedShare returns the share of the matching targets that are in use. Targets that have
// just failed, targets that want no requests and targets monitored elsewhere are not
// counted.
func (p *Pool) usedShare(now time.Time, matches func(*member, time.Time) bool) float64 {
	used, all := 0, 0
	for k, m := range p.members {
		if p.restrictions.backingOff(k, now) || now.Sub(m.failedAt) < failureWindow || p.monitoredElsewhere[m.target.DataCentre] || !matches(m, now) {
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

// leastFailing returns the eligible target with a free slot and the lowest expected
// failure rate, or nil.
func (p *Pool) leastFailing(req Request, now time.Time, eligible func(*member, time.Time) bool) *member {
	var best *member
	for k, m := range p.members {
		if !eligible(m, now) || req.hasTried(k) || p.restrictions.backingOff(k, now) || m.load(now) >= m.target.Slots {
			continue
		}
		if best == nil || m.failRate(p.model, now) < best.failRate(p.model, now) {
			best = m
		}
	}
	return best
}
