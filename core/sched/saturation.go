package sched

import (
	"math"
	"slices"
	"time"

	"wisteriarelay.example/core/judge"
)

const (
	// refusalMemory is the time in which the weight of a result falls to 1/e. With a second,
	// a service whose targets all began to refuse used up two thirds of its retry budget
	// before it counted as saturated.
	refusalMemory = 300 * time.Millisecond
	// knownFor is how long a target's last result says something about its refusals. An
	// attempt at a target without one finds out.
	knownFor = time.Second
	// minRefusalEvidence is the weight of results from which a service can count as
	// saturated. With fewer results, chance alone makes half of them refusals.
	minRefusalEvidence = 6
	// serviceWeight is the number of results that the share of the whole service counts
	// for in the share of one target, which may have had only a few requests.
	serviceWeight = 3
	// bestShare is the share of the targets, those that refuse least, that have to refuse
	// requests for the service to be saturated: a further attempt goes to one of them.
	bestShare = 0.25
	// saturatedShare is the share of refused requests from which a target counts as full.
	// Below it, a further attempt is more likely served than refused.
	saturatedShare = 0.5
)

const (
	// plentyLeft is the share of the retry budget from which it is not scarce.
	plentyLeft = 0.5
	// minChance is the chance of being served from which a further attempt is worth its
	// place in a retry budget that is not scarce. Below it, an attempt costs the targets
	// ten refusals for each request that it serves.
	minChance = 0.1
	// minChanceIfScarce replaces minChance when nothing is left of the budget. What is left
	// is kept for failures that have nothing to do with saturation, where a further attempt
	// is served nine times in ten.
	minChanceIfScarce = 0.5
)

// refusals counts the recent results of one target and those of them that are refusals,
// each with a weight that falls with its age.
type refusals struct {
	refused, ended float64
	asOf           time.Time
	// lastAt is when the last result was counted.
	lastAt time.Time
}

// add counts a result that shows whether the target refuses requests.
func (r *refusals) add(now time.Time, result judge.Result) {
	switch result {
	case judge.Shed, judge.Served, judge.Late, judge.Failed, judge.Broken:
	default:
		return
	}
	*r = r.at(now)
	r.lastAt = now
	r.ended++
	if result == judge.Shed {
		r.refused++
	}
}

// at returns the counts as they are at a time.
func (r *refusals) at(now time.Time) refusals {
	weight := math.Exp(-now.Sub(r.asOf).Seconds() / refusalMemory.Seconds())
	return refusals{refused: r.refused * weight, ended: r.ended * weight, asOf: now, lastAt: r.lastAt}
}

// known reports whether something is known about the refusals of the target.
func (r refusals) known(now time.Time) bool {
	return now.Sub(r.lastAt) < knownFor
}

// Saturation says whether the targets of a service refuse requests because the service as
// a whole lacks capacity, as opposed to a few targets that are full or fail.
type Saturation struct {
	// Saturated is set if even those targets that refuse least refuse half of their
	// requests.
	Saturated bool `json:"saturated"`
	// RefusedShare is the share of requests that these targets refuse.
	RefusedShare float64 `json:"refused-share"`
	// Results is the weight of the recent results that this is based on.
	Results float64 `json:"results"`
}

// WorthAttempt reports whether an immediate further attempt is worth its place in the retry
// budget, of which the given share is left. If the service is not saturated, it always is.
// Targets that refuse at random serve a further attempt with some chance; the less is left
// of the budget, the better this chance must be.
func (s Saturation) WorthAttempt(budgetLeft float64) bool {
	if !s.Saturated {
		return true
	}
	scarcity := 1 - min(max(budgetLeft, 0), plentyLeft)/plentyLeft
	return 1-s.RefusedShare >= minChance+scarcity*(minChanceIfScarce-minChance)
}

// Saturation returns whether the service is saturated for a further attempt of a request.
// It uses the results of this daemon and of its peers. The service is not saturated if the
// target that would get the attempt served others recently, or if nothing is known about
// it: the attempt then finds out.
func (p *Pool) Saturation(req Request) Saturation {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var service refusals
	for _, m := range p.members {
		r := m.refusals.at(now)
		service.refused += r.refused
		service.ended += r.ended
	}
	out := Saturation{Results: service.ended}
	if service.ended < minRefusalEvidence {
		return out
	}
	out.RefusedShare = p.refusedShare(req, now, service.refused/service.ended)
	out.Saturated = out.RefusedShare >= saturatedShare
	return out
}

// refusedShare returns the share of requests that are refused by the targets that refuse
// least, or by the target that would get the request if that is lower. serviceShare is the
// share of the whole service.
func (p *Pool) refusedShare(req Request, now time.Time, serviceShare float64) float64 {
	var shares []float64
	for k, m := range p.members {
		r := m.refusals.at(now)
		if r.known(now) && !req.hasTried(k) && !p.restrictions.backingOff(k, now) {
			shares = append(shares, r.share(serviceShare))
		}
	}
	next, _ := p.cheapest(req, now)
	if len(shares) == 0 || next.member != nil && !next.member.refusals.known(now) {
		return 0
	}
	slices.Sort(shares)
	best := shares[int(bestShare*float64(len(shares)-1))]
	if next.member == nil {
		return best
	}
	return min(best, next.member.refusals.at(now).share(serviceShare))
}

// share returns the share of requests that the target refuses.
func (r refusals) share(serviceShare float64) float64 {
	return (r.refused + serviceWeight*serviceShare) / (r.ended + serviceWeight)
}
