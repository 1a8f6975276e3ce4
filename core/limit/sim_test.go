package limit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
)

const (
	simSeeds          = 5
	simDuration       = 60 * time.Second
	simService        = 40 * time.Millisecond
	simReportInterval = 3 * time.Second
	simTargets        = 10
	simSlots          = 2
	simCapacity       = simTargets * simSlots * float64(time.Second/simService) // requests per second
)

// runVirtual runs f in a synctest bubble, so that a benchmark of behaviour runs in
// virtual time.
func runVirtual(b *testing.B, f func()) {
	b.Helper()
	all := func(string, string) (bool, error) { return true, nil }
	bubble := func(t *testing.T) { synctest.Test(t, func(*testing.T) { f() }) }
	if !testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: bubble}}) {
		b.Fatal("the bubble failed")
	}
}

// simulation is a set of simulated targets and of daemons with one limiter each. Requests
// above a target's slots wait at the target. mu guards the fields below it.
type simulation struct {
	sync.WaitGroup
	limiters []*limit.Limiter
	slots    map[fleet.TargetID]chan struct{}
	stop     chan struct{}

	mu         sync.Mutex
	rng        *rand.Rand
	inFlight   map[fleet.TargetID]int
	started    map[fleet.TargetID]int
	lastChange time.Time
	overSlots  time.Duration
	offered    [3]int
	inTime     [3]int
	lateGrants int
	waits      []time.Duration
}

func newSimulation(daemons int, seed uint64) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), inFlight: map[fleet.TargetID]int{}, started: map[fleet.TargetID]int{}, lastChange: time.Now(),
		slots: map[fleet.TargetID]chan struct{}{}, stop: make(chan struct{}),
	}
	for i := range daemons {
		vm := fleet.VMID(fmt.Sprint("vm", i))
		sim.limiters = append(sim.limiters, limit.New(vm, limit.WithSeed(seed), limit.WithSnapshot(daemonSnapshot(simTargets, simSlots, i))))
	}
	for _, t := range readySnapshot(simTargets, simSlots).Targets {
		sim.slots[t.ID] = make(chan struct{}, simSlots)
	}
	return sim
}

// changeInFlight changes the number of requests at a target by n and adds up the time
// that targets spend above their slots.
func (sim *simulation) changeInFlight(id fleet.TargetID, n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, k := range sim.inFlight {
		if k > simSlots {
			sim.overSlots += time.Since(sim.lastChange)
		}
	}
	sim.lastChange = time.Now()
	sim.inFlight[id] += n
	if n > 0 {
		sim.started[id]++
	}
}

// simRequest is one simulated request.
type simRequest struct {
	req     limit.Request
	service time.Duration
}

func (q simRequest) run(sim *simulation, g *limit.Limiter) {
	defer sim.Done()
	gr, err := g.Acquire(context.Background(), q.req)
	if err != nil {
		return
	}
	sim.changeInFlight(gr.Target, 1)
	sim.slots[gr.Target] <- struct{}{}
	time.Sleep(q.service)
	<-sim.slots[gr.Target]
	sim.changeInFlight(gr.Target, -1)
	gr.Release(limit.Served)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if q.req.Kind != fleet.Batch {
		sim.waits = append(sim.waits, gr.Waited)
	}
	if time.Now().After(q.req.Deadline) {
		sim.lateGrants++
		return
	}
	sim.inTime[q.req.Kind]++
}

// loop sends the loads of limiter i to the other limiters at the interval of the
// reports.
func (sim *simulation) loop(i int) {
	time.Sleep(simReportInterval * time.Duration(i) / time.Duration(len(sim.limiters)))
	tick := time.NewTicker(simReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-sim.stop:
			return
		case <-tick.C:
		}
		loads := sim.limiters[i].MeanLoads()
		for j, g := range sim.limiters {
			if j != i {
				g.SetPeerLoads(fleet.VMID(fmt.Sprint("vm", i)), loads, time.Now())
			}
		}
	}
}

// mixedRequest returns a random request: 60% lookups, 20% orders and 20% batch, from
// 8 workspaces.
func (sim *simulation) mixedRequest() simRequest {
	ws := fleet.WorkspaceID(fmt.Sprint("w", sim.rng.IntN(8)))
	q := simRequest{service: time.Duration(sim.rng.ExpFloat64() * float64(simService))}
	switch n := sim.rng.IntN(10); {
	case n < 6:
		q.req = withDeadline(newRequest(fleet.Lookup, ws), time.Duration(100+sim.rng.IntN(400))*time.Millisecond)
	case n < 8:
		q.req = withDeadline(newRequest(fleet.Order, ws), 500*time.Millisecond)
	default:
		q.req = withDeadline(newRequest(fleet.Batch, ws), 5*time.Second)
	}
	return q
}

// offerLoad sends requests to random limiters; factor is their rate relative to the
// capacity of the targets.
func (sim *simulation) offerLoad(factor float64, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		sim.mu.Lock()
		gap := time.Duration(sim.rng.ExpFloat64() / factor / simCapacity * float64(time.Second))
		q, g := sim.mixedRequest(), sim.limiters[sim.rng.IntN(len(sim.limiters))]
		sim.offered[q.req.Kind]++
		sim.mu.Unlock()
		sim.Add(1)
		go q.run(sim, g)
		time.Sleep(gap)
	}
}

// startReports starts the reports of the limiters.
func (sim *simulation) startReports() {
	for i := range sim.limiters {
		go sim.loop(i)
	}
}

// stopReports waits for the requests and stops the reports.
func (sim *simulation) stopReports() {
	sim.Wait()
	close(sim.stop)
}

// addFigures adds the measured values to sums; refusals are in percent of all requests.
func (sim *simulation) addFigures(sums map[string]float64) {
	for k, n := range sim.offered {
		sums["%"+fleet.RequestKind(k).String()+"-in-time"] += 100 * float64(sim.inTime[k]) / float64(n)
	}
	percent := 100 / float64(sim.offered[0]+sim.offered[1]+sim.offered[2])
	for _, g := range sim.limiters {
		stats := g.Stats()
		sums["%refused-early"] += percent * float64(stats.RefusedEarly)
		sums["%refused-late"] += percent * float64(stats.RefusedLate)
		sums["%refused-full"] += percent * float64(stats.RefusedFull)
	}
	sums["%granted-too-late"] += percent * float64(sim.lateGrants)
	sums["%over-slots"] += 100 * float64(sim.overSlots) / float64(simDuration*simTargets)
	slices.Sort(sim.waits)
	sums["p99-urgent-wait-ms"] += float64(sim.waits[len(sim.waits)*99/100].Milliseconds())
}

// BenchmarkLoad reports refusals, waits and the overload of targets as means over five
// seeds.
func BenchmarkLoad(b *testing.B) {
	for _, daemons := range []int{1, 6} {
		for _, factor := range []float64{0.3, 0.6, 0.9, 2} {
			b.Run(fmt.Sprintf("daemons=%d/load=%v", daemons, factor), func(b *testing.B) {
				sums := map[string]float64{}
				for seed := range uint64(simSeeds) {
					runVirtual(b, func() {
						sim := newSimulation(daemons, seed)
						sim.startReports()
						sim.offerLoad(factor, simDuration)
						sim.stopReports()
						sim.addFigures(sums)
					})
				}
				for unit, sum := range sums {
					b.ReportMetric(sum/simSeeds, unit)
				}
			})
		}
	}
}

// BenchmarkHerd measures how many requests herd to a target that becomes usable again.
// It closes three of ten targets for 6 s and opens them again, fifty times, in the state
// ready or in slow start. It reports the fraction of the requests in the next 100 ms
// that the busiest of the three receives.
func BenchmarkHerd(b *testing.B) {
	for _, back := range []limit.Target{{State: choose.Ready}, {State: choose.SlowStart, Weight: 0.1}} {
		for _, factor := range []float64{0.3, 0.6} {
			b.Run(fmt.Sprintf("weight=%v/load=%v", back.Weight, factor), func(b *testing.B) {
				most, all := 0, 0
				runVirtual(b, func() {
					sim := newSimulation(6, 1)
					sim.startReports()
					for range 50 {
						sim.reopen(limit.Target{State: choose.Unavailable})
						sim.offerLoad(factor, 6*time.Second)
						sim.reopen(back)
						sim.offerLoad(factor, 100*time.Millisecond)
						sim.mu.Lock()
						most += max(sim.started["t00"], sim.started["t01"], sim.started["t02"])
						for _, n := range sim.started {
							all += n
						}
						sim.mu.Unlock()
					}
					sim.stopReports()
				})
				b.ReportMetric(100*float64(most)/float64(all), "%herd")
			})
		}
	}
}

// reopen sets three targets to the given state at all limiters and resets the counts.
func (sim *simulation) reopen(state limit.Target) {
	for i, g := range sim.limiters {
		s := daemonSnapshot(simTargets, simSlots, i)
		for k := range s.Targets[:3] {
			s.Targets[k].State, s.Targets[k].Weight = state.State, state.Weight
		}
		g.Update(s)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	clear(sim.started)
}
