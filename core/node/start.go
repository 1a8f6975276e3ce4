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
	// peerDiscoveryTimeout is how long a starting daemon waits for a heartbeat of a
	// peer that is ready.
	peerDiscoveryTimeout = 60 * time.Millisecond
	// peerDataTimeout is how long it waits for startup data from peers if one of them
	// is ready.
	peerDataTimeout = 400 * time.Millisecond
	// firstStartTimeout replaces both when the fleet starts for the first time: there
	// are no callers yet that would have to wait.
	firstStartTimeout = 2 * time.Second
	// firstStartReaderCount is the number of daemons of a data centre that read the
	// store on behalf of the others at the first start of the fleet.
	firstStartReaderCount = 4
	// startPollInterval is the time between two checks for startup data.
	startPollInterval = 10 * time.Millisecond
	// maxPeerListAge is the age up to which a target list from a peer counts as
	// current. The peer that sends an older one may have lost its connection to the
	// store.
	maxPeerListAge = 2 * time.Second
	// settledUptime is how much earlier than this daemon a peer must have started to
	// know all daemons of its data centre. It allows for clocks that differ.
	settledUptime = 10 * time.Second
)

// waitForPeers waits until loaded reports that peers have sent the data, or until
// the daemon has to read the store itself. Without this wait, hundreds of daemons
// that start together or in a rolling restart would each make four calls to the
// store, and a daemon could not start while the store is unreachable.
func (n *Node) waitForPeers(ctx context.Context, loaded func() bool) {
	for ctx.Err() == nil && !loaded() && n.expectsPeerData(time.Now()) {
		sleep(ctx, startPollInterval)
	}
}

// expectsPeerData reports whether peers may still send startup data.
func (n *Node) expectsPeerData(now time.Time) bool {
	uptime := now.Sub(n.startedAt)
	switch {
	case n.settings.Load().FirstStart:
		isFirstReader := n.membersKnown.Load() && n.roster.ReadersAhead(now) < firstStartReaderCount
		return uptime < firstStartTimeout && !isFirstReader
	case n.roster.AnyPeerReady(now):
		return uptime < peerDataTimeout
	default:
		return uptime < peerDiscoveryTimeout
	}
}

// discoverPeers asks the daemons at the seed addresses for the members of the local
// data centre.
func (n *Node) discoverPeers() {
	_, port, err := net.SplitHostPort(n.self.PeerAddress)
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
		if address := net.JoinHostPort(host, port); address != n.self.PeerAddress {
			addresses = append(addresses, address)
		}
	}
	n.gossip.RequestMembers(addresses)
}

// handleMembers adds daemons that a peer knows. A peer of the local data centre
// that started more than settledUptime before this daemon knows all daemons there,
// so the store need not be asked.
func (n *Node) handleMembers(sender string, members []roster.Member) {
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
		addresses = append(addresses, m.PeerAddress)
		if m.VM == sender && n.self.StartMillis-m.StartMillis > settledUptime.Milliseconds() {
			n.membersKnown.Store(true)
		}
	}
	n.gossip.SendHeartbeatTo(addresses)
}

// applyStaleList falls back to an outdated list from a peer, unless a list was
// loaded.
func (n *Node) applyStaleList() {
	if d := n.staleList.Load(); d != nil && !n.listLoaded.Load() {
		n.applyPeerList(*d)
	}
}

func (n *Node) applyPeerList(d watch.Delta) {
	_ = n.logger.Log("msg", "target list of a peer in use", "era", d.Era, "list-version", d.Version, "age", d.Age, "targets", len(d.Changes))
	n.applyList(fromSnapshot, d)
}

// startupHold is how long after its start a daemon holds requests until it is
// ready. A daemon that takes longer cannot tell when it will be ready, and callers
// had better use another one.
const startupHold = time.Second

// handle answers a request. After an outage of all daemons, callers are back before
// the first daemon has read the store, so requests wait a moment for it.
func (n *Node) handle(ctx context.Context, req *caller.Request) *caller.Response {
	if !n.initialized.isSet() && !n.leaving.Load() {
		n.initialized.wait(ctx, n.startedAt.Add(startupHold))
	}
	return n.relay.Handle(ctx, req)
}

// latch is a one-time event that goroutines can wait for.
type latch struct {
	once sync.Once
	done chan struct{}
}

func newLatch() *latch {
	return &latch{done: make(chan struct{})}
}

func (l *latch) set() {
	l.once.Do(func() { close(l.done) })
}

func (l *latch) isSet() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// wait blocks until the latch is set, the deadline passes or ctx ends.
func (l *latch) wait(ctx context.Context, deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}
