package order

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
)

// competitor sends copies of the same orders as the other competitors, at the
// same time.
type competitor struct {
	manager *Manager
	keys    []string
	runs    []atomic.Int32
	// barriers makes the competitors start on each key together.
	barriers []sync.WaitGroup
	all      *sync.WaitGroup
}

func (r *competitor) run() {
	defer r.all.Done()
	for i, k := range r.keys {
		switch i {
		case len(r.keys) / 2:
			r.manager.ledger.tick(time.Now().Add(defaultEpochDuration))
		case len(r.keys) * 3 / 4:
			r.manager.ledger.tick(time.Now().Add(defaultEpochDuration + defaultRetention))
		}
		r.barriers[i].Done()
		r.barriers[i].Wait()
		if d := r.manager.Begin(context.Background(), request(k, "a")); d.Verdict == VerdictRun {
			r.runs[i].Add(1)
			d.Permit.Finish(fault.Run, response("booked"))
		}
	}
}

// TestParallel guards against missing synchronization that admits two copies of an
// order. The copies arrive at the same time, at the same or at different daemons,
// while epochs close and responses are dropped.
func TestParallel(t *testing.T) {
	g := NewWithT(t)
	RegisterTestingT(t)
	f := newTestFleet()
	managers := []*Manager{f.addManager("a", WithMaxKeptBytes(shardCount*500, 400)), f.addManager("b"), f.addManager("c")}
	const keys, competitors = 300, 12
	var list []string
	for i := range keys {
		list = append(list, tokenKey(managers[0], "1"), fmt.Sprint("own", i))
	}
	runs := make([]atomic.Int32, len(list))
	barriers := make([]sync.WaitGroup, len(list))
	for i := range barriers {
		barriers[i].Add(competitors)
	}
	var all sync.WaitGroup
	for i := range competitors {
		all.Add(1)
		go (&competitor{managers[i%3], list, runs, barriers, &all}).run()
	}
	all.Wait()
	total := 0
	for i := range runs {
		g.Expect(runs[i].Load()).To(BeNumerically("<=", 1), list[i])
		total += int(runs[i].Load())
	}
	g.Expect(total).To(BeNumerically(">", 0))
}
