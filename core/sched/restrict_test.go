package sched

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/judge"
)

// acquireResult is the result of one call of Acquire.
type acquireResult struct {
	grant *Grant
	err   error
}

// acquirer calls Acquire in a goroutine.
type acquirer struct {
	pool    *Pool
	request Request
	results chan acquireResult
}

func (a *acquirer) run(ctx context.Context) {
	g, err := a.pool.Acquire(ctx, a.request)
	a.results <- acquireResult{g, err}
}

// Guards against requests that wait until their deadline passes for targets that have all
// asked for a pause, or have all left.
func TestWaitingRequestsAreRefusedWhenNoTargetIsLeft(t *testing.T) {
	restrict := map[string]func(p *Pool, k Key){
		"pause":   func(p *Pool, k Key) { p.Backoff(k, 10*time.Second) },
		"leaving": func(p *Pool, k Key) { p.Withdraw(k) },
	}
	for name, f := range restrict {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := NewPool("orders", "a")
				target := Target{Key: Key{ID: "t", StartMillis: 1}, DataCentre: "a", Slots: 1}
				p.SetTargets([]Target{target})
				req := Request{FinalAttempt: true, Deadline: time.Now().Add(time.Minute)}
				var grants []*Grant
				for range 1 + targetQueueDepth {
					grant, err := p.Acquire(t.Context(), req)
					g.Expect(err).NotTo(HaveOccurred())
					grants = append(grants, grant)
				}
				const waiting = 20
				results := make(chan acquireResult, waiting)
				for range waiting {
					a := &acquirer{p, req, results}
					go a.run(t.Context())
				}
				synctest.Wait()
				began := time.Now()
				f(p, target.Key)
				synctest.Wait()
				for range waiting {
					r := <-results
					g.Expect(fault.Is(r.err, fault.NoTarget)).To(BeTrue())
				}
				_, err := p.Acquire(t.Context(), req)
				g.Expect(fault.Is(err, fault.NoTarget)).To(BeTrue())
				g.Expect(time.Since(began)).To(BeZero())
				for _, grant := range grants {
					grant.Complete(judge.Served, time.Second)
				}
			})
		})
	}
}

// Guards against a target that gets requests during its pause: because it is the cheapest,
// new, needed for the usage floor, or because one of its own requests ends while others
// wait.
func TestPausingTargetIsNeverChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := NewPool("orders", "a")
		pausing := Target{Key: Key{ID: "pausing", StartMillis: 1}, DataCentre: "a", Slots: 2}
		other := Target{Key: Key{ID: "other", StartMillis: 1}, DataCentre: "a", Slots: 2}
		p.SetTargets([]Target{pausing, other})
		acquire := func() *Grant {
			grant, err := p.Acquire(t.Context(), Request{Idempotent: true, Deadline: time.Now().Add(time.Minute)})
			g.Expect(err).NotTo(HaveOccurred())
			return grant
		}
		var held *Grant
		for held == nil {
			if grant := acquire(); grant.Target.Key == pausing.Key {
				held = grant
			} else {
				grant.Complete(judge.Served, time.Millisecond)
				time.Sleep(time.Second)
			}
		}
		p.Backoff(pausing.Key, 10*time.Second)
		g.Expect(held.BackingOff()).To(BeTrue())
		for i := range 9 {
			var grants []*Grant
			for range other.Slots + targetQueueDepth {
				grants = append(grants, acquire())
			}
			results := make(chan acquireResult, 1)
			a := &acquirer{p, Request{Idempotent: true, Deadline: time.Now().Add(time.Minute)}, results}
			go a.run(t.Context())
			synctest.Wait()
			if i == 0 {
				held.Complete(judge.Shed, time.Millisecond)
			}
			p.SetTargets([]Target{pausing, other})
			time.Sleep(time.Second)
			for _, grant := range grants {
				g.Expect(grant.Target.Key).To(Equal(other.Key))
				grant.Complete(judge.Served, time.Second)
			}
			r := <-results
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.grant.Target.Key).To(Equal(other.Key))
			r.grant.Complete(judge.Served, time.Second)
		}
		time.Sleep(2 * time.Second)
		used := map[string]bool{}
		for range 10 {
			grant := acquire()
			used[grant.Target.ID] = true
			grant.Complete(judge.Served, time.Millisecond)
			time.Sleep(time.Second)
		}
		g.Expect(used).To(HaveKey("pausing"))
	})
}

// Guards against memory that grows with each target that ever left.
func TestWithdrawnTargetsAreForgottenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := NewPool("orders", "a")
		for i := range maxWithdrawn + 10 {
			p.Withdraw(Key{ID: strconv.Itoa(i), StartMillis: 1})
		}
		g.Expect(len(p.restrictions.withdrawn)).To(Equal(maxWithdrawn))
		time.Sleep(withdrawnTTL)
		p.Withdraw(Key{ID: "last", StartMillis: 1})
		g.Expect(len(p.restrictions.withdrawn)).To(Equal(1))
	})
}
