package detect

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wisteriarelay.example/core/fleet"
)

// carefulPreset is the preset careful of section 6 of the design page.
var carefulPreset = fleet.Detection{Window: 12 * time.Second, MinRequests: 10, FailureRatio: 0.6, SlowFactor: 5, MinObservers: 3}

const (
	policySeeds = 12
	minute      = time.Minute
)

// always gives the condition to the first n targets.
func always(n int, c ill) func(int, int, time.Duration) (ill, bool) {
	return func(target, _ int, _ time.Duration) (ill, bool) { return c, target < n }
}

func flapping(target, _ int, since time.Duration) (ill, bool) {
	return ill{res: Failed, share: 0.8}, target == 0 && int(since/(5*time.Second))%2 == 0
}

func cutOff(target, carrier int, _ time.Duration) (ill, bool) {
	return ill{res: Unreachable}, target == 0 && carrier == 0
}

func cold(target, _ int, since time.Duration) (ill, bool) {
	return ill{slow: 5}, target == 0 && since < 10*time.Second
}

func policyCases() []simCase {
	gray := ill{res: Failed, share: 0.8}
	cases := []simCase{
		{name: "healthy", span: 10 * minute},
		{name: "herding", span: 10 * minute, trust: 1},
		{name: "gray", sick: always(1, gray), faulty: 1},
		{name: "gray-half", sick: always(1, ill{res: Failed, share: 0.5}), faulty: 1},
		{name: "gray-low-traffic", sick: always(1, gray), faulty: 1, load: 0.02},
		{name: "dead-low-traffic", sick: always(1, ill{res: Unreachable}), faulty: 1, load: 0.02},
		{name: "flapping", sick: flapping, faulty: 1, span: 3 * minute},
		{name: "slow", sick: always(1, ill{slow: 8}), faulty: 1},
		{name: "lying-load", sick: always(1, ill{res: TimedOut, share: 0.3, slow: 8}), faulty: 1},
		{name: "truncated", sick: always(1, ill{res: Short, share: 0.5}), faulty: 1},
		{name: "body-failure-rule", sick: always(1, ill{res: BodyFailure, share: 0.8}), faulty: 1},
		{name: "body-failure-no-rule", sick: always(1, ill{res: BodyFailure, share: 0.8, unruly: true}), faulty: 1},
		{name: "one-way-partition", sick: cutOff, faulty: 1, oneWay: true},
		{name: "all-slow", sick: always(99, ill{slow: 1.7})},
		{name: "all-failing", sick: always(99, ill{res: Failed, share: 0.6})},
		{name: "sick-third", sick: always(3, gray), faulty: 3},
		{name: "cold-start", sick: cold, restart: true},
		{name: "overload", load: 2},
	}
	for i := range cases {
		cases[i].targets, cases[i].preset = 9, fastPreset
	}
	for _, n := range []int{6, 10} {
		cases = append(cases, userCases("cortavientos", n, fastPreset, gray)...)
	}
	for _, n := range []int{6, 14} {
		cases = append(cases, userCases("vatulele", n, carefulPreset, gray)...)
	}
	return cases
}

func userCases(user string, n int, preset fleet.Detection, gray ill) []simCase {
	name := fmt.Sprintf("%s-%d-", user, n)
	return []simCase{
		{name: name + "healthy", targets: n, preset: preset, span: 10 * minute},
		{name: name + "gray", targets: n, preset: preset, sick: always(1, gray), faulty: 1},
		{name: name + "slow", targets: n, preset: preset, sick: always(1, ill{slow: 8}), faulty: 1},
	}
}

// BenchmarkPolicy measures three policies side by side; all figures come from
// fixed seeds and do not depend on the machine.
func BenchmarkPolicy(b *testing.B) {
	for _, c := range policyCases() {
		if c.load == 0 {
			c.load = 0.5
		}
		if c.span == 0 {
			c.span = minute
		}
		if c.trust == 0 {
			c.trust = 0.25
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
	targetSeconds := policySeeds * float64(c.targets) * (c.span + simWarm).Seconds()
	days := targetSeconds / (24 * time.Hour).Seconds()
	slices.Sort(r.detection)
	if n := len(r.detection); n > 0 {
		b.ReportMetric(r.detection[n/2].Seconds(), "detect-p50-s")
		b.ReportMetric(r.detection[min(n-1, n*95/100)].Seconds(), "detect-p95-s")
	}
	b.ReportMetric(r.falseEjections/days, "false-ejections/target-day")
	b.ReportMetric(r.falseAvoids/days, "false-avoids/target-day")
	b.ReportMetric(100*float64(r.failed)/float64(r.requests), "failed-%")
	b.ReportMetric(100*float64(r.probes)*simProbe.Seconds()/targetSeconds/2, "probe-load-%")
	b.ReportMetric(float64(r.floorViolations), "floor-violations")
}
