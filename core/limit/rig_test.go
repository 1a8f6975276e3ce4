package limit_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
)

// ready returns n ready targets, a third of them near the first of each three daemons.
func ready(n, slots int) *limit.Snapshot { return near(n, slots, 0) }

func near(n, slots, daemon int) *limit.Snapshot {
	s := &limit.Snapshot{Members: map[fleet.VMID]fleet.DataCentre{}}
	for i := range 6 {
		s.Members[fleet.VMID(fmt.Sprint("vm", i))] = centre(i)
	}
	for i := range n {
		id := fleet.TargetID(fmt.Sprintf("t%02d", i))
		s.Targets = append(s.Targets, limit.Target{ID: id, Slots: slots, State: choose.Ready, SameDataCentre: i%3 == daemon%3, DataCentre: centre(i)})
	}
	return s
}

func centre(i int) fleet.DataCentre { return fleet.DataCentre(fmt.Sprint("dc", i%3)) }

// ask returns a request without a deadline; only orders are not idempotent.
func ask(k fleet.Kind, ws fleet.WorkspaceID) limit.Ask {
	return limit.Ask{Workspace: ws, Kind: k, Idempotent: k != fleet.Order}
}

func within(a limit.Ask, d time.Duration) limit.Ask {
	a.Deadline = time.Now().Add(d)
	return a
}

var lookup, order, batch = ask(fleet.Lookup, "w"), ask(fleet.Order, "w"), ask(fleet.Batch, "w")

// call is one request of a test, made on its own goroutine; result and err are set
// when ended is.
type call struct {
	name   string
	ask    limit.Ask
	cancel context.CancelFunc
	seen   bool
	ended  atomic.Bool
	result *limit.Grant
	err    error
}

func (c *call) run(ctx context.Context, g *limit.Gate) {
	c.result, c.err = g.Acquire(ctx, c.ask)
	c.ended.Store(true)
}

func (c *call) done() bool { return c.ended.Load() }

// grant returns the grant, or nil while the request waits or if it was refused.
func (c *call) grant() *limit.Grant {
	if !c.done() {
		return nil
	}
	return c.result
}

// rig runs one test on the paused clock; its calls end with the test.
type rig struct {
	*gomega.WithT
	ctx  context.Context
	gate *limit.Gate
}

func inBubble(t *testing.T, s *limit.Snapshot, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f(&rig{WithT: gomega.NewWithT(t), ctx: ctx, gate: limit.New("vm", limit.WithSnapshot(s))})
	})
}

// launch makes a request and returns when it is granted, refused or waiting.
func (r *rig) launch(name string, ask limit.Ask) *call {
	c := &call{name: name, ask: ask}
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(r.ctx)
	go c.run(ctx, r.gate)
	synctest.Wait()
	return c
}

// granted makes a request that must be granted at once.
func (r *rig) granted(ask limit.Ask) *limit.Grant {
	c := r.launch("", ask)
	r.ExpectWithOffset(1, c.grant()).NotTo(gomega.BeNil(), "the request waits or is refused")
	return c.grant()
}

// waits checks that a request is neither granted nor refused.
func (r *rig) waits(c *call, why string) *call {
	r.ExpectWithOffset(1, c.done()).To(gomega.BeFalse(), why)
	return c
}

// refused checks the kind of a refusal and that it is certain not to have run.
func (r *rig) refused(c *call, k fault.Kind) *fault.Error {
	r.ExpectWithOffset(1, c.done()).To(gomega.BeTrue(), "the request waits")
	r.ExpectWithOffset(1, c.err).To(gomega.HaveOccurred())
	e := fault.From(c.err)
	r.ExpectWithOffset(1, e.Kind).To(gomega.Equal(k), c.err.Error())
	r.ExpectWithOffset(1, e.Outcome).To(gomega.Equal(fault.NotRun))
	return e
}

// later lets time pass until every goroutine waits again.
func later(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// serveAll releases the holder and then each request as soon as it is granted. It
// returns the names in the order of the grants.
func serveAll(holder *limit.Grant, calls []*call, service time.Duration) (served []string) {
	for holder != nil {
		time.Sleep(service)
		holder.Release(limit.Served)
		synctest.Wait()
		holder = nil
		for _, c := range calls {
			if c.grant() != nil && !c.seen {
				c.seen, holder, served = true, c.grant(), append(served, c.name)
			}
		}
	}
	return served
}
