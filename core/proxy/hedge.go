package proxy

import (
	"context"
	"time"

	"wisteriarelay.example/core/retry"
)

// racer is one of the copies of a hedged request.
type racer struct {
	index   int
	attempt *attempt
	done    chan<- finishMsg
}

// finishMsg says that a copy has ended.
type finishMsg struct {
	index  int
	answer *answer
}

func (r *racer) run(ctx context.Context) {
	r.done <- finishMsg{index: r.index, answer: r.attempt.run(ctx)}
}

// hedge runs the attempt and, if it is slow, a second copy on another target;
// the first good answer wins and the other copy is cancelled.
func (x *exchange) hedge(ctx context.Context, first *attempt) *answer {
	r := &race{exchange: x, done: make(chan finishMsg, maxCopies), started: time.Now()}
	r.start(ctx, first)
	return r.wait(ctx)
}

const maxCopies = 2

// race is a hedged request with its copies.
type race struct {
	exchange *exchange
	done     chan finishMsg
	cancels  []context.CancelFunc
	returned int
	started  time.Time
}

func (r *race) start(ctx context.Context, t *attempt) {
	copyCtx, cancel := context.WithCancel(ctx)
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	go (&racer{index: index, attempt: t, done: r.done}).run(copyCtx)
}

// wait returns the first good answer, or the last one if all copies failed.
func (r *race) wait(ctx context.Context) *answer {
	timer := time.NewTimer(r.exchange.in.route.HedgeAfter)
	defer timer.Stop()
	for {
		select {
		case m := <-r.done:
			r.returned++
			if m.answer.ending == retry.OK || r.returned == len(r.cancels) {
				return r.settle(m)
			}
			m.answer.discard()
			r.cancels[m.index]()
		case <-timer.C:
			if again := r.consider(ctx); again > 0 {
				timer.Reset(again)
			}
		}
	}
}

// settle cancels the other copies and leaves them to be drained in the background.
func (r *race) settle(winner finishMsg) *answer {
	for i, cancel := range r.cancels {
		if i != winner.index {
			cancel()
		}
	}
	if left := len(r.cancels) - r.returned; left > 0 {
		go (&drain{done: r.done, count: left}).run()
	}
	a := winner.answer
	release := a.cancel
	a.cancel = func() {
		release()
		r.cancels[winner.index]()
	}
	if a.rest == nil {
		a.cancel()
	}
	return a
}

// consider sends a second copy if the retry budget and a free slot allow it,
// and returns the time after which to ask again.
func (r *race) consider(ctx context.Context) time.Duration {
	x := r.exchange
	h := retry.DecideHedge(x.in.route, retry.Pending{
		Started:  r.started,
		Copies:   len(r.cancels),
		Deadline: x.in.deadline,
		Expected: x.carrier.gate.Expected(x.in.route.Kind),
	}, x.carrier.budget, time.Now())
	if !h.Send {
		return h.Wait
	}
	ask := x.ask()
	ask.NoWait = true
	grant, err := x.carrier.gate.Acquire(ctx, ask)
	if err != nil {
		x.carrier.budget.Return()
		return 0
	}
	if t, ok := x.attempt(grant); ok {
		t.limit = time.Until(x.in.deadline)
		r.start(ctx, t)
	}
	return 0
}

// drain ends the copies that lost and frees what they hold.
type drain struct {
	done  <-chan finishMsg
	count int
}

func (d *drain) run() {
	for range d.count {
		(<-d.done).answer.discard()
	}
}
