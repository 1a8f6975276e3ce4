package watch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/watch"
)

// The eras before and after the store came back from a copy.
var (
	oldEra = watch.NewEra(1)
	newEra = watch.NewEra(2)
)

// in returns the delta as one of the era.
func in(e watch.Era, d watch.Delta) watch.Delta {
	d.Era = e
	return d
}

func present(id string, e *watch.Entry) watch.Change {
	return watch.Change{ID: id, Entry: e}
}

func draining(e *watch.Entry) *watch.Entry {
	e.Draining = true
	return e
}

// listOf returns a list that was read at startTime at version 100 of the old era.
func listOf(changes ...watch.Change) *watch.List {
	l := watch.NewList()
	l.Apply(startTime, in(oldEra, fullRead(100, changes...)))
	return l
}

// Guards against using the list from before the store came back from a copy for as long as
// the versions in the store are lower.
func TestWholeListOfNewEraIsTakenAtLowerVersion(t *testing.T) {
	g := NewWithT(t)
	l := listOf(present("a", entry(1, 5)), present("b", entry(1, 5)))
	now := startTime.Add(time.Second)
	d := fullRead(50, present("a", entry(1, 5)), present("b", draining(entry(1, 6))))
	d.Age = 1500 * time.Millisecond
	out := l.Apply(now, in(newEra, d))
	g.Expect(out.Accepted()).To(BeTrue())
	g.Expect(out.EraStart).To(Equal(&watch.EraStart{Previous: oldEra}))
	g.Expect(targetIDs(l)).To(ConsistOf("a"))
	position, asOf := l.Position()
	g.Expect(position).To(Equal(watch.Position{Era: newEra, Version: 50}))
	g.Expect(asOf).To(Equal(now.Add(-d.Age)), "not the time of the last read in the old era")
	g.Expect(l.Apply(now, in(newEra, change(50, "a", draining(entry(1, 6))))).EraStart).To(BeNil())
	g.Expect(targetIDs(l)).To(BeEmpty())
}

// Guards against changes that are missed because the versions of a new era have passed the one
// of the list, so that its changes seem to fit.
func TestChangesOfNewEraNeedItsWholeList(t *testing.T) {
	g := NewWithT(t)
	l := listOf(present("a", entry(1, 5)))
	out := l.Apply(startTime, in(newEra, change(100, "b", entry(1, 1))))
	g.Expect(out.Rejection).To(Equal(watch.EraGap))
	g.Expect(targetIDs(l)).To(ConsistOf("a"))
}

// Guards against a daemon that has not noticed the new era, or an answer that was on its way,
// undoing the list of one that has, whichever comes first.
func TestListOfOldEraChangesNothingInNewOne(t *testing.T) {
	first := in(newEra, fullRead(50, present("a", entry(1, 5))))
	late := map[string]watch.Delta{
		"changes":       in(oldEra, change(100, "a", nil)),
		"later changes": in(oldEra, watch.Delta{Since: 50, Version: 200, Changes: []watch.Change{{ID: "a"}}}),
		"whole list":    in(oldEra, fullRead(101)),
	}
	for name, d := range late {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := listOf(present("a", entry(1, 5)))
			l.Apply(startTime, first)
			g.Expect(l.Apply(startTime, d).Rejection).To(Equal(watch.Outdated))
			g.Expect(targetIDs(l)).To(ConsistOf("a"))
			l = listOf(present("a", entry(1, 5)))
			l.Apply(startTime, d)
			g.Expect(l.Apply(startTime, first).Accepted()).To(BeTrue())
			position, _ := l.Position()
			g.Expect(position).To(Equal(watch.Position{Era: newEra, Version: 50}))
			l.Apply(startTime, in(newEra, change(50, "a", entry(1, 6))))
			g.Expect(targetIDs(l)).To(ConsistOf("a"))
		})
	}
}

// Guards against the removal of targets that started in the seconds that the store has lost:
// they need time to write their entries again, also after an outage of a moment.
func TestTargetsMissingFromCopyAreKeptForGracePeriod(t *testing.T) {
	g := NewWithT(t)
	l := listOf(present("live", entry(1, 5)), present("gone", entry(1, 5)))
	returned := startTime.Add(time.Second)
	out := l.Apply(returned, in(newEra, fullRead(50)))
	g.Expect(out.EraStart.Missing).To(Equal(2))
	g.Expect(targetIDs(l)).To(ConsistOf("live", "gone"))
	l.Apply(returned.Add(500*time.Millisecond), in(newEra, watch.Delta{Since: 50, Version: 50, Uptime: 500 * time.Millisecond}))
	g.Expect(targetIDs(l)).To(ConsistOf("live", "gone"))
	l.Apply(returned.Add(1900*time.Millisecond), in(newEra, change(50, "live", entry(1, 6))))
	l.Apply(returned.Add(2100*time.Millisecond), in(newEra, unchanged(51)))
	g.Expect(targetIDs(l)).To(ConsistOf("live", "gone"))
	l.Apply(returned.Add(2500*time.Millisecond), in(newEra, unchanged(51)))
	g.Expect(targetIDs(l)).To(ConsistOf("live"))
}

// Guards against a grace period that ends at once, because a daemon that knows only the old
// era says for how long the store was readable in it.
func TestReadsOfOldEraDoNotEndGracePeriod(t *testing.T) {
	g := NewWithT(t)
	l := listOf(present("live", entry(1, 5)))
	returned := startTime.Add(time.Second)
	l.Apply(returned, in(newEra, fullRead(50)))
	l.Apply(returned, in(oldEra, watch.Delta{Since: 100, Version: 101, Uptime: time.Hour}))
	l.Apply(returned.Add(time.Second), in(newEra, unchanged(50)))
	g.Expect(targetIDs(l)).To(ConsistOf("live"))
}

// Guards against a grace period that begins anew at a daemon that learns of the era late: its
// peers know for how long the store has been back.
func TestGracePeriodOfNewEraIsThatOfThePeers(t *testing.T) {
	g := NewWithT(t)
	l := listOf(present("live", entry(1, 5)), present("gone", entry(1, 5)))
	late := startTime.Add(10 * time.Second)
	d := fullRead(60, present("live", entry(1, 9)))
	d.Uptime = 8 * time.Second
	l.Apply(late, in(newEra, d))
	g.Expect(targetIDs(l)).To(ConsistOf("live"))
}

// Guards against an older copy of the store that undoes what targets have said since: that
// they drain, that they are gone, or that they have started again.
func TestCopyDoesNotUndoWhatTargetsSaid(t *testing.T) {
	g := NewWithT(t)
	l := listOf(
		present("draining", entry(1, 5)), present("gone", entry(1, 5)), present("same", entry(1, 5)),
		present("unread", entry(1, 5)), present("restarted", entry(1, 5)),
	)
	l.Apply(startTime, in(oldEra, watch.Delta{Since: 100, Version: 110, Changes: []watch.Change{
		present("draining", draining(entry(1, 6))),
		present("gone", entry(1, 6)),
		present("restarted", entry(2, 1)),
	}}))
	l.Apply(startTime, in(oldEra, watch.Delta{Since: 110, Version: 113, Changes: []watch.Change{{ID: "gone"}, {ID: "same"}, {ID: "unread"}}}))
	g.Expect(targetIDs(l)).To(ConsistOf("restarted"))

	out := l.Apply(startTime.Add(time.Second), in(newEra, fullRead(
		50, present("draining", entry(1, 5)), present("gone", entry(1, 5)), present("same", entry(1, 5)),
		present("unread", entry(1, 6)), present("restarted", draining(entry(1, 5))),
	)))
	g.Expect(out.EraStart.Outdated).To(Equal(5))
	g.Expect(l.Targets()["orders"]).To(ConsistOf(HaveField("StartMillis", int64(2))))

	now := startTime.Add(2 * time.Second)
	l.Apply(now, in(newEra, change(50, "unread", entry(1, 6))))
	g.Expect(targetIDs(l)).To(ConsistOf("restarted"), "the removal came after the last heartbeat, which was not read")
	l.Apply(now, in(newEra, change(51, "same", entry(1, 6))))
	l.Apply(now, in(newEra, change(52, "unread", entry(1, 7))))
	g.Expect(targetIDs(l)).To(ConsistOf("restarted", "same", "unread"), "they have written again")
}

// Guards against a target that is left out for good because the copy holds an entry that
// looks older than the last one known, although it is the one that the target writes.
func TestEntryOfCopyIsAcceptedIfItStays(t *testing.T) {
	g := NewWithT(t)
	l := listOf(present("t", entry(5000, 9)))
	l.Apply(startTime, in(oldEra, change(100, "t", nil)))
	l.Apply(startTime, in(newEra, fullRead(50, present("t", entry(4000, 1)))))
	g.Expect(targetIDs(l)).To(BeEmpty())
	for second := 1; second <= 7; second++ {
		l.Apply(startTime.Add(time.Duration(second)*time.Second), in(newEra, unchanged(50)))
	}
	g.Expect(targetIDs(l)).To(ConsistOf("t"))
}

// Guards against a copy of an empty store, at version 0, after which the list seems to have been
// read never before: targets have to be kept in the next era too.
func TestCopyOfEmptyStoreIsAnEra(t *testing.T) {
	g := NewWithT(t)
	l := listOf(present("live", entry(1, 5)))
	now := startTime.Add(time.Second)
	l.Apply(now, in(newEra, fullRead(0)))
	g.Expect(targetIDs(l)).To(ConsistOf("live"))
	now = now.Add(2 * time.Second)
	g.Expect(l.Apply(now, in(watch.NewEra(3), fullRead(0))).EraStart).NotTo(BeNil())
	l.Apply(now.Add(2*time.Second), in(watch.NewEra(3), fullRead(1)))
	g.Expect(targetIDs(l)).To(ConsistOf("live"))
}

// Guards against a second return of the store, soon after the first one, that is not noticed
// because it is from the same copy, or after which targets have no time to write again.
func TestSecondCopyIsOneMoreEra(t *testing.T) {
	g := NewWithT(t)
	l := listOf(present("live", entry(1, 5)), present("left", entry(1, 5)))
	first := startTime.Add(time.Second)
	l.Apply(first, in(newEra, fullRead(50, present("left", entry(1, 5)))))
	l.Apply(first, in(newEra, change(50, "left", draining(entry(1, 6)))))
	second := first.Add(1500 * time.Millisecond)
	out := l.Apply(second, in(watch.NewEra(3), fullRead(50, present("left", entry(1, 5)))))
	g.Expect(out.EraStart.Previous).To(Equal(newEra))
	l.Apply(second.Add(1500*time.Millisecond), in(watch.NewEra(3), unchanged(50)))
	g.Expect(targetIDs(l)).To(ConsistOf("live"))
	l.Apply(second.Add(2500*time.Millisecond), in(watch.NewEra(3), unchanged(50)))
	g.Expect(targetIDs(l)).To(BeEmpty())
}

// Guards against a peer that misses changes because the daemon that sends them counts them
// from a version of another era, or claims to know those of an era that it did not read.
func TestChangesForPeersAreOfOneEra(t *testing.T) {
	g := NewWithT(t)
	sender := listOf(present("a", entry(1, 5)), present("b", entry(1, 5)))
	peer := listOf(present("a", entry(1, 5)), present("b", entry(1, 5)))
	sender.Apply(startTime, in(oldEra, change(100, "b", draining(entry(1, 6)))))
	sender.Apply(startTime, in(newEra, fullRead(50, present("a", entry(1, 5)), present("b", entry(1, 5)))))
	_, ok := sender.ChangesSince(startTime, watch.Position{Era: oldEra, Version: 100})
	g.Expect(ok).To(BeFalse())
	_, ok = sender.ChangesSince(startTime, watch.Position{Era: newEra, Version: 49})
	g.Expect(ok).To(BeFalse())

	g.Expect(peer.Apply(startTime, sender.Snapshot(startTime)).Accepted()).To(BeTrue())
	g.Expect(targetIDs(peer)).To(ConsistOf("a"), "the sender knows that b drains, the copy does not")
	since, _ := peer.Position()
	sender.Apply(startTime, in(newEra, change(50, "a", draining(entry(1, 6)))))
	d, ok := sender.ChangesSince(startTime, since)
	g.Expect(ok).To(BeTrue())
	g.Expect(d.Changes).To(HaveLen(1), "not the change in the old era, whose version is higher")
	g.Expect(peer.Apply(startTime, d).Accepted()).To(BeTrue())
	g.Expect(targetIDs(peer)).To(BeEmpty())
}

// Guards against daemons that do not understand those of an earlier version of the software,
// which name no era, and against a store that begins to name it.
func TestDeltasWithoutEraAreComparedByVersion(t *testing.T) {
	g := NewWithT(t)
	l := listOf(present("a", entry(1, 5)))
	g.Expect(l.Apply(startTime, change(99, "a", nil)).Accepted()).To(BeTrue())
	g.Expect(targetIDs(l)).To(BeEmpty())
	g.Expect(l.Apply(startTime, fullRead(90)).Rejection).To(Equal(watch.Outdated))
	_, ok := l.ChangesSince(startTime, watch.Position{Version: 100})
	g.Expect(ok).To(BeTrue())

	l = watch.NewList()
	l.Apply(startTime, fullRead(100, present("a", entry(1, 5))))
	g.Expect(l.Apply(startTime, in(newEra, unchanged(100))).Rejection).To(Equal(watch.EraGap))
	l.Apply(startTime, in(newEra, fullRead(50, present("b", entry(1, 5)))))
	position, _ := l.Position()
	g.Expect(position.Era).To(Equal(newEra))
}

// Guards against an incomplete delta of an earlier era that keeps those of the new one, whose
// versions are lower, from being joined.
func TestIncompleteDeltaOfOldEraIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	parts := func(e watch.Era, version int64) []watch.Part {
		d := in(e, watch.Delta{Since: 1, Version: version})
		for i := range 4 {
			d.Changes = append(d.Changes, watch.Change{ID: fmt.Sprint(i)})
		}
		return d.Split(2)
	}
	var a watch.Assembler
	a.Add("vm-1", parts(oldEra, 100)[0])
	a.Add("vm-1", parts(newEra, 50)[0])
	_, complete := a.Add("vm-1", parts(oldEra, 100)[1])
	g.Expect(complete).To(BeFalse())
	d, complete := a.Add("vm-1", parts(newEra, 50)[1])
	g.Expect(complete).To(BeTrue())
	g.Expect(d.Position()).To(Equal(watch.Position{Era: newEra, Version: 50}))
}
