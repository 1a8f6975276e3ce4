package detect

import (
	"testing"
	"time"

	"wisteriarelay.example/core/fleet"
)

// benchmarkTargets is the number of targets that an average service is expected
// to have in two years.
const benchmarkTargets = 27

// BenchmarkAssess measures one Assess of a service with 27 targets and six
// carriers whose long windows are full.
func BenchmarkAssess(b *testing.B) {
	for _, p := range []struct {
		name   string
		preset fleet.Detection
	}{{"fast", fastPreset}, {"careful", carefulPreset}} {
		b.Run(p.name, func(b *testing.B) {
			e := newAssessFixture(benchmarkTargets)
			e.svc.Policy.Detection = p.preset
			for range int(longWindowFactor * p.preset.Window / time.Second) {
				e.addRound(func(_, i int, r *IntervalStats) {
					if i == 2 {
						r.Counts[Failed] = 1
					}
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				e.s.Assess(e.now)
			}
		})
	}
}

// BenchmarkRecord measures recording on the request path, with all cores
// recording results of the same target.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder(testService(benchmarkTargets))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record("c", OK, 7*time.Millisecond)
		}
	})
}

// BenchmarkRowBytes reports the encoded size of one target's statistics with
// ordinary traffic and probes.
func BenchmarkRowBytes(b *testing.B) {
	svc := testService(benchmarkTargets)
	r := NewRecorder(svc)
	index := NewTargetIndex(svc)
	var size int
	for b.Loop() {
		for i := range svc.Targets {
			for range 3 {
				r.Record(svc.Targets[i].ID, OK, 7*time.Millisecond)
			}
		}
		r.RecordProbe("c", OK, 25*time.Millisecond)
		size = len(EncodeStats(index, r.Collect()))
	}
	b.ReportMetric(float64(size)/benchmarkTargets, "bytes/target")
}
