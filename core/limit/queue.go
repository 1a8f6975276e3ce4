package limit

import (
	"iter"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// waiter is one request in the queue.
type waiter struct {
	req   *Request
	queue *workspaceQueue
	// done is closed when grant or err is set.
	done  chan struct{}
	grant *Grant
	err   error
}

// workspaceQueue holds the waiting requests of one workspace and kind, oldest first.
type workspaceQueue struct {
	workspace fleet.WorkspaceID
	waiters   []*waiter
}

// kindQueue holds the waiting requests of one kind. The queues of the workspaces take
// turns in the order of the slice; a queue moves to the end when one of its requests is
// served.
type kindQueue struct {
	queues []*workspaceQueue
	count  int
}

// queue is the bounded queue of a limiter. Orders and lookups are the interactive kinds:
// they take turns with each other and go before batch requests. Empty queues of
// workspaces are removed, so that the memory is bounded by the number of waiting
// requests.
type queue struct {
	kinds [fleet.Batch + 1]kindQueue
	// nextInteractive is the interactive kind whose turn it is.
	nextInteractive fleet.RequestKind
}

func kindOf(req *Request) fleet.RequestKind {
	return min(req.Kind, fleet.Batch)
}

// otherInteractive returns the interactive kind that alternates with k.
func otherInteractive(k fleet.RequestKind) fleet.RequestKind {
	if k == fleet.Order {
		return fleet.Lookup
	}
	return fleet.Order
}

func (q *queue) len() int {
	return q.interactive() + q.kinds[fleet.Batch].count
}

func (q *queue) interactive() int {
	return q.kinds[fleet.Order].count + q.kinds[fleet.Lookup].count
}

// add appends a waiter to the queue of its workspace.
func (q *queue) add(w *waiter) {
	kind := &q.kinds[kindOf(w.req)]
	i := slices.IndexFunc(kind.queues, func(wq *workspaceQueue) bool { return wq.workspace == w.req.Workspace })
	if i < 0 {
		i = len(kind.queues)
		kind.queues = append(kind.queues, &workspaceQueue{workspace: w.req.Workspace})
	}
	w.queue = kind.queues[i]
	w.queue.waiters = append(w.queue.waiters, w)
	kind.count++
}

// remove removes a waiter and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(w.queue.waiters, w)
	if i < 0 {
		return false
	}
	kind := &q.kinds[kindOf(w.req)]
	w.queue.waiters = slices.Delete(w.queue.waiters, i, i+1)
	kind.count--
	if len(w.queue.waiters) == 0 {
		kind.removeQueue(w.queue)
	}
	return true
}

// removeServed removes a waiter that is granted a slot and passes the turns of its kind
// and workspace on.
func (q *queue) removeServed(w *waiter) {
	q.remove(w)
	k := kindOf(w.req)
	if k != fleet.Batch {
		q.nextInteractive = otherInteractive(k)
	}
	if len(w.queue.waiters) > 0 {
		kind := &q.kinds[k]
		kind.removeQueue(w.queue)
		kind.queues = append(kind.queues, w.queue)
	}
}

func (kq *kindQueue) removeQueue(wq *workspaceQueue) {
	kq.queues = slices.DeleteFunc(kq.queues, func(other *workspaceQueue) bool { return other == wq })
}

// inTurnOrder yields the waiters of one kind in the order of their turns: the first
// of each workspace, then the second of each, and so on.
func (kq *kindQueue) inTurnOrder() iter.Seq[*waiter] {
	return func(yield func(*waiter) bool) {
		for depth, left := 0, kq.count; left > 0; depth++ {
			for _, wq := range kq.queues {
				if depth >= len(wq.waiters) {
					continue
				}
				left--
				if !yield(wq.waiters[depth]) {
					return
				}
			}
		}
	}
}

// ahead returns the number of waiters that are served before w if no request arrives.
func (q *queue) ahead(w *waiter) int {
	k := kindOf(w.req)
	ahead := q.kinds[k].ahead(w)
	if k == fleet.Batch {
		return ahead + q.interactive()
	}
	maxOther := ahead + 1
	if q.nextInteractive == k {
		maxOther = ahead
	}
	return ahead + min(q.kinds[otherInteractive(k)].count, maxOther)
}

func (kq *kindQueue) ahead(w *waiter) int {
	depth := slices.Index(w.queue.waiters, w)
	n, passed := 0, false
	for _, wq := range kq.queues {
		switch {
		case wq == w.queue:
			n += depth
			passed = true
		case passed:
			n += min(len(wq.waiters), depth)
		default:
			n += min(len(wq.waiters), depth+1)
		}
	}
	return n
}

// evictee returns the waiter to refuse when the queue is longer than allowed: a batch
// request, or else one of the interactive kind with more waiters. It is the newest of
// the workspace with the most waiters of that kind, and may be the request that
// arrived last.
func (q *queue) evictee() *waiter {
	kind := &q.kinds[fleet.Batch]
	if kind.count == 0 {
		kind = &q.kinds[fleet.Lookup]
		if q.kinds[fleet.Order].count > kind.count {
			kind = &q.kinds[fleet.Order]
		}
	}
	var longest *workspaceQueue
	for _, wq := range kind.queues {
		if longest == nil || len(wq.waiters) >= len(longest.waiters) {
			longest = wq
		}
	}
	return longest.waiters[len(longest.waiters)-1]
}
