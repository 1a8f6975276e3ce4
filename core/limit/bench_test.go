package limit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
)

// ready returns a snapshot of n ready targets, a third of them in the same data centre.
func ready(n, slots int) *limit.Snapshot {
	s := &limit.Snapshot{}
	for i := range n {
		s.Targets = append(s.Targets, limit.Target{
			ID: fleet.TargetID(fmt.Sprintf("t%02d", i)), Slots: slots, State: choose.Ready,
			Weight: 1, SameDataCentre: i%3 == 0,
		})
	}
	return s
}

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{10, 27, 40} {
		ask := limit.Ask{Workspace: "w", Kind: fleet.Lookup, Idempotent: true, Deadline: time.Now().Add(time.Hour)}
		b.Run(fmt.Sprintf("targets=%d/goroutines=1", n), func(b *testing.B) {
			g := limit.New("vm-1", limit.WithSnapshot(ready(n, 2)))
			b.ReportAllocs()
			for b.Loop() {
				gr, err := g.Acquire(context.Background(), ask)
				if err != nil {
					b.Fatal(err)
				}
				gr.Release(limit.Served)
			}
		})
		b.Run(fmt.Sprintf("targets=%d/goroutines=many", n), func(b *testing.B) {
			g := limit.New("vm-1", limit.WithSnapshot(ready(n, 2)))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if gr, err := g.Acquire(context.Background(), ask); err == nil {
						gr.Release(limit.Served)
					}
				}
			})
		})
	}
}
