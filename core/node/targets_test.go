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

// applier takes in one change of the target list.
type applier struct {
	node  *Node
	delta watch.Delta
	done  *sync.WaitGroup
}

func (a *applier) run() {
	defer a.done.Done()
	a.node.applyList(a.delta)
}

// Guards against a target that has left and is used on: the list changes in several
// goroutines, and one that is overtaken must not put its older targets in place.
func TestTargetsInPlaceAreThoseOfTheList(t *testing.T) {
	g := NewWithT(t)
	const rounds = 3000
	n := newFollower(g, weak, &operators{begin: time.Now()})
	defer n.conn.Close()
	whole := list(0)
	whole.Changes = whole.Changes[:2]
	whole.Version = 1
	n.applyList(whole)
	version := int64(1)
	for range rounds {
		version++
		leave := &applier{node: n, delta: watch.Delta{Since: 1, Version: version, Changes: []watch.Change{{ID: "t0"}}}, done: &sync.WaitGroup{}}
		other := &applier{node: n, delta: watch.Delta{Since: 1, Version: version, Changes: []watch.Change{{ID: "t1"}}}, done: leave.done}
		leave.done.Add(2)
		go leave.run()
		go other.run()
		leave.done.Wait()
		g.Expect(n.relay.Pool("orders").Size()).To(BeZero())
		version++
		n.applyList(watch.Delta{Since: 1, Version: version, Changes: whole.Changes})
		g.Expect(n.relay.Pool("orders").Size()).To(Equal(2))
	}
}

// Load pattern: hundreds of targets change at once, and daemons miss pieces of what the
// first reader passes on. Guards against each of them telling all others what it then
// read itself: that grew with the square of the data centre.
func TestOnlyTheFirstPassesTheListOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newFollower(g, weak, &operators{begin: time.Now()})
		defer n.conn.Close()
		m := n.self
		m.VM, m.Cores = "vm-1", strong
		n.heard(m, &gossip.Report{VM: m.VM, DataCentre: "a", Ready: true})
		g.Expect(n.tellsList(time.Now())).To(BeTrue(), "nobody else does")
		n.listHeard(watch.Part{Delta: watch.Delta{Since: 5, Version: 6}, Count: 2})
		g.Expect(n.tellsList(time.Now())).To(BeFalse())
		time.Sleep(listSilence)
		g.Expect(n.tellsList(time.Now())).To(BeTrue(), "the first may be cut from the store")
		n.listHeard(watch.Part{Delta: watch.Delta{Since: 6, Version: 7}, Count: 2})
		first := newFollower(g, strong, &operators{begin: time.Now()})
		defer first.conn.Close()
		first.refresh()
		first.listHeard(watch.Part{Delta: watch.Delta{Since: 5, Version: 6}, Count: 2})
		g.Expect(first.tellsList(time.Now())).To(BeTrue())
	})
}
