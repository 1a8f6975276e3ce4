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

// Load pattern: a large group, whose daemons hear little of the targets in other data
// centres. Guards against lookups that go there only to find out, and against orders
// that go to targets of which nothing is known while the known ones are full for a
// moment.
func TestTargetsTendedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := sched.NewPool(service, "a")
		mixed := targets(6)
		for i := range mixed[2:] {
			mixed[2+i].DataCentre = "b"
		}
		p.SetTargets(mixed)
		p.SetTended(map[string]bool{"b": true})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			grant, err := p.Acquire(t.Context(), ask(true))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Target.DataCentre).To(Equal("a"))
			grant.Settle(judge.Served, 100*time.Millisecond)
		}
		for range 2 * (mixed[0].Slots + 2) {
			grant, err := p.Acquire(t.Context(), ask(false))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Target.DataCentre).To(Equal("a"))
			s := &settling{grant: grant, after: 200 * time.Millisecond}
			go s.run()
		}
		began := time.Now()
		grant, err := p.Acquire(t.Context(), ask(false))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Target.DataCentre).To(Equal("a"))
		g.Expect(time.Since(began)).To(BeNumerically(">", 0))
		time.Sleep(time.Second)
	})
}

// settling ends a request after a while.
type settling struct {
	grant *sched.Grant
	after time.Duration
}

func (s *settling) run() {
	time.Sleep(s.after)
	s.grant.Settle(judge.Served, s.after)
}
