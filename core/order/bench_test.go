package order

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
)

// benchManager returns a manager and b.N requests with keys under its tokens.
func benchManager(b *testing.B, own bool) (*crew, *Manager, []Request) {
	c := newCrew()
	d := c.join("vm-0123", WithMaxRecords(1<<30), WithMaxKeptBytes(1<<40, 64<<10))
	list := make([]Request, b.N)
	token, err := d.Token("reservas", ModeHome)
	if err != nil {
		b.Fatal(err)
	}
	sum := digest("a")
	for i := range list {
		key := fmt.Sprintf("%s.%d", token, i)
		if own {
			key = fmt.Sprint(i)
		}
		list[i] = Request{Key: key, Service: "reservas", Workspace: "w", Digest: sum, Carried: true}
	}
	return c, d, list
}

// BenchmarkOwnToken measures Begin and Finish of a new order, and the heap
// that each record holds without a response.
func BenchmarkOwnToken(b *testing.B) {
	_, d, list := benchManager(b, false)
	ctx := context.Background()
	before := heap()
	b.ReportAllocs()
	b.ResetTimer()
	for _, r := range list {
		d.Begin(ctx, r).Ticket.Finish(fault.Run, nil)
	}
	b.StopTimer()
	b.ReportMetric(float64(heap()-before)/float64(b.N), "heap-B/record")
	runtime.KeepAlive(list)
	runtime.KeepAlive(d)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkIssue measures the issue of one token and its length.
func BenchmarkIssue(b *testing.B) {
	_, d, _ := benchManager(b, false)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		t, _ := d.Token("reservas", ModeHome)
		size = len(t)
	}
	b.ReportMetric(float64(size), "chars")
}

// BenchmarkExport measures the encoded size of a record with and without a
// response of 1 KiB.
func BenchmarkExport(b *testing.B) {
	for _, size := range []int{0, 1024} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			record := Record{Epoch: 7, Key: digest("k"), Digest: digest("d"), State: StateRunDropped}
			if size > 0 {
				record.State, record.Response = StateRun, response(string(make([]byte, size)))
			}
			var data []byte
			for b.Loop() {
				data, _ = cbor.Marshal(record)
			}
			b.ReportMetric(float64(len(data)), "B/record")
		})
	}
}

// BenchmarkWrites measures the requests to the table service for each order by mode.
func BenchmarkWrites(b *testing.B) {
	for name, own := range map[string]bool{"home": false, "claim": true} {
		b.Run(name, func(b *testing.B) {
			c, d, list := benchManager(b, own)
			ctx := context.Background()
			for _, r := range list {
				d.Begin(ctx, r).Ticket.Finish(fault.Run, response("booked"))
				_ = d.Flush(ctx)
			}
			n := c.platform.Counts()
			b.ReportMetric(float64(n.TableWrites)/float64(b.N), "writes/order")
			b.ReportMetric(float64(n.TableReads)/float64(b.N), "reads/order")
		})
	}
}
