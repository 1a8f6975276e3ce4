package sched

import (
	"cmp"
	"container/heap"
	"container/list"
	"iter"
	"math"
	"slices"
	"time"
)

// Capacity is shared among workspaces by start-time fair queueing (Goyal, Vin and Cheng,
// 1996), in the form for a server that processes several requests at once (SFQ(D), Jin,
// Chase and Kaur, 2004). Each request has a virtual start time: the later of the virtual
// time at its arrival and the virtual finish time of the workspace's request before it.
// Requests are granted by virtual start time, and the virtual time is the start time of
// the last grant. A request takes 1/weight of virtual time. A workspace that asks for less
// than its share always starts no later than the present virtual time, before the requests
// that another one has in excess.
//
// A workspace that asked for nothing starts ahead of the virtual time by startCredit
// requests, as threads in borrowed-virtual-time scheduling do (Duda and Cheriton, 1999).
// Its requests reach many daemons and a few of them meet at one by chance; without the
// credit each of these waits for its whole interval there.

const (
	// minWeight and maxWeight bound the weights, so that a virtual start time neither
	// outgrows the precision of its type nor stands still.
	minWeight = 1e-3
	maxWeight = 1e6
	// maxVirtualTime is the virtual time at which the times of a level are counted from 0
	// again, to keep their precision.
	maxVirtualTime = 1e6
	// startCredit is the number of requests by which a workspace may start ahead of the
	// virtual time.
	startCredit = 2
	// contentionMemory is how long after the last waiter left a level the requests that are
	// granted at once are still counted. Until then, the targets may be full although
	// nobody waits at this daemon.
	contentionMemory = time.Second
	// minFlowsToSweep is the number of flows from which a level forgets those that matter
	// no more.
	minFlowsToSweep = 64
)

// rank orders the levels of the queue.
type rank struct {
	workspace, route int
}

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.workspace, other.workspace), cmp.Compare(r.route, other.route))
}

func (req Request) rank() rank {
	return rank{workspace: req.WorkspacePriority, route: req.Priority}
}

// level holds the waiters of one rank and shares the capacity among their workspaces.
type level struct {
	rank rank
	// virtualTime is the virtual start time of the last grant.
	virtualTime float64
	flows       map[string]*flow
	// backlogged holds the flows with waiters, the one to be served next first.
	backlogged flowHeap
	// waiting is the number of waiters, final that of those in their final attempt.
	waiting, final int
	// contendedAt is when requests last waited.
	contendedAt time.Time
	sweepAt     int
}

// flow is what a workspace asks for on one level. The requests without a workspace are one
// flow. A flow without waiters is kept while its start time is ahead of the virtual time,
// so that a workspace that sends one request at a time gets no more than its share.
type flow struct {
	level     *level
	workspace string
	weight    float64
	// start is the virtual start time of the next request.
	start float64
	// since is the sequence number of the request that ended the last time without
	// waiters. It orders flows with the same start time.
	since uint64
	// waiters are ordered by deadline and arrival, arrivals by arrival only.
	waiters  []*waiter
	arrivals list.List
	// pace is how fast the waiters are served.
	pace pace
	// index is the position among the backlogged flows.
	index int
}

func newLevel(r rank) *level {
	return &level{rank: r, flows: map[string]*flow{}, sweepAt: minFlowsToSweep}
}

// flowFor returns the flow of the request, creating it on first use, with the weight that
// the request states.
func (l *level) flowFor(req Request) *flow {
	f := l.flows[req.Workspace]
	if f == nil {
		l.sweep()
		f = &flow{level: l, workspace: req.Workspace, start: math.Inf(-1)}
		l.flows[req.Workspace] = f
	}
	f.weight = req.weight()
	return f
}

func (req Request) weight() float64 {
	if req.Weight == 0 {
		return 1
	}
	return min(max(req.Weight, minWeight), maxWeight)
}

// sweep forgets flows without waiters that would start with their whole credit.
func (l *level) sweep() {
	if len(l.flows) < l.sweepAt {
		return
	}
	for name, f := range l.flows {
		if len(f.waiters) == 0 && f.start <= l.earliestStart(f.weight) {
			delete(l.flows, name)
		}
	}
	l.sweepAt = max(minFlowsToSweep, 2*len(l.flows))
}

// earliestStart returns the virtual start time of a flow that asked for nothing.
func (l *level) earliestStart(weight float64) float64 {
	return l.virtualTime - startCredit/weight
}

// nextStart returns the virtual start time of the next request of the flow.
func (l *level) nextStart(f *flow) float64 {
	if len(f.waiters) > 0 {
		return f.start
	}
	return max(f.start, l.earliestStart(f.weight))
}

// startOf returns the virtual start time of the next request of the workspace of a request.
func (l *level) startOf(req Request) float64 {
	if f := l.flows[req.Workspace]; f != nil {
		return l.nextStart(f)
	}
	return l.earliestStart(req.weight())
}

// push adds a waiter to the flow of its workspace.
func (l *level) push(w *waiter) {
	f := l.flowFor(w.request)
	f.start = l.nextStart(f)
	at, _ := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	f.waiters = slices.Insert(f.waiters, at, w)
	w.flow, w.arrival = f, f.arrivals.PushBack(w)
	l.count(w.request, 1)
	l.contendedAt = w.request.arrivedAt
	if len(f.waiters) == 1 {
		f.since = w.request.sequence
		f.pace.begin(w.request.arrivedAt)
		heap.Push(&l.backlogged, f)
	}
}

// remove removes a waiter that was not granted a target.
func (l *level) remove(w *waiter) {
	f := w.flow
	at, _ := slices.BinarySearchFunc(f.waiters, w, compareWaiters)
	f.waiters = slices.Delete(f.waiters, at, at+1)
	f.arrivals.Remove(w.arrival)
	w.flow, w.arrival = nil, nil
	l.count(w.request, -1)
	if len(f.waiters) == 0 {
		heap.Remove(&l.backlogged, f.index)
	}
}

// chargeUnqueued accounts for a request that is granted a target without waiting. If nobody
// has waited for contentionMemory, it resets the level instead.
func (l *level) chargeUnqueued(req Request, now time.Time) {
	if l.waiting > 0 {
		l.contendedAt = now
	}
	if now.Sub(l.contendedAt) >= contentionMemory {
		clear(l.flows)
		l.virtualTime = 0
		return
	}
	l.charge(l.flowFor(req))
}

func (l *level) count(req Request, change int) {
	l.waiting += change
	if req.FinalAttempt {
		l.final += change
	}
}

// charge accounts for a grant to the flow.
func (l *level) charge(f *flow) {
	f.start = l.nextStart(f)
	l.virtualTime = max(l.virtualTime, f.start)
	f.start += 1 / f.weight
	if len(f.waiters) > 0 {
		heap.Fix(&l.backlogged, f.index)
	}
	if l.virtualTime > maxVirtualTime {
		l.rebase()
	}
}

// rebase lets the virtual time begin at 0 again.
func (l *level) rebase() {
	for _, f := range l.flows {
		f.start -= l.virtualTime
	}
	l.virtualTime = 0
	heap.Init(&l.backlogged)
}

// place is the place of a request in the queue.
type place struct {
	// ahead is the number of waiters that would be served before the request.
	ahead int
	// oldest is when the oldest of them arrived whose wait says something about that of the
	// request; zero if there is none.
	oldest time.Time
	// paced is how long the waiters before the request take at the pace of their flows, as
	// far as it is known, on more urgent levels and in its own flow.
	paced time.Duration
}

// addOldest considers a waiter, which may be nil, for the oldest one.
func (p *place) addOldest(w *waiter) {
	if w != nil && (p.oldest.IsZero() || w.request.arrivedAt.Before(p.oldest)) {
		p.oldest = w.request.arrivedAt
	}
}

// addPlace adds to a place what is before the request on the level.
func (l *level) addPlace(p *place, req Request) {
	own := l.flows[req.Workspace]
	start := l.startOf(req)
	if own != nil {
		count, oldest := own.before(req)
		p.ahead += count
		p.addOldest(oldest)
		if count > 0 {
			p.paced = max(p.paced, own.pace.wait(count))
		}
		start += float64(count) / req.weight()
	}
	for _, f := range l.backlogged {
		if f != own {
			p.ahead += f.startingBy(start)
		}
	}
}

// addWhole adds to a place the whole level.
func (l *level) addWhole(p *place) {
	p.ahead += l.waiting
	for _, f := range l.backlogged {
		p.addOldest(f.arrivals.Front().Value.(*waiter))
		p.paced = max(p.paced, f.pace.wait(len(f.waiters)))
	}
}

// before returns the number of waiters of the flow with an earlier place than the request,
// and the oldest of them, or nil. To find that one, it goes through those in the order of
// their places, or through all in the order of their arrival, whichever is likely shorter.
func (f *flow) before(req Request) (count int, oldest *waiter) {
	count, _ = slices.BinarySearchFunc(f.waiters, req, func(w *waiter, r Request) int { return w.request.compare(r) })
	if count*count < len(f.waiters) {
		for _, w := range f.waiters[:count] {
			if oldest == nil || w.request.sequence < oldest.request.sequence {
				oldest = w
			}
		}
		return count, oldest
	}
	for e := f.arrivals.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*waiter); w.request.compare(req) < 0 {
			return count, w
		}
	}
	return count, nil
}

// startTolerance is the part of a request's interval by which virtual start times may
// differ from rounding.
const startTolerance = 1e-3

// startingBy returns the number of waiters whose virtual start time is at most the given
// one.
func (f *flow) startingBy(start float64) int {
	count := (start-f.start)*f.weight + 1 + startTolerance
	return int(min(max(count, 0), float64(len(f.waiters))))
}

// totalWeight returns the sum of the weights of all flows with waiters and of the flow of
// the request.
func (l *level) totalWeight(req Request) float64 {
	total := req.weight()
	for _, f := range l.backlogged {
		if f.workspace != req.Workspace {
			total += f.weight
		}
	}
	return total
}

// inOrder returns the waiters in the order in which they would be served if no further ones
// arrived. They must not change meanwhile.
func (l *level) inOrder() iter.Seq[*waiter] {
	if len(l.backlogged) == 1 {
		return slices.Values(l.backlogged[0].waiters)
	}
	return func(yield func(*waiter) bool) {
		next := make(cursors, 0, len(l.backlogged))
		for _, f := range l.backlogged {
			next = append(next, cursor{start: f.start, since: f.since, step: 1 / f.weight, waiters: f.waiters})
		}
		// The flows are a heap with the same order already.
		for len(next) > 0 {
			if !yield(next[0].waiters[0]) {
				return
			}
			next = next.advance()
		}
	}
}

// flowHeap is a heap of flows, see [heap.Interface].
type flowHeap []*flow

// Len returns the number of flows.
func (h flowHeap) Len() int { return len(h) }

// Less orders flows by virtual start time and then by the start of their backlog.
func (h flowHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].start, h[j].start), cmp.Compare(h[i].since, h[j].since)) < 0
}

// Swap exchanges two flows.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a flow.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
