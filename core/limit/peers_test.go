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
func loads(targets int, n float64) (l []limit.Load) {
	for _, t := range ready(targets, 1).Targets {
		l = append(l, limit.Load{Target: t.ID, InFlight: n})
	}
	return l
}

// Own and peers' work together must stay within the slots but for this daemon's
// share, which is one slot of each target here.
func TestPeersTakeSlots(t *testing.T) {
	inBubble(t, ready(4, 2), func(r *rig) {
		r.gate.SetPeer("p", append(loads(1, 2), limit.Load{Target: "t01", InFlight: 1}), time.Now())
		for range 6 {
			r.granted(lookup)
		}
		r.Expect(r.gate.InUse()).To(gomega.Equal(map[fleet.TargetID]int{"t00": 1, "t01": 1, "t02": 2, "t03": 2}))
		w := r.waits(r.launch("", lookup), "a slot in use by a peer was granted")
		r.gate.SetPeer("p", nil, time.Now())
		synctest.Wait()
		r.Expect(w.grant()).NotTo(gomega.BeNil(), "a slot that a peer freed is not used")
	})
}

// The shares of the daemons must add up to the slots, also when each daemon claims
// all slots in its reports.
func TestSharesAddUp(t *testing.T) {
	used := map[fleet.TargetID]int{}
	for i := range 6 {
		inBubble(t, near(10, 2, i), func(r *rig) {
			vm := func(i int) fleet.VMID { return fleet.VMID(fmt.Sprint("vm", i)) }
			r.gate = limit.New(vm(i), limit.WithSnapshot(near(10, 2, i)))
			for p := range 6 {
				if p != i {
					r.gate.SetPeer(vm(p), loads(10, 2), time.Now())
				}
			}
			for range 20 {
				r.launch("", lookup)
			}
			for id, n := range r.gate.InUse() {
				used[id] += n
			}
		})
	}
	for _, target := range ready(10, 2).Targets {
		gomega.NewWithT(t).Expect(used[target.ID]).To(gomega.Equal(2), string(target.ID))
	}
}

// A daemon without a share must still be served.
func TestNoShare(t *testing.T) {
	inBubble(t, ready(1, 1), func(r *rig) {
		for p := range 20 {
			r.gate.SetPeer(fleet.VMID(fmt.Sprint("p", p)), loads(1, 1), time.Now())
		}
		r.granted(lookup)
		r.waits(r.launch("", lookup), "more than one slot without a share")
	})
}

// A report that arrives after a newer one must not replace it.
func TestOldReportIsIgnored(t *testing.T) {
	inBubble(t, ready(1, 2), func(r *rig) {
		time.Sleep(time.Second)
		r.gate.SetPeer("p", loads(1, 1), time.Now())
		r.gate.SetPeer("p", nil, time.Now().Add(-time.Second))
		r.granted(lookup)
		r.waits(r.launch("", lookup), "the older report was used")
	})
}

// A daemon must be served although its peers report all slots as theirs, for ever
// or for the last time; what an unheard peer holds decays.
func TestStaleReportsDoNotStarve(t *testing.T) {
	inBubble(t, ready(4, 2), func(r *rig) {
		r.gate.SetPeer("p", loads(4, 2), time.Now())
		r.gate.SetPeer("q", loads(4, 100), time.Now())
		r.granted(lookup)
		r.granted(lookup)
		w := r.waits(r.launch("", lookup), "more than the share of 8 slots among 3 daemons")
		later(15 * time.Second)
		r.Expect(w.grant()).NotTo(gomega.BeNil(), "the share of an unheard peer does not decay")
		r.gate.SetPeer("p", loads(4, 2), time.Now())
		r.granted(lookup)
		rest := r.waits(r.launch("", lookup), "more than the share of 8 slots among 2 daemons")
		r.gate.DropPeer("p")
		synctest.Wait()
		r.Expect(rest.grant()).NotTo(gomega.BeNil(), "a peer that left keeps its slots")
	})
}

// The report is the mean since the last one, so that one instant does not stand for
// an interval.
func TestReportIsMean(t *testing.T) {
	inBubble(t, ready(1, 2), func(r *rig) {
		gr := r.granted(lookup)
		time.Sleep(500 * time.Millisecond)
		gr.Release(limit.Served)
		time.Sleep(1500 * time.Millisecond)
		r.Expect(r.gate.InFlight()).To(gomega.Equal([]limit.Load{{Target: "t00", InFlight: 0.25}}))
		time.Sleep(2 * time.Second)
		r.Expect(r.gate.InFlight()).To(gomega.BeEmpty())
	})
}
