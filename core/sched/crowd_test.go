package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
)

// Load pattern: all targets of a large service are full, a hundred requests wait, and
// peers report a thousand results in a second. Guards against weighing every target
// for every waiting request at each of them: that took a daemon more than its
// processor, and everything it did was late.
func TestEventsWhileRequestsWaitCostLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const targets, events = 231, 1000
		p := crowded(t, targets, 100)
		before := p.weighed
		for i := range events {
			time.Sleep(time.Millisecond)
			p.Learn("peer", Event{Target: Key{ID: fmt.Sprint("t", i%targets), Born: 1}, InFlight: 8, Result: judge.Served, Latency: 400 * time.Millisecond})
		}
		g.Expect(p.queue.waiters).To(HaveLen(100))
		// A round over all targets for a few requests in every 25 ms.
		g.Expect(p.weighed - before).To(BeNumerically("<", 40*8*targets))
	})
}

// Guards against room that stands idle while requests wait for it.
func TestRoomGoesToTheFirstThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := crowded(t, 20, 0)
		urgent := Ask{Last: true, Deadline: time.Now().Add(time.Minute)}
		later := Ask{Last: true, Priority: 1, Deadline: time.Now().Add(time.Second), Tried: []Key{{ID: "t8", Born: 1}}}
		second, _, _ := p.ask(later)
		first, _, _ := p.ask(urgent)
		p.Learn("peer", Event{Target: Key{ID: "t7", Born: 1}, InFlight: 7, Result: judge.Served, Latency: 400 * time.Millisecond})
		g.Expect(first.granted).To(Receive(HaveField("Target.ID", "t7")))
		g.Expect(second.granted).NotTo(Receive())
		p.Learn("peer", Event{Target: Key{ID: "t8", Born: 1}, InFlight: 0, Result: judge.Served, Latency: 400 * time.Millisecond})
		g.Expect(second.granted).NotTo(Receive(), "it was sent there before")
		p.Learn("peer", Event{Target: Key{ID: "t9", Born: 1}, InFlight: 7, Result: judge.Served, Latency: 400 * time.Millisecond})
		g.Expect(second.granted).To(Receive(HaveField("Target.ID", "t9")))
		g.Expect(p.queue.waiters).To(BeEmpty())
	})
}

// Guards against the work of a peer that has gone silent counting for ever, or being
// forgotten at once.
func TestWorkOfASilentPeerIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := crowded(t, 1, 0)
		p.Learn("other", Event{Target: Key{ID: "t0", Born: 1}, InFlight: 3})
		p.Learn("other", Event{Target: Key{ID: "t0", Born: 1}, InFlight: 2})
		g.Expect(p.State()[0].InFlight).To(Equal(10))
		time.Sleep(peerLoadTTL - time.Second)
		p.Learn("other", Event{Target: Key{ID: "t0", Born: 1}, InFlight: 1})
		g.Expect(p.State()[0].InFlight).To(Equal(9))
		time.Sleep(time.Second + loadCheck)
		g.Expect(p.State()[0].InFlight).To(Equal(1))
	})
}
