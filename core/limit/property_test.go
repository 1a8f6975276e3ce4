package limit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
)

// model repeats random operations on a gate and counts its grants exactly.
type model struct {
	*rig
	rng   *rand.Rand
	snap  *limit.Snapshot
	peers bool
	calls []*call
	held  map[fleet.TargetID]int
}

func (m *model) step() {
	switch n := m.rng.IntN(20); {
	case n < 8:
		m.calls = append(m.calls, m.launch("", m.ask()))
	case n < 14 && len(m.calls) > 0:
		m.end(m.calls[m.rng.IntN(len(m.calls))], limit.Result(m.rng.IntN(4)))
	case n < 16:
		m.snap = m.snapshot()
		m.gate.Update(m.snap)
	case n < 17 && m.peers:
		m.gate.SetPeer(fleet.VMID(fmt.Sprint("p", m.rng.IntN(3))), loads(m.rng.IntN(6), m.rng.Float64()*2), time.Now())
	default:
		time.Sleep(time.Duration(m.rng.IntN(400)) * time.Millisecond)
	}
	synctest.Wait()
}

func (m *model) ask() limit.Ask {
	a := ask(fleet.Kind(m.rng.IntN(3)), fleet.WorkspaceID(fmt.Sprint("w", m.rng.IntN(4))))
	if m.rng.IntN(4) == 0 {
		a.Exclude = []fleet.TargetID{fleet.TargetID(fmt.Sprintf("t%02d", m.rng.IntN(6)))}
	}
	if m.rng.IntN(2) == 0 {
		a = within(a, time.Duration(m.rng.IntN(2000))*time.Millisecond)
	}
	return a
}

// end releases the grant of c, or cancels c if it waits.
func (m *model) end(c *call, r limit.Result) {
	c.cancel()
	if c.grant() == nil {
		return
	}
	if c.seen {
		c.seen = false
		m.held[c.grant().Target]--
	}
	c.grant().Release(r)
}

func (m *model) snapshot() *limit.Snapshot {
	s := &limit.Snapshot{QueueLength: 1 + m.rng.IntN(10)}
	for _, t := range ready(6, 2).Targets {
		if m.rng.IntN(4) > 0 {
			t.Slots, t.State = 1+m.rng.IntN(3), choose.State(m.rng.IntN(5))
			t.Weight, t.TrialAllowed = m.rng.Float64(), m.rng.IntN(2) == 0
			s.Targets = append(s.Targets, t)
		}
	}
	return s
}

// check compares the gate with the model.
func (m *model) check() {
	targets := map[fleet.TargetID]limit.Target{}
	for _, t := range m.snap.Targets {
		targets[t.ID] = t
	}
	waiting, plain := 0, false
	for _, c := range m.calls {
		if !c.done() {
			waiting++
			plain = plain || (c.ask.Kind == fleet.Lookup && len(c.ask.Exclude) == 0)
		}
		if gr := c.grant(); gr != nil && !c.seen && c.name == "" {
			c.seen, c.name = true, "granted"
			m.held[gr.Target]++
			m.Expect(targets[gr.Target].State).NotTo(gomega.Equal(choose.Closed), "%s was granted while closed", gr.Target)
			m.Expect(m.held[gr.Target]).To(gomega.BeNumerically("<=", targets[gr.Target].Slots), "%s has no slot", gr.Target)
		}
	}
	m.Expect(m.gate.Stats().Waiting).To(gomega.Equal(waiting))
	m.Expect(waiting).To(gomega.BeNumerically("<=", 10))
	used := m.gate.InUse()
	for id, n := range m.held {
		m.Expect(used[id]).To(gomega.Equal(n), "slots in use at %s", id)
	}
	if !plain || m.peers || m.gate.Stats().Shed > 0 {
		return
	}
	for id, t := range targets {
		if t.State == choose.Ready {
			m.Expect(m.held[id]).To(gomega.BeNumerically(">=", t.Slots), "%s idles while lookups wait", id)
		}
	}
}

// Any order of operations must keep the exact count of slots in use and, without
// peers, leave no slot idle while a lookup waits.
func TestAccounting(t *testing.T) {
	for seed := range uint64(40) {
		inBubble(t, ready(6, 2), func(r *rig) {
			m := &model{rig: r, rng: rand.New(rand.NewPCG(seed, 1)), peers: seed%2 == 0, held: map[fleet.TargetID]int{}}
			m.snap = m.snapshot()
			r.gate.Update(m.snap)
			for range 300 {
				m.step()
				m.check()
			}
			for _, c := range m.calls {
				m.end(c, limit.Served)
				synctest.Wait()
			}
			r.Expect(r.gate.InUse()).To(gomega.BeEmpty(), "seed %d", seed)
			r.Expect(r.gate.Stats().Waiting).To(gomega.BeZero(), "seed %d", seed)
		})
	}
}

// crowd uses a gate from many goroutines and watches the targets' slots.
type crowd struct {
	sync.WaitGroup
	gate *limit.Gate
	held [6]atomic.Int64
	over atomic.Int64
}

func (c *crowd) run(seed uint64) {
	defer c.Done()
	rng := rand.New(rand.NewPCG(seed, 2))
	for range 300 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(2000))*time.Microsecond)
		if gr, err := c.gate.Acquire(ctx, ask(fleet.Kind(rng.IntN(3)), fleet.WorkspaceID(fmt.Sprint(rng.IntN(3))))); err == nil {
			n := &c.held[gr.Target[2]-'0']
			if n.Add(1) > 2 {
				c.over.Add(1)
			}
			n.Add(-1)
			gr.Release(limit.Result(rng.IntN(4)))
		}
		cancel()
	}
}

// Concurrent use must neither exceed the slots nor lose any.
func TestCrowd(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &crowd{gate: limit.New("vm", limit.WithSnapshot(ready(6, 2)))}
	c.Add(16)
	for i := range 16 {
		go c.run(uint64(i))
	}
	for i := range 200 {
		c.gate.Update(&limit.Snapshot{Targets: ready(6, 2).Targets[i%3:]})
		c.gate.SetPeer("p", loads(i%3, 1), time.Now())
	}
	c.Wait()
	g.Expect(c.over.Load()).To(gomega.BeZero())
	g.Expect(c.gate.InUse()).To(gomega.BeEmpty())
	g.Expect(c.gate.Stats().Waiting).To(gomega.BeZero())
}
