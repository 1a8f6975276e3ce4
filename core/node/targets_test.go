package node

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/gossip"
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
		time.Sleep(listSenderTimeout)
		g.Expect(n.sendsList(time.Now())).To(BeTrue(), "the first may have lost its connection to the store")
		n.handleListPart("peer", watch.Part{Delta: watch.Delta{Since: 6, Version: 7}, Count: 2})
		first := newTestNode(g, highShare, &configWriter{start: time.Now()})
		defer first.gossipConn.Close()
		first.refresh()
		first.handleListPart("peer", watch.Part{Delta: watch.Delta{Since: 5, Version: 6}, Count: 2})
		g.Expect(first.sendsList(time.Now())).To(BeTrue())
	})
}
