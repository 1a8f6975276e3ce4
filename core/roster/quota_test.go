package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/roster"
)

// Guards against shares of quotas that add up to more than the whole: all daemons must
// agree on the holders, also after they have lost sight of each other.
func TestQuotaSharesAddUpToWhole(t *testing.T) {
	for _, perDataCentre := range []int{1, 3, 4, 11, 30} {
		g := NewWithT(t)
		rosters := fleetOf(perDataCentre)
		for _, silence := range []time.Duration{0, time.Second, 9 * time.Minute} {
			now := startTime.Add(silence)
			sum := 0.0
			for i, r := range rosters {
				for j := range rosters {
					if i%3 > 0 && j%2 == 0 && i != j {
						r.RecordHeartbeat(now, member(string(rune('a'+j/perDataCentre)), j%perDataCentre), roster.Status{Ready: true}, nil)
					}
				}
				if h := r.QuotaHolders(now); h.Self {
					sum += 1 / float64(h.Shares)
				}
			}
			g.Expect(sum).To(BeNumerically("~", 1, 1e-9), "%d daemons after %s", 3*perDataCentre, silence)
		}
	}
}

// Guards against a daemon that starts while it is cut off, knows other data centres only
// from the store, and takes its share for a larger one.
func TestQuotaSharesOfUnheardDataCentre(t *testing.T) {
	g := NewWithT(t)
	r := roster.New(member("a", 0))
	for n := range 6 {
		r.Add(member("b", n))
	}
	h := r.QuotaHolders(time.Now().Add(time.Minute))
	g.Expect(h.Self).To(BeTrue())
	g.Expect(h.Shares).To(Equal(5))
	g.Expect(h.Candidates).To(HaveLen(1))
}

// Guards against candidates in different orders at different daemons, and against the same
// coordinator for all shards where daemons are alike.
func TestQuotaCandidatesAreTheSameEverywhere(t *testing.T) {
	g := NewWithT(t)
	rosters := fleetOf(11)
	first := map[string]bool{}
	for shard := range 4 {
		want := roster.QuotaCandidates(rosters[0].QuotaHolders(startTime).Candidates, shard)
		g.Expect(want).To(HaveLen(12))
		first[want[0].VM] = true
		for _, r := range rosters[1:] {
			g.Expect(roster.QuotaCandidates(r.QuotaHolders(startTime).Candidates, shard)).To(Equal(want))
		}
	}
	g.Expect(len(first)).To(BeNumerically(">", 1))
	rosters[0].RecordHeartbeat(startTime, member("b", 1), roster.Status{Leaving: true}, nil)
	for _, m := range rosters[0].QuotaHolders(startTime).Candidates {
		g.Expect(m.VM).NotTo(Equal(member("b", 1).VM))
	}
}

// BenchmarkQuotaHolders measures the search for the holders among 690 daemons.
func BenchmarkQuotaHolders(b *testing.B) {
	r := fleetOf(230)[0]
	for b.Loop() {
		r.QuotaHolders(startTime)
	}
}
