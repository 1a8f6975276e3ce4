package choose_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
)

const (
	daemons, targets, slots = 6, 10, 2
	serviceTicks            = 40 // mean, in ticks of 1 ms
	reportTicks             = 2000
	spanTicks               = 120_000
)

// ties chooses among candidates that are equal to the best one.
type ties struct {
	name string
	pick func(f *fleetSim, d, best int, cands []choose.Candidate) int
}

func rankHashed(_ *fleetSim, _, best int, _ []choose.Candidate) int { return best }

func randomly(f *fleetSim, _, best int, cands []choose.Candidate) int {
	return f.from(f.rng.IntN(targets), best, cands)
}

func roundRobin(f *fleetSim, d, best int, cands []choose.Candidate) int {
	f.turn[d] = f.from(f.turn[d]+1, best, cands)
	return f.turn[d]
}

// fleetSim is six daemons that know each other's work only from reports.
type fleetSim struct {
	rng      *rand.Rand
	ties     ties
	own      [daemons][targets]int
	reported [daemons][targets]int
	turn     [daemons]int
	ends     map[int][][2]int
	over     int
	started  [targets]int
	blocked  int
	tick     int
	ranks    [daemons][targets]uint64
}

// from returns the first candidate equal to the best one, from position i on.
func (f *fleetSim) from(i, best int, cands []choose.Candidate) int {
	for b := cands[best]; ; i++ {
		c := cands[i%targets]
		if c.InFlight < c.Limit && c.SameDataCentre == b.SameDataCentre && c.InFlight+c.PeerInFlight == b.InFlight+b.PeerInFlight {
			return i % targets
		}
	}
}

// arrive serves one request at daemon d; the first closed targets are closed.
func (f *fleetSim) arrive(d, closed int) {
	cands := make([]choose.Candidate, targets)
	for t := range cands {
		peers := -f.reported[d][t]
		for p := range daemons {
			peers += f.reported[p][t]
		}
		cands[t] = choose.Candidate{
			State: choose.Ready, SameDataCentre: t%3 == d%3, InFlight: f.own[d][t], PeerInFlight: peers,
			Limit: max(slots-peers, 0), Slots: slots, Rank: f.ranks[d][t],
		}
		if t < closed {
			cands[t].State, cands[t].Limit = choose.Closed, 0
		}
	}
	best, ok := choose.Pick(cands, true, f.rng.Uint64())
	if !ok {
		f.blocked++
		return
	}
	t := f.ties.pick(f, d, best, cands)
	f.own[d][t]++
	f.started[t]++
	end := f.tick + 1 + int(f.rng.ExpFloat64()*serviceTicks)
	f.ends[end] = append(f.ends[end], [2]int{d, t})
}

func (f *fleetSim) step(rate float64, closed int) {
	for _, e := range f.ends[f.tick] {
		f.own[e[0]][e[1]]--
	}
	delete(f.ends, f.tick)
	for d := range daemons {
		if f.tick%reportTicks == d*reportTicks/daemons {
			f.reported[d] = f.own[d]
		}
	}
	if f.rng.Float64() < rate {
		f.arrive(f.rng.IntN(daemons), closed)
	}
	for t := range targets {
		sum := 0
		for d := range daemons {
			sum += f.own[d][t]
		}
		if sum > slots {
			f.over++
		}
	}
	f.tick++
}

// herd closes three targets for 6 s and opens them again, fifty times. It returns the
// mean part of the work of the next 100 ms that the busiest of the three receives.
func (f *fleetSim) herd(rate float64) float64 {
	worst, all := 0, 0
	for range 50 {
		for range 3 * reportTicks {
			f.step(rate, 3)
		}
		f.started = [targets]int{}
		for range 100 {
			f.step(rate, 0)
		}
		worst += slices.Max(f.started[:3])
		for _, n := range f.started {
			all += n
		}
	}
	return 100 * float64(worst) / float64(all)
}

// BenchmarkTies compares ways to decide between equal targets.
func BenchmarkTies(b *testing.B) {
	for _, load := range []float64{0.3, 0.6} {
		for _, way := range []ties{{"rank-hashed", rankHashed}, {"random", randomly}, {"round-robin", roundRobin}} {
			b.Run(fmt.Sprintf("load=%v/%s", load, way.name), func(b *testing.B) {
				f := &fleetSim{rng: rand.New(rand.NewPCG(1, 4)), ties: way, ends: map[int][][2]int{}}
				for d := range daemons {
					for t := range targets {
						f.ranks[d][t] = choose.Rank(fleet.VMID(fmt.Sprint("vm", d)), fleet.TargetID(fmt.Sprint("t", t)))
					}
				}
				rate := load * targets * slots / serviceTicks
				for range spanTicks {
					f.step(rate, 0)
				}
				b.ReportMetric(100*float64(f.over)/(spanTicks*targets), "%over-slots")
				b.ReportMetric(100*float64(f.blocked)/(rate*spanTicks), "%blocked")
				b.ReportMetric(f.herd(rate), "%herd")
			})
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 40} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			cands := make([]choose.Candidate, n)
			for i := range cands {
				cands[i] = cand(choose.Ready, 0, 0)
				cands[i].Rank = choose.Rank("vm", fleet.TargetID(fmt.Sprint(i)))
			}
			b.ReportAllocs()
			for draw := uint64(0); b.Loop(); draw++ {
				choose.Pick(cands, true, draw)
			}
		})
	}
}
