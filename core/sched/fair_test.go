package sched_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/sched"
)

const (
	// loadWork is the time that a target takes for a request, loadTimeout the time that
	// callers allow.
	loadWork    = 100 * time.Millisecond
	loadTimeout = 1500 * time.Millisecond
	// loadTargets targets of loadSlots slots serve loadCapacity requests per second.
	loadTargets  = 15
	loadSlots    = 4
	loadCapacity = loadTargets * loadSlots * float64(time.Second) / float64(loadWork)
)

// sender is a workspace, or the callers of one route of it, with its rate in requests per
// second as a function of time.
type sender struct {
	request sched.Request
	rate    func(at time.Duration) float64
	// pools are the queues that its requests arrive at.
	pools []*sched.Pool

	waits []time.Duration
	// late counts the served requests that ended after their deadline.
	late      int
	refused   int
	refusedIn []time.Duration
}

// servedShare returns the share of the requests that were served.
func (s *sender) servedShare() float64 {
	return float64(len(s.waits)) / float64(len(s.waits)+s.refused)
}

// summary says how the requests of several senders were served.
type summary struct {
	served, refused, late int
	// wait99 is the wait that one served request in a hundred exceeds.
	wait99 time.Duration
}

func summarize(senders []*sender) summary {
	var sum summary
	var waits []time.Duration
	for _, s := range senders {
		sum.refused += s.refused
		sum.late += s.late
		waits = append(waits, s.waits...)
	}
	slices.Sort(waits)
	sum.served = len(waits)
	sum.wait99 = waits[len(waits)*99/100]
	return sum
}

// steady returns a constant rate.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// burst returns the usual rate and, from the second to the ninth second, a multiple of it.
func burst(usual, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 2*time.Second && at < 9*time.Second {
			return usual * factor
		}
		return usual
	}
}

// servers is the processing of requests by the targets. A target processes loadSlots
// requests at a time, further ones wait there.
type servers struct {
	mu     sync.Mutex
	random *rand.Rand
	// busyUntil holds for each slot of a target when it is free again.
	busyUntil map[sched.Key][]time.Time
}

// begin takes a slot of the target and returns when the request ends.
func (s *servers) begin(k sched.Key) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots := s.busyUntil[k]
	if slots == nil {
		slots = make([]time.Time, loadSlots)
		s.busyUntil[k] = slots
	}
	first := 0
	for i := range slots {
		if slots[i].Before(slots[first]) {
			first = i
		}
	}
	start := time.Now()
	if slots[first].After(start) {
		start = slots[first]
	}
	slots[first] = start.Add(time.Duration((0.5 + s.random.Float64()) * float64(loadWork)))
	return slots[first]
}

// sent is one request of a sender.
type sent struct {
	servers *servers
	sender  *sender
	pool    *sched.Pool
	arrived time.Time
	ended   chan *sent
	refused bool
	late    bool
	waited  time.Duration
}

func (r *sent) run(t *testing.T) {
	req := r.sender.request
	req.FinalAttempt = true
	req.Deadline = r.arrived.Add(loadTimeout)
	grant, err := r.pool.Acquire(t.Context(), req)
	r.waited = time.Since(r.arrived)
	r.refused = err != nil
	if err == nil {
		sentAt := time.Now()
		time.Sleep(time.Until(r.servers.begin(grant.Target.Key)))
		grant.Complete(judge.Served, time.Since(sentAt))
		r.late = time.Now().After(req.Deadline)
	}
	r.ended <- r
}

// runLoad replays the requests of all senders for ten seconds.
func runLoad(t *testing.T, senders []*sender) {
	const length = 10 * time.Second
	type arrival struct {
		at     time.Duration
		sender *sender
		pool   *sched.Pool
	}
	random := rand.New(rand.NewPCG(7, 11))
	var arrivals []arrival
	for _, s := range senders {
		for at := time.Duration(0); at < length; {
			at += time.Duration(random.ExpFloat64() * float64(time.Second) / s.rate(at))
			arrivals = append(arrivals, arrival{at, s, s.pools[random.IntN(len(s.pools))]})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	all := &servers{random: random, busyUntil: map[sched.Key][]time.Time{}}
	ended := make(chan *sent, len(arrivals))
	begin := time.Now()
	for _, a := range arrivals {
		time.Sleep(time.Until(begin.Add(a.at)))
		r := &sent{servers: all, sender: a.sender, pool: a.pool, arrived: time.Now(), ended: ended}
		go r.run(t)
	}
	for range arrivals {
		r := <-ended
		if r.refused {
			r.sender.refused++
			r.sender.refusedIn = append(r.sender.refusedIn, r.waited)
			continue
		}
		if r.late {
			r.sender.late++
		}
		r.sender.waits = append(r.sender.waits, r.waited)
	}
}

// loadPool returns the pool of a service that serves loadCapacity requests per second.
func loadPool(opts ...sched.Option) *sched.Pool {
	p := sched.NewPool(service, "a", opts...)
	all := targets(loadTargets)
	for i := range all {
		all[i].Slots = loadSlots
	}
	p.SetTargets(all)
	for range 20 {
		for _, target := range all {
			p.ApplyPeerEvent("peer", sched.Event{Target: target.Key, Result: judge.Served, Latency: loadWork})
		}
	}
	return p
}

// workspaceSender returns a workspace that sends at the rate to the pools. Its weight is
// the rate of its quota.
func workspaceSender(name string, weight float64, rate func(time.Duration) float64, pools ...*sched.Pool) *sender {
	return &sender{request: sched.Request{Workspace: name, Weight: weight}, rate: rate, pools: pools}
}

// Guards against a workspace whose burst costs the others requests or time. It answers the
// load of one workspace at 7 times its usual rate for 7 s while the others ask for less
// than their share.
func TestBurstOfOneWorkspaceCostsOthersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := loadPool()
		hot := workspaceSender("hot", 200, burst(120, 7), p)
		senders := []*sender{hot}
		for i := range 20 {
			senders = append(senders, workspaceSender(fmt.Sprint("w", i), 20, steady(12), p))
		}
		runLoad(t, senders)
		others := summarize(senders[1:])
		g.Expect(others.refused).To(BeZero())
		g.Expect(others.wait99).To(BeNumerically("<", 50*time.Millisecond))
		// What the others leave is 360 per second in the 7 s.
		g.Expect(float64(len(hot.waits))).To(BeNumerically(">", 0.95*(7*(loadCapacity-240)+3*120)))
		// The time of a target for a response after the deadline is lost.
		g.Expect(hot.late).To(BeNumerically("<", len(hot.waits)/10))
	})
}

// overloaded returns twelve workspaces of four sizes that all send 2.5 times their usual
// rate, which is 0.6 of their weight.
func overloaded(pools ...*sched.Pool) []*sender {
	var senders []*sender
	for i := range 12 {
		weight := []float64{10, 20, 60, 150}[i%4]
		senders = append(senders, workspaceSender(fmt.Sprint("w", i), weight, steady(weight*0.6*2.5), pools...))
	}
	return senders
}

// relativeShares returns the smallest and the largest ratio of what a sender was served to
// its part by weight.
func relativeShares(senders []*sender) (least, most float64) {
	served, weights := 0, 0.0
	for _, s := range senders {
		served += len(s.waits)
		weights += s.request.Weight
	}
	least = math.Inf(1)
	for _, s := range senders {
		ratio := float64(len(s.waits)) / (float64(served) * s.request.Weight / weights)
		least, most = min(least, ratio), max(most, ratio)
	}
	return least, most
}

// Guards against capacity that is not shared by weight. It answers the load of all
// workspaces at 2.5 times their usual rate at the same time.
func TestOverloadIsSharedByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		senders := overloaded(loadPool())
		runLoad(t, senders)
		least, most := relativeShares(senders)
		g.Expect(least).To(BeNumerically(">", 0.9))
		g.Expect(most).To(BeNumerically("<", 1.1))
		g.Expect(summarize(senders).served).To(BeNumerically(">", 9.5*loadCapacity))
	})
}

// Guards against small workspaces that lose requests, although they ask for less than
// their share, because there are many of them. One of them has a burst.
func TestManySmallWorkspacesGetTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := loadPool()
		hot := workspaceSender("hot", 2, burst(120, 7), p)
		senders := []*sender{hot}
		for i := range 300 {
			senders = append(senders, workspaceSender(fmt.Sprint("w", i), 2, steady(1.3), p))
		}
		runLoad(t, senders)
		others := summarize(senders[1:])
		g.Expect(others.refused).To(BeZero())
		g.Expect(others.wait99).To(BeNumerically("<", 25*time.Millisecond))
	})
}

// mixedSenders returns senders that together ask for twice the capacity, two for each pair
// of two priorities of workspaces and three of routes, the most urgent ones first.
func mixedSenders(pools ...*sched.Pool) []*sender {
	var senders []*sender
	for workspace := range 2 {
		for route := range 3 {
			for i := range 2 {
				s := workspaceSender(fmt.Sprint("w", workspace, i), 100, steady(loadCapacity*2/12), pools...)
				s.request.WorkspacePriority, s.request.Priority = workspace, route
				senders = append(senders, s)
			}
		}
	}
	return senders
}

// Guards against a less urgent request that is served while a more urgent one is refused.
// It answers twice the capacity over two priorities of workspaces and three of routes, at
// one daemon and over eight.
func TestMixedPrioritiesAreServedInOrder(t *testing.T) {
	for _, size := range []int{1, 8} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newLoadFleet(size, peerDelay)
				defer f.stop()
				senders := mixedSenders(f.pools...)
				runLoad(t, senders)
				for i := 2; i < len(senders); i++ {
					g.Expect(senders[i].servedShare()).To(BeNumerically("<=", senders[i-2].servedShare()+0.02))
				}
				for _, s := range senders[:4] {
					g.Expect(s.servedShare()).To(BeNumerically(">", 0.995))
				}
			})
		})
	}
}

// Guards against waiting requests that are overtaken and refused only when their time is
// up. Requests of a workspace fill the queue; then those of a more urgent one take all the
// capacity.
func TestOvertakenRequestIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := loadPool()
		later := workspaceSender("later", 100, steady(loadCapacity*1.2), p)
		later.request.WorkspacePriority = 1
		urgent := workspaceSender("urgent", 100, func(at time.Duration) float64 {
			if at%(3*time.Second) < time.Second {
				return 1
			}
			return loadCapacity * 2
		}, p)
		runLoad(t, []*sender{later, urgent})
		early, late := 0, 0
		for _, waited := range later.refusedIn {
			switch {
			case waited == 0:
			case waited < loadTimeout-loadWork:
				early++
			default:
				late++
			}
		}
		g.Expect(early).To(BeNumerically(">", 500))
		g.Expect(late).To(BeNumerically("<", early/10))
	})
}

// loadFleet is the pools of several daemons that share the targets of loadPool. They get
// each other's events in order, after a delay.
type loadFleet struct {
	pools  []*sched.Pool
	delay  time.Duration
	events chan fleetEvent
}

// fleetEvent is an event of one daemon on its way to the others.
type fleetEvent struct {
	from  int
	event sched.Event
	due   time.Time
}

func newLoadFleet(size int, delay time.Duration) *loadFleet {
	f := &loadFleet{delay: delay, events: make(chan fleetEvent, 1<<16)}
	for i := range size {
		f.pools = append(f.pools, loadPool(sched.WithEmit(func(e sched.Event) {
			f.events <- fleetEvent{i, e, time.Now().Add(delay)}
		})))
	}
	go f.run()
	return f
}

func (f *loadFleet) run() {
	for e := range f.events {
		time.Sleep(time.Until(e.due))
		for i, p := range f.pools {
			if i != e.from {
				p.ApplyPeerEvent(fmt.Sprint(e.from), e.event)
			}
		}
	}
}

// stop ends the delivery of events once all are delivered.
func (f *loadFleet) stop() {
	time.Sleep(time.Second)
	close(f.events)
}

// fleetSenders returns one hot workspace at 7 times its usual rate and 20 others. The hot
// one sends to the pools of hotPools, the others to those of otherPools.
func fleetSenders(hotPools, otherPools []*sched.Pool) []*sender {
	senders := []*sender{workspaceSender("hot", 200, burst(120, 7), hotPools...)}
	for i := range 20 {
		senders = append(senders, workspaceSender(fmt.Sprint("w", i), 20, steady(12), otherPools...))
	}
	return senders
}

// Guards against shares that hold in the queue of one daemon but not in the sum over a
// fleet. It answers the load of one workspace at 7 times its usual rate, at all of eight
// daemons or at other ones than the rest, and that of all workspaces at 2.5 times.
func TestQueuesOfFleetApproachOneQueue(t *testing.T) {
	const size = 8
	hotPools := map[string]func(f *loadFleet) (hot, others []*sched.Pool){
		"same daemons":  func(f *loadFleet) (hot, others []*sched.Pool) { return f.pools, f.pools },
		"other daemons": func(f *loadFleet) (hot, others []*sched.Pool) { return f.pools[:size/2], f.pools[size/2:] },
	}
	for name, split := range hotPools {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newLoadFleet(size, peerDelay)
				defer f.stop()
				senders := fleetSenders(split(f))
				runLoad(t, senders)
				others := summarize(senders[1:])
				g.Expect(others.refused).To(BeZero())
				g.Expect(others.wait99).To(BeNumerically("<", 300*time.Millisecond))
				g.Expect(float64(len(senders[0].waits))).To(BeNumerically(">", 0.95*(7*(loadCapacity-240)+3*120)))
			})
		})
	}
	t.Run("all workspaces", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := newLoadFleet(size, peerDelay)
			defer f.stop()
			senders := overloaded(f.pools...)
			runLoad(t, senders)
			least, most := relativeShares(senders)
			g.Expect(least).To(BeNumerically(">", 0.85))
			g.Expect(most).To(BeNumerically("<", 1.3))
			all := summarize(senders)
			g.Expect(all.late).To(BeNumerically("<", all.served/20))
		})
	})
}
