package choose

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fleet"
)

// State is what a candidate may be used for.
type State uint8

// The states of a candidate. The zero value gets no work, so that a candidate
// whose state was never set is not used.
const (
	Closed State = iota
	Ready
	SlowStart
	Avoided
	Trial
)

// Candidate is one target as the daemon sees it at the moment of the choice.
type Candidate struct {
	State State
	// TrialAllowed says that this daemon may send a trial to the target.
	TrialAllowed   bool
	SameDataCentre bool
	// Confirm asks for a share of the idempotent requests, because this daemon has
	// too little evidence of its own about a suspect target. The target stays
	// open as its state says, so that it still counts as capacity.
	Confirm bool
	// Weight is the share of full traffic for SlowStart, and the share of idempotent
	// requests spent on trials for Trial, in [0, 1].
	Weight float64
	// InFlight is this daemon's own work at the target.
	InFlight int
	// PeerInFlight is the work of the other daemons as last reported.
	PeerInFlight int
	// Share is the part of Slots that the division among the daemons gives this one.
	Share int
	// Limit is the most own work allowed at the target now.
	Limit int
	// Slots is the number of requests the target works on at once.
	Slots int
	// Rank breaks ties, lowest first; see Rank.
	Rank uint64
}

// Rank returns the rank of a target for a daemon. It differs between daemons,
// so that daemons with the same view spread over equal targets.
func Rank(daemon fleet.VMID, target fleet.TargetID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(daemon))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(target))
	return d.Sum64()
}

// The classes of a candidate, best first. A trial that is due comes before ready
// targets, because under light load it would otherwise never receive a request.
const (
	classTrialDue = iota
	classReady
	classSlowStart
	classTrial
	classAvoided
	classNone
)

const (
	loadBits = 32
	// beyondBit marks work beyond the daemon's share, farBit another data centre.
	beyondBit = 1 << loadBits
	farBit    = 2 << loadBits
	// loadUnit is the load of a target whose slots are all in use. Loads are
	// compared in 1/1024, so that targets with 2 and with 3 slots are comparable.
	loadUnit = 1024
	// peerDiscount weighs the work that peers report, which is up to an interval
	// old. Daemons that trust it in full move to the same idle target together,
	// whose slowness then looks like sickness (docs/policy.md, case herding).
	peerDiscount = 4
	noKey        = ^uint64(0)
	// confirmShare is the share of idempotent requests by which a daemon gathers
	// evidence about a target that only others have found suspect. It ends as
	// soon as the daemon has the few requests that a judgement needs.
	confirmShare = 0.2
	// manyEqual is the number of equal candidates from which two are drawn and the
	// better rank wins; fewer are decided by rank alone.
	manyEqual = 3
)

// Pick returns the position of the best candidate with a free slot; ok is false
// if there is none. draw is a uniformly distributed random number.
func Pick(cands []Candidate, idempotent bool, draw uint64) (pos int, ok bool) {
	best, equal, pos := noKey, 0, -1
	for i := range cands {
		c := &cands[i]
		k := c.key(idempotent, draw)
		switch {
		case k > best || k == noKey:
			continue
		case k < best:
			best, equal, pos = k, 1, i
		default:
			equal++
			if c.Rank < cands[pos].Rank {
				pos = i
			}
		}
	}
	if equal < manyEqual {
		return pos, pos >= 0
	}
	return drawTwo(cands, idempotent, draw, best, equal), true
}

// drawTwo draws two of the equal candidates with replacement and returns the one
// with the lower rank.
func drawTwo(cands []Candidate, idempotent bool, draw, best uint64, equal int) int {
	h := mix(draw)
	first, _ := bits.Mul64(h, uint64(equal))
	second, _ := bits.Mul64(mix(h), uint64(equal))
	found, seen := -1, uint64(0)
	for i := range cands {
		if cands[i].key(idempotent, draw) != best {
			continue
		}
		if seen == first || seen == second {
			if found < 0 || cands[i].Rank < cands[found].Rank {
				found = i
			}
		}
		seen++
	}
	return found
}

// key returns class, distance and load of the candidate in one number, lowest
// best, or noKey if it must not be used.
func (c *Candidate) key(idempotent bool, draw uint64) uint64 {
	if c.State == Closed || c.InFlight >= c.Limit {
		return noKey
	}
	class := c.class(idempotent, draw)
	if class == classNone {
		return noKey
	}
	k := uint64(class) << (loadBits + 2)
	if c.InFlight >= c.Share {
		k |= beyondBit
	}
	if !c.SameDataCentre {
		k |= farBit
	}
	load := c.InFlight*loadUnit + c.PeerInFlight*loadUnit/peerDiscount
	return k | uint64(load/max(c.Slots, 1))
}

// class places the candidate. A target in slow start competes with the ready
// ones for the share of requests that its weight states.
func (c *Candidate) class(idempotent bool, draw uint64) int {
	if c.Confirm && idempotent && c.InFlight == 0 && c.drawn(draw, confirmShare) {
		return classTrialDue
	}
	switch c.State {
	case Ready:
		return classReady
	case SlowStart:
		if c.admitted(draw) {
			return classReady
		}
		return classSlowStart
	case Trial:
		// One trial at a time bounds the damage that a still failing target does.
		if !idempotent || !c.TrialAllowed || c.InFlight > 0 {
			return classNone
		}
		if c.admitted(draw) {
			return classTrialDue
		}
		return classTrial
	case Avoided:
		return classAvoided
	default:
		return classNone
	}
}

// admitted reports true for the share of draws that Weight states; the rank makes
// it independent between targets.
func (c *Candidate) admitted(draw uint64) bool {
	return c.drawn(draw, c.Weight)
}

// drawn reports true for the given share of draws.
func (c *Candidate) drawn(draw uint64, share float64) bool {
	const mantissa = 53
	return float64(mix(draw^c.Rank)>>(64-mantissa))/(1<<mantissa) < share
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
