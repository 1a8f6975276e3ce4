package choose

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fleet"
)

// State says which requests a candidate may receive.
type State uint8

// The states of a candidate. Closed is the zero value, so that a candidate whose
// state was never set receives no requests.
const (
	// Unavailable candidates receive no requests.
	Unavailable State = iota
	// Ready candidates receive all requests, up to their limit.
	Ready
	// SlowStart candidates receive the part of full traffic that Weight states, and
	// more if no ready candidate is free.
	SlowStart
	// Avoided candidates receive requests only if no other candidate is free.
	Avoided
	// Trial candidates receive single idempotent requests that test whether the
	// target works again.
	Trial
)

// Candidate describes one target at the time of the choice.
type Candidate struct {
	State State
	// TrialAllowed is set if this daemon may send trial requests to the target.
	TrialAllowed   bool
	SameDataCentre bool
	// NeedsEvidence is set if this daemon has too few results of its own to judge a
	// suspect target. The target then receives an additional fraction of the idempotent
	// requests. State still applies, so that the target keeps counting as capacity.
	NeedsEvidence bool
	// Weight is the fraction of full traffic in the state SlowStart, and the fraction
	// of idempotent requests used as trials in the state Trial. It is in [0, 1].
	Weight float64
	// InFlight is the number of requests that this daemon has in flight at the target.
	InFlight int
	// PeerInFlight is the number of requests that the other daemons have in flight
	// at the target, as last reported.
	PeerInFlight int
	// Quota is the number of the target's slots that are assigned to this daemon when
	// the slots are divided among the daemons.
	Quota int
	// Limit is the maximum of InFlight that is allowed now.
	Limit int
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Rank breaks ties, lowest first; see the function Rank.
	Rank uint64
}

// Rank returns the rank of a target for a daemon, a hash of both. It differs
// between daemons, so that daemons with the same information spread over targets
// that are otherwise equal.
func Rank(daemon fleet.VMID, target fleet.TargetID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(daemon))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(target))
	return digest.Sum64()
}

// The preference classes of candidates, best first. A trial that is due comes before
// ready targets: under light load a ready target always has a free slot, so that the
// trial would otherwise never receive a request.
const (
	classTrialDue = iota
	classReady
	classSlowStart
	classTrial
	classAvoided
	classUnusable
)

const (
	loadBits = 32
	// overQuotaBit is set if this daemon already uses its quota of the target's slots.
	overQuotaBit = 1 << loadBits
	// remoteBit is set if the target is in another data centre.
	remoteBit = 2 << loadBits
	// loadScale is the load of a target whose slots are all in use. Loads are
	// compared in 1/1024, so that targets with 2 and with 3 slots are comparable.
	loadScale = 1024
	// peerDiscount divides the load that peers report, which is up to one report
	// interval old. If it counted in full, all daemons would send to the same idle
	// target at once, and its slowness would look like a fault of the target
	// (docs/policy.md, case herding).
	peerDiscount = 4
	// unusableCost is the cost of a candidate that must not be used.
	unusableCost = ^uint64(0)
	// evidenceShare is the fraction of idempotent requests that a daemon sends to a
	// target that only other daemons found suspect, until it has the few results of
	// its own that it needs to judge the target.
	evidenceShare = 0.2
	// twoChoicesMin is the number of candidates of equal cost from which on the better
	// rank of two random ones wins; among fewer the best rank wins.
	twoChoicesMin = 3
)

// Pick returns the index of the best candidate with a free slot; ok is false
// if there is none. random is a uniformly distributed random number.
func Pick(cands []Candidate, idempotent bool, random uint64) (pos int, ok bool) {
	lowest, ties, pos := unusableCost, 0, -1
	for i := range cands {
		c := &cands[i]
		cost := c.cost(idempotent, random)
		switch {
		case cost > lowest || cost == unusableCost:
			continue
		case cost < lowest:
			lowest, ties, pos = cost, 1, i
		default:
			ties++
			if c.Rank < cands[pos].Rank {
				pos = i
			}
		}
	}
	if ties < twoChoicesMin {
		return pos, pos >= 0
	}
	return bestOfTwoRandom(cands, idempotent, random, lowest, ties), true
}

// bestOfTwoRandom draws two of the candidates with the lowest cost at random, with
// replacement, and returns the index of the one with the lower rank.
func bestOfTwoRandom(cands []Candidate, idempotent bool, random, lowestCost uint64, ties int) int {
	hash := splitMix64(random)
	first, _ := bits.Mul64(hash, uint64(ties))
	second, _ := bits.Mul64(splitMix64(hash), uint64(ties))
	best, seen := -1, uint64(0)
	for i := range cands {
		if cands[i].cost(idempotent, random) != lowestCost {
			continue
		}
		if seen == first || seen == second {
			if best < 0 || cands[i].Rank < cands[best].Rank {
				best = i
			}
		}
		seen++
	}
	return best
}

// cost packs the preference class, the data centre, the quota and the load of the
// candidate into one number; the lowest is the best. It is unusableCost if the
// candidate must not be used.
func (c *Candidate) cost(idempotent bool, random uint64) uint64 {
	if c.State == Unavailable || c.InFlight >= c.Limit {
		return unusableCost
	}
	class := c.class(idempotent, random)
	if class == classUnusable {
		return unusableCost
	}
	cost := uint64(class) << (loadBits + 2)
	if c.InFlight >= c.Quota {
		cost |= overQuotaBit
	}
	if !c.SameDataCentre {
		cost |= remoteBit
	}
	load := c.InFlight*loadScale + c.PeerInFlight*loadScale/peerDiscount
	return cost | uint64(load/max(c.Slots, 1))
}

// class returns the preference class of the candidate for a request. A target in
// slow start counts as ready for the fraction of requests that Weight states.
func (c *Candidate) class(idempotent bool, random uint64) int {
	if c.NeedsEvidence && idempotent && c.InFlight == 0 && c.sampled(random, evidenceShare) {
		return classTrialDue
	}
	switch c.State {
	case Ready:
		return classReady
	case SlowStart:
		if c.sampledByWeight(random) {
			return classReady
		}
		return classSlowStart
	case Trial:
		// One trial at a time limits the failed requests if the target still fails.
		if !idempotent || !c.TrialAllowed || c.InFlight > 0 {
			return classUnusable
		}
		if c.sampledByWeight(random) {
			return classTrialDue
		}
		return classTrial
	case Avoided:
		return classAvoided
	default:
		return classUnusable
	}
}

// sampledByWeight reports true for the fraction of random numbers that Weight states.
func (c *Candidate) sampledByWeight(random uint64) bool {
	return c.sampled(random, c.Weight)
}

// sampled reports true for the given fraction of random numbers. Rank is mixed in, so
// that the results of different targets are independent.
func (c *Candidate) sampled(random uint64, fraction float64) bool {
	const mantissa = 53
	return float64(splitMix64(random^c.Rank)>>(64-mantissa))/(1<<mantissa) < fraction
}

// splitMix64 returns the output of the SplitMix64 generator for the state x.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
