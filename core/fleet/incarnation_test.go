package fleet_test

import (
	"testing"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
)

// TestIncarnationRoundTrip guards against an incarnation that changes when it is
// sent as VM id and run id.
func TestIncarnationRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, i := range []fleet.Incarnation{"vm.a.000000000000000f", "vm-1.ffffffffffffffff", fleet.NewIncarnation("x")} {
		g.Expect(fleet.IncarnationFromRunID(i.VM(), i.RunID())).To(gomega.Equal(i))
	}
	for _, i := range []fleet.Incarnation{"", "vm", "vm.12", "vm.000000000000000g"} {
		g.Expect(i.RunID()).To(gomega.BeZero(), string(i))
	}
}
