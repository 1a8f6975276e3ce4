package limit_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
)

// call is one request of a test, made on its own goroutine.
type call struct {
	name   string
	ask    limit.Ask
	cancel context.CancelFunc
	seen   bool
	ended  atomic.Bool
	result *limit.Grant
	fault  error
}

func (c *call) run(ctx context.Context, g *limit.Gate) {
	c.result, c.fault = g.Acquire(ctx, c.ask)
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

func (c *call) err() error {
	if !c.done() {
		return nil
	}
	return c.fault
}

// rig runs one test on the paused clock; its calls end with the test.
type rig struct {
	*gomega.WithT
	ctx  context.Context
	gate *limit.Gate
}

func inBubble(t *testing.T, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f(&rig{WithT: gomega.NewWithT(t), ctx: ctx})
	})
}

// open makes the gate of the rig.
func (r *rig) open(s *limit.Snapshot) *limit.Gate {
	r.gate = limit.New("vm", limit.WithSnapshot(s))
	return r.gate
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
	r.ExpectWithOffset(1, c.err()).NotTo(gomega.HaveOccurred())
	r.ExpectWithOffset(1, c.grant()).NotTo(gomega.BeNil(), "the request waits")
	return c.grant()
}

// refused checks the kind of a refusal and that it is certain not to have run.
func (r *rig) refused(c *call, k fault.Kind) *fault.Error {
	r.ExpectWithOffset(1, c.done()).To(gomega.BeTrue(), "the request waits")
	r.ExpectWithOffset(1, c.err()).To(gomega.HaveOccurred())
	e := fault.From(c.err())
	r.ExpectWithOffset(1, e.Kind).To(gomega.Equal(k), c.err().Error())
	r.ExpectWithOffset(1, e.Outcome).To(gomega.Equal(fault.NotRun))
	return e
}

// serveAll releases the holder and then each request as soon as it is granted. It
// returns the names in the order of the grants; service is the time of each.
func serveAll(holder *limit.Grant, calls []*call, service time.Duration) []string {
	var order []string
	for {
		time.Sleep(service)
		holder.Release(limit.Served)
		synctest.Wait()
		holder = nil
		for _, c := range calls {
			if c.grant() != nil && !c.seen {
				c.seen = true
				order = append(order, c.name)
				holder = c.grant()
			}
		}
		if holder == nil {
			return order
		}
	}
}

func lookup(ws fleet.WorkspaceID) limit.Ask {
	return limit.Ask{Workspace: ws, Kind: fleet.Lookup, Idempotent: true}
}

func order(ws fleet.WorkspaceID) limit.Ask {
	return limit.Ask{Workspace: ws, Kind: fleet.Order}
}

func batch(ws fleet.WorkspaceID) limit.Ask {
	return limit.Ask{Workspace: ws, Kind: fleet.Batch, Idempotent: true}
}

func within(a limit.Ask, d time.Duration) limit.Ask {
	a.Deadline = time.Now().Add(d)
	return a
}
