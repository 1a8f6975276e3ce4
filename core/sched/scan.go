package sched

import "time"

const (
	// queueScanInterval is the least time between scans over all waiters that events
	// trigger. The scans are needed because the best decision for a waiter also changes
	// as time passes.
	queueScanInterval = 25 * time.Millisecond
	// maxMisses is the number of waiters of one class without a target after which a
	// scan skips the rest of the class, which have the same requirements.
	maxMisses = 2
)

// grantWaiting grants free capacity of a target to waiters after an event at that
// target. It takes a key, because the holder of a grant may still refer to a target that
// was removed from the pool. When all targets are full and hundreds of requests wait,
// the events of the whole fleet arrive thousands of times per second. Each of them
// changes one target only, so evaluating all targets for all waiters each time would be
// too expensive.
func (p *Pool) grantWaiting(k Key, now time.Time) {
	if p.queue.len() == 0 {
		return
	}
	if now.Sub(p.queueScannedAt) >= queueScanInterval {
		p.scanQueue(now)
		return
	}
	m := p.members[k]
	if m == nil || p.restrictions.backingOff(k, now) {
		return
	}
	for m.load(now) < m.target.Slots+targetQueueDepth {
		rate := m.failRate(p.model, now)
		w := p.queue.firstFor(k)
		if w == nil || rate >= failRateLimit {
			return
		}
		p.grantWaiter(w, choice{member: m, rate: rate, reason: Cheapest}, now)
	}
}

// grantWaiter grants the chosen target to a waiter.
func (p *Pool) grantWaiter(w *waiter, c choice, now time.Time) {
	p.queue.take(w, now)
	w.granted <- p.grantChoice(c, now)
}

// quietScanInterval is the time without a scan after which waiters cause one themselves.
// Without events at the targets, nothing else notices that the reported load of a peer
// that ended has expired, or that a failing target may be used again.
const quietScanInterval = 250 * time.Millisecond

// scanIfQuiet scans the queue if no event did so for quietScanInterval.
func (p *Pool) scanIfQuiet() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.queueScannedAt) >= quietScanInterval {
		p.scanQueue(now)
	}
}

// scanQueue grants targets to all waiters for which there is one, and refuses those that
// have been overtaken by others and cannot be served in time any more.
func (p *Pool) scanQueue(now time.Time) {
	p.queueScannedAt = now
	s := &scan{pool: p, now: now, fair: p.queue.ofWorkspaces > 0, missed: map[class]int{}}
	s.grantAll()
	p.refuseOvertaken(now)
}

// scan is one scan over the waiters.
type scan struct {
	pool *Pool
	now  time.Time
	// fair says that requests with a workspace wait.
	fair bool
	// missed counts the waiters without a target.
	missed  map[class]int
	granted []grantedWaiter
	// passed and waiting are the waiters seen so far, see [queue].
	passed  []*waiter
	waiting int
}

// grantedWaiter is a waiter with the target that it gets.
type grantedWaiter struct {
	waiter *waiter
	grant  *Grant
}

func (s *scan) grantAll() {
	q := &s.pool.queue
	if !s.fair {
		s.passed = make([]*waiter, 0, q.len())
	}
	for _, l := range q.levels {
		for w := range l.inOrder() {
			if s.fair && s.exhausted(l) {
				break
			}
			s.visit(w)
		}
		for _, g := range s.granted {
			q.take(g.waiter, s.now)
			g.waiter.granted <- g.grant
		}
		s.granted = s.granted[:0]
	}
	q.passed = nil
}

// visit grants a target to the waiter if there is one.
func (s *scan) visit(w *waiter) {
	p := s.pool
	if !s.fair {
		p.queue.passed = s.passed
		s.passed = append(s.passed, w)
	}
	class := w.request.class()
	if missed := s.missed[class]; missed < maxMisses {
		if c := p.choose(w.request, s.now); c.member != nil {
			s.granted = append(s.granted, grantedWaiter{w, p.grantChoice(c, s.now)})
			return
		}
		s.missed[class] = missed + 1
	}
	if !s.fair {
		s.passed[s.waiting] = w
		s.waiting++
	}
}

// exhausted reports whether the scan would skip all further waiters of the level.
func (s *scan) exhausted(l *level) bool {
	final := class{priority: l.rank.route, finalAttempt: true}
	other := class{priority: l.rank.route}
	return (l.final == 0 || s.missed[final] >= maxMisses) && (l.final == l.waiting || s.missed[other] >= maxMisses)
}

// class groups the requests that have the same requirements on a target.
type class struct {
	priority     int
	finalAttempt bool
}

func (req Request) class() class {
	return class{priority: req.Priority, finalAttempt: req.FinalAttempt}
}
