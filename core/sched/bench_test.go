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

// Measures the cost of a request that arrives while others wait, and that leaves the queue
// again.
func BenchmarkArrivalWhileRequestsWait(b *testing.B) {
	for _, waiting := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			p := fullPool(b, 27, waiting)
			for b.Loop() {
				w, _, _ := p.grantOrQueue(Request{FinalAttempt: true, Deadline: time.Now().Add(time.Hour), Objective: time.Now().Add(time.Hour)})
				p.cancelWait(w)
			}
		})
	}
}

// Measures the cost of a target's capacity that goes to a waiting request.
func BenchmarkGrantWhileRequestsWait(b *testing.B) {
	for _, waiting := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			p := fullPool(b, 27, waiting)
			key := Key{ID: "t7", StartMillis: 1}
			for b.Loop() {
				w, _, _ := p.grantOrQueue(Request{FinalAttempt: true, Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Hour)})
				p.ApplyPeerEvent("peer", Event{Target: key, InFlight: 7})
				g := <-w.granted
				p.ApplyPeerEvent("peer", Event{Target: key, InFlight: 8})
				g.Complete(judge.Nothing, 0)
			}
		})
	}
}
