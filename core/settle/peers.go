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
	// bootPeers and bootCentres are the ready peers and the data centres among
	// them whose answers allow a start without the store.
	bootPeers   = 3
	bootCentres = 2
	// freshHead is the age of a head read up to which one peer is enough.
	freshHead = 30 * time.Second
	// askWaitMost bounds the wait between asks that bring nothing usable.
	askWaitMost = time.Minute
)

// pollPeers asks the peers, takes the newest revision that they can give, and
// applies the cold boot rule to a follower that is not ready.
func (f *Follower) pollPeers(ctx context.Context) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	replies := f.askPeers(ctx, f.held.Load().Revision)
	cancel()
	replies = distinctReplies(replies)
	f.answers = len(replies)
	for _, r := range replies {
		f.raiseHeard(r.Msg.Revision)
	}
	slices.SortStableFunc(replies, func(a, b PeerReply) int { return cmp.Compare(b.Msg.Revision, a.Msg.Revision) })
	had, offered := f.held.Load().Revision, false
	for _, r := range replies {
		if r.Msg.Revision > f.held.Load().Revision {
			offered = true
			f.takeReply(&r.Msg)
		}
	}
	f.paceAsks(offered && f.held.Load().Revision == had)
	if f.ready {
		return
	}
	if reason, enough := bootProof(replies, f.seeds, time.Since(asked)); enough {
		f.becomeReady(reason)
	} else {
		f.reason = reason
	}
}

// paceAsks spaces the asks out while peers offer what this daemon cannot
// decode or compile: a repeated snapshot would exceed 5 KB/s.
func (f *Follower) paceAsks(useless bool) {
	if !useless {
		f.askWait = 0
		return
	}
	f.askWait = min(askWaitMost, max(pollEvery, 2*f.askWait))
	f.askAfter = time.Now().Add(f.askWait)
}

// distinctReplies keeps the first valid reply of each peer.
func distinctReplies(replies []PeerReply) []PeerReply {
	seen := make(map[fleet.VMID]bool, len(replies))
	var out []PeerReply
	for _, r := range replies {
		if seen[r.From] || r.Msg.Check() != nil {
			continue
		}
		seen[r.From] = true
		out = append(out, r)
	}
	return out
}

func (f *Follower) takeReply(m *RevisionReplyMsg) {
	if len(m.Snapshot) == 0 {
		f.feed(m.Deltas)
		return
	}
	snap, err := decodeSnapshot(m.Snapshot)
	if err != nil {
		f.refuse(&undecodable{revision: m.Revision, cause: err})
		return
	}
	f.takeSnapshot(snap)
}

// bootProof decides whether the replies allow a start without the store, and
// says why. Only ready peers that hold a revision count: daemons that boot at
// the same time would otherwise confirm one stale revision to each other.
// waited is added to the ages that the peers report.
func bootProof(replies []PeerReply, seeds int, waited time.Duration) (reason string, enough bool) {
	centres := map[fleet.DataCentre]bool{}
	count, seedCount := 0, 0
	fresh := false
	for _, r := range replies {
		if !r.Msg.Ready || r.Msg.Revision == 0 {
			continue
		}
		count++
		centres[r.DataCentre] = true
		if r.Seed {
			seedCount++
		}
		fresh = fresh || r.Msg.HeadRead && r.Msg.HeadAge+waited <= freshHead
	}
	switch {
	case count >= bootPeers && len(centres) >= bootCentres:
		return fmt.Sprintf("%d peers in %d data centres answered", count, len(centres)), true
	case seeds > 0 && seedCount*2 > seeds:
		return fmt.Sprintf("%d of %d seeds answered", seedCount, seeds), true
	case fresh:
		return fmt.Sprintf("a peer read the head at most %s ago", freshHead), true
	default:
		return fmt.Sprintf("store unavailable; %d ready peers in %d data centres answered, %d of %d seeds, none with a head read in the last %s", count, len(centres), seedCount, seeds, freshHead), false
	}
}

// Answer returns what a peer that holds the asked revision lacks, from memory.
func (f *Follower) Answer(ask RevisionAskMsg) RevisionReplyMsg {
	held := f.held.Load()
	reply := RevisionReplyMsg{Revision: held.Revision, Ready: f.current.Load() != nil}
	if !held.HeadReadAt.IsZero() {
		reply.HeadRead = true
		reply.HeadAge = max(0, time.Since(held.HeadReadAt))
	}
	if ask.Have >= held.Revision {
		return reply
	}
	missing := int(min(held.Revision-ask.Have, keepDeltas+1))
	if missing <= len(held.recent) {
		reply.Deltas = held.recent[len(held.recent)-missing:]
		return reply
	}
	reply.Snapshot = f.pack(held)
	return reply
}
