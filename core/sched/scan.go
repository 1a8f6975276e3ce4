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
	p.queue.take(w)
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
	missed := map[class]int{}
	order := p.queue.inOrder()
	waiting := order[:0]
	overtaken := p.overtakenCheck(now)
	for i, w := range order {
		p.queue.passed = order[:i]
		var c choice
		if missed[w.request.class()] < maxMisses {
			c = p.choose(w.request, now)
		}
		if c.member != nil {
			p.grantWaiter(w, c, now)
			continue
		}
		missed[w.request.class()]++
		if overtaken.confirmed(w, len(waiting)) {
			p.refuseOvertaken(w, now)
			continue
		}
		waiting = append(waiting, w)
	}
	p.queue.passed = nil
	clear(order)
}

// class groups the requests that have the same requirements on a target.
type class struct {
	priority     int
	finalAttempt bool
}

func (req Request) class() class {
	return class{priority: req.Priority, finalAttempt: req.FinalAttempt}
}
