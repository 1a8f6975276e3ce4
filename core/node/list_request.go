package node

import (
	"math/rand/v2"
	"time"

	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

const (
	// listRequestAge is the age of the target list from which the first readers of a data
	// centre ask other data centres for its changes: none of the local daemons seems to be
	// able to read the store.
	listRequestAge = 1700 * time.Millisecond
	// listRequestInterval is the time between two such requests of one daemon.
	listRequestInterval = 400 * time.Millisecond
	// maxAnsweredListAge is the age of the list up to which a daemon answers. Two data
	// centres without the store must not take each other's lists for current ones.
	maxAnsweredListAge = 1500 * time.Millisecond
	// remoteAskers is the number of daemons of a data centre, from the first in the order
	// of readers, that ask other data centres.
	remoteAskers = 2
	// listPeersPerDataCentre is the number of daemons of each other data centre among
	// which one is chosen.
	listPeersPerDataCentre = 4
)

// listRequester asks a daemon of another data centre for the changes of the target list
// while no daemon of the local one can read the store.
type listRequester struct {
	*Node
	lastRequest time.Time
}

// check sends a request if one is due. Daemons that come later in the order of readers
// get the changes from the first ones.
func (l *listRequester) check(now time.Time) {
	position, asOf := l.targetList.Position()
	if position.Version == 0 || now.Sub(asOf) < listRequestAge || now.Sub(l.lastRequest) < listRequestInterval {
		return
	}
	if l.roster.ReaderRank(now) >= remoteAskers {
		return
	}
	peers := l.roster.RemotePeers(now, listPeersPerDataCentre)
	if len(peers) == 0 {
		return
	}
	l.lastRequest = now
	peer := peers[rand.IntN(len(peers))]
	_ = l.logger.Log("msg", "target list requested", "peer", peer.VM, "list-version", position.Version, "age", now.Sub(asOf))
	l.gossip.RequestListChanges(position, peer)
}

// handleListRequest sends a peer the changes of the target list since a position, if all
// of them are known and the list is current. A peer with a list of an earlier era of the store
// gets the whole list.
func (n *Node) handleListRequest(peer roster.Member, since watch.Position) {
	n.noticeEra(peer.VM, since.Era)
	now := time.Now()
	position, asOf := n.targetList.Position()
	if position.Before(since) || now.Sub(asOf) > maxAnsweredListAge {
		return
	}
	d, ok := n.targetList.ChangesSince(now, since)
	whole := !since.Era.Matches(position.Era)
	if !ok && !whole {
		return
	}
	if allowed, _ := n.listResends.allow(peer.VM, now); !allowed {
		return
	}
	if whole {
		n.sendWholeList([]roster.Member{peer})
		return
	}
	n.gossip.SendListChanges(d, []roster.Member{peer})
}

// applyRemoteList applies changes of the target list that a daemon of another data centre
// sent on request, and sends them to the local one.
func (n *Node) applyRemoteList(peer string, d watch.Delta) {
	since, _ := n.targetList.Position()
	if n.applyList(peer, d).Accepted() {
		n.sendListChanges(since)
	}
}
