package sched

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/judge"
)

// Request describes a request that needs a target.
type Request struct {
	Idempotent bool
	// FinalAttempt says that the request cannot be retried if it fails: because it is not
	// idempotent, or because its attempts or the retry budget are used up.
	FinalAttempt bool
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Workspace is the name of the caller's workspace; empty if there is none.
	Workspace string
	// WorkspacePriority ranks the request before its own priority; 0 is the highest.
	WorkspacePriority int
	// Weight is the weight of the workspace in the sharing of capacity; 0 stands for 1.
	Weight   float64
	Deadline time.Time
	// Objective is the time by which the response should arrive; zero if there is none.
	Objective time.Time
	// Bytes is the expected size of request and response.
	Bytes int64
	// Tried holds the targets that the request was sent to before.
	Tried []Key
	// arrivedAt is when the pool got the request, sequence its number in the pool.
	arrivedAt time.Time
	sequence  uint64
}

func (req Request) objective() time.Time {
	if req.Objective.IsZero() || req.Objective.After(req.Deadline) {
		return req.Deadline
	}
	return req.Objective
}

// Grant is the permission to send one request to a target. Its holder ends it with
// [Grant.Complete].
type Grant struct {
	Target Target
	// FailRate is the expected failure rate of the target when it was chosen.
	FailRate float64
	// Load is the number of requests that the whole fleet had in flight at the target
	// before this one.
	Load   int
	Reason Reason
	pool   *Pool
	member *member
	// lastReported is the last result passed to ReportPending.
	lastReported judge.Result
	completed    bool
}

// Acquire chooses a target and waits for capacity if necessary. It fails with
// fault.NoTarget if no untried target is left, with fault.QueueFull if the request would
// wait past its deadline, and with fault.CallerGone if ctx ends first.
func (p *Pool) Acquire(ctx context.Context, req Request) (*Grant, error) {
	w, g, err := p.grantOrQueue(req)
	if g != nil || err != nil {
		return g, err
	}
	timer := time.NewTimer(time.Until(p.latestStart(req)))
	defer timer.Stop()
	scan := time.NewTicker(quietScanInterval)
	defer scan.Stop()
	for {
		select {
		case g := <-w.granted:
			return g, nil
		case err := <-w.refused:
			return nil, err
		case <-scan.C:
			p.scanIfQuiet()
		case <-ctx.Done():
			p.cancelWait(w)
			return nil, fault.New(fault.CallerGone, "request cancelled while waiting for a target")
		case <-timer.C:
			p.cancelWait(w)
			return nil, p.refuseExpired(req)
		}
	}
}

// latestStart returns the time after which a waiting request is refused.
func (p *Pool) latestStart(req Request) time.Time {
	return speed{serviceTime: p.ServiceTime()}.latestStart(req)
}

// refuseExpired returns the error for a request that has waited until its latest start.
func (p *Pool) refuseExpired(req Request) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.withRetryAfter(fault.New(fault.QueueFull, "no target had capacity in time"), req, 0, time.Now())
}

// grantOrQueue returns a grant if a target can be used at once. Otherwise it adds the
// request to the queue and returns its waiter.
func (p *Pool) grantOrQueue(req Request) (*waiter, *Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.requestCount++
	req.arrivedAt, req.sequence = now, p.requestCount
	if g := p.grantInTurn(req, now); g != nil {
		return nil, g, nil
	}
	if err := p.checkAvailable(req, now); err != nil {
		return nil, nil, err
	}
	if err := p.checkWait(req, now); err != nil {
		return nil, nil, err
	}
	w := &waiter{request: req, granted: make(chan *Grant, 1), refused: make(chan error, 1)}
	p.queue.push(w)
	return w, nil, nil
}

// cancelWait removes a waiter from the queue, or ends the grant that the waiter got in
// the meantime.
func (p *Pool) cancelWait(w *waiter) {
	p.mu.Lock()
	removed := p.queue.remove(w)
	p.mu.Unlock()
	if removed {
		return
	}
	select {
	case g := <-w.granted:
		g.Complete(judge.Nothing, 0)
	case <-w.refused:
	}
}

// grantInTurn chooses a target for a new request and grants it, or returns nil if the
// request has to wait. Capacity may have become free without an event, for example when
// the reported load of a peer has expired. Waiters that are due before the request get it
// first.
func (p *Pool) grantInTurn(req Request, now time.Time) *Grant {
	for {
		c := p.choose(req, now)
		if c.member == nil {
			return nil
		}
		w := p.queue.earlierFor(c.member.target.Key, req)
		if w == nil || c.rate >= failRateLimit {
			p.queue.charge(req, now)
			return p.grantChoice(c, now)
		}
		p.grantWaiter(w, choice{member: c.member, rate: c.rate, reason: Cheapest}, now)
	}
}

// grantChoice grants the chosen target and sends the event to the peers.
func (p *Pool) grantChoice(c choice, now time.Time) *Grant {
	m := c.member
	load := m.load(now)
	m.ownLoad++
	m.usedAt = now
	p.emit(Event{Service: p.service, Target: m.target.Key, InFlight: m.ownLoad})
	return &Grant{Target: m.target, FailRate: c.rate, Load: load, Reason: c.reason, pool: p, member: m}
}

// Complete ends the grant with the result and the latency of its request. Calls after
// the first have no effect.
func (g *Grant) Complete(r judge.Result, took time.Duration) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.completed {
		return
	}
	g.completed = true
	if g.lastReported != judge.Nothing && r == judge.Served {
		r = judge.Late
	}
	now := time.Now()
	g.member.ownLoad--
	p.recordOwn(g.member, now, r, took)
	p.emit(Event{Service: p.service, Target: g.Target.Key, InFlight: g.member.ownLoad, Result: r, Latency: took})
	p.grantWaiting(g.Target.Key, now)
}

// BackingOff reports whether the target wants no requests now.
func (g *Grant) BackingOff() bool {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	return g.pool.restrictions.backingOff(g.Target.Key, time.Now())
}

// SinceRemoval returns how long ago the target was removed from the pool, and false if
// it belongs to the pool.
func (g *Grant) SinceRemoval() (since time.Duration, removed bool) {
	g.pool.mu.Lock()
	defer g.pool.mu.Unlock()
	if g.member.removedAt.IsZero() {
		return 0, false
	}
	return time.Since(g.member.removedAt), true
}

// ReportPending records that the request is still pending: judge.Slow first,
// judge.Overdue later. Each result counts once. It reports whether the target is now
// expected to fail the request.
func (g *Grant) ReportPending(r judge.Result) (lost bool) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.completed {
		return false
	}
	now := time.Now()
	if g.lastReported != r && g.lastReported != judge.Overdue {
		g.lastReported = r
		p.recordOwn(g.member, now, r, 0)
		p.emit(Event{Service: p.service, Target: g.Target.Key, InFlight: g.member.ownLoad, Result: r})
	}
	return g.member.failRate(p.model, now) >= failRateLimit
}
