package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a request that waits until its deadline and is refused although its
// target is idle: a peer reported requests there and then ended, and nothing wakes the
// request when that report expires.
func TestWaitingRequestOutlivesLoadOfPeerThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := NewPool("orders", "a")
		only := Target{Key: Key{ID: "t0", StartMillis: 1}, DataCentre: "a", Slots: 2}
		p.SetTargets([]Target{only})
		p.ApplyPeerEvent("peer", Event{Service: "orders", Target: only.Key, InFlight: only.Slots + targetQueueDepth})
		began := time.Now()
		_, err := p.Acquire(context.Background(), Request{FinalAttempt: true, Deadline: began.Add(20 * time.Second)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<=", peerLoadTTL+time.Second))
	})
}
