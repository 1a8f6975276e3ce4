package limit_test

import (
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
	inBubble(t, func(r *rig) {
		gate := r.open(ready(1, 2))
		a, b := r.granted(lookup("w")), r.granted(lookup("w"))
		a.Release(limit.Served)
		a.Release(limit.Shed)
		r.Expect(gate.InFlight()).To(gomega.Equal([]limit.Load{{Target: "t00", InFlight: 1}}))
		r.Expect(gate.Stats().Shed).To(gomega.BeZero())
		b.Release(limit.Served)
		r.Expect(gate.InFlight()).To(gomega.BeEmpty())
	})
}

// A caller that leaves must free its place at once, and its slot if it was granted
// at the same moment.
func TestCancelLeaksNothing(t *testing.T) {
	inBubble(t, func(r *rig) {
		gate := r.open(ready(1, 1))
		holder := r.granted(lookup("w"))
		first, second := r.launch("", lookup("w")), r.launch("", order("w"))
		r.Expect(gate.Stats().Waiting).To(gomega.Equal(2))
		first.cancel()
		synctest.Wait()
		r.refused(first, fault.CallerGone)
		r.Expect(gate.Stats().Waiting).To(gomega.Equal(1))
		second.cancel()
		holder.Release(limit.Served)
		synctest.Wait()
		if second.grant() != nil {
			second.grant().Release(limit.Unused)
		}
		r.Expect(gate.InFlight()).To(gomega.BeEmpty())
		r.Expect(gate.Stats().Waiting).To(gomega.BeZero())
	})
}

// A workspace with many requests must not hold up one with few.
func TestWorkspacesTakeTurns(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.open(ready(1, 1))
		holder := r.granted(lookup("a"))
		var calls []*call
		for i := range 20 {
			calls = append(calls, r.launch(fmt.Sprint("a", i), lookup("a")))
		}
		for _, ws := range []fleet.WorkspaceID{"b", "c"} {
			calls = append(calls, r.launch(string(ws)+"0", lookup(ws)), r.launch(string(ws)+"1", lookup(ws)))
		}
		served := serveAll(holder, calls, time.Millisecond)
		r.Expect(served).To(gomega.HaveLen(24))
		r.Expect(served[:7]).To(gomega.Equal([]string{"a0", "b0", "c0", "a1", "b1", "c1", "a2"}))
	})
}

// Neither orders nor lookups may starve the other, and batch comes last.
func TestKindsTakeTurns(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.open(ready(1, 1))
		holder := r.granted(order("w"))
		var calls []*call
		for i := range 2 {
			calls = append(calls, r.launch(fmt.Sprint("b", i), batch("w")))
		}
		for i := range 6 {
			calls = append(calls, r.launch(fmt.Sprint("l", i), lookup("w")))
		}
		for i := range 3 {
			calls = append(calls, r.launch(fmt.Sprint("o", i), order("w")))
		}
		served := serveAll(holder, calls, 2*time.Second)
		r.Expect(served).To(gomega.Equal([]string{"l0", "o0", "l1", "o1", "l2", "o2", "l3", "l4", "l5", "b0", "b1"}))
	})
}

// A lookup must wait for batch work for at most one service time, and find a free
// slot if orders or lookups came in the last second.
func TestBatchUsesWhatIsLeft(t *testing.T) {
	const service = 100 * time.Millisecond
	inBubble(t, func(r *rig) {
		r.open(ready(1, 2))
		held := []*limit.Grant{r.granted(batch("n")), r.granted(batch("n"))}
		waiting := []*call{r.launch("", batch("n")), r.launch("", batch("n"))}
		asked := time.Now()
		urgent := r.launch("", lookup("w"))
		time.Sleep(service)
		held[0].Release(limit.Served)
		held[1].Release(limit.Served)
		synctest.Wait()
		r.Expect(urgent.grant()).NotTo(gomega.BeNil())
		r.Expect(urgent.grant().Waited).To(gomega.BeNumerically("<=", time.Since(asked)))
		r.Expect(waiting[0].done()).To(gomega.BeFalse(), "batch took the slot in hand")
		urgent.grant().Release(limit.Served)
		synctest.Wait()
		r.Expect(waiting[0].grant()).NotTo(gomega.BeNil())
		r.Expect(waiting[1].done()).To(gomega.BeFalse(), "batch took the slot in hand")
		time.Sleep(time.Second)
		synctest.Wait()
		r.Expect(waiting[1].grant()).NotTo(gomega.BeNil(), "the slot in hand is kept for longer than a second")
	})
}

// A request that cannot be in time must learn so at once, not at its deadline.
func TestEarlyRefusal(t *testing.T) {
	inBubble(t, func(r *rig) {
		gate := r.open(ready(1, 1))
		holder := r.granted(lookup("w"))
		time.Sleep(100 * time.Millisecond)
		holder.Release(limit.Served)
		r.granted(lookup("w"))
		r.Expect(r.launch("", within(lookup("w"), 250*time.Millisecond)).done()).To(gomega.BeFalse())
		asked := time.Now()
		late := r.launch("", within(lookup("w"), 250*time.Millisecond))
		e := r.refused(late, fault.DeadlineExceeded)
		r.Expect(e.RetryAfter).To(gomega.BeNumerically(">=", 50*time.Millisecond))
		r.Expect(time.Since(asked)).To(gomega.BeZero())
		r.Expect(r.launch("", within(lookup("w"), 350*time.Millisecond)).done()).To(gomega.BeFalse())
		r.Expect(gate.Stats().RefusedEarly).To(gomega.BeEquivalentTo(1))
	})
}

// Without a measurement nothing is refused early, and a waiting request is refused
// when its deadline passes.
func TestLateRefusal(t *testing.T) {
	inBubble(t, func(r *rig) {
		gate := r.open(ready(1, 1))
		r.granted(lookup("w"))
		c := r.launch("", within(order("w"), 30*time.Millisecond))
		time.Sleep(30*time.Millisecond - 1)
		synctest.Wait()
		r.Expect(c.done()).To(gomega.BeFalse())
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		r.refused(c, fault.DeadlineExceeded)
		r.Expect(gate.Stats()).To(gomega.Equal(limit.Stats{Granted: 1, RefusedLate: 1}))
	})
}

// A service that was slow once must not refuse everything for ever: requests that
// find a free slot are granted whatever the estimate says, and correct it.
func TestSlowEstimateRecovers(t *testing.T) {
	inBubble(t, func(r *rig) {
		gate := r.open(ready(1, 1))
		slow := r.granted(lookup("w"))
		time.Sleep(time.Minute)
		slow.Release(limit.Served)
		for range 80 {
			gr := r.granted(within(lookup("w"), time.Second))
			time.Sleep(10 * time.Millisecond)
			gr.Release(limit.Served)
		}
		r.Expect(gate.Expected(fleet.Lookup)).To(gomega.BeNumerically("<", 20*time.Millisecond))
	})
}

// The queue must stay within its bound and give up what waits most.
func TestQueueIsBounded(t *testing.T) {
	inBubble(t, func(r *rig) {
		snap := ready(1, 1)
		snap.QueueLength = 4
		gate := r.open(snap)
		r.granted(lookup("w"))
		b := r.launch("", batch("w"))
		var ls []*call
		for range 4 {
			ls = append(ls, r.launch("", lookup("w")))
		}
		e := r.refused(b, fault.QueueFull)
		r.Expect(e.RetryAfter).To(gomega.BeNumerically(">", 0))
		r.refused(r.launch("", lookup("w")), fault.QueueFull)
		o := r.launch("", order("w"))
		r.Expect(o.done()).To(gomega.BeFalse(), "lookups keep orders out of the queue")
		r.refused(ls[3], fault.QueueFull)
		r.Expect(r.launch("", lookup("x")).done()).To(gomega.BeFalse(), "a workspace keeps another out of the queue")
		r.refused(ls[2], fault.QueueFull)
		r.Expect(gate.Stats().Waiting).To(gomega.Equal(4))
	})
}

// Replacing the targets must neither lose nor double the count of work in flight.
func TestUpdateInFlight(t *testing.T) {
	inBubble(t, func(r *rig) {
		one, both := ready(1, 1), ready(2, 1)
		gate := r.open(one)
		first := r.granted(lookup("w"))
		w := r.launch("", lookup("w"))
		gate.Update(both)
		synctest.Wait()
		r.Expect(w.grant()).NotTo(gomega.BeNil(), "the added target is not used")
		r.Expect(w.grant().Target).To(gomega.Equal(fleet.TargetID("t01")))

		gate.Update(&limit.Snapshot{Targets: both.Targets[1:]})
		gate.Update(both)
		r.Expect(gate.InFlight()).To(gomega.HaveLen(2), "the work at a removed target was forgotten")
		both.Targets[1].State = choose.Closed
		gate.Update(both)
		w.grant().Release(limit.Served)
		stuck := r.launch("", lookup("w"))
		r.Expect(stuck.done()).To(gomega.BeFalse(), "a closed target received a grant")
		gate.Update(&limit.Snapshot{})
		synctest.Wait()
		r.refused(stuck, fault.NoTarget)
		first.Release(limit.Served)
		r.Expect(gate.InFlight()).To(gomega.BeEmpty())
	})
}

// A retry must go elsewhere, and fail at once if there is nowhere else.
func TestExclude(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.open(ready(2, 1))
		again := lookup("w")
		again.Exclude = []fleet.TargetID{"t00"}
		r.Expect(r.granted(again).Target).To(gomega.Equal(fleet.TargetID("t01")))
		held := r.granted(lookup("w"))
		w := r.launch("", again)
		plain := r.launch("", lookup("w"))
		held.Release(limit.Served)
		synctest.Wait()
		r.Expect(plain.grant()).NotTo(gomega.BeNil(), "a free slot idles behind a request that excludes it")
		r.Expect(w.done()).To(gomega.BeFalse())
		again.Exclude = []fleet.TargetID{"t00", "t01"}
		r.refused(r.launch("", again), fault.NoTarget)
	})
}

// A shed response halves the share for a second.
func TestShed(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.open(ready(1, 4))
		for range 2 {
			r.granted(lookup("w"))
		}
		r.granted(lookup("w")).Release(limit.Shed)
		c := r.launch("", lookup("w"))
		time.Sleep(time.Second - 1)
		synctest.Wait()
		r.Expect(c.done()).To(gomega.BeFalse())
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		r.Expect(c.grant()).NotTo(gomega.BeNil(), "the share stays halved for more than a second")
	})
}
