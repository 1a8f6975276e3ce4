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

// newGossipingNode returns a daemon that knows one service with two targets and
// exchanges datagrams with its peers.
func newGossipingNode(t *testing.T, vm string, share float64) *Node {
	t.Helper()
	settings := &Settings{VM: vm, CPUShare: share, DataCentre: "a", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:0", ShutdownSeconds: 1, RetryBudget: RetryBudget{WindowSeconds: 1}}
	n, err := New(settings, &Platform{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.gossipConn.Close() })
	n.self.PeerAddress = n.gossipConn.LocalAddr().String()
	n.relay.SetTable(route.Compile(&route.Config{Version: 1, Services: []route.Service{{Name: "orders"}}}))
	n.relay.SetTargets(map[string][]sched.Target{"orders": {
		{Key: sched.Key{ID: "t0", StartMillis: 1}, DataCentre: "a", Slots: 2}, {Key: sched.Key{ID: "t1", StartMillis: 1}, DataCentre: "a", Slots: 2},
	}})
	n.listLoaded.Store(true)
	n.gossip.Start(t.Context())
	return n
}

// exchangeReports delivers one report of each daemon to every daemon.
func exchangeReports(nodes ...*Node) {
	for _, n := range nodes {
		n.refresh()
	}
	for _, n := range nodes {
		for _, o := range nodes {
			n.handleHeartbeat(o.self, &gossip.Report{VM: o.self.VM, DataCentre: "a", Ready: true})
		}
	}
	for _, n := range nodes {
		n.refresh()
	}
}

func failRate(n *Node, id string) float64 {
	for _, t := range n.relay.TargetPool("orders").State() {
		if t.ID == id {
			return t.FailRate
		}
	}
	return -1
}

// Guards against a daemon that receives no events about a service and sends a
// request to a target that the carriers know to be failing. Callers with an
// outdated address send requests to such daemons.
func TestNonCarrierUsesEstimatesOfCarriers(t *testing.T) {
	g := NewWithT(t)
	first, second, nonCarrier := newGossipingNode(t, "vm-1", highShare), newGossipingNode(t, "vm-2", highShare), newGossipingNode(t, "vm-3", lowShare)
	exchangeReports(first, second, nonCarrier)
	g.Expect(first.relay.TargetPool("orders").ReceivesPeerEvents()).To(BeTrue())
	g.Expect(nonCarrier.relay.TargetPool("orders").ReceivesPeerEvents()).To(BeFalse())
	for _, n := range []*Node{first, second} {
		for range 3 {
			n.handleEvent("vm-9", sched.Event{Service: "orders", Target: sched.Key{ID: "t0", StartMillis: 1}, Result: judge.Broken})
		}
	}
	// On a busy machine an answer may arrive after the request stopped waiting for it;
	// the next request then uses it.
	g.Eventually(func() float64 {
		nonCarrier.healthQueries.wait(t.Context(), "orders", false)
		return failRate(nonCarrier, "t0")
	}).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0.7))
	g.Expect(failRate(nonCarrier, "t1")).To(BeNumerically("<", 0.3))
}

// Guards against every daemon receiving every event: callers that cannot reach the
// address endpoint spread over all daemons, with twenty requests or more to each.
func TestNonCarriersStayOutOfCarrierGroup(t *testing.T) {
	g := NewWithT(t)
	nodes := []*Node{newGossipingNode(t, "vm-1", highShare), newGossipingNode(t, "vm-2", highShare), newGossipingNode(t, "vm-3", lowShare), newGossipingNode(t, "vm-4", lowShare)}
	exchangeReports(nodes...)
	group, _ := nodes[0].plan().Group("orders")
	for _, n := range nodes {
		for _, o := range nodes[2:] {
			n.handleHeartbeat(o.self, &gossip.Report{VM: o.self.VM, DataCentre: "a", Ready: true, Carries: []string{group}})
		}
	}
	for _, n := range nodes {
		n.refresh()
		recipients := n.eventRecipients("orders")
		g.Expect(recipients.OwnTargetsOnly).To(BeFalse())
		for _, m := range recipients.Carriers {
			g.Expect(m.VM).To(BeElementOf("vm-1", "vm-2"))
		}
		for _, m := range recipients.FailuresOnly {
			g.Expect(m.VM).To(BeElementOf("vm-3", "vm-4"))
		}
		g.Expect(n.relay.TargetPool("orders").ReceivesPeerEvents()).To(Equal(n.self.VM < "vm-3"))
	}
}

// Guards against each carrier receiving the results of all others when VMs are so
// small that dozens of them carry one group, and against targets that no daemon
// monitors because their data centre has no carriers.
func TestLargeGroupsSendEventsLocally(t *testing.T) {
	g := NewWithT(t)
	n := newGossipingNode(t, "vm-1", lowShare)
	group, _ := n.plan().Group("orders")
	for i := range localEventsMinCarriers {
		m := n.self
		m.VM, m.DataCentre = fmt.Sprint("far-", i), "b"
		g.Expect(n.eventRecipients("orders").OwnTargetsOnly).To(BeFalse())
		g.Expect(n.remotelyMonitored(n.eventRecipients("orders"))).To(BeEmpty())
		n.handleHeartbeat(m, &gossip.Report{VM: m.VM, DataCentre: "b", Ready: true, Carries: []string{group}})
	}
	g.Expect(n.eventRecipients("orders").OwnTargetsOnly).To(BeTrue())
	g.Expect(n.remotelyMonitored(n.eventRecipients("orders"))).To(Equal(map[string]bool{"b": true}))
}

// Guards against requests that wait for daemons which do not answer, or that each
// send a new query.
func TestUnansweredHealthQueryTimesOutAndIsReused(t *testing.T) {
	g := NewWithT(t)
	n := newGossipingNode(t, "vm-3", lowShare)
	n.relay.TargetPool("orders").SetReceivesPeerEvents(false)
	silent := n.self
	silent.VM, silent.PeerAddress, silent.Cores = "vm-1", "127.0.0.1:1", highShare
	n.handleHeartbeat(silent, &gossip.Report{VM: "vm-1", DataCentre: "a", Ready: true})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	n.healthQueries.wait(ctx, "orders", true)
	g.Expect(n.healthQueries.latest).To(BeEmpty())
	n.healthQueries.wait(ctx, "orders", false)
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	query := n.healthQueries.latest["orders"]
	query.sentAt = time.Now().Add(time.Hour)
	query.finish()
	n.healthQueries.wait(ctx, "orders", false)
	g.Expect(n.healthQueries.latest["orders"]).To(BeIdenticalTo(query))
}
