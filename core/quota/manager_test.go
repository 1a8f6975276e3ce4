package quota_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/quota"
	"wisteriarelay.example/core/roster"
)

// large and small are the quotas of the largest and the smallest workspace, medium is one
// between them.
var (
	large  = quota.Limit{Rate: 300, Burst: 300}
	medium = quota.Limit{Rate: 100, Burst: 100}
	small  = quota.Limit{Rate: 2.2, Burst: 2.2}
)

// usual is the part of its quota that a workspace uses on a usual day.
const usual = 0.6

// fleetWith returns a fleet of the size with one limited workspace and its load.
func fleetWith(t *testing.T, size, dataCentres int, limit quota.Limit, rate func(time.Duration) float64) (*fleet, *load) {
	f := newFleet(t, size, dataCentres, map[string]quota.Limit{"w": limit})
	return f, &load{fleet: f, workspace: "w", limit: limit, rate: rate, pick: f.anyBusy()}
}

// Guards against refusals within the quota, and waits for tokens of more than some
// milliseconds, while everything works.
func TestUsualLoadIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, l := fleetWith(t, 50, 4, large, constant(usual*large.Rate))
		defer f.close()
		l.run(1, 10*time.Second)
		o := l.outcomes(0, time.Minute)
		t.Logf("%+v", o)
		g.Expect(o.exceeded + o.unavailable).To(BeZero())
		g.Expect(o.slowest).To(BeNumerically("<", 20*time.Millisecond))
	})
}

// Guards against refusals of workspaces whose whole quota is a few requests: no daemon may
// keep tokens that another one needs.
func TestSmallWorkspacesAreNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limits := map[string]quota.Limit{}
		for i := range 200 {
			limits[fmt.Sprint(i)] = small
		}
		f := newFleet(t, 24, 4, limits)
		defer f.close()
		var loads []*load
		for name := range limits {
			loads = append(loads, &load{fleet: f, workspace: name, limit: small, rate: constant(1.3), pick: f.anyBusy()})
		}
		runAll(40*time.Second, loads...)
		admitted, refused := 0, 0
		for _, l := range loads {
			a, r := l.idealRefusals()
			admitted, refused = admitted+a, refused+r
		}
		t.Logf("refused %d of %d that one bucket admits", refused, admitted)
		g.Expect(admitted).To(BeNumerically(">", 8000))
		g.Expect(refused).To(BeNumerically("<", float64(admitted)/1000))
	})
}

// Guards against a workspace that exceeds its bound at 7 times its usual rate, or gets much
// less than its quota then.
func TestHotWorkspaceIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		burst := func(since time.Duration) float64 {
			if since >= 5*time.Second && since < 12*time.Second {
				return 7 * usual * large.Rate
			}
			return usual * large.Rate
		}
		f, l := fleetWith(t, 24, 4, large, burst)
		defer f.close()
		l.run(1, 20*time.Second)
		hot := l.outcomes(5*time.Second, 12*time.Second)
		t.Logf("hot %+v, most in a window %d, bound %d", hot, l.mostInWindow(), bound(large))
		g.Expect(l.mostInWindow()).To(BeNumerically("<=", bound(large)))
		g.Expect(hot.granted).To(BeNumerically(">=", 0.95*7*large.Rate))
		g.Expect(hot.unavailable).To(BeZero())
		after := l.outcomes(13*time.Second, 20*time.Second)
		g.Expect(after.exceeded + after.unavailable).To(BeZero())
	})
}

// Guards against workspaces that take from each other, or exceed their bounds, if all of
// them send 2.5 times their usual rate.
func TestAllWorkspacesAboveQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		limits := map[string]quota.Limit{}
		for i := range 10 {
			rate := 2.2 + 10*float64(i)
			limits[fmt.Sprint(i)] = quota.Limit{Rate: rate, Burst: rate}
		}
		f := newFleet(t, 24, 4, limits)
		defer f.close()
		var loads []*load
		for name, limit := range limits {
			loads = append(loads, &load{fleet: f, workspace: name, limit: limit, rate: constant(2.5 * usual * limit.Rate), pick: f.anyBusy()})
		}
		runAll(8*time.Second, loads...)
		for _, l := range loads {
			o := l.outcomes(0, time.Minute)
			g.Expect(l.mostInWindow()).To(BeNumerically("<=", bound(l.limit)), "rate %v", l.limit.Rate)
			g.Expect(o.granted).To(BeNumerically(">=", 0.9*l.limit.Rate*8), "rate %v: %+v", l.limit.Rate, o)
			g.Expect(o.unavailable).To(BeZero())
		}
	})
}

// Guards against requests that wait for tokens when the last quota is removed: they were
// refused after their wait, and the manager checked them without a pause until then.
func TestLastQuotaIsRemovedWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var limited atomic.Bool
		limited.Store(true)
		checks := 0
		m := quota.NewManager(roster.Member{VM: "a"}, quota.Policy{Window: quota.DefaultWindow}, quota.Sources{
			Send:       func(quota.Addressed) {},
			Candidates: func(quota.Shard) []roster.Member { return nil },
			Holders:    func() int { return 0 },
			Limit:      func(quota.WorkspaceHash) (quota.Limit, bool) { return quota.Limit{Rate: 1}, true },
			Active:     func() bool { checks++; return limited.Load() },
			Counters:   func(string) quota.Counters { return quota.NopCounters() },
		})
		m.Start(t.Context())
		synctest.Wait()
		r := &removal{limited: &limited}
		go r.run()
		began := time.Now()
		g.Expect(m.Acquire(t.Context(), "w", began.Add(10*time.Second))).To(Succeed())
		g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(checks).To(BeNumerically("<", 1000))
	})
}

// removal removes the last quota after a moment.
type removal struct{ limited *atomic.Bool }

func (r *removal) run() {
	time.Sleep(100 * time.Millisecond)
	r.limited.Store(false)
}
