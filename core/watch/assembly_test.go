package watch_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/watch"
)

// deltaOf returns a delta to version 13 with a change of each target.
func deltaOf(since int64, ids ...string) watch.Delta {
	d := watch.Delta{Since: since, Version: 13}
	for _, id := range ids {
		d.Changes = append(d.Changes, watch.Change{ID: id})
	}
	return d
}

// Guards against requests to a leaving target whose change is lost although all parts
// seem to have arrived: two daemons send the same version in different parts.
func TestPartsOfDifferentSendersAreNotMixed(t *testing.T) {
	for name, second := range map[string]watch.Delta{
		"other start":     deltaOf(12, "leaving", "c", "b"),
		"other order":     deltaOf(10, "leaving", "c", "b", "a"),
		"other selection": deltaOf(10, "leaving", "c", "d"),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var a watch.Assembler
			first := deltaOf(10, "a", "b", "c", "leaving")
			inTurn := []watch.Part{first.Split(2)[0], second.Split(2)[1], second.Split(2)[0], first.Split(2)[1]}
			var complete []watch.Delta
			for i, sender := range []string{"vm-1", "vm-2", "vm-2", "vm-1"} {
				if d, ok := a.Add(sender, inTurn[i]); ok {
					complete = append(complete, d)
				}
			}
			g.Expect(complete).To(ConsistOf(first, second))
		})
	}
}

// Guards against memory that grows with the number of daemons that ever sent a part.
func TestIncompleteDeltasOfManySendersAreForgotten(t *testing.T) {
	g := NewWithT(t)
	var a watch.Assembler
	part := deltaOf(10, "a", "b").Split(1)
	for i := range 1000 {
		a.Add(fmt.Sprint("vm-", i), part[0])
	}
	g.Expect(a.Senders()).To(BeNumerically("<=", 64))
}
