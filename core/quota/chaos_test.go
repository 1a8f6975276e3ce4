package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/quota"
)

// faults causes random failures in a fleet.
type faults struct {
	*fleet
	rand *rand.Rand
	// oneWay holds pairs of daemons of which the first cannot send to the second.
	oneWay map[[2]int]bool
	halves bool
	// isolated is a daemon that is cut off in both ways; -1 if there is none.
	isolated int
}

func (c *faults) cut(from, to *daemon) bool {
	return c.halves && from.side != to.side || c.oneWay[[2]int{from.index, to.index}] ||
		(from.index == c.isolated) != (to.index == c.isolated)
}

// step causes or ends one failure.
func (c *faults) step() {
	n := len(c.daemons)
	d := c.daemons[c.rand.IntN(n)]
	if c.rand.IntN(2) == 0 {
		// Half of the failures meet coordinators.
		if busy := c.coordinator(fmt.Sprint(c.rand.IntN(8))); busy != nil {
			d = busy
		}
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	switch c.rand.IntN(7) {
	case 0:
		c.halves = !c.halves
	case 1:
		c.isolated = d.index
	case 2:
		c.isolated = -1
	case 3:
		for range 3 * n {
			c.oneWay[[2]int{d.index, c.rand.IntN(n)}] = true
			c.oneWay[[2]int{c.rand.IntN(n), c.rand.IntN(n)}] = true
		}
	case 4:
		clear(c.oneWay)
	case 5:
		if !d.dead.Load() {
			d.kill()
			time.AfterFunc(time.Duration(c.rand.IntN(1500))*time.Millisecond, d.start)
		}
	default:
		d.pause()
		time.AfterFunc(time.Duration(c.rand.IntN(2000))*time.Millisecond, d.resume)
	}
}

// watch reports the largest sum of the shares in use while the fleet runs.
func (f *fleet) watch(span time.Duration) (largest float64) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for s := range quota.Shard(quota.ShardCount) {
			largest = max(largest, f.shares(s))
		}
	}
	return largest
}

// Guards against shares that are in use twice, and so against workspaces that exceed their
// bounds, whatever fails.
func TestSharesAreNeverLeasedTwice(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testFaults(t, seed) }) })
	}
}

func testFaults(t *testing.T, seed uint64) {
	g := NewWithT(t)
	const span = 15 * time.Second
	limits := map[string]quota.Limit{}
	for i := range 8 {
		rate := []float64{100, 30, 10, 2.2}[i%4]
		limits[fmt.Sprint(i)] = quota.Limit{Rate: rate, Burst: rate}
	}
	f := newFleet(t, 24, 4, limits)
	defer f.close()
	c := &faults{fleet: f, rand: rand.New(rand.NewPCG(seed, 3)), oneWay: map[[2]int]bool{}, isolated: -1}
	f.network.setCut(c.cut)
	f.network.setFaults(0.05, 0.05, 800*time.Millisecond)
	for at := time.Duration(0); at < span-2*time.Second; at += 250 * time.Millisecond {
		time.AfterFunc(at, c.step)
	}
	var loads []*load
	for name, limit := range limits {
		pick := func(r *rand.Rand) *daemon { return f.daemons[r.IntN(len(f.daemons))] }
		loads = append(loads, &load{fleet: f, workspace: name, limit: limit, rate: constant(2 * limit.Rate), pick: pick})
	}
	w := &shareWatch{fleet: f, span: span, largest: make(chan float64, 1)}
	go w.run()
	runAll(span, loads...)
	largest := <-w.largest
	t.Logf("largest sum of shares %v", largest)
	g.Expect(largest).To(BeNumerically("<=", 1+1e-9))
	g.Expect(largest).To(BeNumerically(">", 0.9))
	for _, l := range loads {
		t.Logf("rate %v: most %d, bound %d, %+v", l.limit.Rate, l.mostInWindow(), bound(l.limit), l.outcomes(0, time.Hour))
		g.Expect(l.mostInWindow()).To(BeNumerically("<=", bound(l.limit)), "rate %v", l.limit.Rate)
	}
}

// shareWatch finds the largest sum of shares in use during the span.
type shareWatch struct {
	fleet   *fleet
	span    time.Duration
	largest chan float64
}

func (w *shareWatch) run() {
	w.largest <- w.fleet.watch(w.span)
}
