package watch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/watch"
)

// change returns a delta with one change, which leads from one version to the next.
func change(since int64, id string, e *watch.Entry) watch.Delta {
	return watch.Delta{Since: since, Version: since + 1, Changes: []watch.Change{{ID: id, Entry: e, Version: since + 1}}}
}

// unchanged returns a delta of a read that found no changes after the version.
func unchanged(version int64) watch.Delta {
	return watch.Delta{Since: version, Version: version}
}

// passOn applies the changes that the peer lacks to its list, and returns them.
func passOn(g *WithT, now time.Time, sender, peer *watch.List) watch.Delta {
	since, _ := peer.Position()
	d, ok := sender.ChangesSince(now, since)
	g.Expect(ok).To(BeTrue())
	g.Expect(peer.Apply(now, d).Accepted()).To(BeTrue())
	return d
}

// Guards against requests to a target that has left: the store performs an earlier
// heartbeat late, after the entry was deleted.
func TestLateHeartbeatDoesNotReturnTargetThatLeft(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	leaving := entry(5, 9)
	leaving.Draining = true
	l.Apply(startTime, fullRead(1, watch.Change{ID: "t", Entry: leaving}))
	l.Apply(startTime.Add(time.Second), change(1, "t", nil))
	l.Apply(startTime.Add(2*time.Second), change(2, "t", entry(5, 8)))
	g.Expect(targetIDs(l)).To(BeEmpty())
	l.Apply(startTime.Add(6500*time.Millisecond), change(3, "t", nil))
	l.Apply(startTime.Add(time.Minute), unchanged(4))
	g.Expect(targetIDs(l)).To(BeEmpty())
	l.Apply(startTime.Add(time.Minute), change(4, "t", entry(6, 1)))
	g.Expect(targetIDs(l)).To(ConsistOf("t"), "it has started again")
}

// Guards against ignoring that a target leaves for as long as it runs, because its clock
// was set back before it started again.
func TestTargetWhoseClockWasSetBackCanLeave(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	l.Apply(startTime, fullRead(1, watch.Change{ID: "t", Entry: entry(5000, 9)}))
	l.Apply(startTime.Add(time.Second), change(1, "t", entry(4000, 1)))
	g.Expect(l.Targets()["orders"]).To(ConsistOf(HaveField("StartMillis", int64(5000))))
	for second := 2; second <= 5; second++ {
		g.Expect(l.Apply(startTime.Add(time.Duration(second)*time.Second), unchanged(2)).Changes).To(BeEmpty())
	}
	l.Apply(startTime.Add(6*time.Second), unchanged(2))
	g.Expect(l.Apply(startTime.Add(8*time.Second), unchanged(2)).Changes).To(HaveLen(1))
	g.Expect(l.Targets()["orders"]).To(ConsistOf(HaveField("StartMillis", int64(4000))))
	leaving := entry(4000, 7)
	leaving.Draining = true
	l.Apply(startTime.Add(9*time.Second), change(2, "t", leaving))
	g.Expect(targetIDs(l)).To(BeEmpty())
}

// Guards against a target that is ignored for as long as it runs, because its own
// heartbeats renew the entry that is ignored.
func TestHeartbeatsDoNotProlongLateEntry(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	l.Apply(startTime, fullRead(1, watch.Change{ID: "t", Entry: entry(5000, 9)}))
	now := startTime
	for beat := range int64(8) {
		now = now.Add(1500 * time.Millisecond)
		l.Apply(now, change(beat+1, "t", entry(4000, beat)))
	}
	g.Expect(l.Targets()["orders"]).To(ConsistOf(HaveField("StartMillis", int64(4000))))
}

// Guards against requests to a target that drains a moment after it started with its clock
// set back, and against leaving it out for good if an earlier run said so.
func TestLateDrainingEntryIsHeededUntilTheNextHeartbeat(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	l.Apply(startTime, fullRead(1, watch.Change{ID: "t", Entry: entry(5000, 9)}))
	leaving := entry(4000, 2)
	leaving.Draining = true
	result := l.Apply(startTime.Add(time.Second), change(1, "t", leaving))
	g.Expect(result.Changes).To(HaveLen(1))
	g.Expect(targetIDs(l)).To(BeEmpty())
	result = l.Apply(startTime.Add(2*time.Second), change(2, "t", entry(5000, 10)))
	g.Expect(result.Changes).To(HaveLen(1))
	g.Expect(targetIDs(l)).To(ConsistOf("t"))
}

// Guards against a daemon that cannot tell that its target's entry is current, because
// the sender left out an entry that it ignored itself.
func TestLateEntriesAreHandedOn(t *testing.T) {
	g := NewWithT(t)
	full := fullRead(1, watch.Change{ID: "t", Entry: entry(5000, 9)})
	sender, peer, started := watch.NewList(), watch.NewList(), watch.NewList()
	sender.Apply(startTime, full)
	peer.Apply(startTime, full)
	sender.Apply(startTime, change(1, "t", entry(4000, 1)))
	delta, ok := sender.ChangesSince(startTime, watch.Position{Version: 1})
	g.Expect(ok).To(BeTrue())
	peer.Apply(startTime, delta)
	started.Apply(startTime, sender.Snapshot(startTime))
	for _, l := range []*watch.List{peer, started} {
		for second := range 8 {
			l.Apply(startTime.Add(time.Duration(second)*time.Second), unchanged(2))
		}
		g.Expect(l.Targets()["orders"]).To(ConsistOf(HaveField("StartMillis", int64(4000))))
	}
}

// Guards against requests to a target that drains: its next heartbeat replaced an earlier one
// that took effect late, but a peer was not told, because nothing else in the entry changed,
// and accepted the late one.
func TestPeersLearnThatLateEntryIsReplaced(t *testing.T) {
	g := NewWithT(t)
	leaving := entry(5, 9)
	leaving.Draining = true
	next := entry(5, 10)
	next.Draining = true
	sender, peer := watch.NewList(), watch.NewList()
	for _, l := range []*watch.List{sender, peer} {
		l.Apply(startTime, fullRead(1, watch.Change{ID: "t", Entry: leaving}))
		l.Apply(startTime, change(1, "t", entry(5, 8)))
	}
	sender.Apply(startTime.Add(time.Second), change(2, "t", next))
	for second := 1; second <= 8; second++ {
		now := startTime.Add(time.Duration(second) * time.Second)
		sender.Apply(now, unchanged(3))
		passOn(g, now, sender, peer)
		g.Expect(targetIDs(peer)).To(BeEmpty())
	}
}

// Guards against a daemon that never uses a target, because it started while the target's entry
// was taken for a late one: the others accept the entry, and the store does not tell of it again.
func TestAcceptedLateEntryReachesPeersThatStartedMeanwhile(t *testing.T) {
	g := NewWithT(t)
	sender, started := watch.NewList(), watch.NewList()
	sender.Apply(startTime, fullRead(1, watch.Change{ID: "t", Entry: entry(5000, 9)}))
	sender.Apply(startTime, change(1, "t", nil))
	sender.Apply(startTime, change(2, "t", entry(4000, 1)))
	started.Apply(startTime, sender.Snapshot(startTime))
	g.Expect(targetIDs(started)).To(BeEmpty())
	sent := 0
	for second := 1; second <= 30; second++ {
		now := startTime.Add(time.Duration(second) * time.Second)
		sender.Apply(now, unchanged(3))
		sent += len(passOn(g, now, sender, started).Changes)
	}
	g.Expect(started.Targets()["orders"]).To(ConsistOf(HaveField("StartMillis", int64(4000))))
	g.Expect(sent).To(BeNumerically("<=", 6), "not for ever")
}

// Guards against requests to a target that left: its late entry was deleted, but a daemon that
// has started since, and never knew of the target, read that and did not tell the others.
func TestRemovalOfUnknownTargetReachesPeers(t *testing.T) {
	g := NewWithT(t)
	peer, started := watch.NewList(), watch.NewList()
	peer.Apply(startTime, fullRead(1, watch.Change{ID: "t", Entry: entry(5, 9)}))
	peer.Apply(startTime, change(1, "t", nil))
	peer.Apply(startTime, change(2, "t", entry(5, 8)))
	started.Apply(startTime, peer.Snapshot(startTime))
	g.Expect(targetIDs(started)).To(BeEmpty())
	started.Apply(startTime.Add(time.Second), change(3, "t", nil))
	for second := 1; second <= 8; second++ {
		now := startTime.Add(time.Duration(second) * time.Second)
		started.Apply(now, unchanged(4))
		passOn(g, now, started, peer)
		g.Expect(targetIDs(peer)).To(BeEmpty())
	}
	started.Apply(startTime.Add(9*time.Second), change(4, "t", entry(6, 1)))
	g.Expect(targetIDs(started)).To(ConsistOf("t"), "it has started again")
}

// Guards against requests to a target that drains, because an earlier heartbeat took effect
// late and the store was away after that: nothing could replace or delete the late entry, so
// that it is still there says nothing.
func TestLateEntryIsNotAcceptedInOutage(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	leaving := entry(5, 9)
	leaving.Draining = true
	l.Apply(startTime, fullRead(1, watch.Change{ID: "t", Entry: leaving}))
	l.Apply(startTime.Add(time.Second), change(1, "t", entry(5, 8)))
	returned := startTime.Add(11 * time.Second)
	l.Apply(returned, unchanged(2))
	g.Expect(targetIDs(l)).To(BeEmpty(), "the first read after the outage")
	for second := range 8 {
		l.Apply(returned.Add(time.Duration(second)*time.Second), unchanged(2))
	}
	g.Expect(targetIDs(l)).To(ConsistOf("t"), "the store was available for long enough")
}
