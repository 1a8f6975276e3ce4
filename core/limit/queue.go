package limit

import (
	"iter"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// waiter is one request in the queue.
type waiter struct {
	ask  *Ask
	lane *lane
	// done is closed when grant or err is set.
	done  chan struct{}
	grant *Grant
	err   error
}

// lane holds the waiting requests of one workspace and kind, oldest first.
type lane struct {
	workspace fleet.WorkspaceID
	waiters   []*waiter
}

// band holds the waiting requests of one kind. The lanes are in the order of their
// turns; a lane moves to the end when one of its requests is served.
type band struct {
	lanes []*lane
	count int
}

// queue is the bounded queue of a gate. Empty lanes are removed, so its memory is
// bounded by the number of waiting requests.
type queue struct {
	bands [fleet.Batch + 1]band
	// next is the urgent kind whose turn it is.
	next fleet.Kind
}

func kindOf(ask *Ask) fleet.Kind {
	return min(ask.Kind, fleet.Batch)
}

// other returns the urgent kind that alternates with k.
func other(k fleet.Kind) fleet.Kind {
	if k == fleet.Order {
		return fleet.Lookup
	}
	return fleet.Order
}

func (q *queue) len() int {
	return q.urgent() + q.bands[fleet.Batch].count
}

func (q *queue) urgent() int {
	return q.bands[fleet.Order].count + q.bands[fleet.Lookup].count
}

// add puts a waiter at the end of its workspace's lane.
func (q *queue) add(w *waiter) {
	b := &q.bands[kindOf(w.ask)]
	i := slices.IndexFunc(b.lanes, func(l *lane) bool { return l.workspace == w.ask.Workspace })
	if i < 0 {
		i = len(b.lanes)
		b.lanes = append(b.lanes, &lane{workspace: w.ask.Workspace})
	}
	w.lane = b.lanes[i]
	w.lane.waiters = append(w.lane.waiters, w)
	b.count++
}

// remove takes a waiter out; it reports whether the waiter was in the queue.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(w.lane.waiters, w)
	if i < 0 {
		return false
	}
	b := &q.bands[kindOf(w.ask)]
	w.lane.waiters = slices.Delete(w.lane.waiters, i, i+1)
	b.count--
	if len(w.lane.waiters) == 0 {
		b.drop(w.lane)
	}
	return true
}

// serve takes out a waiter that is granted a slot and passes the turns on.
func (q *queue) serve(w *waiter) {
	q.remove(w)
	k := kindOf(w.ask)
	if k != fleet.Batch {
		q.next = other(k)
	}
	if len(w.lane.waiters) > 0 {
		b := &q.bands[k]
		b.drop(w.lane)
		b.lanes = append(b.lanes, w.lane)
	}
}

func (b *band) drop(l *lane) {
	b.lanes = slices.DeleteFunc(b.lanes, func(x *lane) bool { return x == l })
}

// all yields the waiters of one kind in the order of their turns: the first of
// each lane, then the others.
func (b *band) all() iter.Seq[*waiter] {
	return func(yield func(*waiter) bool) {
		for depth, left := 0, b.count; left > 0; depth++ {
			for _, l := range b.lanes {
				if depth >= len(l.waiters) {
					continue
				}
				left--
				if !yield(l.waiters[depth]) {
					return
				}
			}
		}
	}
}

// ahead returns the number of waiters that are served before w if nobody else arrives.
func (q *queue) ahead(w *waiter) int {
	k := kindOf(w.ask)
	own := q.bands[k].ahead(w)
	if k == fleet.Batch {
		return own + q.urgent()
	}
	rival := own + 1
	if q.next == k {
		rival = own
	}
	return own + min(q.bands[other(k)].count, rival)
}

func (b *band) ahead(w *waiter) int {
	depth := slices.Index(w.lane.waiters, w)
	n, passed := 0, false
	for _, l := range b.lanes {
		switch {
		case l == w.lane:
			n += depth
			passed = true
		case passed:
			n += min(len(l.waiters), depth)
		default:
			n += min(len(l.waiters), depth+1)
		}
	}
	return n
}

// victim returns the waiter that gives way when the queue is longer than allowed:
// the newest batch request, else the newest of the urgent kind that waits more,
// each of the workspace that waits most. It may be the request that came last.
func (q *queue) victim() *waiter {
	b := &q.bands[fleet.Batch]
	if b.count == 0 {
		b = &q.bands[fleet.Lookup]
		if q.bands[fleet.Order].count > b.count {
			b = &q.bands[fleet.Order]
		}
	}
	var most *lane
	for _, l := range b.lanes {
		if most == nil || len(l.waiters) >= len(most.waiters) {
			most = l
		}
	}
	return most.waiters[len(most.waiters)-1]
}
