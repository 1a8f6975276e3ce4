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
	// noticedPeers is the number of daemons in each other data centre that are told at
	// once when this daemon has read a new configuration.
	noticedPeers = 2
)

// askForConfig asks one of the members, which have a newer configuration, to send it.
// Members of the local data centre are preferred; traffic between data centres is billed.
func (n *Node) askForConfig(members []roster.Member) {
	if local := n.localMembers(members); len(local) > 0 {
		members = local
	}
	n.gossip.RequestConfig(n.configVersion(), members[rand.IntN(len(members))])
}

// localMembers returns those of the members that are in the local data centre.
func (n *Node) localMembers(members []roster.Member) []roster.Member {
	var out []roster.Member
	for _, m := range members {
		if m.DataCentre == n.self.DataCentre {
			out = append(out, m)
		}
	}
	return out
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

// notifyRemotePeers sends a heartbeat with the new configuration version to some daemons
// of each other data centre, so that they ask for the configuration if none there can
// read it.
func (n *Node) notifyRemotePeers() {
	n.gossip.SendHeartbeatTo(addressesOf(n.roster.RemotePeers(time.Now(), noticedPeers)))
}
