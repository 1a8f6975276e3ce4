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

// Guards against a repeated datagram that counts a result twice.
func TestEachNumberIsTakenOnce(t *testing.T) {
	g := NewWithT(t)
	var s seen
	g.Expect(s.first(10)).To(BeTrue())
	g.Expect(s.first(10)).To(BeFalse())
	g.Expect(s.first(8)).To(BeTrue())
	g.Expect(s.first(8)).To(BeFalse())
	g.Expect(s.first(200)).To(BeTrue())
	g.Expect(s.first(100)).To(BeFalse())
	g.Expect(s.first(199)).To(BeTrue())
}

// Guards against a full report that no longer fits in one packet.
func TestFullReportsFitInADatagram(t *testing.T) {
	g := NewWithT(t)
	events := Report{VM: "front-lautoka-north-12", Born: 1 << 41, Forward: true}
	var many []queued
	for i := range uint64(maxEvents) {
		many = append(many, newQueued(1<<40+1000*i, sched.Event{
			Service: "service-with-a-name", Target: sched.Key{ID: "i-0123456789", Born: 1 << 41}, InFlight: 300, Result: judge.Broken, Latency: time.Hour,
		}))
	}
	events.Results = newResults(many)
	data, err := events.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	back, err := Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back.Results).To(Equal(events.Results))

	list := Report{VM: "front-lautoka-north-12", Born: 1 << 41, List: &watch.Part{}}
	for range maxChanges {
		list.List.Changes = append(list.List.Changes, watch.Change{ID: "i-0123456789", Entry: &watch.Entry{
			Service: "service-with-a-name", Address: "10.128.100.100:12345", DataCentre: "lautoka-north", Slots: 200, Born: 1 << 41, Seq: 1 << 30, ColdLeft: 1 << 32,
		}})
	}
	_, err = list.Encode()
	g.Expect(err).NotTo(HaveOccurred())

	beliefs := Report{VM: "front-lautoka-north-12", Born: 1 << 41, Beliefs: []Beliefs{{Service: "service-with-a-name"}}}
	for range maxBeliefs {
		beliefs.Beliefs[0].Targets = append(beliefs.Beliefs[0].Targets, newBelief(sched.TargetBelief{
			ID: "i-0123456789", Born: 1 << 41, Snapshot: judge.Snapshot{Impaired: 0.123, Sick: 0.456, Age: 1 << 33, OnsetAge: 1 << 33},
		}))
	}
	_, err = beliefs.Encode()
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a process that stops at a datagram from somewhere else.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x61, 0x61})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Decode(data)
	})
}

// fleet is daemons in two data centres that all carry one service.
type fleet struct {
	members []roster.Member
	nodes   []*Node
	heard   chan string
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{heard: make(chan string, 100)}
	var conns []*net.UDPConn
	for i := range size {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
		f.members = append(f.members, roster.Member{
			VM: fmt.Sprintf("vm-%d", i), DataCentre: string(rune('a' + i%2)), Inner: conn.LocalAddr().String(), Born: 1,
		})
	}
	for i, conn := range conns {
		f.nodes = append(f.nodes, f.newNode(i, conn))
	}
	return f
}

func (f *fleet) newNode(i int, conn *net.UDPConn) *Node {
	index := NewTargetIndex(map[string][]sched.Target{"orders": {{Key: sched.Key{ID: "t1"}}}})
	sources := Sources{
		Targets: func() TargetIndex { return index },
		Group: func(string) Audience {
			return Audience{Carriers: slices.Concat(f.members[:i], f.members[i+1:])}
		},
	}
	handlers := Handlers{Event: func(peer string, _ sched.Event) { f.heard <- peer + " to " + f.members[i].VM }}
	return NewNode(f.members[i], conn, sources, handlers, log.NewNopLogger())
}

// Guards against an event that crosses between data centres once for each
// carrier: at 27 carriers that was the largest part of the paid traffic.
func TestEventCrossesBetweenDataCentresOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 8)
	gateways := map[string]bool{}
	for i := range f.nodes {
		r := f.nodes[i].recipients("orders")
		g.Expect(r.near).To(HaveLen(3))
		g.Expect(r.far).To(HaveLen(1))
		for _, members := range r.far {
			gateways[members[0].VM] = true
		}
	}
	g.Expect(len(gateways)).To(BeNumerically(">", 2), "the work of passing on is spread")
}

// Guards against carriers of another data centre that hear nothing, or hear twice.
func TestForwardedEventReachesEachCarrierOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, 8)
	for _, n := range f.nodes {
		r := &receiver{Node: n, groups: newGroups(n)}
		go r.run()
	}
	s := &sender{Node: f.nodes[0], groups: newGroups(f.nodes[0])}
	s.Tell(sched.Event{Service: "orders", Target: sched.Key{ID: "t1"}, Result: judge.Broken})
	s.flush()
	s.flush()
	got := map[string]int{}
	for range 7 {
		var one string
		g.Eventually(f.heard, 10*time.Second).Should(Receive(&one))
		got[one]++
	}
	g.Expect(got).To(HaveLen(7))
	g.Consistently(f.heard, 50*time.Millisecond).ShouldNot(Receive())
}

// Guards against a result that is taken for one of another target, because both have
// the same hash, and against losing those of all others with it.
func TestTargetsThatShareAHashAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	one := sched.Target{Key: sched.Key{ID: "t1", Born: 1}}
	again := sched.Target{Key: sched.Key{ID: "t1", Born: 2}}
	index := NewTargetIndex(map[string][]sched.Target{"orders": {one, again, one}, "stock": {one}})
	g.Expect(index).To(HaveLen(2))
	g.Expect(index[HashTarget("orders", again.Key)]).To(Equal(TargetRef{Service: "orders", Key: again.Key}))
	g.Expect(index[HashTarget("stock", one.Key)]).To(Equal(TargetRef{Service: "stock", Key: one.Key}))
	g.Expect(index).NotTo(HaveKey(HashTarget("orders", one.Key)))
}

// Guards against evidence that takes more of a small link than it has to: each
// request causes two events, which go to all carriers.
func TestEventIsSmall(t *testing.T) {
	g := NewWithT(t)
	size := func(count int) int {
		var events []queued
		for i := range uint64(count) {
			events = append(events, newQueued(1<<40+i, sched.Event{Service: "reservas", Target: sched.Key{ID: "i-0123456789", Born: 1 << 41}, InFlight: 2, Result: judge.Served, Latency: 400 * time.Millisecond}))
		}
		data, err := (&Report{VM: "front-mdp-1", Born: 1 << 41, Results: newResults(events)}).Encode()
		g.Expect(err).NotTo(HaveOccurred())
		return len(data)
	}
	g.Expect(size(11) - size(1)).To(BeNumerically("<=", 10*14))
}

// Load pattern: callers spread over all daemons. Guards against telling each of them
// every event, and against hiding failures from those with stray requests.
func TestStraysHearOnlyFailures(t *testing.T) {
	g := NewWithT(t)
	r := &recipients{near: []roster.Member{{VM: "carrier"}}, strays: []roster.Member{{VM: "stray"}}}
	g.Expect(r.within(sched.Event{Result: judge.Served})).To(HaveLen(1))
	g.Expect(r.within(sched.Event{})).To(HaveLen(1))
	g.Expect(r.within(sched.Event{Result: judge.Broken})).To(HaveLen(2))
	g.Expect(r.within(sched.Event{Result: judge.Slow})).To(HaveLen(2))
}

// Load pattern: a group of many carriers. Guards against events of every target that
// go to all of them: what one data centre uses, others hardly need to know.
func TestEventsOfALargeGroupStayWithTheirTargets(t *testing.T) {
	g := NewWithT(t)
	r := &recipients{far: map[string][]roster.Member{"b": {{VM: "b-1"}}, "c": {{VM: "c-1"}}}}
	g.Expect(r.beyond("a")).To(HaveLen(2))
	r.local = true
	g.Expect(r.beyond("a")).To(BeEmpty())
	g.Expect(r.beyond("b")).To(Equal([][]roster.Member{{{VM: "b-1"}}}))
	g.Expect(r.beyond("")).To(BeEmpty())
}
