package retry_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/retry"
)

const requests = 60_000

// BenchmarkAmplification reports the number of attempts for each request at 100
// requests/s when a fraction of the attempts fails.
func BenchmarkAmplification(b *testing.B) {
	for _, failing := range []float64{0.1, 0.5, 1} {
		b.Run(fmt.Sprintf("failing=%v", failing), func(b *testing.B) {
			route := &fleet.Route{Idempotent: true, Attempts: 5}
			rng := rand.New(rand.NewPCG(1, 5))
			budget, now := retry.NewTokenBudget(0.1, start), start
			sent, succeeded := 0, 0
			for range requests {
				now = now.Add(10 * time.Millisecond)
				budget.CountRequest()
				retrying := true
				for n := 1; retrying; n++ {
					sent++
					e := retry.OK
					if rng.Float64() < failing {
						e = retry.NoResponse
					} else {
						succeeded++
					}
					retrying = retry.Decide(route, retry.Attempt{Number: n, Ending: e}, budget, now).Retry
				}
			}
			b.ReportMetric(float64(sent)/requests, "attempts/request")
			b.ReportMetric(100*float64(succeeded)/requests, "%good")
		})
	}
}

// BenchmarkHedge reports response times at 100 requests/s with one slow target of ten.
func BenchmarkHedge(b *testing.B) {
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 100 * time.Millisecond} {
		b.Run(fmt.Sprint("after=", after), func(b *testing.B) {
			route := &fleet.Route{Idempotent: true, HedgeAfter: after}
			rng := rand.New(rand.NewPCG(1, 6))
			serviceTime := func(targets int) time.Duration {
				mean := 40 * time.Millisecond
				if rng.IntN(targets) == 0 {
					mean *= 10
				}
				return time.Duration(rng.ExpFloat64() * float64(mean))
			}
			budget, now := retry.NewTokenBudget(0.1, start), start
			var latencies []time.Duration
			copies := 0
			for range requests {
				now = now.Add(10 * time.Millisecond)
				budget.CountRequest()
				first, second := serviceTime(10), serviceTime(10)
				pending := retry.Pending{Started: now, Copies: 1}
				if first > after && retry.DecideHedge(route, pending, budget, now.Add(after)).Send {
					copies++
					first = min(first, after+second)
				}
				latencies = append(latencies, first)
			}
			slices.Sort(latencies)
			for _, q := range []int{50, 95, 99} {
				b.ReportMetric(float64(latencies[requests*q/100].Milliseconds()), fmt.Sprintf("p%d-ms", q))
			}
			b.ReportMetric(100*float64(copies)/requests, "%copies")
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	budget := retry.NewTokenBudget(1, start)
	b.ReportAllocs()
	for b.Loop() {
		budget.CountRequest()
		retry.Decide(lookup, retry.Attempt{Number: 1, Ending: retry.NoResponse}, budget, start)
	}
}
