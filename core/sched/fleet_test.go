package sched_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/sched"
)

// peerDelay is the network delay of an event from one daemon to another.
const peerDelay = time.Millisecond

// fleet is the pools of a few daemons that handle one service and exchange their events.
type fleet struct {
	pools []*sched.Pool
}

func newFleet(size, targetCount int) *fleet {
	f := &fleet{pools: make([]*sched.Pool, size)}
	for i := range f.pools {
		from := i
		f.pools[i] = sched.NewPool(service, "a", sched.WithEmit(func(e sched.Event) {
			d := &delivery{fleet: f, from: from, event: e}
			go d.run()
		}))
	}
	for _, p := range f.pools {
		p.SetTargets(targets(targetCount))
	}
	return f
}

// delivery is one event on its way to the other daemons.
type delivery struct {
	fleet *fleet
	from  int
	event sched.Event
}

func (d *delivery) run() {
	time.Sleep(peerDelay)
	for i, p := range d.fleet.pools {
		if i != d.from {
			p.ApplyPeerEvent(string(rune('a'+d.from)), d.event)
		}
	}
}

// order is a non-idempotent request.
type order struct {
	pool      *sched.Pool
	begin     time.Time
	work      time.Duration
	collector *collector
	// timesOut says that failing targets leave requests without a response instead of
	// resetting them.
	timesOut bool
}

// collector receives the outcomes of all orders.
type collector struct {
	ended chan outcome
}

// outcome says how one order ended.
type outcome struct {
	target string
	lost   bool
	late   bool
	// at is the time since the start of the simulation.
	at time.Duration
}

const (
	// episodePeriod is the time for which a target stays healthy or failing.
	episodePeriod = 9 * time.Second
	// failingShare is the share of periods in which a target is failing.
	failingShare = 0.3
)

// isFailing reports whether a target fails its requests at the given time. It does so for
// whole periods, which start at a different time for each target.
func isFailing(target string, at time.Duration) bool {
	var n int
	_, _ = fmt.Sscanf(target, "t%d", &n)
	period := (at + time.Duration(n)*1300*time.Millisecond) / episodePeriod
	return rand.New(rand.NewPCG(uint64(period), uint64(n))).Float64() < failingShare
}

// orderObjective is the time within which an order should be answered.
const orderObjective = 600 * time.Millisecond

// orderTimeout is the time after which an order without a response has failed.
const orderTimeout = 2500 * time.Millisecond

// await waits for the length of a request and reports it as slow and overdue meanwhile.
func (o *order) await(grant *sched.Grant, length time.Duration) {
	early := []struct {
		after  time.Duration
		result judge.Result
	}{{o.pool.SlowThreshold(), judge.Slow}, {3 * o.pool.ServiceTime(), judge.Overdue}}
	begin := time.Now()
	for _, e := range early {
		if e.after >= length {
			break
		}
		time.Sleep(time.Until(begin.Add(e.after)))
		grant.ReportPending(e.result)
	}
	time.Sleep(time.Until(begin.Add(length)))
}

func (o *order) run() {
	arrived := time.Now()
	grant, err := o.pool.Acquire(context.Background(), sched.Request{
		FinalAttempt: true,
		Deadline:     arrived.Add(orderTimeout),
		Objective:    arrived.Add(orderObjective),
	})
	if err != nil {
		o.collector.ended <- outcome{lost: true, at: time.Since(o.begin)}
		return
	}
	out := outcome{target: grant.Target.ID, lost: isFailing(grant.Target.ID, time.Since(o.begin)), at: time.Since(o.begin)}
	switch {
	case out.lost && o.timesOut:
		o.await(grant, orderTimeout)
		grant.Complete(judge.Broken, orderTimeout)
	case out.lost:
		time.Sleep(time.Millisecond)
		grant.Complete(judge.Broken, time.Millisecond)
	default:
		o.await(grant, o.work)
		grant.Complete(judge.Served, o.work)
	}
	out.late = time.Since(arrived) > orderObjective
	o.collector.ended <- out
}

// simulateFleet sends orders through random daemons at a mean rate per second.
func simulateFleet(f *fleet, rate int, length time.Duration, timesOut bool) []outcome {
	random := rand.New(rand.NewPCG(1, 2))
	c := &collector{ended: make(chan outcome, rate*int(length/time.Second)*2)}
	begin := time.Now()
	sent := 0
	for time.Since(begin) < length {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
		o := &order{
			pool:      f.pools[random.IntN(len(f.pools))],
			begin:     begin,
			work:      time.Duration((0.5 + random.Float64()) * float64(160*time.Millisecond)),
			collector: c,
			timesOut:  timesOut,
		}
		sent++
		go o.run()
	}
	out := make([]outcome, 0, sent)
	for range sent {
		out = append(out, <-c.ended)
	}
	time.Sleep(2 * peerDelay)
	return out
}

// share returns the share of outcomes that match.
func share(all []outcome, matches func(outcome) bool) float64 {
	n := 0
	for _, o := range all {
		if matches(o) {
			n++
		}
	}
	return float64(n) / float64(len(all))
}

const (
	// episodesPerSecond is how often one of the nine targets starts to fail.
	episodesPerSecond = 9 * failingShare / 9
	// lossesPerEpisode allows for the first order that is lost in an episode and one more
	// that is in flight at that time.
	lossesPerEpisode = 2
	// floorLosses allows for one order per second that is sent for the usage floor.
	floorLosses = 1
)

// allowedLoss returns the share of orders that may be lost at a rate per second.
func allowedLoss(rate int) float64 {
	return (episodesPerSecond*lossesPerEpisode + floorLosses) / float64(rate)
}

// Guards against daemons that each lose orders to detect the same episode, or that send
// their orders for the usage floor at the same time. Six daemons share nine targets, of
// which three in ten reset their requests at any time, for nine seconds each; orders
// take a third of the capacity.
func TestFleetSharesEvidenceOfEpisodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate = 36
		out := simulateFleet(newFleet(6, 9), rate, 120*time.Second, false)
		g.Expect(share(out, func(o outcome) bool { return o.lost })).To(BeNumerically("<", allowedLoss(rate)))
	})
}

// Guards against sending orders to a target that no longer responds until the first of
// them has taken several times as long as usual. Six daemons share nine targets of six
// slots, which leave requests without a response for nine seconds at a time.
func TestFleetDetectsTimeoutsEarly(t *testing.T) {
	const (
		rate = 180
		// The bound holds for the mean: the delays before requests for the usage floor
		// are random.
		runs = 3
	)
	mean := 0.0
	for range runs {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(6, 9)
			for _, p := range f.pools {
				p.SetTargets(withSixSlots(targets(9)))
			}
			out := simulateFleet(f, rate, 120*time.Second, true)
			mean += share(out, func(o outcome) bool { return o.lost }) / runs
		})
	}
	// The orders that one target gets in half a second: by then, two in a row were
	// reported as slow.
	const inFlight = rate / 9 / 2
	allowed := (episodesPerSecond*inFlight + floorLosses) / rate
	NewWithT(t).Expect(mean).To(BeNumerically("<", allowed))
}

// withSixSlots returns the targets with six slots each.
func withSixSlots(targets []sched.Target) []sched.Target {
	for i := range targets {
		targets[i].Slots = 6
	}
	return targets
}

// Guards against sending orders to failing targets instead of waiting for a slot of a
// healthy one, and against waiting so long that orders are late. Orders take most of the
// capacity of the healthy targets, while the failing ones are idle because they reset
// requests at once.
func TestOrdersWaitInsteadOfUsingFailingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate = 60
		out := simulateFleet(newFleet(6, 9), rate, 120*time.Second, false)
		g.Expect(share(out, func(o outcome) bool { return o.lost })).To(BeNumerically("<", allowedLoss(rate)))
		g.Expect(share(out, func(o outcome) bool { return o.late })).To(BeNumerically("<", allowedLoss(rate)))
	})
}

// Guards against sending the excess of a burst to a failing target instead of queueing
// it. The burst fills the healthy targets, while a target that answers every request
// with an error has free slots again at once.
func TestFailingTargetGetsNoBurstExcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(3)
		failing := targets(1)[0].Key
		for range 10 {
			for _, target := range targets(3)[1:] {
				p.ApplyPeerEvent("peer", sched.Event{Target: target.Key, Result: judge.Served, Latency: 160 * time.Millisecond})
			}
			p.ApplyPeerEvent("peer", sched.Event{Target: failing, Result: judge.Failed, Latency: 10 * time.Millisecond})
			time.Sleep(100 * time.Millisecond)
		}
		collector := &collector{ended: make(chan outcome, 20)}
		for range 12 {
			o := &order{pool: p, begin: time.Now(), work: 160 * time.Millisecond, collector: collector}
			go o.run()
		}
		sentToFailing := 0
		for range 12 {
			if out := <-collector.ended; out.target == failing.ID {
				sentToFailing++
			}
		}
		g.Expect(sentToFailing).To(BeNumerically("<=", 1), "one request may be sent for the usage floor")
	})
}
