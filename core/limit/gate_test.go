package limit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
)

// A grant released twice must not free a second slot.
func TestReleaseOnce(t *testing.T) {
	inBubble(t, ready(1, 2), func(r *rig) {
		a, b := r.granted(lookup), r.granted(lookup)
		a.Release(limit.Served)
		a.Release(limit.Shed)
		r.Expect(r.gate.InUse()).To(gomega.Equal(map[fleet.TargetID]int{"t00": 1}))
		r.Expect(r.gate.Stats().Shed).To(gomega.BeZero())
		b.Release(limit.Served)
		r.Expect(r.gate.InUse()).To(gomega.BeEmpty())
	})
}

// A caller that leaves must free its place at once, and its slot if it was granted
// at the same moment.
func TestCancelLeaksNothing(t *testing.T) {
	inBubble(t, ready(1, 1), func(r *rig) {
		holder := r.granted(lookup)
		first, second := r.launch("", lookup), r.launch("", order)
		r.Expect(r.gate.Stats().Waiting).To(gomega.Equal(2))
		first.cancel()
		synctest.Wait()
		r.refused(first, fault.CallerGone)
		r.Expect(r.gate.Stats().Waiting).To(gomega.Equal(1))
		second.cancel()
		holder.Release(limit.Served)
		synctest.Wait()
		if second.grant() != nil {
			second.grant().Release(limit.Unused)
		}
		r.Expect(r.gate.InUse()).To(gomega.BeEmpty())
		r.Expect(r.gate.Stats().Waiting).To(gomega.BeZero())
	})
}

// A workspace with many requests must not hold up one with few.
func TestWorkspacesTakeTurns(t *testing.T) {
	inBubble(t, ready(1, 1), func(r *rig) {
		holder := r.granted(lookup)
		var calls []*call
		for i := range 24 {
			ws := []string{"a", "b", "c"}[max(i-18, 0)/2%3]
			calls = append(calls, r.launch(fmt.Sprint(ws, i), ask(fleet.Lookup, fleet.WorkspaceID(ws))))
		}
		served := serveAll(holder, calls, time.Millisecond)
		r.Expect(served).To(gomega.HaveLen(24))
		r.Expect(served[:7]).To(gomega.Equal([]string{"a0", "b20", "c22", "a1", "b21", "c23", "a2"}))
	})
}

// Neither orders nor lookups may starve the other, and batch comes last.
func TestKindsTakeTurns(t *testing.T) {
	inBubble(t, ready(1, 1), func(r *rig) {
		holder := r.granted(order)
		var calls []*call
		for i, a := range []limit.Ask{batch, batch, lookup, lookup, lookup, lookup, lookup, lookup, order, order, order} {
			calls = append(calls, r.launch(fmt.Sprintf("%v%d", a.Kind, i), a))
		}
		r.Expect(serveAll(holder, calls, 2*time.Second)).To(gomega.Equal([]string{
			"lookup2", "order8", "lookup3", "order9", "lookup4", "order10", "lookup5", "lookup6", "lookup7", "batch0", "batch1",
		}))
	})
}

// A lookup must wait for batch work for at most one service time, and find a free
// slot if orders or lookups came in the last second.
func TestBatchUsesWhatIsLeft(t *testing.T) {
	const service = 100 * time.Millisecond
	inBubble(t, ready(1, 2), func(r *rig) {
		first, second := r.granted(batch), r.granted(batch)
		a, b := r.launch("", batch), r.launch("", batch)
		urgent := r.launch("", lookup)
		time.Sleep(service)
		first.Release(limit.Served)
		second.Release(limit.Served)
		synctest.Wait()
		r.Expect(urgent.grant()).NotTo(gomega.BeNil())
		r.Expect(urgent.grant().Waited).To(gomega.BeNumerically("<=", service))
		r.waits(a, "batch took the slot in hand")
		urgent.grant().Release(limit.Served)
		synctest.Wait()
		r.Expect(a.grant()).NotTo(gomega.BeNil())
		r.waits(b, "batch took the slot in hand")
		later(time.Second)
		r.Expect(b.grant()).NotTo(gomega.BeNil(), "the slot in hand is kept for longer than a second")
	})
}

// A request that cannot be in time must learn so at once, not at its deadline.
func TestEarlyRefusal(t *testing.T) {
	inBubble(t, ready(1, 1), func(r *rig) {
		holder := r.granted(lookup)
		time.Sleep(100 * time.Millisecond)
		holder.Release(limit.Served)
		r.granted(lookup)
		r.waits(r.launch("", within(lookup, 250*time.Millisecond)), "")
		asked := time.Now()
		e := r.refused(r.launch("", within(lookup, 250*time.Millisecond)), fault.DeadlineExceeded)
		r.Expect(e.RetryAfter).To(gomega.BeNumerically(">=", 50*time.Millisecond))
		r.Expect(time.Since(asked)).To(gomega.BeZero())
		r.waits(r.launch("", within(lookup, 350*time.Millisecond)), "refused although it can be in time")
		r.Expect(r.gate.Stats().RefusedEarly).To(gomega.BeEquivalentTo(1))
	})
}

// Without a measurement nothing is refused early, and a waiting request is refused
// when its deadline passes.
func TestLateRefusal(t *testing.T) {
	inBubble(t, ready(1, 1), func(r *rig) {
		r.granted(lookup)
		c := r.launch("", within(order, 30*time.Millisecond))
		later(30*time.Millisecond - time.Nanosecond)
		r.waits(c, "refused before its deadline")
		later(time.Nanosecond)
		r.refused(c, fault.DeadlineExceeded)
		r.Expect(r.gate.Stats()).To(gomega.Equal(limit.Stats{Granted: 1, RefusedLate: 1}))

		ctx, cancel := context.WithTimeoutCause(r.ctx, time.Millisecond, errors.New("attempt timeout"))
		defer cancel()
		_, err := r.gate.Acquire(ctx, lookup)
		r.Expect(fault.Is(err, fault.DeadlineExceeded)).To(gomega.BeTrue(), "a context with its own cause reads as a caller that left")
	})
}

// A service that was slow once must not refuse everything for ever: requests that
// find a free slot are granted whatever the estimate says, and correct it.
func TestSlowEstimateRecovers(t *testing.T) {
	inBubble(t, ready(1, 1), func(r *rig) {
		for i := range 80 {
			gr := r.granted(within(lookup, time.Second))
			time.Sleep(10 * time.Millisecond)
			if i == 0 {
				time.Sleep(time.Minute)
			}
			gr.Release(limit.Served)
		}
		r.Expect(r.gate.Expected(fleet.Lookup)).To(gomega.BeNumerically("<", 20*time.Millisecond))
	})
}

// A slot must not be spent on a request that can no longer be in time while another
// can, and must not idle if none can.
func TestLateRequestGivesWay(t *testing.T) {
	inBubble(t, ready(1, 1), func(r *rig) {
		holder := r.granted(lookup)
		time.Sleep(100 * time.Millisecond)
		holder.Release(limit.Served)
		holder = r.granted(lookup)
		first, second := r.launch("", within(lookup, 250*time.Millisecond)), r.launch("", within(lookup, 900*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		holder.Release(limit.Unused)
		synctest.Wait()
		r.refused(first, fault.DeadlineExceeded)
		r.Expect(second.grant()).NotTo(gomega.BeNil())
		third := r.launch("", within(lookup, 250*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		second.grant().Release(limit.Unused)
		synctest.Wait()
		r.Expect(third.grant()).NotTo(gomega.BeNil(), "the slot idles")
	})
}

// The queue must stay within its bound and give up what waits most.
func TestQueueIsBounded(t *testing.T) {
	snap := ready(1, 1)
	snap.QueueLength = 4
	inBubble(t, snap, func(r *rig) {
		r.granted(lookup)
		b := r.launch("", batch)
		var ls []*call
		for range 4 {
			ls = append(ls, r.launch("", lookup))
		}
		r.Expect(r.refused(b, fault.QueueFull).RetryAfter).To(gomega.BeNumerically(">", 0))
		r.refused(r.launch("", lookup), fault.QueueFull)
		r.waits(r.launch("", order), "lookups keep orders out of the queue")
		r.refused(ls[3], fault.QueueFull)
		r.waits(r.launch("", ask(fleet.Lookup, "x")), "a workspace keeps another out of the queue")
		r.refused(ls[2], fault.QueueFull)
		r.Expect(r.gate.Stats().Waiting).To(gomega.Equal(4))
	})
}

// Replacing the targets must neither lose nor double the count of work in flight.
func TestUpdateInFlight(t *testing.T) {
	inBubble(t, ready(1, 1), func(r *rig) {
		both := ready(2, 1)
		first := r.granted(lookup)
		w := r.launch("", lookup)
		r.gate.Update(both)
		synctest.Wait()
		r.Expect(w.grant()).NotTo(gomega.BeNil(), "the added target is not used")
		r.Expect(w.grant().Target).To(gomega.Equal(fleet.TargetID("t01")))

		r.gate.Update(&limit.Snapshot{Targets: both.Targets[1:]})
		r.gate.Update(both)
		r.Expect(r.gate.InUse()).To(gomega.HaveLen(2), "the work at a removed target was forgotten")
		both.Targets[1].State = choose.Closed
		r.gate.Update(both)
		w.grant().Release(limit.Served)
		stuck := r.waits(r.launch("", lookup), "a closed target received a grant")
		r.gate.Update(&limit.Snapshot{})
		synctest.Wait()
		r.refused(stuck, fault.NoTarget)
		first.Release(limit.Served)
		r.Expect(r.gate.InUse()).To(gomega.BeEmpty())
	})
}

// A retry must go elsewhere, and fail at once if there is nowhere else.
func TestExclude(t *testing.T) {
	inBubble(t, ready(2, 1), func(r *rig) {
		again := lookup
		again.Exclude = []fleet.TargetID{"t00"}
		r.Expect(r.granted(again).Target).To(gomega.Equal(fleet.TargetID("t01")))
		held := r.granted(lookup)
		w, plain := r.launch("", again), r.launch("", lookup)
		held.Release(limit.Served)
		synctest.Wait()
		r.Expect(plain.grant()).NotTo(gomega.BeNil(), "a free slot idles behind a request that excludes it")
		r.waits(w, "an excluded target was granted")
		again.Exclude = []fleet.TargetID{"t00", "t01"}
		r.refused(r.launch("", again), fault.NoTarget)
	})
}

// A shed response halves the share for a second.
func TestShed(t *testing.T) {
	inBubble(t, ready(1, 4), func(r *rig) {
		r.granted(lookup)
		r.granted(lookup)
		r.granted(lookup).Release(limit.Shed)
		c := r.launch("", lookup)
		later(time.Second - time.Nanosecond)
		r.waits(c, "the share is not halved for a second")
		later(time.Nanosecond)
		r.Expect(c.grant()).NotTo(gomega.BeNil(), "the share stays halved for more than a second")
	})
}
