package watch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/watch"
)

var begin = time.Unix(1000, 0)

func entry(born, seq int64) *watch.Entry {
	return &watch.Entry{Service: "orders", Address: "10.0.0.1:80", DataCentre: "a", Slots: 2, Born: born, Seq: seq}
}

func ids(l *watch.List) []string {
	var out []string
	for _, t := range l.Targets()["orders"] {
		out = append(out, t.ID)
	}
	return out
}

// whole is a read of the whole list.
func whole(version int64, changes ...watch.Change) watch.Delta {
	return watch.Delta{Version: version, Changes: changes}
}

// Guards against an earlier run's heartbeat that makes a leaving target ready again.
func TestOldHeartbeatsSayNothing(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	leaving := entry(5, 9)
	leaving.Draining = true
	l.Apply(begin, whole(1, watch.Change{ID: "t", Entry: leaving}))
	l.Apply(begin, watch.Delta{Since: 1, Version: 2, Changes: []watch.Change{{ID: "t", Entry: entry(5, 8)}}})
	g.Expect(ids(l)).To(BeEmpty())
	l.Apply(begin, watch.Delta{Since: 2, Version: 3, Changes: []watch.Change{{ID: "t", Entry: entry(4, 100)}}})
	g.Expect(ids(l)).To(BeEmpty())
	l.Apply(begin, watch.Delta{Since: 3, Version: 4, Changes: []watch.Change{{ID: "t", Entry: entry(6, 1)}}})
	g.Expect(ids(l)).To(ConsistOf("t"))
}

// Guards against dropping all targets because their entries lapsed while the
// store was away, and against keeping those that do not come back.
func TestLapsedEntriesGetGrace(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	l.Apply(begin, whole(1, watch.Change{ID: "a", Entry: entry(1, 1)}, watch.Change{ID: "b", Entry: entry(1, 1)}))
	back := begin.Add(10 * time.Second)
	out := l.Apply(back, whole(2))
	g.Expect(out.Returned).To(BeTrue())
	g.Expect(ids(l)).To(ConsistOf("a", "b"))
	l.Apply(back.Add(time.Second), watch.Delta{Since: 2, Version: 3, Changes: []watch.Change{{ID: "a", Entry: entry(1, 2)}}})
	g.Expect(l.Expire(back.Add(2100 * time.Millisecond))).To(BeFalse())
	g.Expect(l.Expire(back.Add(2500 * time.Millisecond))).To(BeTrue())
	g.Expect(ids(l)).To(ConsistOf("a"))
}

// Guards against work for a target that is gone while the store is sound.
func TestGoneIsGoneWithoutOutage(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	l.Apply(begin, whole(1, watch.Change{ID: "a", Entry: entry(1, 1)}))
	l.Apply(begin.Add(time.Second), watch.Delta{Since: 1, Version: 2, Changes: []watch.Change{{ID: "a"}}})
	g.Expect(ids(l)).To(BeEmpty())
}

// Guards against changes that are missed because a message was lost.
func TestDeltaWithGapIsNotTaken(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	l.Apply(begin, whole(5, watch.Change{ID: "a", Entry: entry(1, 1)}))
	g.Expect(l.Apply(begin, watch.Delta{Since: 7, Version: 8, Changes: []watch.Change{{ID: "a"}}}).Taken).To(BeFalse())
	g.Expect(l.Apply(begin, watch.Delta{Since: 2, Version: 4, Changes: []watch.Change{{ID: "a"}}}).Taken).To(BeFalse())
	g.Expect(ids(l)).To(ConsistOf("a"))
}

// Guards against heartbeats that are passed on to all daemons although nothing changed.
func TestHeartbeatsAreNotChanges(t *testing.T) {
	g := NewWithT(t)
	l := watch.NewList()
	l.Apply(begin, whole(1, watch.Change{ID: "a", Entry: entry(1, 1)}))
	out := l.Apply(begin, watch.Delta{Since: 1, Version: 2, Changes: []watch.Change{{ID: "a", Entry: entry(1, 2)}}})
	g.Expect(out.Taken).To(BeTrue())
	g.Expect(out.Changes).To(BeEmpty())
}

// Guards against a long list that does not fit in one message and is never passed on.
func TestPiecesMakeTheWhole(t *testing.T) {
	g := NewWithT(t)
	d := watch.Delta{Since: 3, Version: 9}
	for i := range 20 {
		d.Changes = append(d.Changes, watch.Change{ID: fmt.Sprint(i)})
	}
	parts := d.Split(8)
	g.Expect(parts).To(HaveLen(3))
	var a watch.Assembly
	for _, i := range []int{2, 0} {
		_, ok := a.Add(parts[i])
		g.Expect(ok).To(BeFalse())
	}
	got, ok := a.Add(parts[1])
	g.Expect(ok).To(BeTrue())
	g.Expect(got).To(Equal(d))
	g.Expect(watch.Delta{Version: 4}.Split(8)).To(HaveLen(1))
}

// Load pattern: all daemons of a data centre want the list. Guards against a fleet
// in which each reads the store, and against a list that grows stale when the
// first reader dies.
func TestReadersTakeTurnsByRank(t *testing.T) {
	g := NewWithT(t)
	var s watch.Schedule
	first := s.Due(begin, begin, 0)
	g.Expect(s.Due(begin, begin, 1)).To(BeTemporally(">", first))
	g.Expect(s.Due(begin, begin, 100).Sub(begin)).To(BeNumerically("<", 1700*time.Millisecond))
}

// Load pattern: the list is so long that its read takes longer than the ranks are
// apart. Guards against all daemons of a data centre that read the store because what
// the first one passes on is old when it comes.
func TestSlowReadsOfTheFirstAreWaitedFor(t *testing.T) {
	g := NewWithT(t)
	var s watch.Schedule
	const read = 700 * time.Millisecond
	heard := begin.Add(read)
	next := s.Due(begin, heard, 0).Add(read)
	for rank := 3; rank < 60; rank++ {
		g.Expect(s.Due(begin, heard, rank)).To(BeTemporally(">=", next))
	}
}

// Load pattern: the store refuses all calls. Guards against calls at full rate.
func TestFailedReadsBackOff(t *testing.T) {
	g := NewWithT(t)
	var s watch.Schedule
	now := begin
	for range 10 {
		s.Failed(now)
		now = s.Due(begin, begin, 0)
	}
	last := now
	s.Failed(now)
	g.Expect(s.Due(begin, begin, 0).Sub(last)).To(Equal(2 * time.Second))
	s.Succeeded()
	g.Expect(s.Due(last, last, 0).Sub(last)).To(BeNumerically("<", time.Second))
}
