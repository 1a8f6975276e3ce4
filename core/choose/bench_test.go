package choose_test

import (
	"fmt"
	"testing"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
)

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 40} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			cands := make([]choose.Candidate, n)
			for i := range cands {
				cands[i] = candidate(choose.Ready, 0, 0)
				cands[i].Rank = choose.Rank("vm", fleet.TargetID(fmt.Sprint(i)))
			}
			b.ReportAllocs()
			for draw := uint64(0); b.Loop(); draw++ {
				choose.Pick(cands, true, draw)
			}
		})
	}
}
