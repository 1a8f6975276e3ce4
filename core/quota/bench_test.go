package quota

import (
	"context"
	"testing"
	"time"

	"wisteriarelay.example/core/roster"
)

// BenchmarkTokenAtHand measures a quota decision for which the daemon has a token.
func BenchmarkTokenAtHand(b *testing.B) {
	m := NewManager(roster.Member{VM: "vm"}, testPolicy, Sources{
		Limit:    func(WorkspaceHash) (Limit, bool) { return testLimit, true },
		Counters: func(string) Counters { return NopCounters() },
	})
	a := m.client.account("workspace", testLimit)
	a.tokens.add(1<<40, time.Now().Add(time.Hour))
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if err := m.Acquire(context.Background(), "workspace", deadline); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkUnlimited measures a quota decision for a workspace without a limit.
func BenchmarkUnlimited(b *testing.B) {
	m := NewManager(roster.Member{VM: "vm"}, testPolicy, Sources{Limit: func(WorkspaceHash) (Limit, bool) { return Limit{}, true }})
	deadline := time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		if err := m.Acquire(context.Background(), "workspace", deadline); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAnswer measures a coordinator's answer to a request for tokens of one workspace
// while it has the shares of 16 holders.
func BenchmarkAnswer(b *testing.B) {
	c := newTestCoordinator()
	now := testStart
	for i := range uint64(16) {
		c.lease(now, testHolder+i, offer(1, 1, 16))
	}
	from := roster.Member{VM: "client"}
	m := &RequestMsg{Seq: 1, Epoch: 1, Tokens: []TokenRequest{{Workspace: 4, Count: 2}}}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		c.Answer(now, from, m)
	}
}
