package sched

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
)

// removals are the ways in which a target is removed from a pool that keeps another one.
var removals = map[string]func(p *Pool, removed, kept Target){
	"left the target list":            func(p *Pool, _, kept Target) { p.SetTargets([]Target{kept}) },
	"another target uses its address": func(p *Pool, removed, _ Target) { p.Withdraw(removed.Key) },
}

// Guards against requests that reach a target after it has left: while requests wait,
// each request that ends at the removed target lets it have the next one.
func TestRemovedTargetGetsNoWaitingRequest(t *testing.T) {
	for name, remove := range removals {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := NewPool("orders", "a")
				leaving := Target{Key: Key{ID: "leaving", StartMillis: 1}, DataCentre: "a", Slots: 2}
				kept := Target{Key: Key{ID: "kept", StartMillis: 1}, DataCentre: "a", Slots: 2}
				p.SetTargets([]Target{leaving, kept})
				req := Request{FinalAttempt: true, Deadline: time.Now().Add(time.Minute)}
				var grants []*Grant
				for range 2 * (leaving.Slots + targetQueueDepth) {
					_, grant, err := p.grantOrQueue(req)
					g.Expect(err).NotTo(HaveOccurred())
					grants = append(grants, grant)
				}
				w, _, err := p.grantOrQueue(req)
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Second)
				remove(p, leaving, kept)
				p.scanQueue(time.Now())
				for _, grant := range grants {
					if grant.Target.Key == leaving.Key {
						grant.Complete(judge.Served, time.Second)
					}
				}
				g.Expect(w.granted).NotTo(Receive(), "the other target has no free slot")
				time.Sleep(queueScanInterval)
				for _, grant := range grants {
					grant.Complete(judge.Served, time.Second)
				}
				g.Expect(w.granted).To(Receive(HaveField("Target.Key", kept.Key)))
			})
		})
	}
}
