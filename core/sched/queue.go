package sched

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for a target with capacity.
type waiter struct {
	request Request
	granted chan *Grant
	// refused gets the reason if no target may get the request any more.
	refused chan error
}

// queue holds the waiters by priority, then by deadline, so that in a burst the least
// urgent requests are the ones that cannot be served.
type queue struct {
	waiters []*waiter
}

func (q *queue) push(w *waiter) {
	at, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, at, w)
}

func compareWaiters(a, b *waiter) int {
	return a.request.compare(b.request)
}

// compare orders requests by priority, deadline and arrival.
func (req Request) compare(other Request) int {
	if req.Priority != other.Priority {
		return req.Priority - other.Priority
	}
	if byDeadline := req.Deadline.Compare(other.Deadline); byDeadline != 0 {
		return byDeadline
	}
	return cmp.Compare(req.sequence, other.sequence)
}

func (q *queue) remove(w *waiter) bool {
	at := slices.Index(q.waiters, w)
	if at < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, at, at+1)
	return true
}

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
	if len(p.queue.waiters) == 0 {
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
		at := p.queue.firstFor(k)
		if at < 0 || rate >= failRateLimit {
			return
		}
		w := p.queue.removeAt(at)
		w.granted <- p.grantChoice(choice{member: m, rate: rate, reason: Cheapest}, now)
	}
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

// scanQueue grants targets to all waiters for which there is one.
func (p *Pool) scanQueue(now time.Time) {
	p.queueScannedAt = now
	missed := map[class]int{}
	waiting := p.queue.waiters[:0]
	for _, w := range p.queue.waiters {
		var g *Grant
		if missed[w.request.class()] < maxMisses {
			g = p.tryGrant(w.request, now)
		}
		if g == nil {
			missed[w.request.class()]++
			waiting = append(waiting, w)
			continue
		}
		w.granted <- g
	}
	clear(p.queue.waiters[len(waiting):])
	p.queue.waiters = waiting
}

// class groups the requests that have the same requirements on a target.
type class struct {
	priority     int
	finalAttempt bool
}

func (req Request) class() class {
	return class{priority: req.Priority, finalAttempt: req.FinalAttempt}
}

// firstFor returns the index of the first waiter that was not sent to the target
// before, or -1.
func (q *queue) firstFor(k Key) int {
	return slices.IndexFunc(q.waiters, func(w *waiter) bool { return !w.request.hasTried(k) })
}

// removeAt removes and returns the waiter at the index.
func (q *queue) removeAt(at int) *waiter {
	w := q.waiters[at]
	q.waiters = slices.Delete(q.waiters, at, at+1)
	return w
}

// expectedWait returns the expected time in the queue of a new request. It is at least
// as long as any waiter before it has already waited, because the waiters of other
// daemons are unknown. A slot counts in proportion to the share of requests that its
// target serves successfully.
func (p *Pool) expectedWait(req Request, now time.Time) time.Duration {
	ahead := 1
	longest := time.Duration(0)
	for _, w := range p.queue.waiters {
		if w.request.compare(req) < 0 {
			ahead++
			longest = max(longest, now.Sub(w.request.arrivedAt))
		}
	}
	slots := 0.0
	for k, m := range p.members {
		if p.restrictions.backingOff(k, now) {
			continue
		}
		slots += float64(m.target.Slots) * (1 - m.failRate(p.model, now))
	}
	return max(longest, time.Duration(float64(p.serviceTime())*float64(ahead)/max(slots, 1)))
}
