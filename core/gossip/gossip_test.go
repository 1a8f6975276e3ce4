package gossip

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/watch"
)

// Guards against a duplicate datagram whose result is counted twice.
func TestEachSequenceNumberIsNewOnce(t *testing.T) {
	g := NewWithT(t)
	var w dedupWindow
	g.Expect(w.markNew(10)).To(BeTrue())
	g.Expect(w.markNew(10)).To(BeFalse())
	g.Expect(w.markNew(8)).To(BeTrue())
	g.Expect(w.markNew(8)).To(BeFalse())
	g.Expect(w.markNew(200)).To(BeTrue())
	g.Expect(w.markNew(100)).To(BeFalse())
	g.Expect(w.markNew(199)).To(BeTrue())
}

// Guards against a report with the largest number of items that does not fit in one
// packet.
func TestFullReportsFitInADatagram(t *testing.T) {
	g := NewWithT(t)
	events := Report{VM: "front-lautoka-north-12", StartMillis: 1 << 41, Forward: true}
	var queued []queuedEvent
	for i := range uint64(maxEvents) {
		queued = append(queued, newQueuedEvent(1<<40+1000*i, sched.Event{
			Service: "service-with-a-name", Target: sched.Key{ID: "i-0123456789", StartMillis: 1 << 41}, InFlight: 300, Result: judge.Broken, Latency: time.Hour,
		}))
	}
	events.EventBatch = newEventBatch(queued)
	data, err := events.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.EventBatch).To(Equal(events.EventBatch))

	list := Report{VM: "front-lautoka-north-12", StartMillis: 1 << 41, ListPart: &watch.Part{}}
	for range maxChanges {
		list.ListPart.Changes = append(list.ListPart.Changes, watch.Change{ID: "i-0123456789", Entry: &watch.Entry{
			Service: "service-with-a-name", Address: "10.128.100.100:12345", DataCentre: "lautoka-north", Slots: 200, StartMillis: 1 << 41, Seq: 1 << 30, WarmupLeft: 1 << 32,
		}})
	}
	_, err = list.Encode()
	g.Expect(err).NotTo(HaveOccurred())

	estimates := Report{VM: "front-lautoka-north-12", StartMillis: 1 << 41, Estimates: []ServiceEstimates{{Service: "service-with-a-name"}}}
	for range maxEstimates {
		estimates.Estimates[0].Targets = append(estimates.Estimates[0].Targets, encodeEstimate(sched.TargetEstimate{
			ID: "i-0123456789", StartMillis: 1 << 41, Snapshot: judge.Snapshot{Degraded: 0.123, Failing: 0.456, Age: 1 << 33, EpisodeAge: 1 << 33},
		}))
	}
	_, err = estimates.Encode()
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a datagram from an unknown sender that makes the process panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 0x61})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data)
	})
}

// testFleet is daemons in two data centres that all carry the same service.
type testFleet struct {
	members  []roster.Member
	nodes    []*Transport
	received chan string
}

func newTestFleet(t *testing.T, size int) *testFleet {
	f := &testFleet{received: make(chan string, 100)}
	var conns []*net.UDPConn
	for i := range size {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
		f.members = append(f.members, roster.Member{
			VM: fmt.Sprintf("vm-%d", i), DataCentre: string(rune('a' + i%2)), PeerAddress: conn.LocalAddr().String(), StartMillis: 1,
		})
	}
	for i, conn := range conns {
		f.nodes = append(f.nodes, f.newNode(i, conn))
	}
	return f
}

func (f *testFleet) newNode(i int, conn *net.UDPConn) *Transport {
	index := NewTargetIndex(map[string][]sched.Target{"orders": {{Key: sched.Key{ID: "t1"}}}})
	sources := Sources{
		Targets: func() TargetIndex { return index },
		Recipients: func(string) Recipients {
			return Recipients{Carriers: slices.Concat(f.members[:i], f.members[i+1:])}
		},
	}
	handlers := Handlers{Event: func(peer string, _ sched.Event) { f.received <- peer + " to " + f.members[i].VM }}
	return NewTransport(f.members[i], conn, sources, handlers, log.NewNopLogger())
}

// Guards against an event that is sent to another data centre once for each carrier
// there. With 27 carriers this was the largest part of the billed traffic.
func TestEventCrossesBetweenDataCentresOnce(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 8)
	gateways := map[string]bool{}
	for i := range f.nodes {
		r := f.nodes[i].newFanout("orders")
		g.Expect(r.local).To(HaveLen(3))
		g.Expect(r.remote).To(HaveLen(1))
		for _, members := range r.remote {
			gateways[members[0].VM] = true
		}
	}
	g.Expect(len(gateways)).To(BeNumerically(">", 2), "the work of passing on is spread")
}

// Guards against carriers of another data centre that do not get an event, or get it
// twice.
func TestForwardedEventReachesEachCarrierOnce(t *testing.T) {
	g := NewWithT(t)
	f := newTestFleet(t, 8)
	for _, n := range f.nodes {
		r := &receiver{Transport: n, fanouts: newFanoutCache(n)}
		go r.run()
	}
	s := &sender{Transport: f.nodes[0], fanouts: newFanoutCache(f.nodes[0])}
	s.QueueEvent(sched.Event{Service: "orders", Target: sched.Key{ID: "t1"}, Result: judge.Broken})
	s.flush()
	s.flush()
	got := map[string]int{}
	for range 7 {
		var delivery string
		g.Eventually(f.received, 10*time.Second).Should(Receive(&delivery))
		got[delivery]++
	}
	g.Expect(got).To(HaveLen(7))
	g.Consistently(f.received, 50*time.Millisecond).ShouldNot(Receive())
}

// Guards against a result that is attributed to the wrong target because two have the
// same hash, and against losing the results of all other targets as well.
func TestTargetsWithCollidingHashesAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	one := sched.Target{Key: sched.Key{ID: "t1", StartMillis: 1}}
	again := sched.Target{Key: sched.Key{ID: "t1", StartMillis: 2}}
	index := NewTargetIndex(map[string][]sched.Target{"orders": {one, again, one}, "stock": {one}})
	g.Expect(index).To(HaveLen(2))
	g.Expect(index[HashTarget("orders", again.Key)]).To(Equal(TargetRef{Service: "orders", Key: again.Key}))
	g.Expect(index[HashTarget("stock", one.Key)]).To(Equal(TargetRef{Service: "stock", Key: one.Key}))
	g.Expect(index).NotTo(HaveKey(HashTarget("orders", one.Key)))
}

// Each request causes two events, which are sent to all carriers. Guards against an
// encoding that uses more of a small network link than necessary.
func TestEncodedEventIsSmall(t *testing.T) {
	g := NewWithT(t)
	size := func(count int) int {
		var events []queuedEvent
		for i := range uint64(count) {
			events = append(events, newQueuedEvent(1<<40+i, sched.Event{Service: "reservas", Target: sched.Key{ID: "i-0123456789", StartMillis: 1 << 41}, InFlight: 2, Result: judge.Served, Latency: 400 * time.Millisecond}))
		}
		data, err := (&Report{VM: "front-mdp-1", StartMillis: 1 << 41, EventBatch: newEventBatch(events)}).Encode()
		g.Expect(err).NotTo(HaveOccurred())
		return len(data)
	}
	g.Expect(size(11) - size(1)).To(BeNumerically("<=", 10*14))
}

// Callers are spread over all daemons. Guards against sending each of these every
// event, and against hiding failures from daemons that handle a few requests for a
// service that they do not carry.
func TestFailuresOnlyRecipientsGetNoOtherEvents(t *testing.T) {
	g := NewWithT(t)
	f := &fanout{local: []roster.Member{{VM: "carrier"}}, failuresOnly: []roster.Member{{VM: "stray"}}}
	g.Expect(f.localRecipients(sched.Event{Result: judge.Served})).To(HaveLen(1))
	g.Expect(f.localRecipients(sched.Event{})).To(HaveLen(1))
	g.Expect(f.localRecipients(sched.Event{Result: judge.Broken})).To(HaveLen(2))
	g.Expect(f.localRecipients(sched.Event{Result: judge.Slow})).To(HaveLen(2))
}

// A group has many carriers. Guards against sending the events of every target to all
// of them: other data centres hardly need the results of targets that one data centre
// uses.
func TestEventsOfLargeGroupStayInTargetDataCentre(t *testing.T) {
	g := NewWithT(t)
	f := &fanout{remote: map[string][]roster.Member{"b": {{VM: "b-1"}}, "c": {{VM: "c-1"}}}}
	g.Expect(f.remoteRecipients("a")).To(HaveLen(2))
	f.ownTargetsOnly = true
	g.Expect(f.remoteRecipients("a")).To(BeEmpty())
	g.Expect(f.remoteRecipients("b")).To(Equal([][]roster.Member{{{VM: "b-1"}}}))
	g.Expect(f.remoteRecipients("")).To(BeEmpty())
}
