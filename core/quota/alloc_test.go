package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/roster"
)

// Guards against memory that each request allocates although its workspace has no limit or
// a token is at hand.
func TestDecisionsAllocateNothing(t *testing.T) {
	g := NewWithT(t)
	limits := map[WorkspaceHash]Limit{HashWorkspace("limited"): testLimit, HashWorkspace("free"): {}}
	m := NewManager(roster.Member{VM: "vm"}, testPolicy, Sources{
		Limit: func(h WorkspaceHash) (Limit, bool) {
			l, ok := limits[h]
			return l, ok
		},
		Counters: func(string) Counters { return NopCounters() },
	})
	m.client.account("limited", testLimit).tokens.add(1<<20, time.Now().Add(time.Hour))
	deadline := time.Now().Add(time.Hour)
	for _, workspace := range []string{"limited", "free", "unknown"} {
		allocations := testing.AllocsPerRun(100, func() {
			if err := m.Acquire(t.Context(), workspace, deadline); err != nil {
				t.Error(err)
			}
		})
		g.Expect(allocations).To(BeZero(), workspace)
	}
	g.Expect(m.outbox).To(BeEmpty())
}
