package quota_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/quota"
)

// eventAt is when the failure of a test happens after the first request.
const eventAt = 3 * time.Second

// during runs the load for the given time and the event after eventAt.
func during(l *load, span time.Duration, event func()) {
	time.AfterFunc(eventAt, event)
	l.run(1, span)
}

// idleCoordinator makes the load avoid the coordinator of its workspace, so that only the
// grants depend on it.
func (l *load) idleCoordinator() *daemon {
	c := l.fleet.coordinator(l.workspace)
	if c.index >= len(l.fleet.daemons)-busyDaemons {
		l.fleet.t.Fatalf("coordinator %d is one of the busy daemons", c.index)
	}
	return c
}

// Guards against requests that are lost, or a second burst, when the coordinator is killed.
func TestCoordinatorKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, l := fleetWith(t, 28, 4, medium, constant(usual*medium.Rate))
		defer f.close()
		during(l, 10*time.Second, l.idleCoordinator().kill)
		o := l.outcomes(0, time.Minute)
		t.Logf("%+v", o)
		g.Expect(o.exceeded + o.unavailable).To(BeNumerically("<=", o.sent/100))
		late := l.outcomes(eventAt+time.Second, time.Minute)
		g.Expect(late.exceeded + late.unavailable).To(BeZero())
		g.Expect(l.mostInWindow()).To(BeNumerically("<=", bound(medium)))
	})
}

// Guards against a coordinator that keeps granting while it is cut off for longer than a
// window, beside the one that replaced it.
func TestCoordinatorCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, l := fleetWith(t, 28, 4, medium, constant(3*medium.Rate))
		defer f.close()
		c := l.idleCoordinator()
		alone := &load{fleet: f, workspace: "w", limit: medium, rate: constant(medium.Rate), pick: only(c)}
		time.AfterFunc(eventAt, func() { f.network.setCut(func(from, to *daemon) bool { return from == c || to == c }) })
		time.AfterFunc(eventAt+8*time.Second, func() { f.network.setCut(none) })
		runAll(15*time.Second, l, alone)
		all := joined(l, alone)
		t.Logf("most %d, bound %d; alone %+v", all.mostInWindow(), bound(medium), alone.outcomes(eventAt+time.Second, eventAt+8*time.Second))
		g.Expect(all.mostInWindow()).To(BeNumerically("<=", bound(medium)))
		o := all.outcomes(eventAt+time.Second, eventAt+8*time.Second)
		g.Expect(o.granted).To(BeNumerically(">=", 0.9*7*medium.Rate))
		// The cut off daemon grants its own share.
		g.Expect(alone.outcomes(eventAt+time.Second, eventAt+8*time.Second).granted).To(BeNumerically(">", 0.8*7*medium.Rate/16))
	})
}

// Guards against a second burst from a coordinator that is killed and starts again.
func TestCoordinatorRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, l := fleetWith(t, 28, 4, medium, constant(4*medium.Rate))
		defer f.close()
		c := l.idleCoordinator()
		for i := range 5 {
			time.AfterFunc(eventAt+time.Duration(i)*900*time.Millisecond, c.kill)
			time.AfterFunc(eventAt+time.Duration(i)*900*time.Millisecond+300*time.Millisecond, c.start)
		}
		l.run(1, 15*time.Second)
		t.Logf("most %d, bound %d, %+v", l.mostInWindow(), bound(medium), l.outcomes(0, time.Minute))
		g.Expect(l.mostInWindow()).To(BeNumerically("<=", bound(medium)))
	})
}

// Guards against a gap in the grants when a coordinator leaves.
func TestCoordinatorLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, l := fleetWith(t, 28, 4, medium, constant(usual*medium.Rate))
		defer f.close()
		c := l.idleCoordinator()
		during(l, 8*time.Second, func() {
			c.leaving.Store(true)
			c.manager.Load().Leave()
			time.AfterFunc(2*time.Second, c.kill)
		})
		o := l.outcomes(0, time.Minute)
		t.Logf("%+v", o)
		g.Expect(o.exceeded + o.unavailable).To(BeZero())
		g.Expect(o.slowest).To(BeNumerically("<", 300*time.Millisecond))
	})
}

// Guards against two halves of a fleet that grant more than the whole together, or less
// than their parts.
func TestFleetInTwoHalves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, l := fleetWith(t, 28, 4, medium, constant(4*medium.Rate))
		defer f.close()
		during(l, 15*time.Second, func() {
			f.network.setCut(func(from, to *daemon) bool { return from.side != to.side })
		})
		t.Logf("most %d, bound %d", l.mostInWindow(), bound(medium))
		g.Expect(l.mostInWindow()).To(BeNumerically("<=", bound(medium)))
		o := l.outcomes(eventAt+time.Second, time.Minute)
		g.Expect(o.granted).To(BeNumerically(">=", 0.9*11*medium.Rate))
		g.Expect(f.shares(quota.HashWorkspace("w").Shard())).To(BeNumerically("~", 1, 1e-9))
	})
}

// Guards against a lower quota that takes effect late, or a higher one that never does.
func TestRateChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, l := fleetWith(t, 28, 4, medium, constant(2*medium.Rate))
		defer f.close()
		lower := quota.Limit{Rate: 50, Burst: 50}
		time.AfterFunc(5*time.Second, func() { f.setLimit("w", lower) })
		time.AfterFunc(12*time.Second, func() { f.setLimit("w", medium) })
		l.run(1, 20*time.Second)
		low, high := l.outcomes(5500*time.Millisecond, 10500*time.Millisecond), l.outcomes(13*time.Second, 20*time.Second)
		t.Logf("low %+v, high %+v", low, high)
		g.Expect(low.granted).To(BeNumerically("<=", bound(lower)))
		g.Expect(high.granted).To(BeNumerically(">=", 0.9*7*medium.Rate))
	})
}

// Guards against refusals within the quota because datagrams are lost.
func TestLostDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, l := fleetWith(t, 28, 4, medium, constant(usual*medium.Rate))
		defer f.close()
		f.network.setFaults(0.02, 0, 0)
		l.run(1, 30*time.Second)
		o := l.outcomes(0, time.Hour)
		t.Logf("%+v", o)
		g.Expect(o.exceeded + o.unavailable).To(BeNumerically("<", float64(o.sent)/1000))
		g.Expect(o.slowest).To(BeNumerically("<", 700*time.Millisecond))
	})
}
