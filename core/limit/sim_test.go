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
	simSeeds    = 5
	simSpan     = 60 * time.Second
	simService  = 40 * time.Millisecond
	simReports  = 3 * time.Second
	simTargets  = 10
	simSlots    = 2
	simCapacity = simTargets * simSlots * float64(time.Second/simService) // requests per second
)

// virtual runs f in a bubble: benchmarks of behaviour measure virtual time.
func virtual(b *testing.B, f func()) {
	b.Helper()
	all := func(string, string) (bool, error) { return true, nil }
	bubble := func(t *testing.T) { synctest.Test(t, func(*testing.T) { f() }) }
	if !testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: bubble}}) {
		b.Fatal("the bubble failed")
	}
}

// world is a set of fake targets behind gates. Work above a target's slots waits at
// the target; mu guards what follows it.
type world struct {
	sync.WaitGroup
	gates []*limit.Gate
	slots map[fleet.TargetID]chan struct{}
	stop  chan struct{}

	mu      sync.Mutex
	rng     *rand.Rand
	busy    map[fleet.TargetID]int
	began   map[fleet.TargetID]int
	moved   time.Time
	over    time.Duration
	offered [3]int
	inTime  [3]int
	late    int
	waits   []time.Duration
}

func newWorld(daemons int, seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 3)), busy: map[fleet.TargetID]int{}, began: map[fleet.TargetID]int{}, moved: time.Now(),
		slots: map[fleet.TargetID]chan struct{}{}, stop: make(chan struct{}),
	}
	for i := range daemons {
		vm := fleet.VMID(fmt.Sprint("vm", i))
		w.gates = append(w.gates, limit.New(vm, limit.WithSeed(seed), limit.WithSnapshot(near(simTargets, simSlots, i))))
	}
	for _, t := range ready(simTargets, simSlots).Targets {
		w.slots[t.ID] = make(chan struct{}, simSlots)
	}
	return w
}

// move changes the work at a target and adds up the time above the slots.
func (w *world) move(id fleet.TargetID, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.busy {
		if k > simSlots {
			w.over += time.Since(w.moved)
		}
	}
	w.moved = time.Now()
	w.busy[id] += n
	if n > 0 {
		w.began[id]++
	}
}

// request is one simulated request.
type request struct {
	ask     limit.Ask
	service time.Duration
}

func (q request) run(w *world, g *limit.Gate) {
	defer w.Done()
	gr, err := g.Acquire(context.Background(), q.ask)
	if err != nil {
		return
	}
	w.move(gr.Target, 1)
	w.slots[gr.Target] <- struct{}{}
	time.Sleep(q.service)
	<-w.slots[gr.Target]
	w.move(gr.Target, -1)
	gr.Release(limit.Served)
	w.mu.Lock()
	defer w.mu.Unlock()
	if q.ask.Kind != fleet.Batch {
		w.waits = append(w.waits, gr.Waited)
	}
	if time.Now().After(q.ask.Deadline) {
		w.late++
		return
	}
	w.inTime[q.ask.Kind]++
}

// loop sends the work of gate i to the other gates at the interval of the reports.
func (w *world) loop(i int) {
	time.Sleep(simReports * time.Duration(i) / time.Duration(len(w.gates)))
	tick := time.NewTicker(simReports)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		work := w.gates[i].InFlight()
		for j, g := range w.gates {
			if j != i {
				g.SetPeer(fleet.VMID(fmt.Sprint("vm", i)), work, time.Now())
			}
		}
	}
}

// mixed is 60% lookups, 20% orders and 20% batch from 8 workspaces.
func (w *world) mixed() request {
	ws := fleet.WorkspaceID(fmt.Sprint("w", w.rng.IntN(8)))
	q := request{service: time.Duration(w.rng.ExpFloat64() * float64(simService))}
	switch n := w.rng.IntN(10); {
	case n < 6:
		q.ask = within(ask(fleet.Lookup, ws), time.Duration(100+w.rng.IntN(400))*time.Millisecond)
	case n < 8:
		q.ask = within(ask(fleet.Order, ws), 500*time.Millisecond)
	default:
		q.ask = within(ask(fleet.Batch, ws), 5*time.Second)
	}
	return q
}

// load sends requests to random gates at a part of the capacity of the targets.
func (w *world) load(factor float64, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		w.mu.Lock()
		gap := time.Duration(w.rng.ExpFloat64() / factor / simCapacity * float64(time.Second))
		q, g := w.mixed(), w.gates[w.rng.IntN(len(w.gates))]
		w.offered[q.ask.Kind]++
		w.mu.Unlock()
		w.Add(1)
		go q.run(w, g)
		time.Sleep(gap)
	}
}

// start starts the reports of the gates.
func (w *world) start() {
	for i := range w.gates {
		go w.loop(i)
	}
}

// end waits for the requests and ends the reports.
func (w *world) end() {
	w.Wait()
	close(w.stop)
}

// figures adds the measured figures to sums, refusals in percent of all requests.
func (w *world) figures(sums map[string]float64) {
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
	sums["%granted-too-late"] += percent * float64(w.late)
	sums["%over-slots"] += 100 * float64(w.over) / float64(simSpan*simTargets)
	slices.Sort(w.waits)
	sums["p99-urgent-wait-ms"] += float64(w.waits[len(w.waits)*99/100].Milliseconds())
}

// BenchmarkLoad reports the means over five seeds of what callers and targets see.
func BenchmarkLoad(b *testing.B) {
	for _, daemons := range []int{1, 6} {
		for _, factor := range []float64{0.3, 0.6, 0.9, 2} {
			b.Run(fmt.Sprintf("daemons=%d/load=%v", daemons, factor), func(b *testing.B) {
				sums := map[string]float64{}
				for seed := range uint64(simSeeds) {
					virtual(b, func() {
						w := newWorld(daemons, seed)
						w.start()
						w.load(factor, simSpan)
						w.end()
						w.figures(sums)
					})
				}
				for unit, sum := range sums {
					b.ReportMetric(sum/simSeeds, unit)
				}
			})
		}
	}
}

// BenchmarkHerd closes three of ten targets for 6 s and opens them again, fifty times.
// It reports the mean part of the work of the next 100 ms that the busiest of the
// three receives, if they return ready and in slow start.
func BenchmarkHerd(b *testing.B) {
	for _, back := range []limit.Target{{State: choose.Ready}, {State: choose.SlowStart, Weight: 0.1}} {
		for _, factor := range []float64{0.3, 0.6} {
			b.Run(fmt.Sprintf("weight=%v/load=%v", back.Weight, factor), func(b *testing.B) {
				most, all := 0, 0
				virtual(b, func() {
					w := newWorld(6, 1)
					w.start()
					for range 50 {
						w.reopen(limit.Target{State: choose.Closed})
						w.load(factor, 6*time.Second)
						w.reopen(back)
						w.load(factor, 100*time.Millisecond)
						w.mu.Lock()
						most += max(w.began["t00"], w.began["t01"], w.began["t02"])
						for _, n := range w.began {
							all += n
						}
						w.mu.Unlock()
					}
					w.end()
				})
				b.ReportMetric(100*float64(most)/float64(all), "%herd")
			})
		}
	}
}

// reopen gives three targets the state of a target at all gates and counts anew.
func (w *world) reopen(state limit.Target) {
	for i, g := range w.gates {
		s := near(simTargets, simSlots, i)
		for k := range s.Targets[:3] {
			s.Targets[k].State, s.Targets[k].Weight = state.State, state.Weight
		}
		g.Update(s)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.began)
}
