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
	l.Expire(startTime.Add(time.Minute))
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
	g.Expect(l.Expire(startTime.Add(5 * time.Second))).To(BeFalse())
	g.Expect(l.Expire(startTime.Add(8 * time.Second))).To(BeTrue())
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
		l.Expire(now)
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
	delta, ok := sender.ChangesSince(startTime, 1)
	g.Expect(ok).To(BeTrue())
	peer.Apply(startTime, delta)
	started.Apply(startTime, sender.Snapshot(startTime))
	for _, l := range []*watch.List{peer, started} {
		l.Expire(startTime.Add(time.Minute))
		g.Expect(l.Targets()["orders"]).To(ConsistOf(HaveField("StartMillis", int64(4000))))
	}
}
