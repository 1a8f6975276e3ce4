package node

import (
	"time"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

// sendWholeList sends the whole target list to the members and returns its position. It
// returns false if the list is too large.
func (n *Node) sendWholeList(to []roster.Member) (watch.Position, bool) {
	d := n.targetList.Snapshot(time.Now())
	snapshot, err := gossip.NewSnapshot(d)
	if err != nil {
		_ = n.logger.Log("msg", "target list not passed on", "err", err)
		return watch.Position{}, false
	}
	n.gossip.SendSnapshot(snapshot, to)
	return d.Position(), true
}

// sendFirstList sends the first list of an era of the store to the daemons of the local data
// centre, which cannot use its changes before.
func (n *Node) sendFirstList() {
	if position, ok := n.sendWholeList(n.roster.LocalPeers()); ok {
		n.sentList.Store(&position)
	}
}

// handleSnapshot applies the whole target list of a peer if this daemon has none, or one of an
// earlier era of the store. Instead of none, an outdated one is used only if the store cannot
// be read.
func (n *Node) handleSnapshot(peer string, d watch.Delta) {
	n.noticeEra(peer, d.Era)
	switch {
	case n.listLoaded.Load():
		n.handleFirstList(peer, d)
	case d.Age > maxPeerListAge:
		n.staleList.Store(&d)
	default:
		n.applyPeerList(d)
	}
}

// handleFirstList applies the first list of an era of the store. One from another data
// centre, for which this daemon has asked, is sent to the local one.
func (n *Node) handleFirstList(peer string, d watch.Delta) {
	if position, _ := n.targetList.Position(); d.Era <= position.Era {
		return
	}
	remote := n.roster.IsRemote(peer)
	if !remote {
		n.recordListPart(d.Era, d.Age)
	}
	if n.applyList(peer, d).Accepted() && remote {
		n.sendFirstList()
	}
}
