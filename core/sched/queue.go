package sched

import (
	"cmp"
	"slices"
	"time"
)

// waiter is a request that waits for room.
type waiter struct {
	ask     Ask
	granted chan *Grant
}

// queue holds the waiters, highest priority first, then earliest deadline, so
// that a burst costs the least urgent requests.
type queue struct {
	waiters []*waiter
}

func (q *queue) push(w *waiter) {
	at, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, at, w)
}

func compareWaiters(a, b *waiter) int {
	return a.ask.compare(b.ask)
}

// compare orders requests by rank, deadline and arrival.
func (a Ask) compare(b Ask) int {
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if byDeadline := a.Deadline.Compare(b.Deadline); byDeadline != 0 {
		return byDeadline
	}
	return cmp.Compare(a.number, b.number)
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
	// serveInterval is how often all waiters are looked through while events come:
	// some only change what is best for a request as time passes.
	serveInterval = 25 * time.Millisecond
	// maxMisses is the number of waiters of one rank that find no target before those
	// behind them are left for the next time: they want the same.
	maxMisses = 2
)

// serveRoom grants a target on which something was learnt to those that wait. Load
// pattern: all targets are full, hundreds of requests wait, and results of the whole
// fleet come thousands of times in a second; each of them changes one target only.
func (p *Pool) serveRoom(m *member, now time.Time) {
	if len(p.queue.waiters) == 0 {
		return
	}
	if now.Sub(p.servedAt) >= serveInterval {
		p.serveQueue(now)
		return
	}
	for m.load(now) < m.target.Slots+queueDepth {
		rate := m.failRate(p.model, now)
		at := p.queue.firstFor(m.target.Key)
		if at < 0 || rate >= sickRate {
			return
		}
		w := p.queue.take(at)
		w.granted <- p.give(choice{member: m, rate: rate, reason: Cheapest}, now)
	}
}

// serveQueue grants targets to waiters as far as there is room.
func (p *Pool) serveQueue(now time.Time) {
	p.servedAt = now
	missed := map[rank]int{}
	waiting := p.queue.waiters[:0]
	for _, w := range p.queue.waiters {
		var g *Grant
		if missed[w.ask.rank()] < maxMisses {
			g = p.grant(w.ask, now)
		}
		if g == nil {
			missed[w.ask.rank()]++
			waiting = append(waiting, w)
			continue
		}
		w.granted <- g
	}
	clear(p.queue.waiters[len(waiting):])
	p.queue.waiters = waiting
}

// rank is what requests have in common that want the same of a target.
type rank struct {
	priority int
	last     bool
}

func (a Ask) rank() rank {
	return rank{priority: a.Priority, last: a.Last}
}

// firstFor returns the position of the first waiter that was not sent to the target
// before, or -1.
func (q *queue) firstFor(k Key) int {
	return slices.IndexFunc(q.waiters, func(w *waiter) bool { return !w.ask.tried(k) })
}

// take removes the waiter at the position.
func (q *queue) take(at int) *waiter {
	w := q.waiters[at]
	q.waiters = slices.Delete(q.waiters, at, at+1)
	return w
}

// expectedWait returns how long a new request would wait behind those that go
// before it: at least as long as one of those has waited, because the waiters of
// other daemons are not known. A slot counts for the share of requests that its
// target serves.
func (p *Pool) expectedWait(a Ask, now time.Time) time.Duration {
	ahead := 1
	longest := time.Duration(0)
	for _, w := range p.queue.waiters {
		if w.ask.compare(a) < 0 {
			ahead++
			longest = max(longest, now.Sub(w.ask.since))
		}
	}
	slots := 0.0
	for _, m := range p.members {
		slots += float64(m.target.Slots) * (1 - m.failRate(p.model, now))
	}
	return max(longest, time.Duration(float64(p.serviceTime())*float64(ahead)/max(slots, 1)))
}
