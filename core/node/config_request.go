package node

import (
	"math/rand/v2"
	"time"

	"wisteriarelay.example/core/roster"
)

const (
	// peerResendInterval is the shortest time between two transmissions of the
	// configuration, or of the target list, to the same daemon that asks for it.
	peerResendInterval = 150 * time.Millisecond
	// remoteAskers is the number of daemons of a data centre, from the first in the order
	// of readers, that ask other data centres for a configuration at once. They send it
	// to the others, which ask only if it does not arrive.
	remoteAskers = 2
	// lateRemoteAttempt is the attempt from which on the others ask too.
	lateRemoteAttempt = 3
	// noticedReaders is the number of readers in each other data centre that are told at
	// once when a configuration is put in force.
	noticedReaders = 2
)

// askForConfig asks one of the members, which have a newer configuration, to send it.
// Members of the local data centre are preferred; traffic between data centres is billed.
func (n *Node) askForConfig(members []roster.Member, attempt int) {
	var local, remote []roster.Member
	for _, m := range members {
		if m.DataCentre == n.self.DataCentre {
			local = append(local, m)
			continue
		}
		remote = append(remote, m)
	}
	asksRemote := attempt >= lateRemoteAttempt || n.roster.ReaderRank(time.Now()) < remoteAskers
	switch {
	case len(local) > 0:
		n.gossip.RequestConfig(n.configVersion(), local[rand.IntN(len(local))])
	case len(remote) > 0 && asksRemote:
		n.gossip.RequestConfig(n.configVersion(), remote[rand.IntN(len(remote))])
	}
}

// handleConfigRequest sends the configuration in force to a peer that has an older one.
func (n *Node) handleConfigRequest(peer roster.Member, version int64) {
	if n.configVersion() <= version {
		return
	}
	if allowed, _ := n.configResends.allow(peer.VM, time.Now()); allowed {
		n.gossip.SendConfig(n.currentDocument(), []roster.Member{peer})
	}
}

// notifyRemoteReaders sends a heartbeat with the new configuration version to the first
// readers of each other data centre, so that they ask for the configuration if they
// cannot read it.
func (n *Node) notifyRemoteReaders() {
	now := time.Now()
	var readers []roster.Member
	for _, dataCentre := range n.roster.DataCentres()[1:] {
		order := n.roster.ReaderOrder(now, dataCentre)
		readers = append(readers, order[:min(noticedReaders, len(order))]...)
	}
	n.gossip.SendHeartbeatTo(addressesOf(readers))
}
