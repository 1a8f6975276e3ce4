package sched

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wisteriarelay.example/core/judge"
)

// fullPool returns the pool of a large service. All targets are full, and the given
// number of requests wait.
func fullPool(b testing.TB, targets, waiting int) *Pool {
	b.Helper()
	p := NewPool("orders", "a")
	var all []Target
	for i := range targets {
		all = append(all, Target{Key: Key{ID: fmt.Sprint("t", i), StartMillis: 1}, DataCentre: string(rune('a' + i%4)), Slots: 6})
	}
	p.SetTargets(all)
	for _, t := range all {
		p.ApplyPeerEvent("peer", Event{Target: t.Key, InFlight: 8, Result: judge.Served, Latency: 400 * time.Millisecond})
	}
	for range waiting {
		req := Request{FinalAttempt: true, Deadline: time.Now().Add(time.Hour), Objective: time.Now().Add(time.Hour)}
		w, g, err := p.grantOrQueue(req)
		if w == nil {
			b.Fatal(g, err)
		}
	}
	return p
}

// Measures the cost of a peer event while requests wait. Each request of the whole fleet
// causes such events.
func BenchmarkPeerEventWhileRequestsWait(b *testing.B) {
	for _, waiting := range []int{0, 10, 100} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			p := fullPool(b, 231, waiting)
			key := Key{ID: "t7", StartMillis: 1}
			for b.Loop() {
				p.ApplyPeerEvent("peer", Event{Target: key, InFlight: 8, Result: judge.Served, Latency: 400 * time.Millisecond})
			}
		})
	}
}

// Measures the cost of choosing a target for one request.
func BenchmarkAcquire(b *testing.B) {
	p := fullPool(b, 231, 0)
	p.ApplyPeerEvent("peer", Event{Target: Key{ID: "t7", StartMillis: 1}, Result: judge.Served, Latency: 400 * time.Millisecond})
	for b.Loop() {
		g, err := p.Acquire(context.Background(), Request{FinalAttempt: true, Deadline: time.Now().Add(time.Second)})
		if err != nil {
			b.Fatal(err)
		}
		g.Complete(judge.Served, 400*time.Millisecond)
	}
}

// queueSizes are the numbers of waiting requests and of workspaces that they belong to in
// benchmarks; 0 means that requests have no workspace.
var queueSizes = []struct{ waiting, workspaces int }{{100, 0}, {1000, 0}, {5000, 0}, {5000, 76}, {5000, 1000}}

// queuedPool returns a pool where requests of the given number of workspaces wait, and a
// function that returns further requests.
func queuedPool(b *testing.B, waiting, workspaces int) (*Pool, func() Request) {
	p := fullPool(b, 27, 0)
	count := 0
	next := func() Request {
		count++
		req := Request{FinalAttempt: true, Deadline: time.Now().Add(time.Hour), Objective: time.Now().Add(time.Hour)}
		if workspaces > 0 {
			n := count % workspaces
			req.Workspace, req.Weight = fmt.Sprint("w", n), float64(1+n%300)
		}
		return req
	}
	for range waiting {
		w, g, err := p.grantOrQueue(next())
		if w == nil {
			b.Fatal(g, err)
		}
	}
	return p, next
}

// benchmarkQueue runs a benchmark for each of the queue sizes.
func benchmarkQueue(b *testing.B, run func(b *testing.B, p *Pool, next func() Request)) {
	for _, size := range queueSizes {
		b.Run(fmt.Sprintf("waiting=%d/workspaces=%d", size.waiting, size.workspaces), func(b *testing.B) {
			p, next := queuedPool(b, size.waiting, size.workspaces)
			run(b, p, next)
		})
	}
}

// Measures the cost of a request that arrives while others wait, and that leaves the queue
// again.
func BenchmarkArrivalWhileRequestsWait(b *testing.B) {
	benchmarkQueue(b, func(b *testing.B, p *Pool, next func() Request) {
		for b.Loop() {
			w, _, _ := p.grantOrQueue(next())
			p.cancelWait(w)
		}
	})
}

// Measures the cost of a request that arrives while others wait and of capacity that goes
// to the first of these.
func BenchmarkGrantWhileRequestsWait(b *testing.B) {
	benchmarkQueue(b, func(b *testing.B, p *Pool, next func() Request) {
		key := Key{ID: "t7", StartMillis: 1}
		for b.Loop() {
			_, _, _ = p.grantOrQueue(next())
			p.ApplyPeerEvent("peer", Event{Target: key, InFlight: 7})
			p.ApplyPeerEvent("peer", Event{Target: key, InFlight: 8})
			p.members[key].ownLoad = 0
		}
	})
}

// Measures the cost of a scan over all waiters, of which there are at most 40 per second.
func BenchmarkScanWhileRequestsWait(b *testing.B) {
	benchmarkQueue(b, func(b *testing.B, p *Pool, _ func() Request) {
		for b.Loop() {
			p.scanQueue(time.Now())
		}
	})
}
