package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/retry"
)

// Load pattern: every request fails, at six daemons that share the slack. Guards
// against extra sends of the fleet beyond its budget in any sliding window.
func TestFleetStaysWithinBudget(t *testing.T) {
	g := NewWithT(t)
	const (
		daemons = 6
		span    = 10 * time.Second
		ratio   = 0.2
		slack   = 56.0
	)
	now := time.Unix(1000, 0)
	windows := make([]*retry.WindowBudget, daemons)
	for i := range windows {
		windows[i] = retry.NewWindowBudget(span, ratio, slack, now)
		windows[i].SetPart(retry.Part{Ratio: 1, Slack: 1.0 / daemons})
	}
	var requests, extras []time.Time
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		w := windows[i%daemons]
		w.CountRequest(now)
		requests = append(requests, now)
		if w.Take(now) {
			extras = append(extras, now)
		}
		within := func(times []time.Time) int {
			n := 0
			for j := len(times) - 1; j >= 0 && now.Sub(times[j]) < span; j-- {
				n++
			}
			return n
		}
		bound := ratio*float64(within(requests)) + slack
		g.Expect(float64(within(extras))).To(BeNumerically("<=", bound))
	}
	g.Expect(len(extras)).To(BeNumerically(">", 800))
}

// Guards against extra sends by daemons that no longer carry the service.
func TestNoShareNoSlack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	w := retry.NewWindowBudget(10*time.Second, 0.2, 56, now)
	w.CountRequest(now)
	g.Expect(w.Take(now)).To(BeFalse())
}

// Load pattern: from one moment on every request fails, while the daemons are
// restarted one after the other. Guards against a budget that each restart renews: the predecessors' extra
// sends count in the same window (1403 were sent where 1373 were allowed).
func TestRestartsDoNotRenewTheSlack(t *testing.T) {
	g := NewWithT(t)
	const (
		daemons      = 27
		span         = 10 * time.Second
		ratio        = 0.2
		slack        = 182.0
		interval     = 2 * time.Millisecond
		restartEvery = 300 * time.Millisecond
	)
	now := time.Unix(1000, 0)
	begin := now
	windows := make([]*retry.WindowBudget, daemons)
	started := make([]time.Time, daemons)
	for i := range windows {
		windows[i] = retry.NewWindowBudget(span, ratio, slack, now.Add(-span))
		started[i] = now.Add(-span)
	}
	var sent, extra []int
	restarts := 0
	for step := 0; now.Sub(begin) < 2*span; step++ {
		now = now.Add(interval)
		if int(now.Sub(begin)/restartEvery) > restarts {
			i := restarts % daemons
			windows[i], started[i] = retry.NewWindowBudget(span, ratio, slack, now), now
			restarts++
		}
		i := step % daemons
		start := retry.Settled
		if now.Sub(started[i]) < span {
			start = retry.Alone
		}
		windows[i].SetPart(retry.PartOf(daemons, start))
		windows[i].CountRequest(now)
		sent = append(sent, 1)
		extra = append(extra, 0)
		if now.Sub(begin) > span/2 && windows[i].Take(now) {
			extra[step] = 1
		}
		first := max(0, step+1-int(span/interval))
		bound := ratio*float64(len(sent[first:])) + slack
		used := 0
		for _, n := range extra[first:] {
			used += n
		}
		if step%100 == 0 && step > int(span/interval) {
			g.Expect(float64(used)).To(BeNumerically("<=", bound))
		}
	}
}
