package node

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a shutdown whose steps leave no time for the next one, or that lasts
// until the process is killed, for any limit that the settings may have.
func TestShutdownStepsAreInOrder(t *testing.T) {
	began := time.Now()
	for _, limit := range []time.Duration{time.Millisecond, time.Second, 4 * time.Second, 6 * time.Second, 10 * time.Second, time.Hour} {
		t.Run(limit.String(), func(t *testing.T) {
			g := NewWithT(t)
			s := newShutdownSchedule(began, limit)
			plan := s.plan(func() bool { return true })
			steps := []time.Time{began, plan.ShortenUntil, plan.End, s.stopReading, s.close, s.kill}
			for i := range steps[1:] {
				g.Expect(steps[i+1]).To(BeTemporally(">", steps[i]))
			}
			g.Expect(s.kill).To(Equal(began.Add(limit)))
			// A request that was sent early may be cut only if its target is still at work
			// in the last sixth of the limit.
			g.Expect(s.kill.Sub(plan.End)).To(BeNumerically("<=", limit/6))
		})
	}
}
