package sched

import (
	"context"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/judge"
)

// Ask describes a request that needs a target.
type Ask struct {
	Idempotent bool
	// Last says that the request is lost if it fails: it must not be sent again,
	// or may not because its attempts or the budget are used up.
	Last bool
	// Priority ranks the request; 0 is the highest.
	Priority int
	Deadline time.Time
	// Objective is the time until which an answer is worth most; zero if there is none.
	Objective time.Time
	// Bytes is the expected size of request and answer.
	Bytes int64
	// Tried are the targets that the request was sent to before.
	Tried []Key
	// since is when the pool was asked, number the count of asks until then.
	since  time.Time
	number uint64
}

func (a Ask) objective() time.Time {
	if a.Objective.IsZero() || a.Objective.After(a.Deadline) {
		return a.Deadline
	}
	return a.Objective
}

// Grant is the permission to send one request to a target. It must be settled once.
type Grant struct {
	Target Target
	// FailRate is the share of requests that the target was expected to fail.
	FailRate float64
	// Load is the work in flight of the whole fleet before this request.
	Load   int
	Reason Reason
	pool   *Pool
	member *member
	// told is the last early result.
	told    judge.Result
	settled bool
}

// Acquire chooses a target, waiting for room if need be. It fails with
// fault.NoTarget if there is none, with fault.QueueFull if the wait would
// outlast the deadline, and with fault.CallerGone if ctx ends first.
func (p *Pool) Acquire(ctx context.Context, a Ask) (*Grant, error) {
	w, g, err := p.ask(a)
	if g != nil || err != nil {
		return g, err
	}
	timer := time.NewTimer(time.Until(p.latestStart(a)))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
		p.giveUp(w)
		return nil, fault.New(fault.CallerGone, "caller left while waiting for a target")
	case <-timer.C:
		p.giveUp(w)
		return nil, fault.New(fault.QueueFull, "no target had room in time")
	}
}

// latestStart returns when the request is given up if it still waits: another
// target could not answer it until its deadline.
func (p *Pool) latestStart(a Ask) time.Time {
	return a.Deadline.Add(-p.ServiceTime() / 2)
}

func (p *Pool) ask(a Ask) (*waiter, *Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.asked++
	a.since, a.number = now, p.asked
	if g := p.grant(a, now); g != nil {
		return nil, g, nil
	}
	if p.untried(a) == 0 {
		return nil, nil, fault.New(fault.NoTarget, "service %s has no further target", p.service)
	}
	if wait := p.expectedWait(a, now); now.Add(wait + p.serviceTime()).After(a.Deadline) {
		return nil, nil, fault.New(fault.QueueFull, "wait of %s would outlast the deadline", wait)
	}
	w := &waiter{ask: a, granted: make(chan *Grant, 1)}
	p.queue.push(w)
	return w, nil, nil
}

// giveUp takes a waiter out of the queue, or settles the grant that it was
// given in the same moment.
func (p *Pool) giveUp(w *waiter) {
	p.mu.Lock()
	removed := p.queue.remove(w)
	p.mu.Unlock()
	if removed {
		return
	}
	g := <-w.granted
	g.Settle(judge.Nothing, 0)
}

func (p *Pool) grant(a Ask, now time.Time) *Grant {
	c := p.choose(a, now)
	if c.member == nil {
		return nil
	}
	return p.give(c, now)
}

// give grants the target of a choice.
func (p *Pool) give(c choice, now time.Time) *Grant {
	m := c.member
	load := m.load(now)
	m.own++
	m.usedAt = now
	p.emit(Event{Service: p.service, Target: m.target.Key, InFlight: m.own})
	return &Grant{Target: m.target, FailRate: c.rate, Load: load, Reason: c.reason, pool: p, member: m}
}

// Settle ends a grant with what its request said about the target.
func (g *Grant) Settle(r judge.Result, took time.Duration) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.settled {
		return
	}
	g.settled = true
	if g.told != judge.Nothing && r == judge.Served {
		r = judge.Late
	}
	now := time.Now()
	g.member.own--
	p.learn(g.member, now, r, took)
	p.emit(Event{Service: p.service, Target: g.Target.Key, InFlight: g.member.own, Result: r, Latency: took})
	p.serveRoom(g.member, now)
}

// Report tells an early result of a request that goes on, judge.Slow and then
// judge.Overdue. It returns whether the target is now expected to fail the request.
func (g *Grant) Report(r judge.Result) (lost bool) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.settled {
		return false
	}
	now := time.Now()
	if g.told != r && g.told != judge.Overdue {
		g.told = r
		p.learn(g.member, now, r, 0)
		p.emit(Event{Service: p.service, Target: g.Target.Key, InFlight: g.member.own, Result: r})
	}
	return g.member.failRate(p.model, now) >= sickRate
}
