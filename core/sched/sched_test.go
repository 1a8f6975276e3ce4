package sched_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/judge"
	"wisteriarelay.example/core/sched"
)

const service = "orders"

func targets(n int) []sched.Target {
	out := make([]sched.Target, n)
	for i := range out {
		out[i] = sched.Target{
			Key:        sched.Key{ID: fmt.Sprintf("t%d", i), Born: 1},
			Address:    fmt.Sprintf("10.0.0.%d:80", i+1),
			DataCentre: "a",
			Slots:      2,
		}
	}
	return out
}

func newPool(n int, opts ...sched.Option) *sched.Pool {
	p := sched.NewPool(service, "a", opts...)
	p.SetTargets(targets(n))
	return p
}

func ask(idempotent bool) sched.Ask {
	return sched.Ask{Idempotent: idempotent, Last: !idempotent, Deadline: time.Now().Add(2 * time.Second)}
}

// spells says when a target resets what it is sent: whole periods, a third of
// them, each target shifted.
func sick(target string, at time.Duration) bool {
	var n int
	_, _ = fmt.Sscanf(target, "t%d", &n)
	period := (at + time.Duration(n)*1300*time.Millisecond) / (9 * time.Second)
	return (uint64(period)*2654435761+uint64(n)*40503)%10 < 3
}

// replay sends orders at a steady rate through a pool whose targets have spells,
// and returns how many were lost.
func replay(t *testing.T, p *sched.Pool, rate int, length time.Duration) (sent, lost int) {
	begin := time.Now()
	for time.Since(begin) < length {
		time.Sleep(time.Second / time.Duration(rate))
		grant, err := p.Acquire(t.Context(), ask(false))
		if err != nil {
			lost++
			continue
		}
		sent++
		bad := sick(grant.Target.ID, time.Since(begin))
		if bad {
			lost++
		}
		r := &run{grant: grant, bad: bad}
		go r.run()
	}
	time.Sleep(time.Second)
	return sent, lost
}

type run struct {
	grant *sched.Grant
	bad   bool
}

func (r *run) run() {
	if r.bad {
		r.grant.Settle(judge.Broken, 0)
		return
	}
	time.Sleep(160 * time.Millisecond)
	r.grant.Settle(judge.Served, 160*time.Millisecond)
}

// Load pattern: targets reset all requests for periods of nine seconds, three in
// ten at any time, while orders arrive at a third of the capacity. Guards against
// sending orders into a known spell: without memory three in ten are lost.
func TestOrdersAvoidSpells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sent, lost := replay(t, newPool(9), 37, 60*time.Second)
		g.Expect(sent).To(BeNumerically(">", 2000))
		g.Expect(float64(lost) / float64(sent)).To(BeNumerically("<", 0.06))
	})
}

// Guards against each daemon paying for itself to learn what a peer knows.
func TestResultsOfPeersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(2)
		first := targets(2)[0].Key
		for range 3 {
			p.Learn("peer", sched.Event{Target: first, Result: judge.Broken})
		}
		for range 20 {
			grant, err := p.Acquire(t.Context(), ask(false))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(grant.Target.Key).NotTo(Equal(first))
			grant.Settle(judge.Served, time.Millisecond)
		}
	})
}

// Guards against ejecting a target for all because one daemon has lost the way to it.
func TestUnreachedByPeerSaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(1)
		k := targets(1)[0].Key
		for range 5 {
			p.Learn("peer", sched.Event{Target: k, Result: judge.Unreached})
		}
		grant, err := p.Acquire(t.Context(), ask(false))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.FailRate).To(BeNumerically("<", 0.4))
	})
}

// Load pattern: a burst far beyond the capacity. Guards against requests that
// wait until their deadline although it is known that they cannot be served, and
// against low priorities going first.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(1)
		hold := fill(t, p)
		begin := time.Now()
		refused := 0
		for range 40 {
			a := ask(true)
			a.Deadline = begin.Add(600 * time.Millisecond)
			w := &waiting{pool: p, ask: a, errs: make(chan error, 1)}
			go w.run(t.Context())
			synctest.Wait()
			select {
			case err := <-w.errs:
				g.Expect(fault.Is(err, fault.QueueFull)).To(BeTrue())
				refused++
			default:
			}
		}
		g.Expect(time.Since(begin)).To(BeZero())
		g.Expect(refused).To(BeNumerically(">", 30))
		for _, grant := range hold {
			grant.Settle(judge.Served, 200*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
	})
}

func fill(t *testing.T, p *sched.Pool) []*sched.Grant {
	var hold []*sched.Grant
	for range 4 {
		grant, err := p.Acquire(t.Context(), ask(true))
		if err != nil {
			t.Fatal(err)
		}
		hold = append(hold, grant)
	}
	return hold
}

type waiting struct {
	pool  *sched.Pool
	ask   sched.Ask
	errs  chan error
	grant *sched.Grant
}

func (w *waiting) run(ctx context.Context) {
	grant, err := w.pool.Acquire(ctx, w.ask)
	if err != nil {
		w.errs <- err
		return
	}
	w.grant = grant
	time.Sleep(50 * time.Millisecond)
	grant.Settle(judge.Served, 50*time.Millisecond)
}

// Guards against a request of low priority that takes the room of an urgent one.
func TestUrgentRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(1)
		hold := fill(t, p)
		later := &waiting{pool: p, ask: ask(true), errs: make(chan error, 1)}
		later.ask.Priority = 2
		go later.run(t.Context())
		synctest.Wait()
		urgent := &waiting{pool: p, ask: ask(true), errs: make(chan error, 1)}
		go urgent.run(t.Context())
		synctest.Wait()
		hold[0].Settle(judge.Served, 100*time.Millisecond)
		synctest.Wait()
		g.Expect(urgent.grant).NotTo(BeNil())
		g.Expect(later.grant).To(BeNil())
		for _, grant := range hold[1:] {
			grant.Settle(judge.Served, 100*time.Millisecond)
		}
		time.Sleep(time.Second)
	})
}

// Load pattern: a third of the targets reset everything for long. Guards against
// a service that is reduced to the others: its floor of seven in ten must hold
// at any time, because a failure of the fleet comes without notice.
func TestFloorHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(10)
		used := map[string]time.Time{}
		failed := map[string]time.Time{}
		begin := time.Now()
		for time.Since(begin) < 20*time.Second {
			time.Sleep(20 * time.Millisecond)
			grant, err := p.Acquire(t.Context(), ask(false))
			g.Expect(err).NotTo(HaveOccurred())
			id := grant.Target.ID
			used[id] = time.Now()
			if id < "t4" {
				failed[id] = time.Now()
				grant.Settle(judge.Broken, 0)
				continue
			}
			grant.Settle(judge.Served, 10*time.Millisecond)
			if time.Since(begin) < 3*time.Second {
				continue
			}
			sound, working := 0, 0
			for i := range 10 {
				id := fmt.Sprintf("t%d", i)
				if time.Since(failed[id]) < 2*time.Second {
					continue
				}
				sound++
				if time.Since(used[id]) < 2*time.Second {
					working++
				}
			}
			g.Expect(float64(working) / float64(sound)).To(BeNumerically(">=", 0.7))
		}
	})
}

// Guards against new targets that stay unused because nothing is known of them.
func TestNewTargetIsIntroduced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(3)
		serve := func(n int) map[string]bool {
			used := map[string]bool{}
			for range n {
				time.Sleep(20 * time.Millisecond)
				grant, err := p.Acquire(t.Context(), ask(false))
				g.Expect(err).NotTo(HaveOccurred())
				used[grant.Target.ID] = true
				grant.Settle(judge.Served, 10*time.Millisecond)
			}
			return used
		}
		serve(100)
		p.SetTargets(targets(4))
		g.Expect(serve(150)).To(HaveKey("t3"))
	})
}

// Guards against targets that lookups never find well again: all of them have to
// get work, also those that reset it.
func TestLookupsReachAllTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(10)
		used := map[string]time.Time{}
		begin := time.Now()
		for time.Since(begin) < 20*time.Second {
			time.Sleep(20 * time.Millisecond)
			grant, err := p.Acquire(t.Context(), ask(true))
			g.Expect(err).NotTo(HaveOccurred())
			used[grant.Target.ID] = time.Now()
			if grant.Target.ID < "t4" {
				grant.Settle(judge.Broken, 0)
				continue
			}
			grant.Settle(judge.Served, 10*time.Millisecond)
		}
		for _, at := range used {
			g.Expect(time.Since(at)).To(BeNumerically("<", 4*time.Second))
		}
		g.Expect(used).To(HaveLen(10))
	})
}

// Load pattern: a target is well, then resets what arrives, while requests that
// it got before still end well. Guards against taking their answers for a
// recovery, after which orders were sent into the spell again.
func TestAnswerToEarlierRequestIsNoRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(1)
		first := targets(1)[0].Key
		var early []*sched.Grant
		for range 3 {
			grant, err := p.Acquire(t.Context(), ask(false))
			g.Expect(err).NotTo(HaveOccurred())
			early = append(early, grant)
		}
		time.Sleep(100 * time.Millisecond)
		p.Learn("peer", sched.Event{Target: first, Result: judge.Broken})
		time.Sleep(100 * time.Millisecond)
		for _, grant := range early {
			grant.Settle(judge.Served, 200*time.Millisecond)
		}
		grant, err := p.Acquire(t.Context(), ask(false))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.FailRate).To(BeNumerically(">", 0.5))
	})
}

// Load pattern: a lookup was reset and has one attempt left, while a target that
// resets everything is due for a request. Guards against keeping the floor with a
// last attempt: both attempts of one lookup in ten went to sick targets.
func TestSecondAttemptGoesToASoundTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPool(4)
		all := targets(4)
		for i := range 40 {
			for _, target := range all[2:] {
				p.Learn("peer", sched.Event{Target: target.Key, Result: judge.Served})
			}
			time.Sleep(100 * time.Millisecond)
			for _, target := range all[:2] {
				if i < 15 {
					p.Learn("peer", sched.Event{Target: target.Key, Result: judge.Broken})
				}
			}
		}
		second := ask(true)
		second.Last = true
		second.Tried = []sched.Key{all[0].Key}
		grant, err := p.Acquire(t.Context(), second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(grant.Target.Key).NotTo(Equal(all[1].Key))
		g.Expect(grant.FailRate).To(BeNumerically("<", 0.1))
	})
}
