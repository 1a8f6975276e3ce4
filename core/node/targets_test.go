package node

import (
	"context"
	"net"
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

// listUpdate applies one change of the target list in a goroutine.
type listUpdate struct {
	node  *Node
	delta watch.Delta
	done  *sync.WaitGroup
}

func (u *listUpdate) run() {
	defer u.done.Done()
	u.node.applyList(fromStore, u.delta)
}

// Guards against using a target that has left: several goroutines change the list,
// and one that is overtaken must not restore its older targets.
func TestConcurrentUpdatesKeepNewestTargets(t *testing.T) {
	g := NewWithT(t)
	const rounds = 3000
	n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
	defer n.gossipConn.Close()
	full := testTargetList(0)
	full.Changes = full.Changes[:2]
	full.Version = 1
	n.applyList(fromStore, full)
	version := int64(1)
	for range rounds {
		version++
		leave := &listUpdate{node: n, delta: watch.Delta{Since: 1, Version: version, Changes: []watch.Change{{ID: "t0"}}}, done: &sync.WaitGroup{}}
		other := &listUpdate{node: n, delta: watch.Delta{Since: 1, Version: version, Changes: []watch.Change{{ID: "t1"}}}, done: leave.done}
		leave.done.Add(2)
		go leave.run()
		go other.run()
		leave.done.Wait()
		g.Expect(n.relay.TargetPool("orders").Size()).To(BeZero())
		version++
		n.applyList(fromStore, watch.Delta{Since: 1, Version: version, Changes: full.Changes})
		g.Expect(n.relay.TargetPool("orders").Size()).To(Equal(2))
	}
}

// Guards against every daemon sending the target list to all others after it had to
// read the list itself: when hundreds of targets change at once, daemons miss parts
// of what the first reader sends, and the traffic grew with the square of the
// number of daemons in the data centre.
func TestOnlyFirstReaderSendsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
		defer n.gossipConn.Close()
		m := n.self
		m.VM, m.Cores = "vm-1", highShare
		n.handleHeartbeat(m, &gossip.Report{VM: m.VM, DataCentre: "a", Ready: true})
		g.Expect(n.sendsList(time.Now())).To(BeTrue(), "no other daemon has sent a part")
		n.handleListPart("peer", watch.Part{Delta: watch.Delta{Since: 5, Version: 6}, Count: 2})
		g.Expect(n.sendsList(time.Now())).To(BeFalse())
		n.handleListPart("peer", watch.Part{Delta: watch.Delta{Since: 6, Version: 7, Age: listSenderMaxAge}, Count: 2})
		g.Expect(n.sendsList(time.Now())).To(BeTrue(), "the first takes too long for each read")
		n.handleListPart("peer", watch.Part{Delta: watch.Delta{Since: 7, Version: 8}, Count: 2})
		g.Expect(n.sendsList(time.Now())).To(BeFalse())
		time.Sleep(listSenderTimeout)
		g.Expect(n.sendsList(time.Now())).To(BeTrue(), "the first may have lost its connection to the store")
		n.handleListPart("peer", watch.Part{Delta: watch.Delta{Since: 8, Version: 9}, Count: 2})
		first := newTestNode(g, highShare, &configWriter{start: time.Now()})
		defer first.gossipConn.Close()
		first.refresh()
		first.handleListPart("peer", watch.Part{Delta: watch.Delta{Since: 5, Version: 6}, Count: 2})
		g.Expect(first.sendsList(time.Now())).To(BeTrue())
	})
}

// listPeer is a peer to which a daemon sends its target list.
type listPeer struct {
	conn net.PacketConn
}

// newListSender returns a daemon that is the first reader, with two targets in its list,
// and its only peer.
func newListSender(t *testing.T, g *WithT) (*Node, *listPeer) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	n := newTestNode(g, highShare, &configWriter{start: time.Now()})
	t.Cleanup(func() {
		_ = conn.Close()
		_ = n.gossipConn.Close()
	})
	n.roster.Add(roster.Member{VM: "vm-1", DataCentre: n.self.DataCentre, PeerAddress: conn.LocalAddr().String(), StartMillis: 1})
	list := testTargetList(0)
	list.Changes = list.Changes[:2]
	n.applyList(fromStore, list)
	n.refresh()
	return n, &listPeer{conn: conn}
}

// receive returns the next part of the target list.
func (p *listPeer) receive(g *WithT) *watch.Part {
	g.Expect(p.conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	buffer := make([]byte, 2048)
	size, _, err := p.conn.ReadFrom(buffer)
	g.Expect(err).NotTo(HaveOccurred())
	report, err := gossip.Decode(buffer[:size])
	g.Expect(err).NotTo(HaveOccurred())
	return report.ListPart
}

// Guards against a peer that keeps using a leaving target: its entry came from another
// daemon while this one was reading the list, and was left out of what this one sends.
func TestSentListHoldsChangesReceivedDuringRead(t *testing.T) {
	g := NewWithT(t)
	n, peer := newListSender(t, g)
	position, _ := n.targetList.Position()
	version := position.Version
	leave := watch.Delta{Since: version, Version: version + 1, Changes: []watch.Change{{ID: "t0"}}}
	n.platform.ReadTargetChanges = func(context.Context, int64) (watch.Delta, []error, error) {
		n.applyList("vm-2", leave)
		return leave, nil, nil
	}
	f := &targetListFollower{Node: n}
	f.read(t.Context(), position)
	part := peer.receive(g)
	g.Expect(part.Version).To(Equal(leave.Version))
	g.Expect(part.Changes).To(ConsistOf(HaveField("ID", "t0")))
}

// Guards against every daemon of a data centre reading the whole list, and learning late
// of leaving targets, after the store has dropped its history of changes.
func TestListIsSentAfterHistoryIsGone(t *testing.T) {
	g := NewWithT(t)
	n, peer := newListSender(t, g)
	position, _ := n.targetList.Position()
	version := position.Version
	n.platform.ReadTargetChanges = func(context.Context, int64) (watch.Delta, []error, error) {
		return watch.Delta{}, nil, fault.New(fault.HistoryGone, "history dropped")
	}
	n.platform.ReadTargets = func(context.Context) (watch.Delta, []error, error) {
		return watch.Delta{Version: version + 5, Changes: testTargetList(0).Changes[1:2]}, nil, nil
	}
	f := &targetListFollower{Node: n}
	f.read(t.Context(), position)
	f.read(t.Context(), position)
	part := peer.receive(g)
	g.Expect(part.Since).To(Equal(version))
	g.Expect(part.Version).To(Equal(version + 5))
	g.Expect(part.Changes).To(ConsistOf(HaveField("ID", "t0")))
}

// Guards against daemons that stay behind for as long as they cannot read the store: the
// daemon that takes over as sender has read changes before that nobody sent them.
func TestNewSenderSendsChangesThatNobodySent(t *testing.T) {
	g := NewWithT(t)
	n, peer := newListSender(t, g)
	position, _ := n.targetList.Position()
	version := position.Version
	n.hearPeers("vm-2")
	n.handleListPart("vm-2", watch.Part{Delta: watch.Delta{Since: version, Version: version + 1}, Count: 1})
	reads := []watch.Delta{
		{Since: version + 1, Version: version + 4, Changes: []watch.Change{{ID: "t0", Version: version + 3}}},
		{Since: version + 4, Version: version + 6, Changes: []watch.Change{{ID: "t1", Version: version + 5}}},
	}
	n.platform.ReadTargetChanges = func(context.Context, int64) (watch.Delta, []error, error) {
		d := reads[0]
		reads = reads[1:]
		return d, nil, nil
	}
	f := &targetListFollower{Node: n}
	f.read(t.Context(), watch.Position{Version: version + 1})
	n.lastListPart.Store(nil)
	f.read(t.Context(), watch.Position{Version: version + 4})
	part := peer.receive(g)
	g.Expect(part.Since).To(Equal(version + 1))
	g.Expect(part.Changes).To(HaveLen(2))
}
