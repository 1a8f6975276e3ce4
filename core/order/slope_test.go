package order

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

func slopeManager(b *testing.B) *Manager {
	s, err := NewSigner(testSecret)
	if err != nil {
		b.Fatal(err)
	}
	return NewManager(fleet.NewIncarnation("vm"), s)
}

// BenchmarkNewToken measures an order token.
func BenchmarkNewToken(b *testing.B) {
	d := slopeManager(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Token("reservas", ModeHome); err != nil {
			b.Fatal(err)
		}
	}
}

// runOrder runs the order with the number under a token and keeps an answer of 200 B.
func runOrder(b *testing.B, d *Manager, token string, n int) {
	r := Request{Key: fmt.Sprintf(`"%s.%d"`, token, n), Service: "reservas", Workspace: "w", Digest: Hash{1}, Carried: true}
	decision := d.Begin(context.Background(), r)
	if decision.Verdict != VerdictRun {
		b.Fatal(decision.Verdict)
	}
	decision.Ticket.Finish(fault.Run, &Response{Status: 200, Body: make([]byte, 200)})
}

// BenchmarkOrderLife measures Begin and Finish of a new order.
func BenchmarkOrderLife(b *testing.B) {
	d := slopeManager(b)
	token, _ := d.Token("reservas", ModeHome)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if n++; n%100_000 == 0 {
			d = slopeManager(b)
			token, _ = d.Token("reservas", ModeHome)
		}
		runOrder(b, d, token, n)
	}
}

// BenchmarkRecordHeap reports the heap of a ledger by number of orders with
// answers of 200 B.
func BenchmarkRecordHeap(b *testing.B) {
	for _, orders := range []int{10_000, 50_000, 100_000} {
		b.Run(fmt.Sprint("orders=", orders), func(b *testing.B) {
			held := 0.0
			for b.Loop() {
				d := slopeManager(b)
				token, _ := d.Token("reservas", ModeHome)
				before := slopeHeap()
				for n := range orders {
					runOrder(b, d, token, n)
				}
				held = slopeHeap() - before
				runtime.KeepAlive(d)
			}
			b.ReportMetric(held/float64(orders), "heap-bytes/order")
		})
	}
}

func slopeHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
