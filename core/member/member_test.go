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
		w := newCluster(t, "a1", "b1", "c1")
		a := w.nodes["a1"]
		w.do(func() { a.evidence = []byte("rows") })
		time.Sleep(5 * time.Second)
		for _, at := range ids("a1", "b1", "c1") {
			v := w.nodes[at].View()
			w.g.Expect(v.Carried).To(gomega.Equal([]fleet.ServiceID{"s"}))
			w.g.Expect(v.Peers).To(gomega.HaveLen(2))
			w.g.Expect(w.addresses(at)).To(gomega.Equal(ids("a1", "b1", "c1")))
			w.g.Expect(w.peer(at, v.Peers[0].VM.ID).Revision).To(gomega.Equal(uint64(7)))
			for _, p := range v.Peers {
				w.g.Expect(w.conclusions(at, p.VM.ID)).To(gomega.Equal(all))
			}
			w.g.Expect(v.Prober("s", "t", time.Now())).To(gomega.Equal(w.nodes["a1"].View().Prober("s", "t", time.Now())))
		}
		want := delivery{"s", Sender{a.incarnation, "dc-a"}, inner.ServiceReport{Service: "s", Evidence: []byte("rows")}}
		w.g.Expect(w.deliveries("b1")).To(gomega.ContainElement(want))
		// One report per peer in each interval, and each second while the service is suspect.
		start := time.Now()
		time.Sleep(40 * time.Second)
		w.g.Expect(w.sent("a1", "b1", start)).To(gomega.BeNumerically("~", 40*time.Second/Interval, 2))
		w.do(func() { a.suspect = true })
		start = time.Now()
		time.Sleep(40 * time.Second)
		w.g.Expect(w.sent("a1", "b1", start)).To(gomega.BeNumerically("~", 40, 4))
		w.g.Expect(w.sent("b1", "a1", start)).To(gomega.BeNumerically("~", 40*time.Second/Interval, 2))
		sends := w.reports()
		last := sends[len(sends)-1].m
		w.g.Expect(last.Self).To(gomega.BeNil(), "a confirmed peer need not be told the address")
		w.g.Expect(last.Heard).To(gomega.HaveLen(2))
	})
}

// Guards against a partition in one direction that makes both sides rely on
// each other, or that loses evidence which still arrives.
func TestOneWayPartition(t *testing.T) {
	for _, cut := range [][2]fleet.VMID{{"a1", "b1"}, {"b1", "a1"}} {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(t, "a1", "b1", "c1")
			time.Sleep(10 * time.Second)
			unheard, receiver := cut[0], cut[1]
			w.setCut(unheard, receiver, true)
			// 3 intervals until the unheard side is unheard, one more until it is told.
			time.Sleep(UnheardAfter + Interval + Interval/4)
			w.g.Expect(w.conclusions(receiver, unheard)).To(gomega.Equal(none))
			w.g.Expect(w.conclusions(unheard, receiver)).To(gomega.Equal(evidenceOnly))
			w.g.Expect(w.conclusions("c1", unheard)).To(gomega.Equal(all))
			w.g.Expect(w.addresses(unheard)).NotTo(gomega.ContainElement(receiver))
			w.g.Expect(w.addresses(receiver)).NotTo(gomega.ContainElement(unheard))
			w.g.Expect(w.nodes[receiver].View().Carriers("s")).To(gomega.HaveLen(3), "placement stays the same everywhere")
			w.setCut(unheard, receiver, false)
			time.Sleep(3 * Interval)
			w.g.Expect(w.conclusions(receiver, unheard)).To(gomega.Equal(all))
			w.g.Expect(w.conclusions(unheard, receiver)).To(gomega.Equal(all))
		})
	}
}

// Guards against relying on a peer whose own reports get lost while its replies
// to ours arrive: it hears us, but its silence counts after 3 intervals.
func TestReplyConfirmsThatPeerHears(t *testing.T) {
	g := gomega.NewWithT(t)
	table := New(makeVM("a1"), fleet.NewIncarnation("a1"), Hooks{}, WithSeeds([]fleet.VM{makeVM("a1"), makeVM("b1")}))
	table.SetServices([]*fleet.Service{makeService("s")})
	table.replied("b1", &inner.ReportReplyMsg{Run: 5}, time.Now())
	p, _ := table.View().Peer("b1")
	later := time.Now().Add(UnheardAfter / 2)
	g.Expect(p.HearsUs(later)).To(gomega.BeTrue())
	g.Expect(p.IsUsableAsProber(later)).To(gomega.BeFalse())
	g.Expect(p.IsUsableForAddresses(later)).To(gomega.BeTrue(), "the peer is new")
	g.Expect(p.IsUsableForAddresses(later.Add(UnheardAfter))).To(gomega.BeFalse())
}

// Guards against a dead peer that keeps its share of work in flight and its address.
func TestDeadPeerDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1", "c1")
		time.Sleep(10 * time.Second)
		w.kill("b1")
		p := w.peer("a1", "b1")
		w.g.Expect(p.IsHeard(p.HeardAt.Add(UnheardAfter - 1))).To(gomega.BeTrue())
		w.g.Expect(p.IsHeard(p.HeardAt.Add(UnheardAfter))).To(gomega.BeFalse())
		for silence, share := range map[time.Duration]float64{0: 1, UnheardAfter: 1, UnheardAfter * 3 / 2: 0.5, UnheardAfter * 2: 0, time.Hour: 0} {
			w.g.Expect(p.InFlightShare(p.HeardAt.Add(silence))).To(gomega.BeNumerically("~", share, 1e-9))
		}
		time.Sleep(UnheardAfter)
		w.g.Expect(w.addresses("a1")).To(gomega.Equal(ids("a1", "c1")))
		w.g.Expect(w.nodes["a1"].Dump(p.HeardAt.Add(UnheardAfter * 3 / 2)).Peers[0]).To(gomega.Equal(PeerDump{
			ID: "b1", Incarnation: p.Incarnation, Listed: true, Ready: true, Silence: "13.5s", Revision: 7, InFlightShare: 0.5,
		}))
		w.unlist("b1")
		time.Sleep(2 * pollInterval)
		w.g.Expect(w.nodes["a1"].View().Carriers("s")).To(gomega.HaveLen(2))
	})
}

// Guards against a daemon that wakes from a pause and takes all others for dead,
// or that sends what it collected before the pause.
func TestPausedDaemonWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1", "c1")
		time.Sleep(10 * time.Second)
		// The sender blocks while it collects, and nothing reaches the daemon.
		a := w.nodes["a1"]
		w.do(func() { a.block = 30 * time.Second })
		w.isolate("a1", true)
		time.Sleep(20 * time.Second)
		w.g.Expect(w.addresses("b1")).To(gomega.Equal(ids("b1", "c1")))
		w.do(func() { a.block = 0 })
		w.isolate("a1", false)
		time.Sleep(14 * time.Second)
		w.g.Expect(w.addresses("a1")).To(gomega.Equal(ids("a1", "b1", "c1")))
		w.g.Expect(w.conclusions("b1", "a1")).To(gomega.Equal(all))
	})
}

// Guards against a missing grace after the own pause.
func TestOwnPauseGivesGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		w.kill("b1")
		time.Sleep(time.Minute)
		a := w.nodes["a1"]
		w.g.Expect(w.conclusions("a1", "b1")).To(gomega.Equal(none))
		w.do(func() { a.block = 10 * time.Second })
		time.Sleep(5 * time.Second)
		w.do(func() { a.block = 0 })
		time.Sleep(5*time.Second + Interval + 2*SuspectInterval)
		w.g.Expect(w.conclusions("a1", "b1")).To(gomega.Equal([3]bool{false, false, true}))
		time.Sleep(UnheardAfter)
		w.g.Expect(w.conclusions("a1", "b1")).To(gomega.Equal(none))
	})
}

// Guards against a late report of a paused daemon that was replaced under the
// same VM id, and against reports that overtake each other.
func TestReplacedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		a, old := w.nodes["a1"], w.nodes["b1"]
		w.kill("b1")
		synctest.Wait()
		time.Sleep(3 * time.Second)
		moved := makeVM("b1")
		moved.Inner = "b1-moved:81"
		replaced := w.start(moved)
		time.Sleep(3 * time.Second)
		p := w.peer("a1", "b1")
		w.g.Expect(p.Incarnation).To(gomega.Equal(replaced.incarnation))
		w.g.Expect(p.VM.Inner).To(gomega.Equal("b1-moved:81"), "the list lags behind the VM")
		late := &inner.ReportMsg{Run: old.incarnation.Run(), Started: old.started, Sequence: 1000, Leaving: true}
		before := a.Counters().Outdated
		reply, err := a.Receive(w.ctx, "b1", late)
		w.g.Expect(err).NotTo(gomega.HaveOccurred())
		w.g.Expect(reply.Standing).To(gomega.Equal(inner.Outdated))
		w.g.Expect(w.peer("a1", "b1").Incarnation).To(gomega.Equal(replaced.incarnation))
		w.g.Expect(w.conclusions("a1", "b1")).To(gomega.Equal(all))
		overtaken := &inner.ReportMsg{Run: replaced.incarnation.Run(), Started: replaced.started, Sequence: 1, Leaving: true}
		_, err = a.Receive(w.ctx, "b1", overtaken)
		w.g.Expect(err).NotTo(gomega.HaveOccurred())
		w.g.Expect(w.conclusions("a1", "b1")).To(gomega.Equal(all))
		w.g.Expect(a.Counters().Outdated).To(gomega.Equal(before + 2))
		old.replied("a1", reply, time.Now())
		w.g.Expect(old.View().Superseded).To(gomega.BeTrue())
	})
}

// Guards against a replaced VM with a clock behind its predecessor's that is
// never accepted.
func TestReplacedVMWithSlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		old := w.nodes["b1"]
		w.kill("b1")
		time.Sleep(UnheardAfter)
		slow := &inner.ReportMsg{Run: 5, Started: old.started - 60_000, Sequence: 1, Ready: true}
		reply, err := w.nodes["a1"].Receive(w.ctx, "b1", slow)
		w.g.Expect(err).NotTo(gomega.HaveOccurred())
		w.g.Expect(reply.Standing).To(gomega.Equal(inner.Accepted))
	})
}

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		// A VM that is heard before it is listed carries and is an address.
		w.start(makeVM("c1"))
		time.Sleep(5 * time.Second)
		p := w.peer("a1", "c1")
		w.g.Expect(p.Listed).To(gomega.BeFalse())
		w.g.Expect(w.conclusions("a1", "c1")).To(gomega.Equal(all))
		w.g.Expect(w.addresses("a1")).To(gomega.Equal(ids("a1", "b1", "c1")))
		w.g.Expect(w.nodes["a1"].View().Live).To(gomega.HaveLen(3))
		// It is no longer live when it is silent, and live again when it is back.
		w.isolate("c1", true)
		time.Sleep(UnheardAfter + 2*SuspectInterval)
		w.g.Expect(w.nodes["a1"].View().Live).To(gomega.HaveLen(2))
		w.isolate("c1", false)
		time.Sleep(2 * Interval)
		w.g.Expect(w.addresses("a1")).To(gomega.Equal(ids("a1", "b1", "c1")))
		w.setListed(makeVM("c1"))
		time.Sleep(2 * pollInterval)
		w.g.Expect(w.peer("a1", "c1").Listed).To(gomega.BeTrue())
		// A VM that is gone from the list but still heard carries no more, and its evidence counts.
		w.unlist("b1")
		time.Sleep(2 * pollInterval)
		w.g.Expect(w.conclusions("a1", "b1")[0]).To(gomega.BeTrue())
		w.g.Expect(w.conclusions("b1", "a1")).To(gomega.Equal(all), "it still gets reports, because it sends them")
		w.g.Expect(w.addresses("a1")).To(gomega.Equal(ids("a1", "c1")))
		w.g.Expect(w.nodes["a1"].View().Live).To(gomega.HaveLen(3))
		w.kill("b1")
		time.Sleep(UnheardAfter + 2*SuspectInterval)
		w.g.Expect(w.nodes["a1"].View().Live).To(gomega.HaveLen(2))
		// A new VM under the id of a dropped one carries although the list lacks it.
		w.start(makeVM("b1"))
		time.Sleep(5 * time.Second)
		w.g.Expect(w.addresses("a1")).To(gomega.Equal(ids("a1", "b1", "c1")))
		w.kill("b1")
		time.Sleep(UnheardAfter + 2*SuspectInterval)
		// A listed VM that was never heard is a carrier but no address once its grace is over.
		w.setListed(makeVM("d1"))
		time.Sleep(2*pollInterval + UnheardAfter)
		w.g.Expect(w.nodes["a1"].View().Carriers("s")).To(gomega.HaveLen(3))
		w.g.Expect(w.addresses("a1")).To(gomega.Equal(ids("a1", "c1")))
		w.g.Expect(w.conclusions("a1", "d1")).To(gomega.Equal(none))
	})
}

// Guards against a fleet that forgets its members while the VM list is away,
// and against an empty or older list that removes them.
func TestVMListAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		w.do(func() { w.away = true })
		time.Sleep(time.Hour)
		w.start(makeVM("c1"))
		time.Sleep(10 * time.Second)
		w.g.Expect(w.conclusions("a1", "b1")).To(gomega.Equal(all))
		c := w.nodes["c1"]
		w.g.Expect(c.View().Known).To(gomega.BeFalse())
		w.g.Expect(c.View().Carried).To(gomega.BeEmpty(), "a daemon that knows no others must not carry everything")
		c.apply(store.VMChanges{Version: 9, Live: []fleet.VM{makeVM("a1"), makeVM("c1")}}, time.Now())
		for _, ignored := range []store.VMChanges{{Version: 10, Full: true}, {Version: 8, Gone: ids("a1")}} {
			c.apply(ignored, time.Now())
			w.g.Expect(c.View().Live).To(gomega.HaveLen(2))
			w.g.Expect(c.View().ListVersion).To(gomega.Equal(uint64(9)))
		}
		w.do(func() { w.away = false })
		time.Sleep(2 * pollRetryMax)
		w.g.Expect(w.nodes["a1"].View().ListReadAt).To(gomega.BeTemporally("~", time.Now(), 2*pollInterval))
	})
}

// Guards against work for a leaving daemon, against the loss of callers that
// still hold its address, and against leaving reports that wait for a round.
func TestDaemonLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1", "c1")
		time.Sleep(10 * time.Second)
		b, start := w.nodes["b1"], time.Now()
		b.Leave()
		b.Leave()
		synctest.Wait()
		w.g.Expect(w.sent("b1", "a1", start.Add(-1))).To(gomega.Equal(1))
		w.g.Expect(w.addresses("a1")).To(gomega.Equal(ids("a1", "c1")))
		w.g.Expect(w.nodes["a1"].View().Carriers("s")).To(gomega.HaveLen(2))
		w.g.Expect(b.View().Carries("s")).To(gomega.BeFalse())
		w.g.Expect(b.View().WindingDown(time.Now())).To(gomega.Equal([]fleet.ServiceID{"s"}))
		w.g.Expect(w.addresses("b1")).NotTo(gomega.ContainElement(fleet.VMID("b1")))
		time.Sleep(40*time.Second - 1)
		w.g.Expect(b.View().WindsDown("s", time.Now())).To(gomega.BeTrue())
		w.g.Expect(w.conclusions("a1", "b1")[0]).To(gomega.BeTrue(), "evidence counts until the end")
		time.Sleep(time.Nanosecond)
		w.g.Expect(b.View().WindsDown("s", time.Now())).To(gomega.BeFalse())
		time.Sleep(2 * Interval)
		start = time.Now()
		time.Sleep(2 * Interval)
		w.g.Expect(w.sent("b1", "a1", start)).To(gomega.BeZero())
	})
}

// Guards against a VM that the platform takes away but that stays a carrier.
func TestVMListedAsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		vm := makeVM("b1")
		vm.Leaving = true
		w.setListed(vm)
		time.Sleep(2 * pollInterval)
		w.g.Expect(w.addresses("a1")).To(gomega.Equal(ids("a1")))
		w.g.Expect(w.nodes["b1"].View().Carried).To(gomega.BeEmpty())
		generation := w.nodes["b1"].View().Generation
		w.setListed(makeVM("b1"))
		time.Sleep(2 * pollInterval)
		w.g.Expect(w.nodes["b1"].View().Carries("s")).To(gomega.BeTrue())
		w.g.Expect(w.nodes["b1"].View().Generation).To(gomega.BeNumerically(">", generation))
		w.g.Expect(w.nodes["b1"].View().WindingDown(time.Now())).To(gomega.BeEmpty())
	})
}

// Guards against leaving targets that wait for a round, and against a flood of
// reports if their sign flaps.
func TestUrgentReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		a, start := w.nodes["a1"], time.Now()
		a.ReportNow("s")
		synctest.Wait()
		w.g.Expect(w.sent("a1", "b1", start.Add(-1))).To(gomega.Equal(1))
		start = time.Now()
		for range 1000 {
			a.ReportNow("s")
			time.Sleep(10 * time.Millisecond)
		}
		w.g.Expect(w.sent("a1", "b1", start)).To(gomega.BeNumerically("<=", 10*urgentRate+urgentBurst+10+1))
	})
}

// Guards against reports that pile up on a peer that does not answer.
func TestSlowPeerSkipsReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		w.setCut("b1", "a1", true)
		a := w.nodes["a1"]
		w.do(func() { a.suspect = true })
		start := time.Now()
		time.Sleep(30 * time.Second)
		w.g.Expect(w.sent("a1", "b1", start)).To(gomega.BeNumerically("<=", 20))
		w.g.Expect(a.Counters().Skipped).To(gomega.BeNumerically(">", 5))
	})
}

// Guards against content from before a pause of this daemon that counts as new.
func TestStaleReportIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		time.Sleep(10 * time.Second)
		a, sends := w.nodes["a1"], len(w.reports())
		outgoing := a.outgoing([]fleet.ServiceID{"s"}, false, time.Now())
		w.g.Expect(outgoing).To(gomega.HaveLen(1))
		outgoing[0].composed = time.Now().Add(-Interval - 1)
		w.running.Add(1)
		newSender(a.Table, &w.running).run(w.ctx, outgoing[0])
		w.g.Expect(w.reports()).To(gomega.HaveLen(sends))
	})
}

// Guards against a peer that speaks for another VM or for this one.
func TestForgedReportsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	table := New(makeVM("a1"), fleet.NewIncarnation("a1"), Hooks{})
	other := makeVM("c1")
	_, err := table.Receive(t.Context(), "b1", &inner.ReportMsg{Run: 1, Started: 1, Sequence: 1, Self: &other})
	g.Expect(fault.Is(err, fault.MessageInvalid)).To(gomega.BeTrue())
	_, err = table.Receive(t.Context(), "a1", &inner.ReportMsg{Run: 1, Started: 1, Sequence: 1})
	g.Expect(fault.Is(err, fault.Forbidden)).To(gomega.BeTrue())
	reply, err := table.Receive(t.Context(), "b1", &inner.ReportMsg{Run: 1, Started: 1, Sequence: 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.Standing).To(gomega.Equal(inner.Unlisted))
}

// Guards against reports that exceed the bounds of a message in a fleet of few
// daemons with many services.
func TestManyServicesTakeSeveralParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, "a1", "b1")
		var services []*fleet.Service
		for i := range 600 {
			services = append(services, makeService(fmt.Sprint("s", i)))
		}
		a, b := w.nodes["a1"], w.nodes["b1"]
		w.do(func() { a.evidence = make([]byte, 2000) })
		a.SetServices(services)
		b.SetServices(services)
		time.Sleep(5 * time.Second)
		got := map[fleet.ServiceID]bool{}
		for _, d := range w.deliveries("b1") {
			got[d.service] = true
		}
		w.g.Expect(len(got)).To(gomega.BeNumerically(">=", 600))
		w.g.Expect(b.Counters().Outdated).To(gomega.BeZero(), "parts and later reports are in sequence")
		for _, s := range w.reports() {
			_, err := inner.Codec{}.Marshal(s.m)
			w.g.Expect(err).NotTo(gomega.HaveOccurred())
		}
	})
}
