package sched_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/sched"
)

// usualLatency is the latency of a request at a healthy target.
const usualLatency = 160 * time.Millisecond

// poolInUse returns a pool whose targets have served requests of a peer until now.
func poolInUse(count int) *sched.Pool {
	p := newPool(count)
	for range 20 {
		for _, t := range targets(count) {
			p.ApplyPeerEvent("peer", sched.Event{Target: t.Key, Result: judge.Served, Latency: usualLatency})
		}
		time.Sleep(100 * time.Millisecond)
	}
	return p
}

// peerReports passes results of a peer at the first target to the pool.
func peerReports(p *sched.Pool, results ...judge.Result) {
	for _, r := range results {
		p.ApplyPeerEvent("peer", sched.Event{Target: targets(1)[0].Key, Result: r, Latency: usualLatency})
	}
}

func firstFailRate(p *sched.Pool) float64 {
	return p.State()[0].FailRate
}

// Guards against sending requests to a target that no longer responds until the first of
// them has taken several times as long as usual.
func TestTargetWithSlowRequestsIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := poolInUse(3)
		peerReports(p, judge.Slow, judge.Slow)
		grant, err := p.Acquire(t.Context(), newRequest(false))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Target.ID).NotTo(Equal("t0"))
	})
}

// Guards against avoiding a target because of slow requests that succeed in the end: at
// each target, one request in ten is slow.
func TestLateCancelsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := poolInUse(3)
		before := firstFailRate(p)
		peerReports(p, judge.Slow, judge.Slow, judge.Late, judge.Late)
		g.Expect(firstFailRate(p)).To(BeNumerically("~", before, 0.02))
	})
}

// Guards against taking a long request for an episode in a service whose failing targets
// reset requests at once.
func TestSlowIsWeakEvidenceWithoutTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := poolInUse(3)
		last := targets(3)[2].Key
		for range 200 {
			p.ApplyPeerEvent("peer", sched.Event{Target: last, Result: judge.Broken, Latency: time.Millisecond})
		}
		peerReports(p, judge.Slow)
		g.Expect(firstFailRate(p)).To(BeNumerically("<", 0.1))
	})
}

// Guards against counting a reported result twice for one request.
func TestReportedResultCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		reported := 0
		p := sched.NewPool(service, "a", sched.WithEmit(func(e sched.Event) {
			if e.Result == judge.Slow || e.Result == judge.Overdue {
				reported++
			}
		}))
		p.SetTargets(targets(1))
		grant, err := p.Acquire(t.Context(), newRequest(true))
		g.Expect(err).NotTo(HaveOccurred())
		grant.ReportPending(judge.Slow)
		grant.ReportPending(judge.Slow)
		grant.ReportPending(judge.Overdue)
		grant.ReportPending(judge.Slow)
		grant.Complete(judge.Served, usualLatency)
		grant.ReportPending(judge.Overdue)
		g.Expect(reported).To(Equal(2))
	})
}

// Guards against transferring large responses between data centres while targets in all
// of them have capacity, and against preferring a failing local target to such a
// transfer.
func TestLargeResponsesStayInTheDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		local, remote := targets(2)[0], targets(2)[1]
		remote.DataCentre = "b"
		p := sched.NewPool(service, "a")
		p.SetTargets([]sched.Target{local, remote})
		for _, target := range []sched.Target{local, remote} {
			p.ApplyPeerEvent("peer", sched.Event{Target: target.Key, Result: judge.Served, Latency: usualLatency})
		}
		large := newRequest(true)
		large.Bytes = 100 << 10
		for range local.Slots + 1 {
			grant, err := p.Acquire(t.Context(), large)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Target.ID).To(Equal(local.ID))
		}
		peerReports(p, judge.Broken, judge.Broken, judge.Broken)
		grant, err := p.Acquire(t.Context(), large)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Target.ID).To(Equal(remote.ID))
	})
}

// Guards against transferring a large response between data centres only to keep a remote
// target in use. The daemons of its own data centre already do that.
func TestLargeResponsesDoNotCrossForTheFloor(t *testing.T) {
	for bytes, crosses := range map[int64]bool{1 << 10: true, 100 << 10: false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			all := targets(8)
			for i := range all[2:] {
				all[2+i].DataCentre = "b"
			}
			p := sched.NewPool(service, "a")
			p.SetTargets(all)
			req := newRequest(true)
			req.Bytes = bytes
			crossed := false
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				for _, target := range all[2:7] {
					p.ApplyPeerEvent("peer", sched.Event{Target: target.Key, Result: judge.Served, Latency: usualLatency})
				}
				req.Deadline = time.Now().Add(2 * time.Second)
				grant, err := p.Acquire(t.Context(), req)
				g.Expect(err).NotTo(HaveOccurred())
				crossed = crossed || grant.Reason == sched.Floor && grant.Target.DataCentre == "b"
				grant.Complete(judge.Served, usualLatency)
			}
			g.Expect(crossed).To(Equal(crosses))
		})
	}
}

// Guards against a request to an unused target in another data centre when a daemon there
// would have sent one a moment later.
func TestUnusedTargetGetsLocalRequestFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		for range 50 {
			local, remote := sched.NewPool(service, "a"), sched.NewPool(service, "b")
			g.Expect(introductionTime(t, local)).To(BeNumerically("<=", introductionTime(t, remote)))
		}
	})
}

// introductionTime returns the time until a pool sends a request to a target that no
// daemon uses.
func introductionTime(t *testing.T, p *sched.Pool) time.Duration {
	p.SetTargets(targets(2))
	peerReports(p, judge.Served, judge.Served)
	begin := time.Now()
	for {
		time.Sleep(5 * time.Millisecond)
		grant, err := p.Acquire(t.Context(), newRequest(true))
		if err != nil {
			t.Fatal(err)
		}
		if grant.Target.ID != "t0" {
			return time.Since(begin)
		}
		grant.Complete(judge.Served, usualLatency)
	}
}

// Guards against targets that get no request for two seconds, which counts as below the
// usage floor. One local target has capacity for all requests, and nine in another data
// centre get only requests for the floor.
func TestRemoteTargetsStayInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		all := targets(10)
		all[0].DataCentre, all[0].Slots = "b", 100
		p := sched.NewPool(service, "b")
		p.SetTargets(all)
		last, longest := map[string]time.Time{}, time.Duration(0)
		begin := time.Now()
		for time.Since(begin) < 60*time.Second {
			time.Sleep(10 * time.Millisecond)
			grant, err := p.Acquire(t.Context(), newRequest(true))
			g.Expect(err).NotTo(HaveOccurred())
			if at, ok := last[grant.Target.ID]; ok {
				longest = max(longest, time.Since(at))
			}
			last[grant.Target.ID] = time.Now()
			grant.Complete(judge.Served, usualLatency)
		}
		g.Expect(last).To(HaveLen(10))
		g.Expect(longest).To(BeNumerically("<", 2*time.Second))
	})
}
