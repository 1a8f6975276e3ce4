package sched_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/sched"
)

// Guards against sending orders to another data centre, or fetching large responses from
// there, only because this daemon has not seen its targets in use. That happens when
// callers with an outdated address send an occasional request to each of hundreds of
// daemons that receive no peer events.
func TestDaemonWithoutPeerEventsUsesLocalTargets(t *testing.T) {
	large := newRequest(true)
	large.Bytes = 100 << 10
	for name, occasional := range map[string]sched.Request{"order": newRequest(false), "large answer": large} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := sched.NewPool(service, "a")
				mixed := targets(6)
				for i := range mixed[1:] {
					mixed[1+i].DataCentre = "b"
				}
				p.SetTargets(mixed)
				p.SetReceivesPeerEvents(false)
				for range 10 {
					time.Sleep(3 * time.Second)
					occasional.Deadline = time.Now().Add(2 * time.Second)
					grant, err := p.Acquire(t.Context(), occasional)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(grant.Target.DataCentre).To(Equal("a"))
					grant.Complete(judge.Served, 100*time.Millisecond)
				}
			})
		})
	}
}

// In a large group, daemons receive few events about the targets in other data centres.
// Guards against sending lookups there only to learn about these targets, and against
// sending orders there while the local targets are full for a moment.
func TestTargetsMonitoredElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := sched.NewPool(service, "a")
		mixed := targets(6)
		for i := range mixed[2:] {
			mixed[2+i].DataCentre = "b"
		}
		p.SetTargets(mixed)
		p.SetMonitoredElsewhere(map[string]bool{"b": true})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			grant, err := p.Acquire(t.Context(), newRequest(true))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Target.DataCentre).To(Equal("a"))
			grant.Complete(judge.Served, 100*time.Millisecond)
		}
		for range 2 * (mixed[0].Slots + 2) {
			grant, err := p.Acquire(t.Context(), newRequest(false))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Target.DataCentre).To(Equal("a"))
			s := &delayedCompletion{grant: grant, after: 200 * time.Millisecond}
			go s.run()
		}
		began := time.Now()
		grant, err := p.Acquire(t.Context(), newRequest(false))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Target.DataCentre).To(Equal("a"))
		g.Expect(time.Since(began)).To(BeNumerically(">", 0))
		time.Sleep(time.Second)
	})
}

// delayedCompletion ends a grant after a delay.
type delayedCompletion struct {
	grant *sched.Grant
	after time.Duration
}

func (s *delayedCompletion) run() {
	time.Sleep(s.after)
	s.grant.Complete(judge.Served, s.after)
}
