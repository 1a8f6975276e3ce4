package detect

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
)

func TestDetect(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "detect")
}

var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// fastPreset is the preset fast from section 6 of the design page.
var fastPreset = fleet.Detection{Window: 4 * time.Second, MinRequests: 4, FailureRatio: 0.4, SlowFactor: 3, MinObservers: 2}

func testPolicy(d fleet.Detection) fleet.Policy {
	return fleet.Policy{
		Floor: fleet.Floor{Percent: 50}, Carriers: 6, Detection: d,
		Ejection:  fleet.Ejection{Base: 10 * time.Second, Max: 5 * time.Minute},
		Probe:     fleet.Probe{Path: "/health", Interval: 5 * time.Second, Timeout: time.Second},
		SlowStart: 10 * time.Second,
	}
}

// testService returns a service with n targets named a, b, c and so on.
func testService(n int) *fleet.Service {
	svc := &fleet.Service{ID: "reservas", Policy: testPolicy(fastPreset)}
	for i := range n {
		svc.Targets = append(svc.Targets, fleet.Target{ID: targetName(i), Slots: 2})
	}
	return svc
}

func targetName(i int) fleet.TargetID {
	return fleet.TargetID(rune('a' + i))
}
