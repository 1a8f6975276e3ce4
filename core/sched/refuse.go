package sched

import (
	"math/rand/v2"
	"time"

	"wisteriarelay.example/core/fault"
)

// speed is how fast the targets of a pool serve requests.
type speed struct {
	serviceTime time.Duration
	// slots counts each slot in proportion to the share of requests that its target
	// serves successfully.
	slots float64
	// inFlight counts in the same way the requests that are sent to the targets before
	// they count as full. It is more than the slots.
	inFlight float64
}

// wait returns the expected time until a request with the given number of requests before
// it is served. Slots that other daemons use count as well, so the wait is rather longer.
func (s speed) wait(ahead int) time.Duration {
	return time.Duration(float64(s.serviceTime) * float64(ahead+1) / max(s.slots, 1))
}

// leastWait returns the time that the wait takes at least, if the latency includes the
// time that requests wait at their target.
func (s speed) leastWait(ahead int) time.Duration {
	return time.Duration(float64(s.serviceTime) * float64(ahead) / max(s.inFlight, 1))
}

// speed returns how fast the targets that want requests serve them.
func (p *Pool) speed(now time.Time) speed {
	s := speed{serviceTime: p.serviceTime()}
	for k, m := range p.members {
		if p.restrictions.backingOff(k, now) {
			continue
		}
		success := 1 - m.failRate(p.model, now)
		s.slots += float64(m.target.Slots) * success
		s.inFlight += float64(m.target.Slots+targetQueueDepth) * success
	}
	return s
}

// expectedWait returns the expected time in the queue of a new request. It is at least
// as long as a waiter before it has already waited, because the waiters of other daemons
// are unknown. If the request has a workspace, it is also at least as long as the requests
// of the workspace before it take at their present pace, and those of more urgent levels
// at theirs, so that no request is refused for its pace while a less urgent one is not.
func (p *Pool) expectedWait(req Request, now time.Time) time.Duration {
	place := p.queue.placeOf(req)
	wait := p.speed(now).wait(place.ahead)
	if !place.oldest.IsZero() {
		wait = max(wait, now.Sub(place.oldest))
	}
	if req.Workspace != "" {
		wait = max(wait, place.paced)
	}
	return wait
}

// checkWait fails with fault.QueueFull if the request would be served after its deadline.
func (p *Pool) checkWait(req Request, now time.Time) error {
	wait := p.expectedWait(req, now)
	excess := now.Add(wait + p.serviceTime()).Sub(req.Deadline)
	if excess <= 0 {
		return nil
	}
	return p.withRetryAfter(fault.New(fault.QueueFull, "wait of %s would outlast the deadline", wait), req, excess, now)
}

// overtakenInterval is the time between two checks for waiters that were overtaken and
// cannot be served in time any more. A waiter is refused if two checks in a row find it. The
// estimate follows single latencies, so one that is soon corrected must not end the wait of
// a request.
const overtakenInterval = 100 * time.Millisecond

// refuseOvertaken refuses the waiters that were overtaken by others and cannot be served
// in time any more. Unless requests with a workspace wait, it does nothing: then each
// waiter waits until its latest start.
func (p *Pool) refuseOvertaken(now time.Time) {
	q := &p.queue
	if q.ofWorkspaces == 0 || now.Sub(p.overtakenCheck.at) < overtakenInterval {
		return
	}
	p.overtakenCheck.at = now
	p.overtakenCheck.number++
	for _, w := range p.overtakenCheck.find(q, p.speed(now)) {
		q.remove(w)
		err := fault.New(fault.QueueFull, "overtaken by requests of other workspaces or of higher priority, %s before the deadline", w.request.Deadline.Sub(now))
		w.refused <- p.withRetryAfter(err, w.request, 0, now)
	}
}

// overtakenCheck finds waiters that were overtaken.
type overtakenCheck struct {
	at     time.Time
	number uint64
}

// find returns the waiters that this check and the one before it expect to be served after
// their latest start, even if only this daemon used the targets. Waiters that are returned
// do not count as served before others, so that no more are refused than needed. The pace
// of a workspace is not used here: it would refuse waiters although less urgent ones, whose
// pace is unknown, go on waiting and are served if capacity comes free.
func (c *overtakenCheck) find(q *queue, s speed) []*waiter {
	if !c.anyLate(q, s) {
		return nil
	}
	var found []*waiter
	ahead := 0
	for _, l := range q.levels {
		for w := range l.inOrder() {
			late := c.late(w, ahead, s)
			if late && w.lateInCheck > 0 && w.lateInCheck == c.number-1 {
				found = append(found, w)
				continue
			}
			if late {
				w.lateInCheck = c.number
			}
			ahead++
		}
	}
	return found
}

func (c *overtakenCheck) late(w *waiter, ahead int, s speed) bool {
	return c.at.Add(s.leastWait(ahead)).After(s.latestStart(w.request))
}

// anyLate reports whether any waiter may be late, to save the pass over all of them: the
// first of each flow has its earliest deadline, and none waits longer than the last.
func (c *overtakenCheck) anyLate(q *queue, s speed) bool {
	ahead := q.len()
	for _, l := range q.levels {
		for _, f := range l.backlogged {
			if c.late(f.waiters[0], ahead, s) {
				return true
			}
		}
	}
	return false
}

// latestStart returns the time after which a waiting request is refused, because no
// target could answer it before its deadline any more.
func (s speed) latestStart(req Request) time.Time {
	return req.Deadline.Add(-s.serviceTime / 2)
}

// withRetryAfter adds the time after which the caller of a refused request should retry, if
// the request has a workspace. earliest is when a retry could be served at the earliest.
// Each further refusal of the workspace gets a later time, by the interval that its share
// of the capacity needs for one request.
func (p *Pool) withRetryAfter(err *fault.Error, req Request, earliest time.Duration, now time.Time) error {
	if req.Workspace == "" {
		return err
	}
	s := p.speed(now)
	total := req.weight()
	if at, found := p.queue.findLevel(req.rank()); found {
		total = p.queue.levels[at].totalWeight(req)
	}
	// The weights may differ so much that the interval would overflow.
	interval := time.Duration(min(float64(s.serviceTime)/max(s.slots, 1)*total/req.weight(), float64(maxRetryAfter)))
	return err.WithRetryAfter(p.retryTimes.next(req.Workspace, now, earliest, interval))
}

const (
	// maxRetryAfter is the longest time after which a refused caller is told to retry.
	// A lack of capacity lasts for seconds, and capacity that is free before the retry is
	// wasted.
	maxRetryAfter = 4 * time.Second
	// minRetryTimesToSweep is the number of workspaces from which expired times are deleted.
	minRetryTimesToSweep = 64
)

// retryTimes spreads the retries of refused callers over time.
type retryTimes struct {
	// last holds, for each workspace, when the caller refused last should retry.
	last    map[string]time.Time
	sweepAt int
}

// next returns after how long the next refused caller of the workspace should retry: not
// before earliest, and an interval after the one before. If that is maxRetryAfter or more
// away, the time is random in the second half of it.
func (r *retryTimes) next(workspace string, now time.Time, earliest, interval time.Duration) time.Duration {
	r.sweep(now)
	at := now.Add(earliest)
	if after := r.last[workspace].Add(interval); after.After(at) {
		at = after
	}
	wait := at.Sub(now)
	if wait >= maxRetryAfter {
		return maxRetryAfter/2 + rand.N(maxRetryAfter/2)
	}
	r.last[workspace] = at
	return max(wait, time.Millisecond)
}

// sweep deletes the times that have passed.
func (r *retryTimes) sweep(now time.Time) {
	if r.last == nil {
		r.last = map[string]time.Time{}
	}
	if len(r.last) < max(r.sweepAt, minRetryTimesToSweep) {
		return
	}
	for name, at := range r.last {
		if at.Before(now) {
			delete(r.last, name)
		}
	}
	r.sweepAt = 2 * len(r.last)
}
