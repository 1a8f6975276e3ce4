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

// loads returns a report of n requests in flight at each of the first targets.
func loads(targets int, n float64) (l []limit.Load) {
	for _, t := range readySnapshot(targets, 1).Targets {
		l = append(l, limit.Load{Target: t.ID, InFlight: n})
	}
	return l
}

// Guards against more work at a target than it has slots: this daemon's requests and
// those reported by peers must stay within the slots, except that this daemon may always
// use its quota, which is one slot of each target here.
func TestPeerLoadLimitsGrants(t *testing.T) {
	inBubble(t, readySnapshot(4, 2), func(h *harness) {
		h.limiter.SetPeerLoads("p", append(loads(1, 2), limit.Load{Target: "t01", InFlight: 1}), time.Now())
		for range 6 {
			h.mustAcquire(lookup)
		}
		h.Expect(h.limiter.SlotsInUse()).To(gomega.Equal(map[fleet.TargetID]int{"t00": 1, "t01": 1, "t02": 2, "t03": 2}))
		w := h.expectWaiting(h.start("", lookup), "a slot in use by a peer was granted")
		h.limiter.SetPeerLoads("p", nil, time.Now())
		synctest.Wait()
		h.Expect(w.grant()).NotTo(gomega.BeNil(), "a slot that a peer freed is not used")
	})
}

// Guards against quotas that leave slots unused or assign them twice: the quotas of all
// daemons must add up to the slots, also if each daemon reports all slots as in use.
func TestQuotasAddUpToSlots(t *testing.T) {
	used := map[fleet.TargetID]int{}
	for i := range 6 {
		inBubble(t, daemonSnapshot(10, 2, i), func(h *harness) {
			vm := func(i int) fleet.VMID { return fleet.VMID(fmt.Sprint("vm", i)) }
			h.limiter = limit.New(vm(i), limit.WithSnapshot(daemonSnapshot(10, 2, i)))
			for p := range 6 {
				if p != i {
					h.limiter.SetPeerLoads(vm(p), loads(10, 2), time.Now())
				}
			}
			for range 20 {
				h.start("", lookup)
			}
			for id, n := range h.limiter.SlotsInUse() {
				used[id] += n
			}
		})
	}
	for _, target := range readySnapshot(10, 2).Targets {
		gomega.NewWithT(t).Expect(used[target.ID]).To(gomega.Equal(2), string(target.ID))
	}
}

// Guards against a daemon without a quota that never receives a slot.
func TestDaemonWithoutQuotaIsServed(t *testing.T) {
	inBubble(t, readySnapshot(1, 1), func(h *harness) {
		for p := range 20 {
			h.limiter.SetPeerLoads(fleet.VMID(fmt.Sprint("p", p)), loads(1, 1), time.Now())
		}
		h.mustAcquire(lookup)
		h.expectWaiting(h.start("", lookup), "more than one slot without a quota")
	})
}

// Guards against a report that arrives late and replaces a newer one.
func TestOldReportIsIgnored(t *testing.T) {
	inBubble(t, readySnapshot(1, 2), func(h *harness) {
		time.Sleep(time.Second)
		h.limiter.SetPeerLoads("p", loads(1, 1), time.Now())
		h.limiter.SetPeerLoads("p", nil, time.Now().Add(-time.Second))
		h.mustAcquire(lookup)
		h.expectWaiting(h.start("", lookup), "the older report was used")
	})
}

// Guards against a daemon that receives no slots because its peers report all of them
// as in use, repeatedly or in a last report before they fall silent. The load of a silent
// peer must decay.
func TestSilentPeersDoNotStarveDaemon(t *testing.T) {
	inBubble(t, readySnapshot(4, 2), func(h *harness) {
		h.limiter.SetPeerLoads("p", loads(4, 2), time.Now())
		h.limiter.SetPeerLoads("q", loads(4, 100), time.Now())
		h.mustAcquire(lookup)
		h.mustAcquire(lookup)
		w := h.expectWaiting(h.start("", lookup), "more than the quota of 8 slots among 3 daemons")
		advance(15 * time.Second)
		h.Expect(w.grant()).NotTo(gomega.BeNil(), "the load of a silent peer does not decay")
		h.limiter.SetPeerLoads("p", loads(4, 2), time.Now())
		h.mustAcquire(lookup)
		rest := h.expectWaiting(h.start("", lookup), "more than the quota of 8 slots among 2 daemons")
		h.limiter.RemovePeer("p")
		synctest.Wait()
		h.Expect(rest.grant()).NotTo(gomega.BeNil(), "a peer that left keeps its slots")
	})
}

// Guards against a report that holds the requests in flight at one moment instead of
// their mean since the last report.
func TestReportIsMean(t *testing.T) {
	inBubble(t, readySnapshot(1, 2), func(h *harness) {
		gr := h.mustAcquire(lookup)
		time.Sleep(500 * time.Millisecond)
		gr.Release(limit.Served)
		time.Sleep(1500 * time.Millisecond)
		h.Expect(h.limiter.MeanLoads()).To(gomega.Equal([]limit.Load{{Target: "t00", InFlight: 0.25}}))
		time.Sleep(2 * time.Second)
		h.Expect(h.limiter.MeanLoads()).To(gomega.BeEmpty())
	})
}
