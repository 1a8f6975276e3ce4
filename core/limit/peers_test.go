package limit_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
)

// loads reports n requests at each of the first targets.
func loads(targets int, n float64) []limit.Load {
	var l []limit.Load
	for i := range targets {
		l = append(l, limit.Load{Target: fleet.TargetID(fmt.Sprintf("t%02d", i)), InFlight: n})
	}
	return l
}

// Own and peers' work together must stay within the slots.
func TestPeersTakeSlots(t *testing.T) {
	inBubble(t, func(r *rig) {
		gate := r.open(ready(4, 2))
		gate.SetPeer("p", append(loads(1, 2), limit.Load{Target: "t01", InFlight: 1}), time.Now())
		used := map[fleet.TargetID]int{}
		for range 5 {
			used[r.granted(lookup("w")).Target]++
		}
		r.Expect(used).To(gomega.Equal(map[fleet.TargetID]int{"t01": 1, "t02": 2, "t03": 2}))
		w := r.launch("", lookup("w"))
		r.Expect(w.done()).To(gomega.BeFalse(), "a slot in use by a peer was granted")
		gate.SetPeer("p", nil, time.Now())
		synctest.Wait()
		r.Expect(w.grant()).NotTo(gomega.BeNil(), "a slot that a peer freed is not used")
	})
}

// A report that arrives after a newer one must not replace it.
func TestOldReportIsIgnored(t *testing.T) {
	inBubble(t, func(r *rig) {
		gate := r.open(ready(1, 2))
		time.Sleep(time.Second)
		gate.SetPeer("p", loads(1, 1), time.Now())
		gate.SetPeer("p", nil, time.Now().Add(-time.Second))
		r.granted(lookup("w"))
		r.Expect(r.launch("", lookup("w")).done()).To(gomega.BeFalse())
	})
}

// A daemon must be served although its peers report all slots as theirs, for ever
// or for the last time; what an unheard peer holds decays.
func TestStaleReportsDoNotStarve(t *testing.T) {
	inBubble(t, func(r *rig) {
		gate := r.open(ready(4, 2))
		gate.SetPeer("p", loads(4, 2), time.Now())
		gate.SetPeer("q", loads(4, 100), time.Now())
		for range 2 {
			r.granted(lookup("w"))
		}
		w := r.launch("", lookup("w"))
		r.Expect(w.done()).To(gomega.BeFalse(), "more than the fair share of 8 slots among 3 daemons")
		time.Sleep(12 * time.Second)
		synctest.Wait()
		r.Expect(w.grant()).NotTo(gomega.BeNil(), "the share of an unheard peer does not decay")
		gate.SetPeer("p", loads(4, 2), time.Now())
		r.granted(lookup("w"))
		rest := r.launch("", lookup("w"))
		r.Expect(rest.done()).To(gomega.BeFalse(), "more than the fair share of 8 slots among 2 daemons")
		gate.DropPeer("p")
		synctest.Wait()
		r.Expect(rest.grant()).NotTo(gomega.BeNil(), "a peer that left keeps its slots")
	})
}
