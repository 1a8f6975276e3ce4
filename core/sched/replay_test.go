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

// peerDelay is the time that an event takes from one daemon to another.
const peerDelay = time.Millisecond

// crew is a few daemons that carry one service and tell each other their events.
type crew struct {
	pools []*sched.Pool
}

func newCrew(size, targetCount int) *crew {
	c := &crew{pools: make([]*sched.Pool, size)}
	for i := range c.pools {
		from := i
		c.pools[i] = sched.NewPool(service, "a", sched.WithEmit(func(e sched.Event) {
			t := &telling{crew: c, from: from, event: e}
			go t.run()
		}))
	}
	for _, p := range c.pools {
		p.SetTargets(targets(targetCount))
	}
	return c
}

// telling is one event on its way to the other daemons.
type telling struct {
	crew  *crew
	from  int
	event sched.Event
}

func (t *telling) run() {
	time.Sleep(peerDelay)
	for i, p := range t.crew.pools {
		if i != t.from {
			p.Learn(string(rune('a'+t.from)), t.event)
		}
	}
}

// order is one request that must not be sent twice.
type order struct {
	pool  *sched.Pool
	begin time.Time
	work  time.Duration
	tally *tally
	// silent says that targets in a spell give no answer instead of resetting.
	silent bool
}

// tally counts how orders ended.
type tally struct {
	ended chan outcome
}

// outcome is the end of one order.
type outcome struct {
	target string
	lost   bool
	late   bool
	// at is the time since the start of the replay.
	at time.Duration
}

const (
	// spellPeriod is the time for which a target is well or sick.
	spellPeriod = 9 * time.Second
	// spellShare is the share of periods in which a target is sick.
	spellShare = 0.3
)

// resets says whether a target resets what it is sent: it is sick for whole
// periods, which begin at another moment for each target.
func resets(target string, at time.Duration) bool {
	var n int
	_, _ = fmt.Sscanf(target, "t%d", &n)
	period := (at + time.Duration(n)*1300*time.Millisecond) / spellPeriod
	return rand.New(rand.NewPCG(uint64(period), uint64(n))).Float64() < spellShare
}

// orderObjective is the time within which an order is worth most.
const orderObjective = 600 * time.Millisecond

// orderTimeout is the time after which an order without an answer is given up.
const orderTimeout = 2500 * time.Millisecond

// await waits for the end of a request and says on the way that it is slow.
func (o *order) await(grant *sched.Grant, length time.Duration) {
	early := []struct {
		after  time.Duration
		result judge.Result
	}{{o.pool.SlowAfter(), judge.Slow}, {3 * o.pool.ServiceTime(), judge.Overdue}}
	begin := time.Now()
	for _, e := range early {
		if e.after >= length {
			break
		}
		time.Sleep(time.Until(begin.Add(e.after)))
		grant.Report(e.result)
	}
	time.Sleep(time.Until(begin.Add(length)))
}

func (o *order) run() {
	asked := time.Now()
	grant, err := o.pool.Acquire(context.Background(), sched.Ask{
		Last:      true,
		Deadline:  asked.Add(orderTimeout),
		Objective: asked.Add(orderObjective),
	})
	if err != nil {
		o.tally.ended <- outcome{lost: true, at: time.Since(o.begin)}
		return
	}
	out := outcome{target: grant.Target.ID, lost: resets(grant.Target.ID, time.Since(o.begin)), at: time.Since(o.begin)}
	switch {
	case out.lost && o.silent:
		o.await(grant, orderTimeout)
		grant.Settle(judge.Broken, orderTimeout)
	case out.lost:
		time.Sleep(time.Millisecond)
		grant.Settle(judge.Broken, time.Millisecond)
	default:
		o.await(grant, o.work)
		grant.Settle(judge.Served, o.work)
	}
	out.late = time.Since(asked) > orderObjective
	o.tally.ended <- out
}

// replayCrew sends orders at a mean rate a second through random daemons.
func replayCrew(c *crew, rate int, length time.Duration, silent bool) []outcome {
	random := rand.New(rand.NewPCG(1, 2))
	t := &tally{ended: make(chan outcome, rate*int(length/time.Second)*2)}
	begin := time.Now()
	sent := 0
	for time.Since(begin) < length {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
		o := &order{
			pool:   c.pools[random.IntN(len(c.pools))],
			begin:  begin,
			work:   time.Duration((0.5 + random.Float64()) * float64(160*time.Millisecond)),
			tally:  t,
			silent: silent,
		}
		sent++
		go o.run()
	}
	out := make([]outcome, 0, sent)
	for range sent {
		out = append(out, <-t.ended)
	}
	time.Sleep(2 * peerDelay)
	return out
}

// share returns the share of outcomes that fit.
func share(all []outcome, fits func(outcome) bool) float64 {
	n := 0
	for _, o := range all {
		if fits(o) {
			n++
		}
	}
	return float64(n) / float64(len(all))
}

const (
	// spellsPerSecond is how often one of nine targets begins a sick period.
	spellsPerSecond = 9 * spellShare / 9
	// lossesPerSpell allows for the order that meets a spell first and one that is
	// on its way at the same moment.
	lossesPerSpell = 2
	// floorLosses allows for one order a second that keeps the service at its floor.
	floorLosses = 1
)

// allowedLoss is the share of orders that may be lost at a rate a second.
func allowedLoss(rate int) float64 {
	return (spellsPerSecond*lossesPerSpell + floorLosses) / float64(rate)
}

// Load pattern: six daemons share nine targets that reset most requests for
// spells of nine seconds, three in ten at any time, and orders take a third of
// the capacity. Guards against daemons that learn of each spell for themselves or
// send their requests for the floor at the same moment.
func TestCrewLearnsOfSpellsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate = 36
		out := replayCrew(newCrew(6, 9), rate, 120*time.Second, false)
		g.Expect(share(out, func(o outcome) bool { return o.lost })).To(BeNumerically("<", allowedLoss(rate)))
	})
}

// Load pattern: six daemons share nine targets of six slots that leave most requests
// without an answer for spells of nine seconds. Guards against orders that go to such
// a target until the first of them has run for several times as long as usual.
func TestCrewLearnsOfSilentSpells(t *testing.T) {
	const (
		rate = 180
		// The bound holds for the mean: daemons draw their turns at random.
		replays = 3
	)
	mean := 0.0
	for range replays {
		synctest.Test(t, func(*testing.T) {
			c := newCrew(6, 9)
			for _, p := range c.pools {
				p.SetTargets(roomy(targets(9)))
			}
			out := replayCrew(c, rate, 120*time.Second, true)
			mean += share(out, func(o outcome) bool { return o.lost }) / replays
		})
	}
	// Half a second is enough for two orders in a row to be slow.
	const onTheWay = rate / 9 / 2
	allowed := (spellsPerSecond*onTheWay + floorLosses) / rate
	NewWithT(t).Expect(mean).To(BeNumerically("<", allowed))
}

// roomy returns the targets with more slots.
func roomy(targets []sched.Target) []sched.Target {
	for i := range targets {
		targets[i].Slots = 6
	}
	return targets
}

// Load pattern: orders take most of the capacity of the targets that are well,
// while those in a spell stand idle because they reset at once. Guards against
// sending orders there instead of waiting for a slot, and against waiting so long
// that orders are late.
func TestOrdersWaitRatherThanGoToSickTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const rate = 60
		out := replayCrew(newCrew(6, 9), rate, 120*time.Second, false)
		g.Expect(share(out, func(o outcome) bool { return o.lost })).To(BeNumerically("<", allowedLoss(rate)))
		g.Expect(share(out, func(o outcome) bool { return o.late })).To(BeNumerically("<", allowedLoss(rate)))
	})
}

// Load pattern: a burst fills the targets that are well, while one that answers
// all requests with errors is free at once each time. Guards against sending it
// the overflow of the burst instead of letting that wait.
func TestFailingTargetDoesNotAttractABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(3)
		failing := targets(1)[0].Key
		for range 10 {
			for _, target := range targets(3)[1:] {
				p.Learn("peer", sched.Event{Target: target.Key, Result: judge.Served, Latency: 160 * time.Millisecond})
			}
			p.Learn("peer", sched.Event{Target: failing, Result: judge.Failed, Latency: 10 * time.Millisecond})
			time.Sleep(100 * time.Millisecond)
		}
		tally := &tally{ended: make(chan outcome, 20)}
		for range 12 {
			o := &order{pool: p, begin: time.Now(), work: 160 * time.Millisecond, tally: tally}
			go o.run()
		}
		misses := 0
		for range 12 {
			if out := <-tally.ended; out.target == failing.ID {
				misses++
			}
		}
		g.Expect(misses).To(BeNumerically("<=", 1), "one request may keep the floor")
	})
}
