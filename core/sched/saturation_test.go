package sched_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/sched"
)

// resultShares are the shares of its requests that a target refuses and resets.
type resultShares struct{ refused, reset float64 }

// first returns the shares for n targets of which the first count have the given ones.
func first(count int, s resultShares, n int) []resultShares {
	out := make([]resultShares, n)
	for i := range count {
		out[i] = s
	}
	return out
}

// observe lets a peer report results of all targets in turn for 3 s, and returns the share
// of the last 2 s in which the service was saturated.
func observe(p *sched.Pool, perSecond int, shares []resultShares) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	keys := targets(len(shares))
	saturated, checked := 0, 0
	for n := range 3 * perSecond {
		time.Sleep(time.Second / time.Duration(perSecond))
		at := n % len(shares)
		result, x := judge.Served, random.Float64()
		switch {
		case x < shares[at].refused:
			result = judge.Shed
		case x < shares[at].refused+shares[at].reset:
			result = judge.Broken
		}
		p.ApplyPeerEvent("peer", sched.Event{Service: service, Target: keys[at].Key, Result: result, Latency: time.Millisecond})
		if n >= perSecond {
			checked++
			if p.Saturation(newRequest(true)).Saturated {
				saturated++
			}
		}
	}
	return float64(saturated) / float64(checked)
}

// Guards against retries that are withheld because single targets are full or fail, and
// against retries that use up the budget of a service whose targets are all full.
func TestSaturatedServiceIsToldFromFullTargets(t *testing.T) {
	full, failing := resultShares{refused: 1}, resultShares{reset: 0.85}
	for name, c := range map[string]struct {
		perSecond int
		shares    []resultShares
		least     float64
		most      float64
	}{
		"no target":                     {300, first(0, full, 10), 0, 0},
		"one full of two":               {300, first(1, full, 2), 0, 0},
		"one full of ten":               {300, first(1, full, 10), 0, 0},
		"three full of ten":             {300, first(3, full, 10), 0, 0},
		"six full of ten":               {300, first(6, full, 10), 0, 0},
		"a third failing":               {300, first(10, failing, 30), 0, 0},
		"all failing":                   {300, first(10, failing, 10), 0, 0},
		"a third failing, a third full": {300, append(first(10, failing, 20), first(10, full, 10)...), 0, 0},
		"all refuse 20%":                {300, first(10, resultShares{refused: 0.2}, 10), 0, 0},
		"all refuse 75%":                {300, first(10, resultShares{refused: 0.75}, 10), 0.8, 1},
		"all full":                      {300, first(10, full, 10), 1, 1},
		"both of two full":              {300, first(2, full, 2), 1, 1},
		"nine full of ten":              {300, first(9, full, 10), 0, 0},
		"all full, little traffic":      {6, first(3, full, 3), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				share := observe(newPool(len(c.shares)), c.perSecond, c.shares)
				t.Logf("saturated in %.0f%% of the time", 100*share)
				g.Expect(share).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
			})
		})
	}
}

// Guards against a daemon that takes a service for saturated because its peers tell it of
// failures only.
func TestSaturationIgnoresPeersThatTellFailuresOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(10)
		p.SetReceivesPeerEvents(false)
		g.Expect(observe(p, 300, first(10, resultShares{refused: 1}, 10))).To(BeZero())
	})
}

// Guards against a saturated state that outlasts the load: once the targets serve again,
// retries are allowed within about a second.
func TestSaturationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(10)
		g.Expect(observe(p, 300, first(10, resultShares{refused: 1}, 10))).To(BeNumerically("==", 1))
		time.Sleep(5 * time.Second)
		g.Expect(p.Saturation(newRequest(true)).Saturated).To(BeFalse())
		observe(p, 300, first(10, resultShares{refused: 1}, 10))
		g.Expect(observe(p, 300, first(0, resultShares{}, 10))).To(BeZero())
	})
}

// Guards against attempts that are hardly ever served, and against targets that refuse at
// random and would serve a further attempt while the budget is not scarce.
func TestAttemptIsWorthItsPlaceInTheBudget(t *testing.T) {
	for _, c := range []struct {
		refused, left float64
		worth         bool
	}{
		{0.55, 1, true},
		{0.55, 0.1, true},
		{0.55, 0, false},
		{0.75, 0.5, true},
		{0.75, 0.2, false},
		{0.85, 0.5, true},
		{0.85, 0.4, false},
		{0.95, 1, false},
	} {
		g := NewWithT(t)
		s := sched.Saturation{Saturated: true, RefusedShare: c.refused}
		g.Expect(s.WorthAttempt(c.left)).To(Equal(c.worth), "%+v", c)
	}
	NewWithT(t).Expect(sched.Saturation{RefusedShare: 0.4}.WorthAttempt(0)).To(BeTrue())
}
