package settle

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
)

const (
	// coldStartPeers and coldStartDataCentres are the minimum numbers of ready peers
	// and of their data centres that allow a start without the store.
	coldStartPeers       = 3
	coldStartDataCentres = 2
	// maxColdStartHeadAge is the maximum age of a peer's head read at which this
	// peer alone allows a start without the store.
	maxColdStartHeadAge = 30 * time.Second
	// maxPeerWait is the longest wait between requests that return no usable
	// revision.
	maxPeerWait = time.Minute
)

// pollPeers requests revisions from the peers and applies the newest one that they
// can provide. If the follower is not ready, it decides whether the replies allow
// it to start without the store.
func (f *Follower) pollPeers(ctx context.Context) {
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	replies := f.queryPeers(ctx, f.held.Load().Revision)
	cancel()
	replies = distinctReplies(replies)
	f.peerAnswers = len(replies)
	for _, r := range replies {
		f.raisePeerRevision(r.Msg.Revision)
	}
	slices.SortStableFunc(replies, func(a, b PeerReply) int { return cmp.Compare(b.Msg.Revision, a.Msg.Revision) })
	before, offered := f.held.Load().Revision, false
	for _, r := range replies {
		if r.Msg.Revision > f.held.Load().Revision {
			offered = true
			f.applyReply(&r.Msg)
		}
	}
	f.backOffPeers(offered && f.held.Load().Revision == before)
	if f.ready {
		return
	}
	if reason, allowed := coldStartAllowed(replies, f.numSeeds, time.Since(requestedAt)); allowed {
		f.markReady(reason)
	} else {
		f.reason = reason
	}
}

// backOffPeers doubles the wait between requests while the peers offer only
// revisions that this daemon cannot decode or compile. Fetching a snapshot at every
// poll would exceed 5 KB/s.
func (f *Follower) backOffPeers(useless bool) {
	if !useless {
		f.peerWait = 0
		return
	}
	f.peerWait = min(maxPeerWait, max(pollInterval, 2*f.peerWait))
	f.peerRetryAt = time.Now().Add(f.peerWait)
}

// distinctReplies returns the first valid reply of each peer.
func distinctReplies(replies []PeerReply) []PeerReply {
	seen := make(map[fleet.VMID]bool, len(replies))
	var out []PeerReply
	for _, r := range replies {
		if seen[r.From] || r.Msg.Validate() != nil {
			continue
		}
		seen[r.From] = true
		out = append(out, r)
	}
	return out
}

// applyReply applies the deltas or the snapshot of a reply.
func (f *Follower) applyReply(m *RevisionReplyMsg) {
	if len(m.Snapshot) == 0 {
		f.applyDeltas(m.Deltas)
		return
	}
	snap, err := decodeSnapshot(m.Snapshot)
	if err != nil {
		f.reportInvalid(&revisionError{revision: m.Revision, cause: err})
		return
	}
	f.applySnapshot(snap)
}

// coldStartAllowed decides whether the replies allow the follower to start without
// the store, and returns the reason. Only ready peers that hold a revision count;
// otherwise daemons that start at the same time would confirm an outdated revision
// to each other. elapsed, the time since the request, is added to the head ages
// that the peers report.
func coldStartAllowed(replies []PeerReply, numSeeds int, elapsed time.Duration) (reason string, allowed bool) {
	dataCentres := map[fleet.DataCentre]bool{}
	readyPeers, readySeeds := 0, 0
	recentHead := false
	for _, r := range replies {
		if !r.Msg.Ready || r.Msg.Revision == 0 {
			continue
		}
		readyPeers++
		dataCentres[r.DataCentre] = true
		if r.Seed {
			readySeeds++
		}
		recentHead = recentHead || r.Msg.HeadRead && r.Msg.HeadAge+elapsed <= maxColdStartHeadAge
	}
	switch {
	case readyPeers >= coldStartPeers && len(dataCentres) >= coldStartDataCentres:
		return fmt.Sprintf("%d peers in %d data centres answered", readyPeers, len(dataCentres)), true
	case numSeeds > 0 && readySeeds*2 > numSeeds:
		return fmt.Sprintf("%d of %d seeds answered", readySeeds, numSeeds), true
	case recentHead:
		return fmt.Sprintf("a peer read the head at most %s ago", maxColdStartHeadAge), true
	default:
		return fmt.Sprintf("store unavailable; %d ready peers in %d data centres answered, %d of %d seeds, none with a head read in the last %s", readyPeers, len(dataCentres), readySeeds, numSeeds, maxColdStartHeadAge), false
	}
}

// Answer returns the reply to a request of a peer: the revisions that the peer
// lacks. It needs no I/O.
func (f *Follower) Answer(request RevisionRequestMsg) RevisionReplyMsg {
	held := f.held.Load()
	reply := RevisionReplyMsg{Revision: held.Revision, Ready: f.current.Load() != nil}
	if !held.HeadReadAt.IsZero() {
		reply.HeadRead = true
		reply.HeadAge = max(0, time.Since(held.HeadReadAt))
	}
	if request.Have >= held.Revision {
		return reply
	}
	missing := int(min(held.Revision-request.Have, maxRecentDeltas+1))
	if missing <= len(held.recent) {
		reply.Deltas = held.recent[len(held.recent)-missing:]
		return reply
	}
	reply.Snapshot = f.encode(held)
	return reply
}
