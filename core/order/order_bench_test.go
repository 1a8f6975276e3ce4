package order

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

func newBenchmarkManager(b *testing.B) *Manager {
	s, err := NewSigner(testSecret)
	if err != nil {
		b.Fatal(err)
	}
	return NewManager(fleet.NewIncarnation("vm"), s)
}

// BenchmarkNewToken measures the issue of an order token.
func BenchmarkNewToken(b *testing.B) {
	m := newBenchmarkManager(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := m.IssueToken("reservas", ModeLedger); err != nil {
			b.Fatal(err)
		}
	}
}

// runOrder runs order number n under a token and keeps a response of 200 B.
func runOrder(b *testing.B, m *Manager, token string, n int) {
	r := Request{Key: fmt.Sprintf(`"%s.%d"`, token, n), Service: "reservas", Workspace: "w", Digest: Hash{1}, MayRun: true}
	decision := m.Begin(context.Background(), r)
	if decision.Verdict != VerdictRun {
		b.Fatal(decision.Verdict)
	}
	decision.Permit.Finish(fault.Run, &Response{Status: 200, Body: make([]byte, 200)})
}

// BenchmarkOrderLife measures Begin and Finish of a new order.
func BenchmarkOrderLife(b *testing.B) {
	m := newBenchmarkManager(b)
	token, _ := m.IssueToken("reservas", ModeLedger)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if n++; n%100_000 == 0 {
			m = newBenchmarkManager(b)
			token, _ = m.IssueToken("reservas", ModeLedger)
		}
		runOrder(b, m, token, n)
	}
}

// BenchmarkRecordHeap reports the heap memory of a ledger per order, for several
// numbers of orders with responses of 200 B.
func BenchmarkRecordHeap(b *testing.B) {
	for _, orders := range []int{10_000, 50_000, 100_000} {
		b.Run(fmt.Sprint("orders=", orders), func(b *testing.B) {
			held := 0.0
			for b.Loop() {
				m := newBenchmarkManager(b)
				token, _ := m.IssueToken("reservas", ModeLedger)
				before := heapSize()
				for n := range orders {
					runOrder(b, m, token, n)
				}
				held = heapSize() - before
				runtime.KeepAlive(m)
			}
			b.ReportMetric(held/float64(orders), "heap-bytes/order")
		})
	}
}

func heapSize() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
