package member

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/store"
)

func TestPeersHearEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1", "c1")
		a := cl.nodes["a1"]
		cl.withLock(func() { a.evidence = []byte("rows") })
		time.Sleep(5 * time.Second)
		for _, at := range vmIDs("a1", "b1", "c1") {
			v := cl.nodes[at].View()
			cl.g.Expect(v.Carried).To(gomega.Equal([]fleet.ServiceID{"s"}))
			cl.g.Expect(v.Peers).To(gomega.HaveLen(2))
			cl.g.Expect(cl.addresses(at)).To(gomega.Equal(vmIDs("a1", "b1", "c1")))
			cl.g.Expect(cl.peer(at, v.Peers[0].VM.ID).Revision).To(gomega.Equal(uint64(7)))
			for _, p := range v.Peers {
				cl.g.Expect(cl.usability(at, p.VM.ID)).To(gomega.Equal(usableForAll))
			}
			cl.g.Expect(v.Prober("s", "t", time.Now())).To(gomega.Equal(cl.nodes["a1"].View().Prober("s", "t", time.Now())))
		}
		want := delivery{"s", Sender{a.incarnation, "dc-a"}, inner.ServiceReport{Service: "s", Evidence: []byte("rows")}}
		cl.g.Expect(cl.deliveries("b1")).To(gomega.ContainElement(want))
		// Each peer gets one report per report interval, or one per second while the service is suspect.
		start := time.Now()
		time.Sleep(40 * time.Second)
		cl.g.Expect(cl.countSent("a1", "b1", start)).To(gomega.BeNumerically("~", 40*time.Second/ReportInterval, 2))
		cl.withLock(func() { a.suspect = true })
		start = time.Now()
		time.Sleep(40 * time.Second)
		cl.g.Expect(cl.countSent("a1", "b1", start)).To(gomega.BeNumerically("~", 40, 4))
		cl.g.Expect(cl.countSent("b1", "a1", start)).To(gomega.BeNumerically("~", 40*time.Second/ReportInterval, 2))
		sends := cl.sentReports()
		last := sends[len(sends)-1].m
		cl.g.Expect(last.Self).To(gomega.BeNil(), "a peer that confirmed to hear this VM no longer gets its description")
		cl.g.Expect(last.Heard).To(gomega.HaveLen(2))
	})
}

// Guards against two daemons that rely on each other although reports arrive in one
// direction only, and against discarding the evidence that does arrive.
func TestOneWayPartition(t *testing.T) {
	for _, link := range [][2]fleet.VMID{{"a1", "b1"}, {"b1", "a1"}} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, "a1", "b1", "c1")
			time.Sleep(10 * time.Second)
			silenced, receiver := link[0], link[1]
			cl.setLinkDown(silenced, receiver, true)
			// After 3 report intervals the receiver counts the silenced VM as unheard; its next
			// report, within one more interval, tells the silenced VM.
			time.Sleep(HeartbeatTimeout + ReportInterval + ReportInterval/4)
			cl.g.Expect(cl.usability(receiver, silenced)).To(gomega.Equal(unusable))
			cl.g.Expect(cl.usability(silenced, receiver)).To(gomega.Equal(evidenceOnly))
			cl.g.Expect(cl.usability("c1", silenced)).To(gomega.Equal(usableForAll))
			cl.g.Expect(cl.addresses(silenced)).NotTo(gomega.ContainElement(receiver))
			cl.g.Expect(cl.addresses(receiver)).NotTo(gomega.ContainElement(silenced))
			cl.g.Expect(cl.nodes[receiver].View().Carriers("s")).To(gomega.HaveLen(3), "the placement must not depend on which peers are heard")
			cl.setLinkDown(silenced, receiver, false)
			time.Sleep(3 * ReportInterval)
			cl.g.Expect(cl.usability(receiver, silenced)).To(gomega.Equal(usableForAll))
			cl.g.Expect(cl.usability(silenced, receiver)).To(gomega.Equal(usableForAll))
		})
	}
}

// Guards against relying on a peer whose reports are lost while its replies to this
// daemon's reports arrive. It hears this daemon, but counts as unheard after 3 report
// intervals.
func TestReplyConfirmsReceipt(t *testing.T) {
	g := gomega.NewWithT(t)
	table := New(makeVM("a1"), fleet.NewIncarnation("a1"), Hooks{}, WithSeeds([]fleet.VM{makeVM("a1"), makeVM("b1")}))
	table.SetServices([]*fleet.Service{makeService("s")})
	table.handleReply("b1", &inner.ReportReplyMsg{Run: 5}, time.Now())
	p, _ := table.View().Peer("b1")
	later := time.Now().Add(HeartbeatTimeout / 2)
	g.Expect(p.HearsUs(later)).To(gomega.BeTrue())
	g.Expect(p.IsUsableAsProber(later)).To(gomega.BeFalse())
	g.Expect(p.IsUsableForAddresses(later)).To(gomega.BeTrue(), "the peer is new")
	g.Expect(p.IsUsableForAddresses(later.Add(HeartbeatTimeout))).To(gomega.BeFalse())
}

// Guards against counting the requests in flight of a dead peer forever, and against
// address responses that still contain it.
func TestDeadPeerLosesWeightAndAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1", "c1")
		time.Sleep(10 * time.Second)
		cl.kill("b1")
		p := cl.peer("a1", "b1")
		cl.g.Expect(p.IsHeard(p.HeardAt.Add(HeartbeatTimeout - 1))).To(gomega.BeTrue())
		cl.g.Expect(p.IsHeard(p.HeardAt.Add(HeartbeatTimeout))).To(gomega.BeFalse())
		for silence, share := range map[time.Duration]float64{0: 1, HeartbeatTimeout: 1, HeartbeatTimeout * 3 / 2: 0.5, HeartbeatTimeout * 2: 0, time.Hour: 0} {
			cl.g.Expect(p.InFlightWeight(p.HeardAt.Add(silence))).To(gomega.BeNumerically("~", share, 1e-9))
		}
		time.Sleep(HeartbeatTimeout)
		cl.g.Expect(cl.addresses("a1")).To(gomega.Equal(vmIDs("a1", "c1")))
		cl.g.Expect(cl.nodes["a1"].Dump(p.HeardAt.Add(HeartbeatTimeout * 3 / 2)).Peers[0]).To(gomega.Equal(PeerDump{
			ID: "b1", Incarnation: p.Incarnation, Listed: true, Ready: true, Silence: "13.5s", Revision: 7, InFlightWeight: 0.5,
		}))
		cl.removeListed("b1")
		time.Sleep(2 * pollInterval)
		cl.g.Expect(cl.nodes["a1"].View().Carriers("s")).To(gomega.HaveLen(2))
	})
}

// Guards against a daemon that after a pause considers all others dead, or that
// sends what it collected before the pause.
func TestPausedDaemonRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1", "c1")
		time.Sleep(10 * time.Second)
		// To simulate a pause, Collect blocks and nothing reaches the daemon.
		a := cl.nodes["a1"]
		cl.withLock(func() { a.collectDelay = 30 * time.Second })
		cl.isolate("a1", true)
		time.Sleep(20 * time.Second)
		cl.g.Expect(cl.addresses("b1")).To(gomega.Equal(vmIDs("b1", "c1")))
		cl.withLock(func() { a.collectDelay = 0 })
		cl.isolate("a1", false)
		time.Sleep(14 * time.Second)
		cl.g.Expect(cl.addresses("a1")).To(gomega.Equal(vmIDs("a1", "b1", "c1")))
		cl.g.Expect(cl.usability("b1", "a1")).To(gomega.Equal(usableForAll))
	})
}

// Guards against a daemon that grants its peers no grace period after it was paused.
func TestPauseRenewsGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		cl.kill("b1")
		time.Sleep(time.Minute)
		a := cl.nodes["a1"]
		cl.g.Expect(cl.usability("a1", "b1")).To(gomega.Equal(unusable))
		cl.withLock(func() { a.collectDelay = 10 * time.Second })
		time.Sleep(5 * time.Second)
		cl.withLock(func() { a.collectDelay = 0 })
		time.Sleep(5*time.Second + ReportInterval + 2*SuspectReportInterval)
		cl.g.Expect(cl.usability("a1", "b1")).To(gomega.Equal([3]bool{false, false, true}))
		time.Sleep(HeartbeatTimeout)
		cl.g.Expect(cl.usability("a1", "b1")).To(gomega.Equal(unusable))
	})
}

// Guards against accepting a late report of a daemon that was replaced by one with
// the same VM id, and against reports that arrive out of order.
func TestReplacedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		a, old := cl.nodes["a1"], cl.nodes["b1"]
		cl.kill("b1")
		synctest.Wait()
		time.Sleep(3 * time.Second)
		moved := makeVM("b1")
		moved.PeerAddress = "b1-moved:81"
		replaced := cl.start(moved)
		time.Sleep(3 * time.Second)
		p := cl.peer("a1", "b1")
		cl.g.Expect(p.Incarnation).To(gomega.Equal(replaced.incarnation))
		cl.g.Expect(p.VM.PeerAddress).To(gomega.Equal("b1-moved:81"), "the list lags behind the VM")
		late := &inner.ReportMsg{Run: old.incarnation.RunID(), Started: old.started, Sequence: 1000, Leaving: true}
		before := a.Counters().Outdated
		reply, err := a.Receive(cl.ctx, "b1", late)
		cl.g.Expect(err).NotTo(gomega.HaveOccurred())
		cl.g.Expect(reply.Status).To(gomega.Equal(inner.ReportOutdated))
		cl.g.Expect(cl.peer("a1", "b1").Incarnation).To(gomega.Equal(replaced.incarnation))
		cl.g.Expect(cl.usability("a1", "b1")).To(gomega.Equal(usableForAll))
		overtaken := &inner.ReportMsg{Run: replaced.incarnation.RunID(), Started: replaced.started, Sequence: 1, Leaving: true}
		_, err = a.Receive(cl.ctx, "b1", overtaken)
		cl.g.Expect(err).NotTo(gomega.HaveOccurred())
		cl.g.Expect(cl.usability("a1", "b1")).To(gomega.Equal(usableForAll))
		cl.g.Expect(a.Counters().Outdated).To(gomega.Equal(before + 2))
		old.handleReply("a1", reply, time.Now())
		cl.g.Expect(old.View().Superseded).To(gomega.BeTrue())
	})
}

// Guards against never accepting the reports of a VM whose clock is behind that of
// the VM that it replaces.
func TestReplacedVMWithSlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		old := cl.nodes["b1"]
		cl.kill("b1")
		time.Sleep(HeartbeatTimeout)
		slow := &inner.ReportMsg{Run: 5, Started: old.started - 60_000, Sequence: 1, Ready: true}
		reply, err := cl.nodes["a1"].Receive(cl.ctx, "b1", slow)
		cl.g.Expect(err).NotTo(gomega.HaveOccurred())
		cl.g.Expect(reply.Status).To(gomega.Equal(inner.ReportAccepted))
	})
}

// Guards against a placement or addresses that are wrong while the VM list lags
// behind the VMs that are started and removed.
func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		// A VM that is heard before it is listed becomes a carrier and an address.
		cl.start(makeVM("c1"))
		time.Sleep(5 * time.Second)
		p := cl.peer("a1", "c1")
		cl.g.Expect(p.Listed).To(gomega.BeFalse())
		cl.g.Expect(cl.usability("a1", "c1")).To(gomega.Equal(usableForAll))
		cl.g.Expect(cl.addresses("a1")).To(gomega.Equal(vmIDs("a1", "b1", "c1")))
		cl.g.Expect(cl.nodes["a1"].View().Live).To(gomega.HaveLen(3))
		// It is not live while it is unheard.
		cl.isolate("c1", true)
		time.Sleep(HeartbeatTimeout + 2*SuspectReportInterval)
		cl.g.Expect(cl.nodes["a1"].View().Live).To(gomega.HaveLen(2))
		cl.isolate("c1", false)
		time.Sleep(2 * ReportInterval)
		cl.g.Expect(cl.addresses("a1")).To(gomega.Equal(vmIDs("a1", "b1", "c1")))
		cl.setListed(makeVM("c1"))
		time.Sleep(2 * pollInterval)
		cl.g.Expect(cl.peer("a1", "c1").Listed).To(gomega.BeTrue())
		// A VM that was removed from the list but is still heard is no carrier, but its
		// evidence counts.
		cl.removeListed("b1")
		time.Sleep(2 * pollInterval)
		cl.g.Expect(cl.usability("a1", "b1")[0]).To(gomega.BeTrue())
		cl.g.Expect(cl.usability("b1", "a1")).To(gomega.Equal(usableForAll), "it still receives reports, because it sends some")
		cl.g.Expect(cl.addresses("a1")).To(gomega.Equal(vmIDs("a1", "c1")))
		cl.g.Expect(cl.nodes["a1"].View().Live).To(gomega.HaveLen(3))
		cl.kill("b1")
		time.Sleep(HeartbeatTimeout + 2*SuspectReportInterval)
		cl.g.Expect(cl.nodes["a1"].View().Live).To(gomega.HaveLen(2))
		// A new VM with the id of a removed one becomes a carrier before it is listed.
		cl.start(makeVM("b1"))
		time.Sleep(5 * time.Second)
		cl.g.Expect(cl.addresses("a1")).To(gomega.Equal(vmIDs("a1", "b1", "c1")))
		cl.kill("b1")
		time.Sleep(HeartbeatTimeout + 2*SuspectReportInterval)
		// A listed VM that was never heard is a carrier, but no address after its grace period.
		cl.setListed(makeVM("d1"))
		time.Sleep(2*pollInterval + HeartbeatTimeout)
		cl.g.Expect(cl.nodes["a1"].View().Carriers("s")).To(gomega.HaveLen(3))
		cl.g.Expect(cl.addresses("a1")).To(gomega.Equal(vmIDs("a1", "c1")))
		cl.g.Expect(cl.usability("a1", "d1")).To(gomega.Equal(unusable))
	})
}

// Guards against losing members while the VM list is unavailable, and against an
// empty or outdated list that removes them.
func TestVMListUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		cl.withLock(func() { cl.listUnavailable = true })
		time.Sleep(time.Hour)
		cl.start(makeVM("c1"))
		time.Sleep(10 * time.Second)
		cl.g.Expect(cl.usability("a1", "b1")).To(gomega.Equal(usableForAll))
		c := cl.nodes["c1"]
		cl.g.Expect(c.View().VMsKnown).To(gomega.BeFalse())
		cl.g.Expect(c.View().Carried).To(gomega.BeEmpty(), "a daemon that knows no others must not carry everything")
		c.applyListChanges(store.VMChanges{Version: 9, Live: []fleet.VM{makeVM("a1"), makeVM("c1")}}, time.Now())
		for _, ignored := range []store.VMChanges{{Version: 10, Full: true}, {Version: 8, Removed: vmIDs("a1")}} {
			c.applyListChanges(ignored, time.Now())
			cl.g.Expect(c.View().Live).To(gomega.HaveLen(2))
			cl.g.Expect(c.View().ListVersion).To(gomega.Equal(uint64(9)))
		}
		cl.withLock(func() { cl.listUnavailable = false })
		time.Sleep(2 * pollRetryMax)
		cl.g.Expect(cl.nodes["a1"].View().ListReadAt).To(gomega.BeTemporally("~", time.Now(), 2*pollInterval))
	})
}

// Guards against new services or addresses for a leaving daemon, against failing
// callers that still hold its address, and against telling its peers only in the
// next regular round.
func TestDaemonLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1", "c1")
		time.Sleep(10 * time.Second)
		b, start := cl.nodes["b1"], time.Now()
		b.Leave()
		b.Leave()
		synctest.Wait()
		cl.g.Expect(cl.countSent("b1", "a1", start.Add(-1))).To(gomega.Equal(1))
		cl.g.Expect(cl.addresses("a1")).To(gomega.Equal(vmIDs("a1", "c1")))
		cl.g.Expect(cl.nodes["a1"].View().Carriers("s")).To(gomega.HaveLen(2))
		cl.g.Expect(b.View().Carries("s")).To(gomega.BeFalse())
		cl.g.Expect(b.View().WindingDown(time.Now())).To(gomega.Equal([]fleet.ServiceID{"s"}))
		cl.g.Expect(cl.addresses("b1")).NotTo(gomega.ContainElement(fleet.VMID("b1")))
		time.Sleep(40*time.Second - 1)
		cl.g.Expect(b.View().IsWindingDown("s", time.Now())).To(gomega.BeTrue())
		cl.g.Expect(cl.usability("a1", "b1")[0]).To(gomega.BeTrue(), "evidence counts until the end")
		time.Sleep(time.Nanosecond)
		cl.g.Expect(b.View().IsWindingDown("s", time.Now())).To(gomega.BeFalse())
		time.Sleep(2 * ReportInterval)
		start = time.Now()
		time.Sleep(2 * ReportInterval)
		cl.g.Expect(cl.countSent("b1", "a1", start)).To(gomega.BeZero())
	})
}

// Guards against a VM that stays a carrier although the platform lists it as leaving.
func TestVMListedAsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		vm := makeVM("b1")
		vm.Leaving = true
		cl.setListed(vm)
		time.Sleep(2 * pollInterval)
		cl.g.Expect(cl.addresses("a1")).To(gomega.Equal(vmIDs("a1")))
		cl.g.Expect(cl.nodes["b1"].View().Carried).To(gomega.BeEmpty())
		generation := cl.nodes["b1"].View().PlacementGeneration
		cl.setListed(makeVM("b1"))
		time.Sleep(2 * pollInterval)
		cl.g.Expect(cl.nodes["b1"].View().Carries("s")).To(gomega.BeTrue())
		cl.g.Expect(cl.nodes["b1"].View().PlacementGeneration).To(gomega.BeNumerically(">", generation))
		cl.g.Expect(cl.nodes["b1"].View().WindingDown(time.Now())).To(gomega.BeEmpty())
	})
}

// Guards against reporting leaving targets only in the next regular round, and
// against a flood of reports if a target's leaving state flaps.
func TestUrgentReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		a, start := cl.nodes["a1"], time.Now()
		a.ReportNow("s")
		synctest.Wait()
		cl.g.Expect(cl.countSent("a1", "b1", start.Add(-1))).To(gomega.Equal(1))
		start = time.Now()
		for range 1000 {
			a.ReportNow("s")
			time.Sleep(10 * time.Millisecond)
		}
		cl.g.Expect(cl.countSent("a1", "b1", start)).To(gomega.BeNumerically("<=", 10*urgentRate+urgentBurst+10+1))
	})
}

// Guards against reports that pile up for a peer that does not reply.
func TestSlowPeerSkipsReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		cl.setLinkDown("b1", "a1", true)
		a := cl.nodes["a1"]
		cl.withLock(func() { a.suspect = true })
		start := time.Now()
		time.Sleep(30 * time.Second)
		cl.g.Expect(cl.countSent("a1", "b1", start)).To(gomega.BeNumerically("<=", 20))
		cl.g.Expect(a.Counters().Skipped).To(gomega.BeNumerically(">", 5))
	})
}

// Guards against sending content that was collected before this daemon was paused,
// because the receiver would consider it new.
func TestStaleReportIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		a, sends := cl.nodes["a1"], len(cl.sentReports())
		outgoing := a.composeReports([]fleet.ServiceID{"s"}, false, time.Now())
		cl.g.Expect(outgoing).To(gomega.HaveLen(1))
		outgoing[0].composedAt = time.Now().Add(-ReportInterval - 1)
		cl.running.Add(1)
		newReporter(a.Table, &cl.running).run(cl.ctx, outgoing[0])
		cl.g.Expect(cl.sentReports()).To(gomega.HaveLen(sends))
	})
}

// Guards against a peer that reports in the name of another VM or of this one.
func TestForgedReportsAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	table := New(makeVM("a1"), fleet.NewIncarnation("a1"), Hooks{})
	other := makeVM("c1")
	_, err := table.Receive(t.Context(), "b1", &inner.ReportMsg{Run: 1, Started: 1, Sequence: 1, Self: &other})
	g.Expect(fault.Is(err, fault.MessageInvalid)).To(gomega.BeTrue())
	_, err = table.Receive(t.Context(), "a1", &inner.ReportMsg{Run: 1, Started: 1, Sequence: 1})
	g.Expect(fault.Is(err, fault.Forbidden)).To(gomega.BeTrue())
	reply, err := table.Receive(t.Context(), "b1", &inner.ReportMsg{Run: 1, Started: 1, Sequence: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.Status).To(gomega.Equal(inner.ReportFromUnknownVM))
}

// Guards against reports that exceed the size limits of a message in a fleet of few
// daemons with many services.
func TestLargeReportIsSplitIntoParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, "a1", "b1")
		var services []*fleet.Service
		for i := range 600 {
			services = append(services, makeService(fmt.Sprint("s", i)))
		}
		a, b := cl.nodes["a1"], cl.nodes["b1"]
		cl.withLock(func() { a.evidence = make([]byte, 2000) })
		a.SetServices(services)
		b.SetServices(services)
		time.Sleep(5 * time.Second)
		got := map[fleet.ServiceID]bool{}
		for _, d := range cl.deliveries("b1") {
			got[d.service] = true
		}
		cl.g.Expect(len(got)).To(gomega.BeNumerically(">=", 600))
		cl.g.Expect(b.Counters().Outdated).To(gomega.BeZero(), "parts and later reports are in sequence")
		for _, s := range cl.sentReports() {
			_, err := inner.Codec{}.Marshal(s.m)
			cl.g.Expect(err).NotTo(gomega.HaveOccurred())
		}
	})
}
