package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
)

// sender sends the reports of a table.
type sender struct {
	table   *Table
	running *sync.WaitGroup
	rng     *rand.Rand
	urgent  *rate.Limiter
	// turn counts the rounds; the first of each interval is about all
	// services, the others are about the suspect ones.
	turn     int
	lastTick time.Time
}

func newSender(t *Table, running *sync.WaitGroup) *sender {
	return &sender{
		table:    t,
		running:  running,
		rng:      rand.New(rand.NewPCG(t.seed, streamSender)),
		urgent:   rate.NewLimiter(urgentRate, urgentBurst),
		lastTick: time.Now(),
	}
}

// loop starts a round of reports every SuspectInterval and when it is woken.
func (s *sender) loop(ctx context.Context) {
	defer s.running.Done()
	// The random start spreads daemons that start together.
	timer := time.NewTimer(time.Duration(s.rng.Int64N(int64(SuspectInterval))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			s.tick(ctx, time.Now())
			timer.Reset(spread(s.rng, SuspectInterval))
		case <-s.table.wakeup:
			s.sendUrgent(ctx)
		}
	}
}

func (s *sender) tick(ctx context.Context, now time.Time) {
	paused := now.Sub(s.lastTick) > Interval
	s.lastTick = now
	s.table.sweep(now, paused)
	services, urgent := s.table.carriedNow(), s.table.takeUrgent()
	if s.turn%roundsPerInterval != 0 {
		services = slices.DeleteFunc(services, func(id fleet.ServiceID) bool {
			return !slices.Contains(urgent, id) && !s.isSuspect(id)
		})
	}
	s.turn++
	s.round(ctx, services, false)
}

func (s *sender) isSuspect(id fleet.ServiceID) bool {
	return s.table.hooks.IsSuspect != nil && s.table.hooks.IsSuspect(id)
}

// sendUrgent sends urgent reports. Beyond the rate limit they wait for the next
// round, which is at most one second away.
func (s *sender) sendUrgent(ctx context.Context) {
	if s.table.isLeaveNoticeDue() {
		s.round(ctx, s.table.carriedNow(), true)
		return
	}
	if !s.urgent.Allow() {
		return
	}
	urgent := s.table.takeUrgent()
	services := slices.DeleteFunc(s.table.carriedNow(), func(id fleet.ServiceID) bool {
		return !slices.Contains(urgent, id)
	})
	s.round(ctx, services, true)
}

// round collects each service once and sends one report to each peer.
func (s *sender) round(ctx context.Context, services []fleet.ServiceID, urgent bool) {
	if len(services) == 0 {
		return
	}
	collected := make(map[fleet.ServiceID]inner.ServiceReport, len(services))
	for _, id := range services {
		collected[id] = s.collect(id)
	}
	revision := s.table.revision()
	ready := s.table.hooks.IsReady == nil || s.table.hooks.IsReady()
	for _, l := range s.table.outgoing(services, urgent, time.Now()) {
		l.parts[0].Revision, l.parts[0].Ready = revision, ready
		l.fill(collected)
		s.running.Add(1)
		go s.run(ctx, l)
	}
}

func (s *sender) collect(id fleet.ServiceID) inner.ServiceReport {
	var r inner.ServiceReport
	if s.table.hooks.Collect != nil {
		r = s.table.hooks.Collect(id)
	}
	r.Service = id
	return r
}

// run sends one report with all its parts.
func (s *sender) run(ctx context.Context, l outgoingReport) {
	defer s.running.Done()
	defer s.table.sent(l.to.VM)
	for _, m := range l.parts {
		// After a pause of this daemon the content is out of date.
		if s.table.hooks.Send == nil || time.Since(l.composed) > Interval {
			s.table.counters.skipped.Add(1)
			return
		}
		reply, err := s.table.hooks.Send(ctx, l.to, m)
		if err != nil {
			s.table.counters.failed.Add(1)
			return
		}
		s.table.counters.sent.Add(1)
		s.table.replied(l.to.VM, reply, time.Now())
	}
}

// Counters holds the numbers of reports since the start.
type Counters struct {
	Sent uint64 `json:"sent"`
	// Failed counts reports without a reply.
	Failed uint64 `json:"failed"`
	// Skipped counts reports not sent, because an earlier one was under way or
	// this daemon was paused.
	Skipped  uint64 `json:"skipped"`
	Received uint64 `json:"received"`
	// Outdated counts received reports of an older incarnation or sequence.
	Outdated uint64 `json:"outdated"`
}

type counters struct {
	sent, failed, skipped, received, outdated atomic.Uint64
}

// Counters returns the numbers of reports since the start.
func (t *Table) Counters() Counters {
	c := &t.counters
	return Counters{c.sent.Load(), c.failed.Load(), c.skipped.Load(), c.received.Load(), c.outdated.Load()}
}
