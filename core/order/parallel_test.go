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

// rival sends copies of the same keys as the other rivals, at once.
type rival struct {
	manager *Manager
	keys    []string
	runs    []atomic.Int32
	// gates lets the rivals start on each key together.
	gates []sync.WaitGroup
	all   *sync.WaitGroup
}

func (r *rival) run() {
	defer r.all.Done()
	for i, k := range r.keys {
		switch i {
		case len(r.keys) / 2:
			r.manager.ledger.tick(time.Now().Add(defaultEpochDuration))
		case len(r.keys) * 3 / 4:
			r.manager.ledger.tick(time.Now().Add(defaultEpochDuration + defaultRetention))
		}
		r.gates[i].Done()
		r.gates[i].Wait()
		if d := r.manager.Begin(context.Background(), request(k, "a")); d.Verdict == VerdictRun {
			r.runs[i].Add(1)
			d.Ticket.Finish(fault.Run, response("booked"))
		}
	}
}

// TestParallel guards against a lock that admits two copies that arrive in the
// same instant, at the same or at different daemons, while epochs close and
// responses are dropped.
func TestParallel(t *testing.T) {
	g := NewWithT(t)
	RegisterTestingT(t)
	c := newCrew()
	managers := []*Manager{c.join("a", WithMaxKeptBytes(shardCount*500, 400)), c.join("b"), c.join("c")}
	const keys, rivals = 300, 12
	var list []string
	for i := range keys {
		list = append(list, tokenKey(managers[0], "1"), fmt.Sprint("own", i))
	}
	runs := make([]atomic.Int32, len(list))
	gates := make([]sync.WaitGroup, len(list))
	for i := range gates {
		gates[i].Add(rivals)
	}
	var all sync.WaitGroup
	for i := range rivals {
		all.Add(1)
		go (&rival{managers[i%3], list, runs, gates, &all}).run()
	}
	all.Wait()
	total := 0
	for i := range runs {
		g.Expect(runs[i].Load()).To(BeNumerically("<=", 1), list[i])
		total += int(runs[i].Load())
	}
	g.Expect(total).To(BeNumerically(">", 0))
}
