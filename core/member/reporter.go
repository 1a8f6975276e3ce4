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

// reporter sends the reports of a table.
type reporter struct {
	table         *Table
	running       *sync.WaitGroup
	rng           *rand.Rand
	urgentLimiter *rate.Limiter
	// rounds counts the regular rounds. The first of each report interval covers all
	// services, the others only suspect and urgent ones.
	rounds   int
	lastTick time.Time
}

func newReporter(t *Table, running *sync.WaitGroup) *reporter {
	return &reporter{
		table:         t,
		running:       running,
		rng:           rand.New(rand.NewPCG(t.seed, streamReporter)),
		urgentLimiter: rate.NewLimiter(urgentRate, urgentBurst),
		lastTick:      time.Now(),
	}
}

// loop starts a regular round of reports every SuspectReportInterval, and an urgent
// one whenever the table signals wakeup.
func (r *reporter) loop(ctx context.Context) {
	defer r.running.Done()
	// The random delay spreads the reports of daemons that start at the same time.
	timer := time.NewTimer(time.Duration(r.rng.Int64N(int64(SuspectReportInterval))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			r.tick(ctx, time.Now())
			timer.Reset(withJitter(r.rng, SuspectReportInterval))
		case <-r.table.wakeup:
			r.sendUrgent(ctx)
		}
	}
}

// tick expires state and sends the reports of a regular round. This daemon was paused
// if the last tick is longer ago than a report interval.
func (r *reporter) tick(ctx context.Context, now time.Time) {
	paused := now.Sub(r.lastTick) > ReportInterval
	r.lastTick = now
	r.table.expire(now, paused)
	services, urgent := r.table.currentServices(), r.table.takeUrgentServices()
	if r.rounds%roundsPerInterval != 0 {
		services = slices.DeleteFunc(services, func(id fleet.ServiceID) bool {
			return !slices.Contains(urgent, id) && !r.isSuspect(id)
		})
	}
	r.rounds++
	r.sendRound(ctx, services, false)
}

func (r *reporter) isSuspect(id fleet.ServiceID) bool {
	return r.table.hooks.IsSuspect != nil && r.table.hooks.IsSuspect(id)
}

// sendUrgent sends the urgent reports. If the rate limit is exceeded, they wait for
// the next regular round, which is at most one second away.
func (r *reporter) sendUrgent(ctx context.Context) {
	if r.table.takeLeaveNotice() {
		r.sendRound(ctx, r.table.currentServices(), true)
		return
	}
	if !r.urgentLimiter.Allow() {
		return
	}
	urgent := r.table.takeUrgentServices()
	services := slices.DeleteFunc(r.table.currentServices(), func(id fleet.ServiceID) bool {
		return !slices.Contains(urgent, id)
	})
	r.sendRound(ctx, services, true)
}

// sendRound collects the content for each service once and sends one report to each
// peer.
func (r *reporter) sendRound(ctx context.Context, services []fleet.ServiceID, urgent bool) {
	if len(services) == 0 {
		return
	}
	collected := make(map[fleet.ServiceID]inner.ServiceReport, len(services))
	for _, id := range services {
		collected[id] = r.collect(id)
	}
	revision := r.table.revision()
	ready := r.table.hooks.IsReady == nil || r.table.hooks.IsReady()
	for _, o := range r.table.composeReports(services, urgent, time.Now()) {
		o.parts[0].Revision, o.parts[0].Ready = revision, ready
		o.addServices(collected)
		r.running.Add(1)
		go r.run(ctx, o)
	}
}

func (r *reporter) collect(id fleet.ServiceID) inner.ServiceReport {
	var part inner.ServiceReport
	if r.table.hooks.Collect != nil {
		part = r.table.hooks.Collect(id)
	}
	part.Service = id
	return part
}

// run sends all parts of one report.
func (r *reporter) run(ctx context.Context, o outgoingReport) {
	defer r.running.Done()
	defer r.table.finishReport(o.to.VM)
	for _, m := range o.parts {
		// The content is out of date if this daemon was paused since.
		if r.table.hooks.Send == nil || time.Since(o.composedAt) > ReportInterval {
			r.table.counters.skipped.Add(1)
			return
		}
		reply, err := r.table.hooks.Send(ctx, o.to, m)
		if err != nil {
			r.table.counters.failed.Add(1)
			return
		}
		r.table.counters.sent.Add(1)
		r.table.handleReply(o.to.VM, reply, time.Now())
	}
}

// Counters holds the numbers of reports since the start of the daemon.
type Counters struct {
	Sent uint64 `json:"sent"`
	// Failed counts reports without a reply.
	Failed uint64 `json:"failed"`
	// Skipped counts reports that were not sent, because an earlier one was pending
	// or this daemon was paused.
	Skipped  uint64 `json:"skipped"`
	Received uint64 `json:"received"`
	// Outdated counts received reports with an older incarnation or sequence number.
	Outdated uint64 `json:"outdated"`
}

type counters struct {
	sent, failed, skipped, received, outdated atomic.Uint64
}

// Counters returns the numbers of reports since the start of the daemon.
func (t *Table) Counters() Counters {
	c := &t.counters
	return Counters{c.sent.Load(), c.failed.Load(), c.skipped.Load(), c.received.Load(), c.outdated.Load()}
}
