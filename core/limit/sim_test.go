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

// simulation is a set of simulated targets and of daemons with one gate each. Requests
// above a target's slots wait at the target. mu guards the fields below it.
type simulation struct {
	sync.WaitGroup
	gates []*limit.Gate
	slots map[fleet.TargetID]chan struct{}
	stop  chan struct{}

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
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), inFlight: map[fleet.TargetID]int{}, started: map[fleet.TargetID]int{}, lastChange: time.Now(),
		slots: map[fleet.TargetID]chan struct{}{}, stop: make(chan struct{}),
	}
	for i := range daemons {
		vm := fleet.VMID(fmt.Sprint("vm", i))
		w.gates = append(w.gates, limit.New(vm, limit.WithSeed(seed), limit.WithSnapshot(daemonSnapshot(simTargets, simSlots, i))))
	}
	for _, t := range readySnapshot(simTargets, simSlots).Targets {
		w.slots[t.ID] = make(chan struct{}, simSlots)
	}
	return w
}

// changeInFlight changes the number of requests at a target by n and adds up the time
// that targets spend above their slots.
func (w *simulation) changeInFlight(id fleet.TargetID, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.inFlight {
		if k > simSlots {
			w.overSlots += time.Since(w.lastChange)
		}
	}
	w.lastChange = time.Now()
	w.inFlight[id] += n
	if n > 0 {
		w.started[id]++
	}
}

// simRequest is one simulated request.
type simRequest struct {
	req     limit.Ask
	service time.Duration
}

func (q simRequest) run(w *simulation, g *limit.Gate) {
	defer w.Done()
	gr, err := g.Acquire(context.Background(), q.req)
	if err != nil {
		return
	}
	w.changeInFlight(gr.Target, 1)
	w.slots[gr.Target] <- struct{}{}
	time.Sleep(q.service)
	<-w.slots[gr.Target]
	w.changeInFlight(gr.Target, -1)
	gr.Release(limit.Served)
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.req.Kind != fleet.Batch {
		w.waits = append(w.waits, gr.Waited)
	}
	if time.Now().After(q.req.Deadline) {
		w.lateGrants++
		return
	}
	w.inTime[q.req.Kind]++
}

// loop sends the loads of gate i to the other gates at the interval of the reports.
func (w *simulation) loop(i int) {
	time.Sleep(simReportInterval * time.Duration(i) / time.Duration(len(w.gates)))
	tick := time.NewTicker(simReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		loads := w.gates[i].InFlight()
		for j, g := range w.gates {
			if j != i {
				g.SetPeer(fleet.VMID(fmt.Sprint("vm", i)), loads, time.Now())
			}
		}
	}
}

// mixedRequest returns a random request: 60% lookups, 20% orders and 20% batch, from
// 8 workspaces.
func (w *simulation) mixedRequest() simRequest {
	ws := fleet.WorkspaceID(fmt.Sprint("w", w.rng.IntN(8)))
	q := simRequest{service: time.Duration(w.rng.ExpFloat64() * float64(simService))}
	switch n := w.rng.IntN(10); {
	case n < 6:
		q.req = withDeadline(newRequest(fleet.Lookup, ws), time.Duration(100+w.rng.IntN(400))*time.Millisecond)
	case n < 8:
		q.req = withDeadline(newRequest(fleet.Order, ws), 500*time.Millisecond)
	default:
		q.req = withDeadline(newRequest(fleet.Batch, ws), 5*time.Second)
	}
	return q
}

// offerLoad sends requests to random gates; factor is their rate relative to the
// capacity of the targets.
func (w *simulation) offerLoad(factor float64, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		w.mu.Lock()
		gap := time.Duration(w.rng.ExpFloat64() / factor / simCapacity * float64(time.Second))
		q, g := w.mixedRequest(), w.gates[w.rng.IntN(len(w.gates))]
		w.offered[q.req.Kind]++
		w.mu.Unlock()
		w.Add(1)
		go q.run(w, g)
		time.Sleep(gap)
	}
}

// startReports starts the reports of the gates.
func (w *simulation) startReports() {
	for i := range w.gates {
		go w.loop(i)
	}
}

// stopReports waits for the requests and stops the reports.
func (w *simulation) stopReports() {
	w.Wait()
	close(w.stop)
}

// addFigures adds the measured values to sums; refusals are in percent of all requests.
func (w *simulation) addFigures(sums map[string]float64) {
	for k, n := range w.offered {
		sums["%"+fleet.Kind(k).String()+"-in-time"] += 100 * float64(w.inTime[k]) / float64(n)
	}
	percent := 100 / float64(w.offered[0]+w.offered[1]+w.offered[2])
	for _, g := range w.gates {
		s := g.Stats()
		sums["%refused-early"] += percent * float64(s.RefusedEarly)
		sums["%refused-late"] += percent * float64(s.RefusedLate)
		sums["%refused-full"] += percent * float64(s.RefusedFull)
	}
	sums["%granted-too-late"] += percent * float64(w.lateGrants)
	sums["%over-slots"] += 100 * float64(w.overSlots) / float64(simDuration*simTargets)
	slices.Sort(w.waits)
	sums["p99-urgent-wait-ms"] += float64(w.waits[len(w.waits)*99/100].Milliseconds())
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
						w := newSimulation(daemons, seed)
						w.startReports()
						w.offerLoad(factor, simDuration)
						w.stopReports()
						w.addFigures(sums)
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
					w := newSimulation(6, 1)
					w.startReports()
					for range 50 {
						w.reopen(limit.Target{State: choose.Closed})
						w.offerLoad(factor, 6*time.Second)
						w.reopen(back)
						w.offerLoad(factor, 100*time.Millisecond)
						w.mu.Lock()
						most += max(w.started["t00"], w.started["t01"], w.started["t02"])
						for _, n := range w.started {
							all += n
						}
						w.mu.Unlock()
					}
					w.stopReports()
				})
				b.ReportMetric(100*float64(most)/float64(all), "%herd")
			})
		}
	}
}

// reopen sets three targets to the given state at all gates and resets the counts.
func (w *simulation) reopen(state limit.Target) {
	for i, g := range w.gates {
		s := daemonSnapshot(simTargets, simSlots, i)
		for k := range s.Targets[:3] {
			s.Targets[k].State, s.Targets[k].Weight = state.State, state.Weight
		}
		g.Update(s)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.started)
}
