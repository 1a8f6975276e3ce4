package sched

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// waiter is a request that waits for a target with capacity.
type waiter struct {
	request Request
	granted chan *Grant
	// refused gets the reason if the request is refused while it waits.
	refused chan error
	// flow holds the waiter while it is in the queue, arrival is its place among the
	// flow's arrivals.
	flow    *flow
	arrival *list.Element
	// lateInCheck is the number of the last check that expected the request to be served too
	// late.
	lateInCheck uint64
}

// maxIdleLevels is the number of levels from which those without waiters are forgotten.
const maxIdleLevels = 64

// queue holds the waiters by the priority of their workspace and that of their route. On
// each of these levels, the capacity is shared among the workspaces. The requests of one
// workspace are ordered by deadline. So in a burst, the least urgent requests of the
// workspaces that ask for more than their share are the ones that cannot be served.
type queue struct {
	levels []*level
	// ofWorkspaces is the number of waiters that have a workspace.
	ofWorkspaces int
	// passed holds, during a scan of requests without a workspace, the waiters before the
	// one that the scan looks at. The scan moves the ones that go on waiting to its front.
	passed []*waiter
}

// len returns the number of waiters.
func (q *queue) len() int {
	n := 0
	for _, l := range q.levels {
		n += l.waiting
	}
	return n
}

// levelFor returns the level of the rank, creating it on first use.
func (q *queue) levelFor(r rank) *level {
	at, found := q.findLevel(r)
	if found {
		return q.levels[at]
	}
	if len(q.levels) >= maxIdleLevels {
		q.levels = slices.DeleteFunc(q.levels, func(l *level) bool { return l.waiting == 0 })
		at, _ = q.findLevel(r)
	}
	l := newLevel(r)
	q.levels = slices.Insert(q.levels, at, l)
	return l
}

func (q *queue) findLevel(r rank) (at int, found bool) {
	return slices.BinarySearchFunc(q.levels, r, func(l *level, r rank) int { return l.rank.compare(r) })
}

func (q *queue) push(w *waiter) {
	q.levelFor(w.request.rank()).push(w)
	if w.request.Workspace != "" {
		q.ofWorkspaces++
	}
}

// remove removes a waiter that was not granted a target. It reports whether the waiter was
// in the queue.
func (q *queue) remove(w *waiter) bool {
	if w.flow == nil {
		return false
	}
	w.flow.level.remove(w)
	if w.request.Workspace != "" {
		q.ofWorkspaces--
	}
	return true
}

// take removes a waiter that is granted a target.
func (q *queue) take(w *waiter, now time.Time) {
	w.flow.level.charge(w.flow)
	w.flow.pace.add(now)
	q.remove(w)
}

// charge accounts for a request that is granted a target without waiting. Requests without
// a workspace are counted only beside those of workspaces.
func (q *queue) charge(req Request, now time.Time) {
	at, found := q.findLevel(req.rank())
	if !found || req.Workspace == "" && len(q.levels[at].flows) < 2 {
		return
	}
	q.levels[at].chargeUnqueued(req, now)
}

func compareWaiters(a, b *waiter) int {
	return a.request.compare(b.request)
}

// compare orders the requests of one flow by deadline and arrival.
func (req Request) compare(other Request) int {
	if byDeadline := req.Deadline.Compare(other.Deadline); byDeadline != 0 {
		return byDeadline
	}
	return cmp.Compare(req.sequence, other.sequence)
}

// firstFor returns the first waiter that was not sent to the target before, or nil.
func (q *queue) firstFor(k Key) *waiter {
	for _, l := range q.levels {
		if l.waiting == 0 {
			continue
		}
		if w := l.backlogged[0].waiters[0]; !w.request.hasTried(k) {
			return w
		}
		for w := range l.inOrder() {
			if !w.request.hasTried(k) {
				return w
			}
		}
	}
	return nil
}

// earlierFor returns the first waiter that was not sent to the target before, if it has to
// be served before a request that is not in the queue; otherwise nil. Without workspaces,
// a request never has to stand back.
func (q *queue) earlierFor(k Key, req Request) *waiter {
	if q.ofWorkspaces == 0 {
		return nil
	}
	w := q.firstFor(k)
	if w == nil {
		return nil
	}
	l := w.flow.level
	switch c := l.rank.compare(req.rank()); {
	case c != 0:
		if c > 0 {
			return nil
		}
	case w.request.Workspace == req.Workspace:
		if w.request.compare(req) > 0 {
			return nil
		}
	default:
		if w.flow.start > l.startOf(req) {
			return nil
		}
	}
	return w
}

// placeOf returns the place of a request. The wait of another workspace on the same level
// says nothing about that of the request: it may have asked for more than its share.
func (q *queue) placeOf(req Request) place {
	var p place
	if q.passed != nil {
		for _, w := range q.passed {
			p.addOldest(w)
		}
		p.ahead = len(q.passed)
		return p
	}
	for _, l := range q.levels {
		switch c := l.rank.compare(req.rank()); {
		case c < 0:
			l.addWhole(&p)
		case c == 0:
			l.addPlace(&p, req)
		}
	}
	return p
}
