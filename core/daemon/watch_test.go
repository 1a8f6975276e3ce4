package daemon

import (
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/limit"
)

// Guards against a mean load below one request that is rounded down to 0 in the
// report to the peers: six carriers with 0.75 requests each keep a target of 2
// slots busy.
func TestReportsCarryFractionalLoad(t *testing.T) {
	g := NewWithT(t)
	service := &fleet.Service{Targets: []fleet.Target{{ID: "a"}, {ID: "b"}}}
	load, ok := inner.NewTargetLoad("a", 0.75)
	g.Expect(ok).To(BeTrue())
	g.Expect(peerLoads(service, []inner.TargetLoad{load})).To(Equal([]limit.Load{{Target: "a", InFlight: 0.75}}))
	_, ok = inner.NewTargetLoad("b", 0.1)
	g.Expect(ok).To(BeFalse(), "a load that rounds to nothing is sent")
}

// Guards against rows with failures or a changed latency that are delayed like
// ordinary rows, and against older good results that are sent together with a new
// failure and hide it.
func TestRowBufferDelaysOrdinaryRowsOnly(t *testing.T) {
	g := NewWithT(t)
	row := func(ok, failed uint32, latency detect.LatencyCode) []detect.IntervalStats {
		return []detect.IntervalStats{{Target: "a", Counts: [8]uint32{detect.OK: ok, detect.Failed: failed}, Latency: latency}}
	}
	b := newRowBuffer()
	g.Expect(b.nextReport(row(1, 0, 90))).To(Equal(row(1, 0, 90)), "a latency that no peer knows is sent at once")
	g.Expect(b.nextReport(row(2, 0, 92))).To(Equal(row(2, 0, 92)), "the second report carries ordinary rows")
	g.Expect(b.nextReport(row(3, 0, 92))).To(BeEmpty())
	g.Expect(b.nextReport(row(3, 0, 94))).To(Equal(row(6, 0, 93)))
	g.Expect(b.nextReport(row(3, 0, 92))).To(BeEmpty())
	g.Expect(b.nextReport(row(1, 2, 92))).To(Equal(row(1, 2, 92)))
	g.Expect(b.nextReport(row(3, 0, 110))).To(Equal(row(3, 0, 110)), "the row of a slower target is sent at once")
}
