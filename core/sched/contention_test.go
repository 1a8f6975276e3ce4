package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
)

// Guards against evaluating every target for every waiting request at each peer event.
// When all targets of a large service are full, a hundred requests wait and peers report
// a thousand results per second, that takes more CPU time than a daemon has, and all its
// work is late.
func TestPeerEventsAreCheapWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const targets, events = 231, 1000
		p := fullPool(t, targets, 100)
		before := p.evaluatedCount
		for i := range events {
			time.Sleep(time.Millisecond)
			p.ApplyPeerEvent("peer", Event{Target: Key{ID: fmt.Sprint("t", i%targets), StartMillis: 1}, InFlight: 8, Result: judge.Served, Latency: 400 * time.Millisecond})
		}
		g.Expect(p.queue.len()).To(Equal(100))
		// One scan every 25 ms, which evaluates all targets for a few requests.
		g.Expect(p.evaluatedCount - before).To(BeNumerically("<", 40*8*targets))
	})
}

// Guards against capacity that stays unused while requests wait for it.
func TestFreeCapacityGoesToFirstWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := fullPool(t, 20, 0)
		urgent := Request{FinalAttempt: true, Deadline: time.Now().Add(time.Minute)}
		later := Request{FinalAttempt: true, Priority: 1, Deadline: time.Now().Add(time.Second), Tried: []Key{{ID: "t8", StartMillis: 1}}}
		second, _, _ := p.grantOrQueue(later)
		first, _, _ := p.grantOrQueue(urgent)
		p.ApplyPeerEvent("peer", Event{Target: Key{ID: "t7", StartMillis: 1}, InFlight: 7, Result: judge.Served, Latency: 400 * time.Millisecond})
		g.Expect(first.granted).To(Receive(HaveField("Target.ID", "t7")))
		g.Expect(second.granted).NotTo(Receive())
		p.ApplyPeerEvent("peer", Event{Target: Key{ID: "t8", StartMillis: 1}, InFlight: 0, Result: judge.Served, Latency: 400 * time.Millisecond})
		g.Expect(second.granted).NotTo(Receive(), "the request was sent to t8 before")
		p.ApplyPeerEvent("peer", Event{Target: Key{ID: "t9", StartMillis: 1}, InFlight: 7, Result: judge.Served, Latency: 400 * time.Millisecond})
		g.Expect(second.granted).To(Receive(HaveField("Target.ID", "t9")))
		g.Expect(p.queue.len()).To(BeZero())
	})
}

// Guards against counting the load of a peer forever after it stopped reporting, and
// against dropping it too early.
func TestPeerLoadExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := fullPool(t, 1, 0)
		p.ApplyPeerEvent("other", Event{Target: Key{ID: "t0", StartMillis: 1}, InFlight: 3})
		p.ApplyPeerEvent("other", Event{Target: Key{ID: "t0", StartMillis: 1}, InFlight: 2})
		g.Expect(p.State()[0].InFlight).To(Equal(10))
		time.Sleep(peerLoadTTL - time.Second)
		p.ApplyPeerEvent("other", Event{Target: Key{ID: "t0", StartMillis: 1}, InFlight: 1})
		g.Expect(p.State()[0].InFlight).To(Equal(9))
		time.Sleep(time.Second + peerLoadInterval)
		g.Expect(p.State()[0].InFlight).To(Equal(1))
	})
}
