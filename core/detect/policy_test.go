package detect

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wisteriarelay.example/core/fleet"
)

// carefulPreset is the preset careful from section 6 of the design page.
var carefulPreset = fleet.Detection{Window: 12 * time.Second, MinRequests: 10, FailureRatio: 0.6, SlowFactor: 5, MinObservers: 3}

const (
	policySeeds = 12
	minute      = time.Minute
)

// firstTargets puts the first n targets in the condition for the whole run.
func firstTargets(n int, c condition) func(int, int, time.Duration) (condition, bool) {
	return func(target, _ int, _ time.Duration) (condition, bool) { return c, target < n }
}

func flapping(target, _ int, since time.Duration) (condition, bool) {
	return condition{result: Failed, probability: 0.8}, target == 0 && int(since/(5*time.Second))%2 == 0
}

func cutOffCarrier(target, carrier int, _ time.Duration) (condition, bool) {
	return condition{result: Unreachable}, target == 0 && carrier == 0
}

func coldStart(target, _ int, since time.Duration) (condition, bool) {
	return condition{slowdown: 5}, target == 0 && since < 10*time.Second
}

func policyCases() []simCase {
	gray := condition{result: Failed, probability: 0.8}
	cases := []simCase{
		{name: "healthy", span: 10 * minute},
		{name: "herding", span: 10 * minute, peerWeight: 1},
		{name: "gray", conditionAt: firstTargets(1, gray), faulty: 1},
		{name: "gray-half", conditionAt: firstTargets(1, condition{result: Failed, probability: 0.5}), faulty: 1},
		{name: "gray-low-traffic", conditionAt: firstTargets(1, gray), faulty: 1, load: 0.02},
		{name: "dead-low-traffic", conditionAt: firstTargets(1, condition{result: Unreachable}), faulty: 1, load: 0.02},
		{name: "flapping", conditionAt: flapping, faulty: 1, span: 3 * minute},
		{name: "slow", conditionAt: firstTargets(1, condition{slowdown: 8}), faulty: 1},
		{name: "lying-load", conditionAt: firstTargets(1, condition{result: TimedOut, probability: 0.3, slowdown: 8}), faulty: 1},
		{name: "truncated", conditionAt: firstTargets(1, condition{result: Short, probability: 0.5}), faulty: 1},
		{name: "body-failure-rule", conditionAt: firstTargets(1, condition{result: BodyFailure, probability: 0.8}), faulty: 1},
		{name: "body-failure-no-rule", conditionAt: firstTargets(1, condition{result: BodyFailure, probability: 0.8, unrecognised: true}), faulty: 1},
		{name: "one-way-partition", conditionAt: cutOffCarrier, faulty: 1, oneCarrierOnly: true},
		{name: "all-slow", conditionAt: firstTargets(99, condition{slowdown: 1.7})},
		{name: "all-failing", conditionAt: firstTargets(99, condition{result: Failed, probability: 0.6})},
		{name: "sick-third", conditionAt: firstTargets(3, gray), faulty: 3},
		{name: "cold-start", conditionAt: coldStart, restart: true},
		{name: "overload", load: 2},
	}
	for i := range cases {
		cases[i].targets, cases[i].preset = 9, fastPreset
	}
	for _, n := range []int{6, 10} {
		cases = append(cases, workspaceCases("cortavientos", n, fastPreset, gray)...)
	}
	for _, n := range []int{6, 14} {
		cases = append(cases, workspaceCases("vatulele", n, carefulPreset, gray)...)
	}
	return cases
}

func workspaceCases(workspace string, n int, preset fleet.Detection, gray condition) []simCase {
	name := fmt.Sprintf("%s-%d-", workspace, n)
	return []simCase{
		{name: name + "healthy", targets: n, preset: preset, span: 10 * minute},
		{name: name + "gray", targets: n, preset: preset, conditionAt: firstTargets(1, gray), faulty: 1},
		{name: name + "slow", targets: n, preset: preset, conditionAt: firstTargets(1, condition{slowdown: 8}), faulty: 1},
	}
}

// BenchmarkPolicy compares three policies; all figures come from fixed seeds
// and do not depend on the machine.
func BenchmarkPolicy(b *testing.B) {
	for _, c := range policyCases() {
		if c.load == 0 {
			c.load = 0.5
		}
		if c.span == 0 {
			c.span = minute
		}
		if c.peerWeight == 0 {
			c.peerWeight = 0.25
		}
		for _, p := range []simPolicy{productPolicy, consecutivePolicy, localPolicy} {
			b.Run(c.name+"/"+string(p), func(b *testing.B) {
				var r simResult
				for b.Loop() {
					r = runSeeds(c, p)
				}
				reportPolicy(b, c, r)
			})
		}
	}
}

func runSeeds(c simCase, p simPolicy) simResult {
	var all simResult
	for seed := range policySeeds {
		r := newSim(c, p, uint64(seed)).run()
		all.detection = append(all.detection, r.detection...)
		all.falseEjections += r.falseEjections
		all.falseAvoids += r.falseAvoids
		all.failed += r.failed
		all.requests += r.requests
		all.probes += r.probes
		all.floorViolations += r.floorViolations
	}
	return all
}

func reportPolicy(b *testing.B, c simCase, r simResult) {
	targetSeconds := policySeeds * float64(c.targets) * (c.span + simWarmup).Seconds()
	days := targetSeconds / (24 * time.Hour).Seconds()
	slices.Sort(r.detection)
	if n := len(r.detection); n > 0 {
		b.ReportMetric(r.detection[n/2].Seconds(), "detect-p50-s")
		b.ReportMetric(r.detection[min(n-1, n*95/100)].Seconds(), "detect-p95-s")
	}
	b.ReportMetric(r.falseEjections/days, "false-ejections/target-day")
	b.ReportMetric(r.falseAvoids/days, "false-avoids/target-day")
	b.ReportMetric(100*float64(r.failed)/float64(r.requests), "failed-%")
	b.ReportMetric(100*float64(r.probes)*simProbeWork.Seconds()/targetSeconds/2, "probe-load-%")
	b.ReportMetric(float64(r.floorViolations), "floor-violations")
}
