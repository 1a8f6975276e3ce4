package node

import (
	"maps"
	"slices"
	"time"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/watch"
)

const (
	// listSenderTimeout is the time without a part of the target list from a peer after
	// which any daemon that reads the list also sends it to the others, whatever its
	// rank.
	listSenderTimeout = time.Second
	// listSenderMaxAge is the age of what a peer sends from which the same holds.
	listSenderMaxAge = 1500 * time.Millisecond
)

// listPartTimes is when a part of the target list arrived, when its sender began to read the
// list, and in which era of the store.
type listPartTimes struct {
	arrivedAt time.Time
	asOf      time.Time
	era       watch.Era
}

// sendsList reports whether this daemon sends the changes that it has read to its
// peers: the first in rank does, and another one if no peer seems to, or only late or in an
// earlier era of the store.
// When hundreds of targets change at once, parts of the changes are lost, and every
// daemon that misses one reads the store itself; if each of these also sent its changes
// to all the others, traffic would grow with the square of the number of daemons.
func (n *Node) sendsList(now time.Time) bool {
	if n.roster.ReaderRank(now) == 0 {
		return true
	}
	last := n.lastListPart.Load()
	position, _ := n.targetList.Position()
	return last == nil || last.era < position.Era || now.Sub(last.arrivedAt) >= listSenderTimeout || now.Sub(last.asOf) >= listSenderMaxAge
}

// handleListPart adds a part of a change of the target list, and applies the change
// once it is complete. Only the goroutine that receives datagrams calls it.
func (n *Node) handleListPart(peer string, p watch.Part) {
	n.noticeEra(peer, p.Era)
	remote := n.roster.IsRemote(peer)
	if !remote {
		n.recordListPart(p.Era, p.Age)
	}
	abandoned := n.listAssembly.Abandoned()
	d, complete := n.listAssembly.Add(peer, p)
	n.metrics.Counter("list_deltas_incomplete").Inc(n.listAssembly.Abandoned() - abandoned)
	if !complete {
		return
	}
	if remote {
		n.applyRemoteList(peer, d)
		return
	}
	n.recordSentList(d.Position())
	if n.applyList(peer, d).Rejection == watch.Gap {
		n.requestListRead()
	}
}

// recordListPart records that a part of a list of the era and the age has arrived from a peer
// of the local data centre.
func (n *Node) recordListPart(e watch.Era, age time.Duration) {
	now := time.Now()
	n.lastListPart.Store(&listPartTimes{arrivedAt: now, asOf: now.Add(-age), era: e})
}

// recordSentList records that a peer of the local data centre has sent a list that leads to
// the position.
func (n *Node) recordSentList(p watch.Position) {
	if last := n.sentList.Load(); last == nil || last.Before(p) {
		n.sentList.Store(&p)
	}
}

// sendListChanges sends the changes since a position to the daemons of the local data
// centre. They include those that came from a peer while this daemon was reading, which
// the others may have missed, and those that it read before without sending them.
func (n *Node) sendListChanges(since watch.Position) {
	now := time.Now()
	d, ok := watch.Delta{}, false
	if sent := n.sentList.Load(); sent != nil && sent.Before(since) {
		d, ok = n.targetList.ChangesSince(now, *sent)
	}
	if !ok {
		d, ok = n.targetList.ChangesSince(now, since)
	}
	if !ok {
		return
	}
	n.gossip.SendListChanges(d, n.roster.LocalPeers())
	position := d.Position()
	n.sentList.Store(&position)
}

// The sources of a delta that is not a peer's change of the target list.
const (
	// fromStore stands for a read of the store by this daemon.
	fromStore = "store"
	// fromSnapshot stands for the whole list of a peer.
	fromSnapshot = "snapshot"
)

// applyList applies changes to the target list and returns those that affect the
// use of targets. The source is for the log: the VM of a peer, fromStore or fromSnapshot.
func (n *Node) applyList(source string, d watch.Delta) watch.ApplyResult {
	known, _ := n.targetList.Position()
	out := n.targetList.Apply(time.Now(), d)
	if !out.Accepted() {
		n.recordRejectedDelta(source, known, d, out.Rejection)
		return out
	}
	if out.StoreRecovered {
		_ = n.logger.Log("msg", "store can be read again", "list-version", d.Version)
		if n.isConfigReader() {
			n.requestConfigRead()
		}
	}
	if out.EraStart != nil {
		n.logEraStart(source, d, out.EraStart)
	}
	first := !n.listLoaded.Load()
	if first || len(out.Changes) > 0 || out.EraStart != nil {
		n.updateTargets()
	}
	if first {
		// The targets must be in place before this, because refresh makes the daemon
		// ready.
		n.listLoaded.Store(true)
		n.refresh()
	}
	for _, c := range out.Changes {
		n.logTargetChange(source, d, c)
	}
	return out
}

// updateTargets copies the targets of the target list to the relay. Calls are
// serialized, so that one that is overtaken cannot restore a target that has been
// removed since.
func (n *Node) updateTargets() {
	n.targetsMu.Lock()
	defer n.targetsMu.Unlock()
	targets := n.targetList.Targets()
	index := gossip.NewTargetIndex(targets)
	n.index.Store(&index)
	n.relay.SetTargets(targets)
	n.roster.SetTargetDataCentres(dataCentresOf(targets))
}

// dataCentresOf returns the data centres of the targets.
func dataCentresOf(targets map[string][]sched.Target) []string {
	names := map[string]bool{}
	for _, list := range targets {
		for _, t := range list {
			names[t.DataCentre] = true
		}
	}
	return slices.Collect(maps.Keys(names))
}

func (n *Node) targetIndex() gossip.TargetIndex {
	if index := n.index.Load(); index != nil {
		return *index
	}
	return nil
}
