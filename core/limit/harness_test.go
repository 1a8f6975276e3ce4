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

// readySnapshot returns n ready targets as the first of six daemons sees them; every
// third target is in its data centre.
func readySnapshot(n, slots int) *limit.Snapshot { return daemonSnapshot(n, slots, 0) }

// daemonSnapshot returns n ready targets as the given daemon sees them. Daemons and
// targets are spread over three data centres.
func daemonSnapshot(n, slots, daemon int) *limit.Snapshot {
	s := &limit.Snapshot{DataCentres: map[fleet.VMID]fleet.DataCentre{}}
	for i := range 6 {
		s.DataCentres[fleet.VMID(fmt.Sprint("vm", i))] = dataCentre(i)
	}
	for i := range n {
		id := fleet.TargetID(fmt.Sprintf("t%02d", i))
		s.Targets = append(s.Targets, limit.Target{ID: id, Slots: slots, State: choose.Ready, SameDataCentre: i%3 == daemon%3, DataCentre: dataCentre(i)})
	}
	return s
}

func dataCentre(i int) fleet.DataCentre { return fleet.DataCentre(fmt.Sprint("dc", i%3)) }

// newRequest returns a request without a deadline; only orders are not idempotent.
func newRequest(k fleet.RequestKind, ws fleet.WorkspaceID) limit.Request {
	return limit.Request{Workspace: ws, Kind: k, Idempotent: k != fleet.Order}
}

func withDeadline(a limit.Request, d time.Duration) limit.Request {
	a.Deadline = time.Now().Add(d)
	return a
}

var lookup, order, batch = newRequest(fleet.Lookup, "w"), newRequest(fleet.Order, "w"), newRequest(fleet.Batch, "w")

// call is one request of a test, made on its own goroutine; result and err are set
// before ended.
type call struct {
	name    string
	req     limit.Request
	cancel  context.CancelFunc
	counted bool
	ended   atomic.Bool
	result  *limit.Grant
	err     error
}

func (c *call) run(ctx context.Context, g *limit.Limiter) {
	c.result, c.err = g.Acquire(ctx, c.req)
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

// harness runs one test on the virtual clock of a synctest bubble; its calls end with
// the test.
type harness struct {
	*gomega.WithT
	ctx     context.Context
	limiter *limit.Limiter
}

func inBubble(t *testing.T, s *limit.Snapshot, f func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f(&harness{WithT: gomega.NewWithT(t), ctx: ctx, limiter: limit.New("vm", limit.WithSnapshot(s))})
	})
}

// start makes a request and returns when it is granted, refused or waiting.
func (h *harness) start(name string, req limit.Request) *call {
	c := &call{name: name, req: req}
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(h.ctx)
	go c.run(ctx, h.limiter)
	synctest.Wait()
	return c
}

// mustAcquire makes a request that must be granted at once.
func (h *harness) mustAcquire(req limit.Request) *limit.Grant {
	c := h.start("", req)
	h.ExpectWithOffset(1, c.grant()).NotTo(gomega.BeNil(), "the request waits or is refused")
	return c.grant()
}

// expectWaiting checks that a request is neither granted nor refused.
func (h *harness) expectWaiting(c *call, why string) *call {
	h.ExpectWithOffset(1, c.done()).To(gomega.BeFalse(), why)
	return c
}

// expectRefused checks that a request was refused with the error kind, and that its
// outcome is not-run.
func (h *harness) expectRefused(c *call, k fault.Kind) *fault.Error {
	h.ExpectWithOffset(1, c.done()).To(gomega.BeTrue(), "the request waits")
	h.ExpectWithOffset(1, c.err).To(gomega.HaveOccurred())
	e := fault.From(c.err)
	h.ExpectWithOffset(1, e.Kind).To(gomega.Equal(k), c.err.Error())
	h.ExpectWithOffset(1, e.Outcome).To(gomega.Equal(fault.NotRun))
	return e
}

// advance advances the virtual clock and waits until every goroutine is blocked again.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// serveAll releases the holder's grant after the service time, and so on each grant that
// follows. It returns the names of the requests in the order of the grants.
func serveAll(holder *limit.Grant, calls []*call, service time.Duration) (served []string) {
	for holder != nil {
		time.Sleep(service)
		holder.Release(limit.Served)
		synctest.Wait()
		holder = nil
		for _, c := range calls {
			if c.grant() != nil && !c.counted {
				c.counted, holder, served = true, c.grant(), append(served, c.name)
			}
		}
	}
	return served
}
