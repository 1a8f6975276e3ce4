package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var (
	start  = time.Unix(1_700_000_000, 0)
	lookup = &fleet.Route{Kind: fleet.Lookup, Idempotent: true, Attempts: 2, Refusal: &fleet.Refusal{Status: 503}}
	order  = &fleet.Route{Kind: fleet.Order, Attempts: 1, Refusal: &fleet.Refusal{Status: 503}}
	plain  = &fleet.Route{Kind: fleet.Order, Attempts: 1}
)

// fullBudget returns a budget with as many retries as it can hold.
func fullBudget() *retry.TokenBudget {
	b := retry.NewTokenBudget(1, start)
	for range 100 {
		b.CountRequest()
	}
	return b
}

var _ = Describe("Decide", func() {
	DescribeTable("states the outcome of each ending and retries only what is safe",
		func(e retry.Ending, outcome fault.Outcome, retried, orderRetried bool) {
			d := retry.Decide(lookup, retry.Attempt{Number: 1, Ending: e}, fullBudget(), start)
			Expect(d.Outcome).To(Equal(outcome))
			Expect(d.Retry).To(Equal(retried), "lookup")
			d = retry.Decide(order, retry.Attempt{Number: 1, Ending: e}, fullBudget(), start)
			Expect(d.Outcome).To(Equal(outcome))
			Expect(d.Retry).To(Equal(orderRetried), "order")
		},
		Entry(nil, retry.OK, fault.Run, false, false),
		Entry(nil, retry.NotDialled, fault.NotRun, true, true),
		Entry(nil, retry.DialRefused, fault.NotRun, true, true),
		Entry(nil, retry.DialTimeout, fault.NotRun, true, false),
		Entry(nil, retry.WriteFailed, fault.Unknown, true, false),
		Entry(nil, retry.NoResponse, fault.Unknown, true, false),
		Entry(nil, retry.TimedOut, fault.Unknown, true, false),
		Entry(nil, retry.Truncated, fault.Unknown, true, false),
		Entry(nil, retry.FailedStatus, fault.Unknown, true, false),
		Entry(nil, retry.BodyFailure, fault.Unknown, true, false),
		Entry(nil, retry.RefusedBeforeStart, fault.NotRun, true, true),
		Entry(nil, retry.CallerGone, fault.Unknown, false, false),
		Entry("an unlisted ending", retry.Ending(200), fault.Unknown, true, false),
	)

	It("gives each ending except OK the outcome of its error kind", func() {
		for _, e := range retry.Endings() {
			Expect(e.String()).NotTo(BeEmpty())
			if e != retry.OK {
				Expect(e.Info().Outcome).To(Equal(e.Info().Kind.Response().Outcome), e.String())
			}
		}
	})

	It("treats a refusal as not run only on a route with a refusal rule", func() {
		d := retry.Decide(plain, retry.Attempt{Number: 1, Ending: retry.RefusedBeforeStart}, fullBudget(), start)
		Expect(d.Retry).To(BeFalse())
		Expect(d.Outcome).To(Equal(fault.Unknown))
	})

	DescribeTable("does not retry",
		func(route *fleet.Route, a retry.Attempt, reason retry.Reason, outcome fault.Outcome) {
			b := fullBudget()
			before := b.Stats()
			d := retry.Decide(route, a, b, start)
			Expect(d.Reason).To(Equal(reason))
			Expect(d.Outcome).To(Equal(outcome))
			Expect(b.Stats().Tokens).To(Equal(before.Tokens), "a retry was taken although the decision is not to retry")
		},
		Entry("after the last attempt", lookup, retry.Attempt{Number: 2, Ending: retry.DialRefused}, retry.NoAttemptLeft, fault.NotRun),
		Entry("after two refusals of an order", order, retry.Attempt{Number: 2, Ending: retry.DialRefused, EarlierOutcome: fault.NotRun}, retry.NoAttemptLeft, fault.NotRun),
		Entry("an order that an earlier attempt may have run", order, retry.Attempt{Number: 1, Ending: retry.DialRefused, EarlierOutcome: fault.Unknown}, retry.NotIdempotent, fault.Unknown),
		Entry("when the time left is not longer than the service time", lookup, retry.Attempt{Number: 1, Ending: retry.TimedOut, Deadline: start.Add(time.Second), ServiceTime: time.Second}, retry.NoTimeLeft, fault.Unknown),
		Entry("once response bytes were sent to the caller", lookup, retry.Attempt{Number: 1, Ending: retry.Truncated, ResponseStarted: true}, retry.NotRepeatable, fault.Unknown),
		Entry("and keeps an earlier unknown outcome", lookup, retry.Attempt{Number: 2, Ending: retry.DialRefused, EarlierOutcome: fault.Unknown}, retry.NoAttemptLeft, fault.Unknown),
	)
})

var _ = Describe("Budget", func() {
	// If every target fails, the targets must not receive many more requests than the
	// callers send.
	It("bounds amplification when all targets fail", func() {
		const requests, ratio, constant = 10_000, 0.1, 5
		route := &fleet.Route{Idempotent: true, Attempts: 5, HedgeAfter: time.Millisecond}
		b := retry.NewTokenBudget(ratio, start)
		now, sent := start, 0
		for range requests {
			now = now.Add(time.Millisecond)
			b.CountRequest()
			sent++
			if retry.DecideHedge(route, retry.Pending{Started: now.Add(-time.Second), Copies: 1}, b, now).Send {
				sent++
			}
			for n := 1; retry.Decide(route, retry.Attempt{Number: n, Ending: retry.FailedStatus}, b, now).Retry; n++ {
				sent++
			}
		}
		seconds := now.Sub(start).Seconds()
		Expect(float64(sent)).To(BeNumerically("<=", requests*(1+ratio)+constant*(seconds+1)))
		Expect(float64(sent)).To(BeNumerically(">=", requests*(1+ratio)), "the budget is not used in full")
	})

	It("allows five retries a second without traffic and accumulates at most 32", func() {
		b := retry.NewTokenBudget(0, start)
		takeAll(b, start)
		Expect(b.Take(start.Add(199 * time.Millisecond))).To(BeFalse())
		Expect(b.Take(start.Add(200 * time.Millisecond))).To(BeTrue())
		Expect(b.Take(start.Add(200 * time.Millisecond))).To(BeFalse())
		later, n := start.Add(time.Hour), 0
		for b.Take(later) {
			n++
		}
		Expect(n).To(Equal(32))
	})

	It("accepts the return of a retry that was not sent", func() {
		b := retry.NewTokenBudget(0, start)
		takeAll(b, start)
		b.Return()
		Expect(b.Take(start)).To(BeTrue())
		Expect(b.Stats()).To(Equal(retry.TokenBudgetStats{Spent: 5, Denied: 1}))
	})
})

var _ = Describe("DecideHedge", func() {
	hedged := &fleet.Route{Idempotent: true, HedgeAfter: 20 * time.Millisecond}
	pending := retry.Pending{Started: start, Copies: 1}

	It("waits for the delay, then sends one copy", func() {
		b := fullBudget()
		Expect(retry.DecideHedge(hedged, pending, b, start)).To(Equal(retry.Hedge{Wait: 20 * time.Millisecond}))
		Expect(retry.DecideHedge(hedged, pending, b, start.Add(20*time.Millisecond))).To(Equal(retry.Hedge{Send: true}))
		Expect(retry.DecideHedge(hedged, retry.Pending{Started: start, Copies: 2}, b, start.Add(time.Second))).To(BeZero())
	})

	It("sends no copy of a request that is not idempotent, has no hedge delay or has too little time left", func() {
		late := start.Add(time.Second)
		Expect(retry.DecideHedge(&fleet.Route{HedgeAfter: 1}, pending, fullBudget(), late)).To(BeZero())
		Expect(retry.DecideHedge(lookup, pending, fullBudget(), late)).To(BeZero())
		short := retry.Pending{Started: start, Copies: 1, Deadline: start.Add(30 * time.Millisecond), ServiceTime: 10 * time.Millisecond}
		Expect(retry.DecideHedge(hedged, short, fullBudget(), start)).To(BeZero())
	})

	It("sends no copy without budget", func() {
		b := retry.NewTokenBudget(0, start)
		takeAll(b, start)
		Expect(retry.DecideHedge(hedged, pending, b, start.Add(30*time.Millisecond))).To(BeZero())
	})
})

// takeAll takes all retries that a budget starts with.
func takeAll(b *retry.TokenBudget, now time.Time) {
	for range 5 {
		ExpectWithOffset(1, b.Take(now)).To(BeTrue())
	}
	ExpectWithOffset(1, b.Take(now)).To(BeFalse())
}
