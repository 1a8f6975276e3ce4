package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
)

func TestChoose(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "choose")
}

const sampleCount = 20000

// pickRates returns the fraction of sampleCount seeded calls of Pick that each candidate
// receives; the last element is the fraction that finds no candidate.
func pickRates(cands []choose.Candidate, idempotent bool) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	rates := make([]float64, len(cands)+1)
	for range sampleCount {
		i, ok := choose.Pick(cands, idempotent, rng.Uint64())
		if !ok {
			i = len(cands)
		}
		rates[i] += 1.0 / sampleCount
	}
	return rates
}

func candidate(state choose.State, own, peers int) choose.Candidate {
	return choose.Candidate{
		State: state, Weight: 1, SameDataCentre: true,
		InFlight: own, PeerInFlight: peers, Limit: 2 - peers, Slots: 2,
	}
}

var _ = Describe("Pick", func() {
	remote := func(c choose.Candidate) choose.Candidate { c.SameDataCentre = false; return c }
	withRank := func(c choose.Candidate, r uint64) choose.Candidate { c.Rank = r; return c }

	DescribeTable("prefers the first over the second",
		func(a, b choose.Candidate) {
			Expect(pickRates([]choose.Candidate{a, b}, true)[0]).To(BeNumerically("~", 1, 1e-9))
			Expect(pickRates([]choose.Candidate{b, a}, true)[1]).To(BeNumerically("~", 1, 1e-9))
		},
		Entry("ready over avoided, although it is busier and in another data centre", remote(candidate(choose.Ready, 1, 0)), candidate(choose.Avoided, 0, 0)),
		Entry("a free slot over none", candidate(choose.Avoided, 0, 0), candidate(choose.Ready, 1, 1)),
		Entry("same data centre over less load", candidate(choose.Ready, 1, 0), remote(candidate(choose.Ready, 0, 0))),
		Entry("another data centre over a busy target", remote(candidate(choose.Ready, 1, 0)), candidate(choose.Ready, 2, 0)),
		Entry("fewer own requests in flight", candidate(choose.Ready, 0, 0), candidate(choose.Ready, 1, 0)),
		Entry("fewer requests of peers in flight", candidate(choose.Ready, 0, 0), candidate(choose.Ready, 0, 1)),
		Entry("the lower rank among two equals", withRank(candidate(choose.Ready, 0, 0), 1), withRank(candidate(choose.Ready, 0, 0), 2)),
		Entry("anything over closed", candidate(choose.Avoided, 1, 0), candidate(choose.Unavailable, 0, 0)),
	)

	It("gives a target in slow start the fraction of a full share that its weight states", func() {
		cands := []choose.Candidate{candidate(choose.Ready, 0, 0), candidate(choose.Ready, 0, 0), candidate(choose.Ready, 0, 0), candidate(choose.SlowStart, 0, 0)}
		for i := range cands {
			cands[i].Rank = choose.Rank("vm", fleet.TargetID(fmt.Sprint(i)))
		}
		cands[3].Weight = 0
		Expect(pickRates(cands, true)[3]).To(BeZero())
		cands[3].Weight = 1
		full := pickRates(cands, true)[3]
		cands[3].Weight = 0.1
		Expect(pickRates(cands, true)[3]).To(BeNumerically("~", full/10, 0.01))
	})

	It("uses a target in slow start when no ready one is free", func() {
		slow := candidate(choose.SlowStart, 0, 0)
		slow.Weight = 0
		Expect(pickRates([]choose.Candidate{candidate(choose.Ready, 2, 0), slow}, false)[1]).To(BeNumerically("~", 1, 1e-9))
	})

	It("sends trials only idempotent requests, one at a time, where allowed", func() {
		trial := candidate(choose.Trial, 0, 0)
		trial.Weight, trial.TrialAllowed = 0.1, true
		Expect(pickRates([]choose.Candidate{candidate(choose.Ready, 0, 0), trial}, true)[1]).To(BeNumerically("~", 0.1, 0.01))
		Expect(pickRates([]choose.Candidate{trial}, true)[0]).To(BeNumerically("~", 1, 1e-9))
		Expect(pickRates([]choose.Candidate{trial}, false)[1]).To(BeNumerically("~", 1, 1e-9), "not idempotent")
		trial.InFlight = 1
		Expect(pickRates([]choose.Candidate{trial}, true)[1]).To(BeNumerically("~", 1, 1e-9), "a trial is running")
		trial.InFlight, trial.TrialAllowed = 0, false
		Expect(pickRates([]choose.Candidate{trial}, true)[1]).To(BeNumerically("~", 1, 1e-9), "not allowed")
	})

	It("spreads over many candidates of equal cost and prefers the lower ranks", func() {
		var cands []choose.Candidate
		for r := range 10 {
			cands = append(cands, withRank(candidate(choose.Ready, 0, 0), uint64(r)))
		}
		rates := pickRates(cands, true)
		Expect(rates[0]).To(BeNumerically("~", 0.19, 0.02))
		Expect(rates[9]).To(BeNumerically("~", 0.01, 0.005))
	})

	It("allocates nothing", func() {
		cands := make([]choose.Candidate, 40)
		for i := range cands {
			cands[i] = candidate(choose.Ready, 0, 0)
		}
		Expect(testing.AllocsPerRun(100, func() { choose.Pick(cands, true, 7) })).To(BeZero())
	})
})

var _ = It("ranks targets differently for different daemons", func() {
	first := map[fleet.TargetID]int{}
	for d := range 100 {
		var best fleet.TargetID
		low := ^uint64(0)
		for i := range 5 {
			id := fleet.TargetID(fmt.Sprintf("t%d", i))
			if r := choose.Rank(fleet.VMID(fmt.Sprintf("vm%d", d)), id); r < low {
				best, low = id, r
			}
		}
		first[best]++
	}
	Expect(first).To(HaveLen(5))
	for id, n := range first {
		Expect(n).To(BeNumerically("<", 40), "%s is first for too many daemons", id)
	}
})

// Guards against a suspect target that receives no orders while results about it are
// collected: it still counts as capacity, and without it a service could fall below
// its floor although nothing was ejected.
var _ = Describe("NeedsEvidence", func() {
	suspect := choose.Candidate{State: choose.Ready, NeedsEvidence: true, Limit: 2, Slots: 2}
	healthy := choose.Candidate{State: choose.Ready, SameDataCentre: true, Limit: 2, Slots: 2}

	It("leaves the target open to orders, also as the only one", func() {
		_, ok := choose.Pick([]choose.Candidate{suspect}, false, 7)
		Expect(ok).To(BeTrue())
		for draw := range uint64(1000) {
			pos, _ := choose.Pick([]choose.Candidate{suspect, healthy}, false, draw)
			Expect(pos).To(Equal(1), "orders are not used to collect evidence")
		}
	})

	It("gives it a fifth of the idempotent requests, one at a time", func() {
		taken := 0
		for draw := range uint64(10_000) {
			if pos, _ := choose.Pick([]choose.Candidate{suspect, healthy}, true, draw); pos == 0 {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("~", 2000, 200))
		busy := suspect
		busy.InFlight = 1
		pos, _ := choose.Pick([]choose.Candidate{busy, healthy}, true, 7)
		Expect(pos).To(Equal(1))
	})
})
