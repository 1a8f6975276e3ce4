package daemon

import (
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/limit"
)

// Guards against work below one request that is cut off on its way to the
// peers: six carriers with 0.75 requests each keep a target of 2 slots busy.
func TestReportsCarryPartsOfRequests(t *testing.T) {
	g := NewWithT(t)
	service := &fleet.Service{Targets: []fleet.Target{{ID: "a"}, {ID: "b"}}}
	load, ok := inner.LoadOf("a", 0.75)
	g.Expect(ok).To(BeTrue())
	g.Expect(loads(service, []inner.TargetLoad{load})).To(Equal([]limit.Load{{Target: "a", InFlight: 0.75}}))
	_, ok = inner.LoadOf("b", 0.1)
	g.Expect(ok).To(BeFalse(), "a row that says nothing is sent")
}
