package detect

import (
	"container/heap"
	"math"
	"time"
)

type simEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type simEvents []simEvent

func (q simEvents) Len() int      { return len(q) }
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q *simEvents) Push(e any) { *q = append(*q, e.(simEvent)) }
func (q *simEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// next removes and returns the earliest event.
func (q *simEvents) next() simEvent { return heap.Pop(q).(simEvent) }

// simTarget has a number of busy slots and a queue of jobs.
type simTarget struct {
	busy  int
	queue []*simJob
}

type simJob struct {
	work    time.Duration
	started bool
	ended   bool
	done    func(finished bool)
}

func (s *sim) schedule(d time.Duration, do func()) {
	s.scheduled++
	heap.Push(&s.events, simEvent{at: s.now + d, sequence: s.scheduled, do: do})
}

// send sends a request to the target. The function done receives the result
// that the carrier sees, and whether the request really succeeded.
func (s *sim) send(k *simCarrier, i int, deadline time.Duration, done func(Result, bool)) {
	c, faulty := s.conditionOf(i, k.number)
	if faulty && c.result == Unreachable {
		s.schedule(min(simDialTimeout, deadline-s.now), func() { done(Unreachable, false) })
		return
	}
	res, work := OK, time.Duration(float64(simWorkTime)*math.Exp(simWorkSigma*s.rng.NormFloat64()-simWorkSigma*simWorkSigma/2))
	if faulty && c.slowdown > 0 {
		work = time.Duration(float64(work) * c.slowdown)
	}
	switch {
	case faulty && s.rng.Float64() < c.probability:
		res, work = c.result, work/10
	case s.rng.Float64() < simErrorRate:
		res = Failed
	}
	good := res == OK
	if faulty && c.unrecognised && res == BodyFailure {
		res = OK
	}
	j := &simJob{work: work}
	j.done = func(finished bool) {
		if finished {
			done(res, good)
		} else {
			done(TimedOut, false)
		}
	}
	if !s.enqueue(i, j) {
		done(Shed, false)
		return
	}
	s.schedule(deadline-s.now, func() { s.endJob(i, j, false) })
}

func (s *sim) enqueue(i int, j *simJob) bool {
	t := s.targets[i]
	if t.busy >= s.svc.Targets[i].Slots && len(t.queue) >= simQueueLength {
		return false
	}
	t.queue = append(t.queue, j)
	s.startNext(i)
	return true
}

func (s *sim) startNext(i int) {
	t := s.targets[i]
	for t.busy < s.svc.Targets[i].Slots && len(t.queue) > 0 {
		j := t.queue[0]
		t.queue = t.queue[1:]
		if j.ended {
			continue
		}
		t.busy++
		j.started = true
		s.schedule(j.work, func() { s.endJob(i, j, true) })
	}
}

func (s *sim) endJob(i int, j *simJob, finished bool) {
	if j.ended {
		return
	}
	j.ended = true
	if j.started {
		s.targets[i].busy--
	}
	j.done(finished)
	s.startNext(i)
}
