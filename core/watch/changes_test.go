package watch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/watch"
)

// Guards against a peer that keeps using a leaving target: its entry came to the sender
// from another daemon while the sender's own read was under way, so it was no longer new
// there, and the peer missed the message of the other daemon.
func TestDeltaForPeersHoldsChangesFromOtherReaders(t *testing.T) {
	g := NewWithT(t)
	full := fullRead(10, watch.Change{ID: "leaving", Entry: entry(1, 1)}, watch.Change{ID: "gone", Entry: entry(1, 1)}, watch.Change{ID: "stays", Entry: entry(1, 1)})
	sender, peer := watch.NewList(), watch.NewList()
	sender.Apply(startTime, full)
	peer.Apply(startTime, full)
	draining := entry(1, 2)
	draining.Draining = true
	changes := []watch.Change{{ID: "leaving", Entry: draining, Version: 11}, {ID: "gone", Version: 12}}
	sender.Apply(startTime, watch.Delta{Since: 10, Version: 12, Changes: changes})
	own := append(changes, watch.Change{ID: "stays", Entry: entry(1, 2), Version: 13})
	g.Expect(sender.Apply(startTime.Add(time.Second), watch.Delta{Since: 10, Version: 13, Changes: own}).Accepted()).To(BeTrue())

	delta, ok := sender.ChangesSince(startTime.Add(time.Second), watch.Position{Version: 10})
	g.Expect(ok).To(BeTrue())
	g.Expect(delta.Changes).To(HaveLen(2), "a heartbeat is not sent on")
	g.Expect(peer.Apply(startTime.Add(time.Second), delta).Accepted()).To(BeTrue())
	g.Expect(targetIDs(peer)).To(ConsistOf("stays"))
}

// Guards against a delta that claims to hold changes which the sender never knew.
func TestDeltaForPeersNeedsWholeHistory(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	_, ok := l.ChangesSince(startTime, watch.Position{Version: 0})
	g.Expect(ok).To(BeFalse())
	l.Apply(startTime, fullRead(10, watch.Change{ID: "a", Entry: entry(1, 1)}))
	_, ok = l.ChangesSince(startTime, watch.Position{Version: 9})
	g.Expect(ok).To(BeFalse())
	_, ok = l.ChangesSince(startTime, watch.Position{Version: 10})
	g.Expect(ok).To(BeTrue())
}

// Guards against memory that grows with each target that leaves, and against a delta
// that lacks the removal of targets that were forgotten.
func TestForgottenTargetsEndHistory(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	l.Apply(startTime, fullRead(1))
	const targets = 5000
	version := int64(1)
	for i := range targets {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		l.Apply(startTime, watch.Delta{Since: version, Version: version + 2, Changes: []watch.Change{{ID: id, Entry: entry(1, 1), Version: version + 1}, {ID: id, Version: version + 2}}})
		version += 2
	}
	_, ok := l.ChangesSince(startTime, watch.Position{Version: 1})
	g.Expect(ok).To(BeFalse())
	delta, ok := l.ChangesSince(startTime, watch.Position{Version: version - 100})
	g.Expect(ok).To(BeTrue())
	g.Expect(delta.Changes).To(HaveLen(50))
}
