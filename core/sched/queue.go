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

// serveQueue grants targets to waiters as far as there is room.
func (p *Pool) serveQueue(now time.Time) {
	waiting := p.queue.waiters[:0]
	for _, w := range p.queue.waiters {
		g := p.grant(w.ask, now)
		if g == nil {
			waiting = append(waiting, w)
			continue
		}
		w.granted <- g
	}
	clear(p.queue.waiters[len(waiting):])
	p.queue.waiters = waiting
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
