package detect

import (
	"container/heap"
	"math"
	"time"
)

type simEvent struct {
	at time.Duration
	n  int
	do func()
}

type simEvents []simEvent

func (q simEvents) Len() int      { return len(q) }
func (q simEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q *simEvents) Push(e any) { *q = append(*q, e.(simEvent)) }
func (q *simEvents) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// next takes the earliest event.
func (q *simEvents) next() simEvent { return heap.Pop(q).(simEvent) }

// simTarget has slots and a queue of jobs.
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

func (s *sim) after(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.events, simEvent{at: s.now + d, n: s.count, do: do})
}

// send gives the request to the target; done learns what the carrier sees and
// whether the caller got what it asked for.
func (s *sim) send(k *simCarrier, i int, deadline time.Duration, done func(Result, bool)) {
	c, sick := s.condition(i, k.n)
	if sick && c.res == Unreachable {
		s.after(min(simDial, deadline-s.now), func() { done(Unreachable, false) })
		return
	}
	res, work := OK, time.Duration(float64(simWork)*math.Exp(simSpread*s.rng.NormFloat64()-simSpread*simSpread/2))
	if sick && c.slow > 0 {
		work = time.Duration(float64(work) * c.slow)
	}
	switch {
	case sick && s.rng.Float64() < c.share:
		res, work = c.res, work/10
	case s.rng.Float64() < simErrors:
		res = Failed
	}
	good := res == OK
	if sick && c.unruly && res == BodyFailure {
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
	s.after(deadline-s.now, func() { s.end(i, j, false) })
}

func (s *sim) enqueue(i int, j *simJob) bool {
	t := s.targets[i]
	if t.busy >= s.svc.Targets[i].Slots && len(t.queue) >= simQueue {
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
		s.after(j.work, func() { s.end(i, j, true) })
	}
}

func (s *sim) end(i int, j *simJob, finished bool) {
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
