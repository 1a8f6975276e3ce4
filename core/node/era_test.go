package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

// The eras before and after the store came back from a copy.
var (
	oldEra = watch.NewEra(1)
	newEra = watch.NewEra(2)
)

// eraStore is a store with the target list of one version of one era.
type eraStore struct {
	// notice is called with the era of each answer, as the client of the store does.
	notice func(e watch.Era, err error)

	mu   sync.Mutex
	list watch.Delta
	// calls is the number of all calls, wholeReads that of those for the whole list.
	calls, wholeReads int
}

// set replaces the list.
func (s *eraStore) set(d watch.Delta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = d
}

// counts returns the numbers of all calls and of those for the whole list.
func (s *eraStore) counts() (calls, wholeReads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.wholeReads
}

func (s *eraStore) readWhole(context.Context) (watch.Delta, []error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.wholeReads++
	s.notice(s.list.Era, nil)
	return s.list, nil, nil
}

func (s *eraStore) readChanges(_ context.Context, since int64) (watch.Delta, []error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.notice(s.list.Era, nil)
	if since > s.list.Version {
		return watch.Delta{}, nil, fault.New(fault.HistoryGone, "store does not have version %d", since)
	}
	d := watch.Delta{Era: s.list.Era, Since: since, Version: s.list.Version}
	for _, c := range s.list.Changes {
		if c.Version > since {
			d.Changes = append(d.Changes, c)
		}
	}
	return d, nil, nil
}

// eraList returns a list of the era with the targets t0 to t9, without those that left.
func eraList(e watch.Era, version int64, left ...string) watch.Delta {
	d := watch.Delta{Era: e, Version: version}
	for _, c := range testTargetList(0).Changes[:10] {
		if len(left) == 0 || c.ID != left[0] {
			d.Changes = append(d.Changes, c)
		}
	}
	return d
}

// newEraNode returns a daemon with a list of the old era at version 100, and its store.
func newEraNode(t *testing.T, share float64) (*Node, *eraStore) {
	n := newTestNode(NewWithT(t), share, &configWriter{start: time.Now()})
	t.Cleanup(func() { _ = n.gossipConn.Close() })
	s := &eraStore{notice: n.handleStoreEra, list: eraList(oldEra, 100)}
	n.platform.ReadTargets, n.platform.ReadTargetChanges = s.readWhole, s.readChanges
	n.noticeEra(fromStore, oldEra)
	n.applyList(fromStore, s.list)
	n.refresh()
	return n, s
}

// listEra returns the era of the target list.
func (n *Node) listEra() watch.Era {
	position, _ := n.targetList.Position()
	return position.Era
}

// orderTargets returns the targets in use of the service "orders".
func (n *Node) orderTargets() []string {
	var ids []string
	for _, t := range n.targetList.Targets()["orders"] {
		ids = append(ids, t.ID)
	}
	return ids
}

// followList runs the follower of the target list for the duration, with others that precede
// it as readers if there are any, and calls during at its start.
func (n *Node) followList(t *testing.T, d time.Duration, ahead []string, during func()) {
	ctx, cancel := context.WithCancel(t.Context())
	n.hearPeers(ahead...)
	f := &targetListFollower{Node: n}
	go f.loop(ctx)
	during()
	n.hearFor(d, ahead)
	cancel()
	synctest.Wait()
}

// othersAhead are the daemons that precede one as readers of the store.
var othersAhead = []string{"vm-1", "vm-2", "vm-3", "vm-4"}

// Guards against a daemon that uses a list of the old era, or one whose era it does not know,
// although the store has begun a new one, whether its versions are lower or have passed that
// of the list.
func TestNewEraIsReadWhole(t *testing.T) {
	cases := map[string]struct {
		known   watch.Era
		version int64
	}{
		"lower versions":            {oldEra, 50},
		"versions that have passed": {oldEra, 150},
		"list without era":          {0, 150},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n, s := newEraNode(t, highShare)
				n.targetList = watch.NewList()
				n.applyList(fromSnapshot, eraList(c.known, 100))
				n.followList(t, 2*time.Second, nil, func() { s.set(eraList(newEra, c.version, "t0")) })
				g.Expect(n.listEra()).To(Equal(newEra))
				_, whole := s.counts()
				g.Expect(whole).To(Equal(1))
			})
		})
	}
}

// Guards against a daemon that learns of the new era between two reads and reads the list late,
// or asks for its changes first, which the store cannot tell.
func TestNoticedEraIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n, s := newEraNode(t, highShare)
		s.set(eraList(newEra, 50))
		n.followList(t, 100*time.Millisecond, nil, func() {
			time.Sleep(10 * time.Millisecond)
			n.noticeEra("vm-1", newEra)
		})
		calls, whole := s.counts()
		g.Expect([]int{calls, whole}).To(Equal([]int{1, 1}))
	})
}

// Guards against a read of the whole list by each daemon of a data centre, of which the first
// one sends it, and against daemons that do not read it if it does not arrive.
func TestFirstListOfPeerSavesReads(t *testing.T) {
	for name, arrives := range map[string]bool{"list arrives": true, "list is lost": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n, s := newEraNode(t, lowShare)
				s.set(eraList(newEra, 50))
				n.followList(t, time.Second, othersAhead, func() {
					n.noticeEra("vm-1", newEra)
					if arrives {
						n.handleSnapshot("vm-1", eraList(newEra, 50))
					}
				})
				g.Expect(n.listEra()).To(Equal(newEra))
				_, whole := s.counts()
				g.Expect(whole == 0).To(Equal(arrives))
			})
		})
	}
}

// Guards against a store without a usable era, or one whose answers contradict each other,
// that is read without pause because no list from it can be used.
func TestListsThatCannotBeUsedAreReadAtPace(t *testing.T) {
	const (
		duration = 10 * time.Second
		maxReads = 60
	)
	cases := map[string]watch.Delta{
		"no era":                eraList(0, 50),
		"no era, later version": eraList(0, 150),
		"earlier era":           eraList(oldEra, 50),
	}
	for name, list := range cases {
		for _, later := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					n, s := newEraNode(t, highShare)
					n.followList(t, duration, nil, func() {
						s.set(list)
						if later {
							n.noticeEra("vm-1", newEra)
						}
					})
					calls, _ := s.counts()
					g.Expect(calls).To(BeNumerically("<=", maxReads))
					g.Expect(calls).To(BeNumerically(">", 5))
				})
			})
		}
	}
}

// Guards against a daemon that has noticed the new era and one that has not undoing each
// other's lists, in both orders in which their messages arrive.
func TestMessagesOfTwoErasDoNotUndoEachOther(t *testing.T) {
	late := func(n *Node) {
		n.handleListPart("vm-1", watch.Part{Delta: watch.Delta{Era: oldEra, Since: 100, Version: 101, Changes: []watch.Change{{ID: "t1"}}}, Count: 1})
		n.handleSnapshot("vm-1", eraList(oldEra, 102))
	}
	early := func(n *Node) { n.handleSnapshot("vm-2", eraList(newEra, 50, "t0")) }
	for name, inTurn := range map[string][]func(n *Node){"late first": {late, early}, "early first": {early, late}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n, _ := newEraNode(t, lowShare)
			for _, deliver := range inTurn {
				deliver(n)
			}
			g.Expect(n.listEra()).To(Equal(newEra))
			leaving := *testTargetList(0).Changes[2].Entry
			leaving.Draining = true
			n.handleListPart("vm-2", watch.Part{Delta: watch.Delta{Era: newEra, Since: 50, Version: 51, Changes: []watch.Change{{ID: "t2", Entry: &leaving}}}, Count: 1})
			g.Expect(n.orderTargets()).To(And(Not(ContainElement("t2")), ContainElement("t3")))
			position, _ := n.targetList.Position()
			g.Expect(position).To(Equal(watch.Position{Era: newEra, Version: 51}))
		})
	}
}

// receiveSnapshot returns the whole list that the daemon sends to its peer.
func (p *listPeer) receiveSnapshot(g *WithT) {
	g.Expect(p.conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	buffer := make([]byte, 2048)
	size, _, err := p.conn.ReadFrom(buffer)
	g.Expect(err).NotTo(HaveOccurred())
	report, err := gossip.Decode(buffer[:size])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.SnapshotFragment).NotTo(BeNil())
	g.Expect(report.SnapshotFragment.Version).To(Equal(int64(50)))
}

// Guards against peers that miss changes in a new era: the daemon that reads its list first
// must send it, and then changes from there on, not from a version of the old era.
func TestFirstListOfEraIsSentBeforeItsChanges(t *testing.T) {
	g := NewWithT(t)
	n, peer := newListSender(t, g)
	s := &eraStore{notice: n.handleStoreEra, list: eraList(oldEra, 100)}
	n.platform.ReadTargets, n.platform.ReadTargetChanges = s.readWhole, s.readChanges
	n.applyList(fromStore, s.list)
	f := &targetListFollower{Node: n}
	s.set(eraList(newEra, 50))
	for range 2 { // The first read tells of the era.
		position, _ := n.targetList.Position()
		f.read(t.Context(), position)
	}
	g.Expect(n.listEra()).To(Equal(newEra))
	peer.receiveSnapshot(g)
	leave := eraList(newEra, 52)
	leave.Changes = []watch.Change{{ID: "t0", Version: 52}}
	s.set(leave)
	position, _ := n.targetList.Position()
	f.read(t.Context(), position)
	part := peer.receive(g)
	g.Expect(part.Era).To(Equal(newEra))
	g.Expect(part.Since).To(Equal(int64(50)))
	g.Expect(part.Changes).To(ConsistOf(HaveField("ID", "t0")))
}

// Guards against a data centre of which one daemon has got the first list from another one and
// keeps it for itself.
func TestFirstListFromOtherDataCentreIsSentOn(t *testing.T) {
	g := NewWithT(t)
	n, peer := newListSender(t, g)
	n.roster.Add(roster.Member{VM: "vm-remote", DataCentre: "b", PeerAddress: "127.0.0.1:1", StartMillis: 1})
	n.handleSnapshot("vm-remote", eraList(newEra, 50))
	peer.receiveSnapshot(g)
}

// Guards against a whole list that replaces a loaded one although it is of no later era: the
// peer may have sent it to all daemons that have just started.
func TestWholeListOfNoLaterEraIsIgnored(t *testing.T) {
	for name, e := range map[string]watch.Era{"same era": oldEra, "no era": 0} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n, _ := newEraNode(t, lowShare)
			n.handleSnapshot("vm-1", eraList(e, 200))
			position, _ := n.targetList.Position()
			g.Expect(position).To(Equal(watch.Position{Era: oldEra, Version: 100}))
		})
	}
}

// Guards against a data centre in which nobody sends the list of the new era, because the
// daemon that usually does so has not noticed it and still sends that of the old one.
func TestListOfOldEraDoesNotKeepOthersFromSending(t *testing.T) {
	g := NewWithT(t)
	n, _ := newEraNode(t, lowShare)
	n.hearPeers(othersAhead...)
	n.handleListPart("vm-1", watch.Part{Delta: watch.Delta{Era: oldEra, Since: 100, Version: 100}, Count: 1})
	g.Expect(n.sendsList(time.Now())).To(BeFalse())
	n.applyList(fromStore, eraList(newEra, 50))
	g.Expect(n.sendsList(time.Now())).To(BeTrue())
	n.handleListPart("vm-1", watch.Part{Delta: watch.Delta{Era: newEra, Since: 50, Version: 50}, Count: 1})
	g.Expect(n.sendsList(time.Now())).To(BeFalse())
	n.recordSentList(watch.Position{Era: oldEra, Version: 100})
	g.Expect(*n.sentList.Load()).To(Equal(watch.Position{Era: newEra, Version: 50}))
}

// Guards against a data centre that keeps the list of the old era for as long as the store
// refuses its daemons: one of another data centre has to send the whole list.
func TestNewEraReachesDataCentreThatStoreRefuses(t *testing.T) {
	g := NewWithT(t)
	nodes := newRefusedDataCentre(t, &silentPolls{version: 1})
	for _, n := range nodes {
		n.applyList(fromStore, eraList(oldEra, 100))
	}
	s := &eraStore{notice: nodes[0].handleStoreEra, list: eraList(newEra, 50, "t0")}
	nodes[0].platform.ReadTargets, nodes[0].platform.ReadTargetChanges = s.readWhole, s.readChanges
	f := &targetListFollower{Node: nodes[0]}
	go f.loop(t.Context())
	for _, n := range nodes[1:] {
		m := &maintenance{n}
		go m.loop(t.Context())
	}
	for _, n := range nodes[1:] {
		g.Eventually(n.listEra).WithTimeout(10 * time.Second).Should(Equal(newEra))
		g.Eventually(n.orderTargets).WithTimeout(10*time.Second).ShouldNot(ContainElement("t0"), "at the end of the grace period")
		g.Expect(n.orderTargets()).To(HaveLen(9))
	}
}

// Guards against daemons with an earlier version of the software that get no answer, or the whole
// list, which they ignore: their requests for changes name no era.
func TestRequestWithoutEraGetsChanges(t *testing.T) {
	g := NewWithT(t)
	n, peer := newListSender(t, g)
	n.applyList(fromStore, eraList(newEra, 200))
	n.applyList(fromStore, watch.Delta{Era: newEra, Since: 200, Version: 201, Changes: []watch.Change{{ID: "t0"}}})
	local := n.roster.LocalPeers()[0]
	n.handleListRequest(local, watch.Position{Version: 200})
	g.Expect(peer.receive(g).Version).To(Equal(int64(201)))
}
