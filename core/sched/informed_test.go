package sched_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/sched"
)

// Load pattern: callers with an old address bring a request now and then to each of
// hundreds of daemons that do not hear from the others. Guards against each of them
// sending orders, or fetching large answers from other data centres, only because it
// knows of no earlier use of their targets.
func TestUninformedDaemonHasFewDuties(t *testing.T) {
	large := ask(true)
	large.Bytes = 100 << 10
	for name, stray := range map[string]sched.Ask{"order": ask(false), "large answer": large} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := sched.NewPool(service, "a")
				mixed := targets(6)
				for i := range mixed[1:] {
					mixed[1+i].DataCentre = "b"
				}
				p.SetTargets(mixed)
				p.SetInformed(false)
				for range 10 {
					time.Sleep(3 * time.Second)
					stray.Deadline = time.Now().Add(2 * time.Second)
					grant, err := p.Acquire(t.Context(), stray)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(grant.Target.DataCentre).To(Equal("a"))
					grant.Settle(judge.Served, 100*time.Millisecond)
				}
			})
		})
	}
}
