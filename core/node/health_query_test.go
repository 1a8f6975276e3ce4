package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
)

// newPeer returns a daemon that knows one service with two targets and takes part
// in the exchange of datagrams.
func newPeer(t *testing.T, vm string, share float64) *Node {
	t.Helper()
	settings := &Settings{VM: vm, CPUShare: share, DataCentre: "a", CallerAddress: "127.0.0.1:1", InnerAddress: "127.0.0.1:0", ShutdownSeconds: 1, RetryBudget: RetryBudget{SpanSeconds: 1}}
	n, err := New(settings, &Platform{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.conn.Close() })
	n.self.Inner = n.conn.LocalAddr().String()
	n.relay.SetTable(route.Compile(&route.Config{Version: 1, Services: []route.Service{{Name: "orders"}}}))
	n.relay.SetTargets(map[string][]sched.Target{"orders": {
		{Key: sched.Key{ID: "t0", Born: 1}, DataCentre: "a", Slots: 2}, {Key: sched.Key{ID: "t1", Born: 1}, DataCentre: "a", Slots: 2},
	}})
	n.listed.Store(true)
	n.peers.Start(t.Context())
	return n
}

// introduce lets each daemon hear the others once.
func introduce(nodes ...*Node) {
	for _, n := range nodes {
		n.refresh()
	}
	for _, n := range nodes {
		for _, o := range nodes {
			n.heard(o.self, &gossip.Report{VM: o.self.VM, DataCentre: "a", Ready: true})
		}
	}
	for _, n := range nodes {
		n.refresh()
	}
}

func failRate(n *Node, id string) float64 {
	for _, t := range n.relay.Pool("orders").State() {
		if t.ID == id {
			return t.FailRate
		}
	}
	return -1
}

// Load pattern: a caller with an old address brings a request to a daemon that
// hears no results. Guards against it sending the request to a target of which the
// carriers know that it is in a spell.
func TestStrayRequestIsPlacedByWhatCarriersKnow(t *testing.T) {
	g := NewWithT(t)
	first, second, stray := newPeer(t, "vm-1", strong), newPeer(t, "vm-2", strong), newPeer(t, "vm-3", weak)
	introduce(first, second, stray)
	g.Expect(first.relay.Pool("orders").Informed()).To(BeTrue())
	g.Expect(stray.relay.Pool("orders").Informed()).To(BeFalse())
	for _, n := range []*Node{first, second} {
		for range 3 {
			n.event("vm-9", sched.Event{Service: "orders", Target: sched.Key{ID: "t0", Born: 1}, Result: judge.Broken})
		}
	}
	// An answer can take longer than a request waits for it on a busy machine; the
	// next request then finds it.
	g.Eventually(func() float64 {
		stray.inquiries.await(t.Context(), "orders", false)
		return failRate(stray, "t0")
	}).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0.7))
	g.Expect(failRate(stray, "t1")).To(BeNumerically("<", 0.3))
}

// Load pattern: callers that find no directory spread over all daemons, twenty
// requests and more to each. Guards against all of them hearing every event.
func TestManyStraysStayOutOfTheGroup(t *testing.T) {
	g := NewWithT(t)
	nodes := []*Node{newPeer(t, "vm-1", strong), newPeer(t, "vm-2", strong), newPeer(t, "vm-3", weak), newPeer(t, "vm-4", weak)}
	introduce(nodes...)
	group, _ := nodes[0].plan().Group("orders")
	for _, n := range nodes {
		for _, o := range nodes[2:] {
			n.heard(o.self, &gossip.Report{VM: o.self.VM, DataCentre: "a", Ready: true, Carries: []string{group}})
		}
	}
	for _, n := range nodes {
		n.refresh()
		audience := n.group("orders")
		g.Expect(audience.Local).To(BeFalse())
		for _, m := range audience.Carriers {
			g.Expect(m.VM).To(BeElementOf("vm-1", "vm-2"))
		}
		for _, m := range audience.Strays {
			g.Expect(m.VM).To(BeElementOf("vm-3", "vm-4"))
		}
		g.Expect(n.relay.Pool("orders").Informed()).To(Equal(n.self.VM < "vm-3"))
	}
}

// Load pattern: VMs so weak that dozens carry one group. Guards against each hearing
// the results of all, and against targets of a data centre without carriers that
// nobody looks after.
func TestLargeGroupsKeepEvidenceLocal(t *testing.T) {
	g := NewWithT(t)
	n := newPeer(t, "vm-1", weak)
	group, _ := n.plan().Group("orders")
	for i := range localFrom {
		m := n.self
		m.VM, m.DataCentre = fmt.Sprint("far-", i), "b"
		g.Expect(n.group("orders").Local).To(BeFalse())
		g.Expect(n.tended(n.group("orders"))).To(BeEmpty())
		n.heard(m, &gossip.Report{VM: m.VM, DataCentre: "b", Ready: true, Carries: []string{group}})
	}
	g.Expect(n.group("orders").Local).To(BeTrue())
	g.Expect(n.tended(n.group("orders"))).To(Equal(map[string]bool{"b": true}))
}

// Guards against requests that wait for daemons which do not answer, or each ask
// anew.
func TestInquiryWithoutAnswerIsShortAndRare(t *testing.T) {
	g := NewWithT(t)
	n := newPeer(t, "vm-3", weak)
	n.relay.Pool("orders").SetInformed(false)
	silent := n.self
	silent.VM, silent.Inner, silent.Cores = "vm-1", "127.0.0.1:1", strong
	n.heard(silent, &gossip.Report{VM: "vm-1", DataCentre: "a", Ready: true})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	n.inquiries.await(ctx, "orders", true)
	g.Expect(n.inquiries.open).To(BeEmpty())
	n.inquiries.await(ctx, "orders", false)
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	asked := n.inquiries.open["orders"]
	asked.askedAt = time.Now().Add(time.Hour)
	asked.end()
	n.inquiries.await(ctx, "orders", false)
	g.Expect(n.inquiries.open["orders"]).To(BeIdenticalTo(asked))
}
