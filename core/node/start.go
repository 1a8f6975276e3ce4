package node

import (
	"context"
	"net"
	"sync"
	"time"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

const (
	// signWait is how long a daemon that starts waits for a sign of a running fleet.
	signWait = 60 * time.Millisecond
	// helpWait is how long it waits for what peers pass on, once it has heard one
	// that serves.
	helpWait = 400 * time.Millisecond
	// firstWait is the same when the fleet starts for the first time: there are no
	// callers yet.
	firstWait = 2 * time.Second
	// firstReaders is the number of daemons of a data centre that read the store
	// for the others at that time.
	firstReaders = 4
	// startCheck is the time between two looks at what has come.
	startCheck = 10 * time.Millisecond
	// freshList is the age up to which a list that a peer passes on counts as read:
	// an older one may come from a peer that is cut from the store.
	freshList = 2 * time.Second
	// settledAge is the age from which a daemon has heard all others of its data
	// centre. It covers clocks that differ.
	settledAge = 10 * time.Second
)

// awaitPeers waits until peers have passed on what the daemon needs, or it has to
// read the store itself. Load pattern: hundreds of daemons start at the same time,
// or one after the other, and each would make four calls to the store; or one
// starts while the store is away.
func (n *Node) awaitPeers(ctx context.Context, have func() bool) {
	for ctx.Err() == nil && !have() && n.helpDue(time.Now()) {
		pause(ctx, startCheck)
	}
}

// helpDue reports whether peers may still pass on what the daemon needs.
func (n *Node) helpDue(now time.Time) bool {
	age := now.Sub(n.startedAt)
	switch {
	case n.settings.Load().FirstStart:
		readsFirst := n.acquainted.Load() && n.roster.Ahead(now) < firstReaders
		return age < firstWait && !readsFirst
	case n.roster.AnyReady(now):
		return age < helpWait
	default:
		return age < signWait
	}
}

// seek asks the daemons that the settings name for those of the own data centre.
func (n *Node) seek() {
	_, port, err := net.SplitHostPort(n.self.Inner)
	if err != nil {
		_ = n.logger.Log("msg", "own address for peers is not usable", "err", err)
		return
	}
	var addresses []string
	for _, s := range n.settings.Load().Seeds {
		host, _, err := net.SplitHostPort(s)
		if err != nil {
			_ = n.logger.Log("msg", "seed is not usable", "seed", s, "err", err)
			continue
		}
		if address := net.JoinHostPort(host, port); address != n.self.Inner {
			addresses = append(addresses, address)
		}
	}
	n.peers.Seek(addresses)
}

// membersTold takes in daemons that a peer knows. One of the own data centre that
// has run for a while knows all of them there, so that the store need not be asked.
func (n *Node) membersTold(sender string, members []roster.Member) {
	if n.Ready() {
		return
	}
	var addresses []string
	for _, m := range members {
		if m.VM == n.self.VM {
			continue
		}
		n.roster.Add(m)
		if m.DataCentre != n.self.DataCentre {
			continue
		}
		addresses = append(addresses, m.Inner)
		if m.VM == sender && n.self.Born-m.Born > settledAge.Milliseconds() {
			n.acquainted.Store(true)
		}
	}
	n.peers.BeatTo(addresses)
}

// listTold takes in the whole target list from a peer. One that is old is only
// used if the store cannot be read.
func (n *Node) listTold(d watch.Delta) {
	if n.listed.Load() {
		return
	}
	if d.Age > freshList {
		n.oldList.Store(&d)
		return
	}
	n.useList(d)
}

// useOldList falls back on the list of a peer that may be cut from the store too.
func (n *Node) useOldList() {
	if d := n.oldList.Load(); d != nil && !n.listed.Load() {
		n.useList(*d)
	}
}

func (n *Node) useList(d watch.Delta) {
	_ = n.logger.Log("msg", "target list of a peer in use", "list-version", d.Version, "age", d.Age, "targets", len(d.Changes))
	n.applyList(d)
}

// startHold is how long after its start a daemon lets requests wait until it is
// ready. Later it does not know when it will be, and callers rather go elsewhere.
const startHold = time.Second

// handle answers a request. Load pattern: after the loss of all daemons callers are
// back before the first of them has read the store, which takes it a moment.
func (n *Node) handle(ctx context.Context, req *caller.Request) *caller.Answer {
	if !n.prepared.isOpen() {
		n.prepared.await(ctx, n.startedAt.Add(startHold))
	}
	return n.relay.Handle(ctx, req)
}

// gate is closed until something has happened for the first time.
type gate struct {
	once   sync.Once
	opened chan struct{}
}

func newGate() *gate {
	return &gate{opened: make(chan struct{})}
}

func (g *gate) open() {
	g.once.Do(func() { close(g.opened) })
}

func (g *gate) isOpen() bool {
	select {
	case <-g.opened:
		return true
	default:
		return false
	}
}

// await waits until the gate is open, the time has come or ctx ends.
func (g *gate) await(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-g.opened:
	case <-timer.C:
	case <-ctx.Done():
	}
}
