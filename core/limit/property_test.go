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

// stateModel runs random operations on a limiter and keeps an exact count of its grants.
type stateModel struct {
	*harness
	rng   *rand.Rand
	snap  *limit.Snapshot
	peers bool
	calls []*call
	held  map[fleet.TargetID]int
}

func (m *stateModel) step() {
	switch n := m.rng.IntN(20); {
	case n < 8:
		m.calls = append(m.calls, m.start("", m.newRequest()))
	case n < 14 && len(m.calls) > 0:
		m.finish(m.calls[m.rng.IntN(len(m.calls))], limit.Result(m.rng.IntN(4)))
	case n < 16:
		m.snap = m.snapshot()
		m.limiter.Update(m.snap)
	case n < 17 && m.peers:
		m.limiter.SetPeerLoads(fleet.VMID(fmt.Sprint("p", m.rng.IntN(3))), loads(m.rng.IntN(6), m.rng.Float64()*2), time.Now())
	default:
		time.Sleep(time.Duration(m.rng.IntN(400)) * time.Millisecond)
	}
	synctest.Wait()
}

func (m *stateModel) newRequest() limit.Request {
	a := newRequest(fleet.RequestKind(m.rng.IntN(3)), fleet.WorkspaceID(fmt.Sprint("w", m.rng.IntN(4))))
	if m.rng.IntN(4) == 0 {
		a.Exclude = []fleet.TargetID{fleet.TargetID(fmt.Sprintf("t%02d", m.rng.IntN(6)))}
	}
	if m.rng.IntN(2) == 0 {
		a = withDeadline(a, time.Duration(m.rng.IntN(2000))*time.Millisecond)
	}
	return a
}

// finish releases the grant of c, or cancels c if it waits.
func (m *stateModel) finish(c *call, r limit.Result) {
	c.cancel()
	if c.grant() == nil {
		return
	}
	if c.counted {
		c.counted = false
		m.held[c.grant().Target]--
	}
	c.grant().Release(r)
}

func (m *stateModel) snapshot() *limit.Snapshot {
	s := &limit.Snapshot{QueueLength: 1 + m.rng.IntN(10)}
	for _, t := range readySnapshot(6, 2).Targets {
		if m.rng.IntN(4) > 0 {
			t.Slots, t.State = 1+m.rng.IntN(3), choose.State(m.rng.IntN(5))
			t.Weight, t.TrialAllowed = m.rng.Float64(), m.rng.IntN(2) == 0
			s.Targets = append(s.Targets, t)
		}
	}
	return s
}

// check compares the limiter with the model.
func (m *stateModel) check() {
	targets := map[fleet.TargetID]limit.Target{}
	for _, t := range m.snap.Targets {
		targets[t.ID] = t
	}
	waiting, lookupWaits := 0, false
	for _, c := range m.calls {
		if !c.done() {
			waiting++
			lookupWaits = lookupWaits || (c.req.Kind == fleet.Lookup && len(c.req.Exclude) == 0)
		}
		if gr := c.grant(); gr != nil && !c.counted && c.name == "" {
			c.counted, c.name = true, "granted"
			m.held[gr.Target]++
			m.Expect(targets[gr.Target].State).NotTo(gomega.Equal(choose.Unavailable), "%s was granted while closed", gr.Target)
			m.Expect(m.held[gr.Target]).To(gomega.BeNumerically("<=", targets[gr.Target].Slots), "%s has no slot", gr.Target)
		}
	}
	m.Expect(m.limiter.Stats().Waiting).To(gomega.Equal(waiting))
	m.Expect(waiting).To(gomega.BeNumerically("<=", 10))
	used := m.limiter.SlotsInUse()
	for id, n := range m.held {
		m.Expect(used[id]).To(gomega.Equal(n), "slots in use at %s", id)
	}
	if !lookupWaits || m.peers || m.limiter.Stats().Shed > 0 {
		return
	}
	for id, t := range targets {
		if t.State == choose.Ready {
			m.Expect(m.held[id]).To(gomega.BeNumerically(">=", t.Slots), "%s idles while lookups wait", id)
		}
	}
}

// Guards against orders of operations that lose the exact count of slots in use or,
// without peers, leave a slot idle while a lookup waits.
func TestRandomOperationsKeepCounts(t *testing.T) {
	for seed := range uint64(40) {
		inBubble(t, readySnapshot(6, 2), func(h *harness) {
			m := &stateModel{harness: h, rng: rand.New(rand.NewPCG(seed, 1)), peers: seed%2 == 0, held: map[fleet.TargetID]int{}}
			m.snap = m.snapshot()
			h.limiter.Update(m.snap)
			for range 300 {
				m.step()
				m.check()
			}
			for _, c := range m.calls {
				m.finish(c, limit.Served)
				synctest.Wait()
			}
			h.Expect(h.limiter.SlotsInUse()).To(gomega.BeEmpty(), "seed %d", seed)
			h.Expect(h.limiter.Stats().Waiting).To(gomega.BeZero(), "seed %d", seed)
		})
	}
}

// stressTest uses a limiter from many goroutines and checks that the targets' slots are
// not exceeded.
type stressTest struct {
	sync.WaitGroup
	limiter   *limit.Limiter
	held      [6]atomic.Int64
	overSlots atomic.Int64
}

func (c *stressTest) run(seed uint64) {
	defer c.Done()
	rng := rand.New(rand.NewPCG(seed, 2))
	for range 300 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(2000))*time.Microsecond)
		if gr, err := c.limiter.Acquire(ctx, newRequest(fleet.RequestKind(rng.IntN(3)), fleet.WorkspaceID(fmt.Sprint(rng.IntN(3))))); err == nil {
			n := &c.held[gr.Target[2]-'0']
			if n.Add(1) > 2 {
				c.overSlots.Add(1)
			}
			n.Add(-1)
			gr.Release(limit.Result(rng.IntN(4)))
		}
		cancel()
	}
}

// Guards against concurrent use that exceeds the slots or loses some.
func TestConcurrentUse(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &stressTest{limiter: limit.New("vm", limit.WithSnapshot(readySnapshot(6, 2)))}
	c.Add(16)
	for i := range 16 {
		go c.run(uint64(i))
	}
	for i := range 200 {
		c.limiter.Update(&limit.Snapshot{Targets: readySnapshot(6, 2).Targets[i%3:]})
		c.limiter.SetPeerLoads("p", loads(i%3, 1), time.Now())
	}
	c.Wait()
	g.Expect(c.overSlots.Load()).To(gomega.BeZero())
	g.Expect(c.limiter.SlotsInUse()).To(gomega.BeEmpty())
	g.Expect(c.limiter.Stats().Waiting).To(gomega.BeZero())
}
