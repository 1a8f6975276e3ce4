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

// Guards against a second slot that is freed when a grant is released twice.
func TestSecondReleaseHasNoEffect(t *testing.T) {
	inBubble(t, readySnapshot(1, 2), func(h *harness) {
		a, b := h.mustAcquire(lookup), h.mustAcquire(lookup)
		a.Release(limit.Served)
		a.Release(limit.Shed)
		h.Expect(h.limiter.SlotsInUse()).To(gomega.Equal(map[fleet.TargetID]int{"t00": 1}))
		h.Expect(h.limiter.Stats().Shed).To(gomega.BeZero())
		b.Release(limit.Served)
		h.Expect(h.limiter.SlotsInUse()).To(gomega.BeEmpty())
	})
}

// Guards against a cancelled request that keeps its place in the queue, or its slot if
// it is granted at the moment of the cancellation.
func TestCancelFreesQueuePlaceAndSlot(t *testing.T) {
	inBubble(t, readySnapshot(1, 1), func(h *harness) {
		holder := h.mustAcquire(lookup)
		first, second := h.start("", lookup), h.start("", order)
		h.Expect(h.limiter.Stats().Waiting).To(gomega.Equal(2))
		first.cancel()
		synctest.Wait()
		h.expectRefused(first, fault.CallerGone)
		h.Expect(h.limiter.Stats().Waiting).To(gomega.Equal(1))
		second.cancel()
		holder.Release(limit.Served)
		synctest.Wait()
		if second.grant() != nil {
			second.grant().Release(limit.Unused)
		}
		h.Expect(h.limiter.SlotsInUse()).To(gomega.BeEmpty())
		h.Expect(h.limiter.Stats().Waiting).To(gomega.BeZero())
	})
}

// Guards against a workspace with many requests that delays one with few.
func TestWorkspacesTakeTurns(t *testing.T) {
	inBubble(t, readySnapshot(1, 1), func(h *harness) {
		holder := h.mustAcquire(lookup)
		var calls []*call
		for i := range 24 {
			ws := []string{"a", "b", "c"}[max(i-18, 0)/2%3]
			calls = append(calls, h.start(fmt.Sprint(ws, i), newRequest(fleet.Lookup, fleet.WorkspaceID(ws))))
		}
		served := serveAll(holder, calls, time.Millisecond)
		h.Expect(served).To(gomega.HaveLen(24))
		h.Expect(served[:7]).To(gomega.Equal([]string{"a0", "b20", "c22", "a1", "b21", "c23", "a2"}))
	})
}

// Guards against orders that starve lookups, or the reverse, and against batch requests
// that are served before them.
func TestKindsTakeTurns(t *testing.T) {
	inBubble(t, readySnapshot(1, 1), func(h *harness) {
		holder := h.mustAcquire(order)
		var calls []*call
		for i, a := range []limit.Request{batch, batch, lookup, lookup, lookup, lookup, lookup, lookup, order, order, order} {
			calls = append(calls, h.start(fmt.Sprintf("%v%d", a.Kind, i), a))
		}
		h.Expect(serveAll(holder, calls, 2*time.Second)).To(gomega.Equal([]string{
			"lookup2", "order8", "lookup3", "order9", "lookup4", "order10", "lookup5", "lookup6", "lookup7", "batch0", "batch1",
		}))
	})
}

// Guards against batch requests that take all slots: a lookup must wait for them for at
// most one service time, and one slot must stay free of them for a second after the last
// order or lookup.
func TestBatchLeavesReservedSlot(t *testing.T) {
	const service = 100 * time.Millisecond
	inBubble(t, readySnapshot(1, 2), func(h *harness) {
		first, second := h.mustAcquire(batch), h.mustAcquire(batch)
		a, b := h.start("", batch), h.start("", batch)
		urgent := h.start("", lookup)
		time.Sleep(service)
		first.Release(limit.Served)
		second.Release(limit.Served)
		synctest.Wait()
		h.Expect(urgent.grant()).NotTo(gomega.BeNil())
		h.Expect(urgent.grant().Waited).To(gomega.BeNumerically("<=", service))
		h.expectWaiting(a, "batch took the reserved slot")
		urgent.grant().Release(limit.Served)
		synctest.Wait()
		h.Expect(a.grant()).NotTo(gomega.BeNil())
		h.expectWaiting(b, "batch took the reserved slot")
		advance(time.Second)
		h.Expect(b.grant()).NotTo(gomega.BeNil(), "the slot stays reserved for longer than a second")
	})
}

// Guards against a request that cannot meet its deadline and is refused only when the
// deadline passes, instead of on arrival.
func TestEarlyRefusal(t *testing.T) {
	inBubble(t, readySnapshot(1, 1), func(h *harness) {
		holder := h.mustAcquire(lookup)
		time.Sleep(100 * time.Millisecond)
		holder.Release(limit.Served)
		h.mustAcquire(lookup)
		h.expectWaiting(h.start("", withDeadline(lookup, 250*time.Millisecond)), "")
		asked := time.Now()
		e := h.expectRefused(h.start("", withDeadline(lookup, 250*time.Millisecond)), fault.DeadlineExceeded)
		h.Expect(e.RetryAfter).To(gomega.BeNumerically(">=", 50*time.Millisecond))
		h.Expect(time.Since(asked)).To(gomega.BeZero())
		h.expectWaiting(h.start("", withDeadline(lookup, 350*time.Millisecond)), "refused although it can be in time")
		h.Expect(h.limiter.Stats().RefusedEarly).To(gomega.BeEquivalentTo(1))
	})
}

// Guards against an early refusal while no service time has been measured, and against
// a request that waits beyond its deadline.
func TestLateRefusal(t *testing.T) {
	inBubble(t, readySnapshot(1, 1), func(h *harness) {
		h.mustAcquire(lookup)
		c := h.start("", withDeadline(order, 30*time.Millisecond))
		advance(30*time.Millisecond - time.Nanosecond)
		h.expectWaiting(c, "refused before its deadline")
		advance(time.Nanosecond)
		h.expectRefused(c, fault.DeadlineExceeded)
		h.Expect(h.limiter.Stats()).To(gomega.Equal(limit.Stats{Granted: 1, RefusedLate: 1}))

		ctx, cancel := context.WithTimeoutCause(h.ctx, time.Millisecond, errors.New("attempt timeout"))
		defer cancel()
		_, err := h.limiter.Acquire(ctx, lookup)
		h.Expect(fault.Is(err, fault.DeadlineExceeded)).To(gomega.BeTrue(), "a context with its own cause is reported as a caller that left")
	})
}

// Guards against a service that was slow once and then refuses all requests for good:
// requests that find a free slot are granted whatever the estimate is, and correct it.
func TestSlowEstimateRecovers(t *testing.T) {
	inBubble(t, readySnapshot(1, 1), func(h *harness) {
		for i := range 80 {
			gr := h.mustAcquire(withDeadline(lookup, time.Second))
			time.Sleep(10 * time.Millisecond)
			if i == 0 {
				time.Sleep(time.Minute)
			}
			gr.Release(limit.Served)
		}
		h.Expect(h.limiter.ExpectedServiceTime(fleet.Lookup)).To(gomega.BeNumerically("<", 20*time.Millisecond))
	})
}

// Guards against a slot that is granted to a request that can no longer meet its
// deadline while another can, and against a slot that stays idle if none can.
func TestRequestThatCannotMeetDeadlineIsPassedOver(t *testing.T) {
	inBubble(t, readySnapshot(1, 1), func(h *harness) {
		holder := h.mustAcquire(lookup)
		time.Sleep(100 * time.Millisecond)
		holder.Release(limit.Served)
		holder = h.mustAcquire(lookup)
		first, second := h.start("", withDeadline(lookup, 250*time.Millisecond)), h.start("", withDeadline(lookup, 900*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		holder.Release(limit.Unused)
		synctest.Wait()
		h.expectRefused(first, fault.DeadlineExceeded)
		h.Expect(second.grant()).NotTo(gomega.BeNil())
		third := h.start("", withDeadline(lookup, 250*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		second.grant().Release(limit.Unused)
		synctest.Wait()
		h.Expect(third.grant()).NotTo(gomega.BeNil(), "the slot stays idle")
	})
}

// Guards against a queue that exceeds its bound, and against a kind or workspace with
// many requests that keeps others out of the full queue.
func TestQueueIsBounded(t *testing.T) {
	snap := readySnapshot(1, 1)
	snap.QueueLength = 4
	inBubble(t, snap, func(h *harness) {
		h.mustAcquire(lookup)
		b := h.start("", batch)
		var ls []*call
		for range 4 {
			ls = append(ls, h.start("", lookup))
		}
		h.Expect(h.expectRefused(b, fault.QueueFull).RetryAfter).To(gomega.BeNumerically(">", 0))
		h.expectRefused(h.start("", lookup), fault.QueueFull)
		h.expectWaiting(h.start("", order), "lookups keep orders out of the queue")
		h.expectRefused(ls[3], fault.QueueFull)
		h.expectWaiting(h.start("", newRequest(fleet.Lookup, "x")), "a workspace keeps another out of the queue")
		h.expectRefused(ls[2], fault.QueueFull)
		h.Expect(h.limiter.Stats().Waiting).To(gomega.Equal(4))
	})
}

// Guards against an update of the targets that loses or doubles the count of requests
// in flight.
func TestUpdateInFlight(t *testing.T) {
	inBubble(t, readySnapshot(1, 1), func(h *harness) {
		both := readySnapshot(2, 1)
		first := h.mustAcquire(lookup)
		w := h.start("", lookup)
		h.limiter.Update(both)
		synctest.Wait()
		h.Expect(w.grant()).NotTo(gomega.BeNil(), "the added target is not used")
		h.Expect(w.grant().Target).To(gomega.Equal(fleet.TargetID("t01")))

		h.limiter.Update(&limit.Snapshot{Targets: both.Targets[1:]})
		h.limiter.Update(both)
		h.Expect(h.limiter.SlotsInUse()).To(gomega.HaveLen(2), "the work at a removed target was forgotten")
		both.Targets[1].State = choose.Unavailable
		h.limiter.Update(both)
		w.grant().Release(limit.Served)
		stuck := h.expectWaiting(h.start("", lookup), "a closed target received a grant")
		h.limiter.Update(&limit.Snapshot{})
		synctest.Wait()
		h.expectRefused(stuck, fault.NoTarget)
		first.Release(limit.Served)
		h.Expect(h.limiter.SlotsInUse()).To(gomega.BeEmpty())
	})
}

// Guards against a retry that is sent to an excluded target again, or that waits if no
// other target is left.
func TestExclude(t *testing.T) {
	inBubble(t, readySnapshot(2, 1), func(h *harness) {
		again := lookup
		again.Exclude = []fleet.TargetID{"t00"}
		h.Expect(h.mustAcquire(again).Target).To(gomega.Equal(fleet.TargetID("t01")))
		held := h.mustAcquire(lookup)
		w, plain := h.start("", again), h.start("", lookup)
		held.Release(limit.Served)
		synctest.Wait()
		h.Expect(plain.grant()).NotTo(gomega.BeNil(), "a free slot idles behind a request that excludes it")
		h.expectWaiting(w, "an excluded target was granted")
		again.Exclude = []fleet.TargetID{"t00", "t01"}
		h.expectRefused(h.start("", again), fault.NoTarget)
	})
}

// Guards against a target that receives its full load within a second after it has shed
// a request.
func TestShedHalvesLimit(t *testing.T) {
	inBubble(t, readySnapshot(1, 4), func(h *harness) {
		h.mustAcquire(lookup)
		h.mustAcquire(lookup)
		h.mustAcquire(lookup).Release(limit.Shed)
		c := h.start("", lookup)
		advance(time.Second - time.Nanosecond)
		h.expectWaiting(c, "the limit is not halved for a second")
		advance(time.Nanosecond)
		h.Expect(c.grant()).NotTo(gomega.BeNil(), "the limit stays halved for more than a second")
	})
}
