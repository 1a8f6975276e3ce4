package limit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wisteriarelay.example/core/limit"
)

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{10, 27, 40} {
		req := withDeadline(lookup, time.Hour)
		b.Run(fmt.Sprintf("targets=%d/goroutines=1", n), func(b *testing.B) {
			g := limit.New("vm-1", limit.WithSnapshot(readySnapshot(n, 2)))
			b.ReportAllocs()
			for b.Loop() {
				gr, err := g.Acquire(context.Background(), req)
				if err != nil {
					b.Fatal(err)
				}
				gr.Release(limit.Served)
			}
		})
		b.Run(fmt.Sprintf("targets=%d/goroutines=many", n), func(b *testing.B) {
			g := limit.New("vm-1", limit.WithSnapshot(readySnapshot(n, 2)))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if gr, err := g.Acquire(context.Background(), req); err == nil {
						gr.Release(limit.Served)
					}
				}
			})
		})
	}
}
