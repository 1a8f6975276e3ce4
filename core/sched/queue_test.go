package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// randomWaiter returns a waiter of one of a few workspaces, levels and deadlines.
func randomWaiter(random *rand.Rand, sequence uint64) *waiter {
	n := random.IntN(8)
	return &waiter{request: Request{
		Workspace: fmt.Sprint("w", n), Weight: float64(1 + n*n), WorkspacePriority: random.IntN(2), Priority: random.IntN(2),
		FinalAttempt: random.IntN(2) == 0,
		Deadline:     time.Unix(int64(random.IntN(20)), 0),
		arrivedAt:    time.Unix(0, int64(sequence)), sequence: sequence,
	}}
}

// allInOrder returns all waiters in the order of service.
func allInOrder(q *queue) []*waiter {
	var all []*waiter
	for _, l := range q.levels {
		all = slices.AppendSeq(all, l.inOrder())
	}
	return all
}

// Guards against an order of service that differs from the places that refusals are based
// on, and against waiters that are lost or served twice, while requests arrive, are served
// and give up.
func TestQueueKeepsItsOrder(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 9))
	q := &queue{}
	waiting := map[*waiter]bool{}
	for sequence := range uint64(4000) {
		w := randomWaiter(random, sequence)
		ahead := q.placeOf(w.request).ahead
		q.push(w)
		waiting[w] = true
		all := allInOrder(q)
		g.Expect(all).To(HaveLen(len(waiting)))
		place := slices.Index(all, w)
		// Flows with the same start time are all expected to be served before a request.
		g.Expect(ahead).To(BeNumerically(">=", place))
		g.Expect(ahead).To(BeNumerically("<=", place+8))
		for _, first := range all[:min(random.IntN(3), len(all))] {
			g.Expect(q.firstFor(Key{})).To(BeIdenticalTo(first))
			q.take(first, w.request.arrivedAt)
			delete(waiting, first)
		}
		if all = allInOrder(q); len(all) > 60 {
			gone := all[random.IntN(len(all))]
			g.Expect(q.remove(gone)).To(BeTrue())
			g.Expect(q.remove(gone)).To(BeFalse())
			delete(waiting, gone)
		}
	}
	for w := q.firstFor(Key{}); w != nil; w = q.firstFor(Key{}) {
		q.take(w, time.Unix(1, 0))
		delete(waiting, w)
	}
	g.Expect(waiting).To(BeEmpty())
	g.Expect(q.len()).To(BeZero())
	g.Expect(q.ofWorkspaces).To(BeZero())
	for _, l := range q.levels {
		g.Expect(l.final).To(BeZero())
	}
}

// Guards against memory that grows with each workspace that ever waited or was refused,
// and with each priority that a configuration ever had.
func TestQueueForgetsWorkspaces(t *testing.T) {
	g := NewWithT(t)
	q, r := &queue{}, &retryTimes{}
	now := time.Unix(0, 0)
	for i := range 10_000 {
		now = now.Add(time.Second)
		w := &waiter{request: Request{Workspace: fmt.Sprint("w", i), Weight: 1, Priority: i % 500, arrivedAt: now, sequence: uint64(i)}}
		q.push(w)
		q.take(w, now)
		r.next(w.request.Workspace, now, 0, time.Millisecond)
	}
	flows := 0
	for _, l := range q.levels {
		flows += len(l.flows)
	}
	g.Expect(len(q.levels)).To(BeNumerically("<=", maxIdleLevels))
	g.Expect(flows).To(BeNumerically("<=", 2*minFlowsToSweep*maxIdleLevels))
	g.Expect(len(r.last)).To(BeNumerically("<=", 2*minRetryTimesToSweep))
}

// Guards against shares that change when the virtual time becomes too large for its
// precision and begins at 0 again.
func TestSharesOutlastRebase(t *testing.T) {
	g := NewWithT(t)
	q := &queue{}
	sequence := uint64(0)
	push := func(name string, weight float64) {
		sequence++
		q.push(&waiter{request: Request{Workspace: name, Weight: weight, sequence: sequence}})
	}
	for range 4 {
		push("slow", minWeight)
		push("fast", 3*minWeight)
	}
	served := map[string]float64{}
	for range 10_000 {
		w := q.firstFor(Key{})
		served[w.request.Workspace]++
		q.take(w, time.Unix(0, 0))
		push(w.request.Workspace, w.request.Weight)
	}
	g.Expect(q.levels[0].virtualTime).To(BeNumerically("<", 2*maxVirtualTime))
	g.Expect(served["fast"] / served["slow"]).To(BeNumerically("~", 3, 0.01))
}

// Guards against refused callers who are all told to return at once, or so late that the
// capacity is unused when they do.
func TestReturnsAreSpread(t *testing.T) {
	g := NewWithT(t)
	r := &retryTimes{}
	now := time.Unix(0, 0)
	last := time.Duration(0)
	for i := range 100 {
		wait := r.next("w", now, 500*time.Millisecond, 20*time.Millisecond)
		g.Expect(wait).To(Equal(500*time.Millisecond + time.Duration(i)*20*time.Millisecond))
		last = wait
	}
	g.Expect(r.next("other", now, 0, 20*time.Millisecond)).To(BeNumerically("<", last))
	for range 1000 {
		g.Expect(r.next("w", now, 0, 20*time.Millisecond)).To(BeNumerically("<=", maxRetryAfter))
	}
}

// Guards against a pace that is taken from too few grants or from a time long past, and
// against one that does not follow the capacity.
func TestPaceFollowsGrants(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	var p pace
	p.begin(now)
	for i := range 100 {
		if i < minPaceSamples {
			g.Expect(p.wait(0)).To(BeZero())
		}
		now = now.Add(10 * time.Millisecond)
		p.add(now)
	}
	g.Expect(p.wait(9)).To(BeNumerically("~", 130*time.Millisecond, time.Millisecond))
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		p.add(now)
	}
	g.Expect(p.wait(9)).To(BeNumerically("~", 650*time.Millisecond, 5*time.Millisecond))
	p.begin(now.Add(paceMemory / 2))
	g.Expect(p.wait(9)).NotTo(BeZero())
	p.begin(now.Add(2 * paceMemory))
	g.Expect(p.wait(9)).To(BeZero())
}
