package order

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
)

// benchManager returns a fleet with one manager, and b.N requests. Their keys are
// under a token of the manager or, with callerChosen, chosen by the caller.
func benchManager(b *testing.B, callerChosen bool) (*testFleet, *Manager, []Request) {
	f := newTestFleet()
	m := f.addManager("vm-0123", WithMaxRecords(1<<30), WithMaxKeptBytes(1<<40, 64<<10))
	list := make([]Request, b.N)
	token, err := m.IssueToken("reservas", ModeLedger)
	if err != nil {
		b.Fatal(err)
	}
	sum := digest("a")
	for i := range list {
		key := fmt.Sprintf("%s.%d", token, i)
		if callerChosen {
			key = fmt.Sprint(i)
		}
		list[i] = Request{Key: key, Service: "reservas", Workspace: "w", Digest: sum, MayRun: true}
	}
	return f, m, list
}

// BenchmarkOwnToken measures Begin and Finish of a new order under a token of the
// same daemon, and the heap memory per record without a response.
func BenchmarkOwnToken(b *testing.B) {
	_, m, list := benchManager(b, false)
	ctx := context.Background()
	before := heapAlloc()
	b.ReportAllocs()
	b.ResetTimer()
	for _, r := range list {
		m.Begin(ctx, r).Permit.Finish(fault.Run, nil)
	}
	b.StopTimer()
	b.ReportMetric(float64(heapAlloc()-before)/float64(b.N), "heap-B/record")
	runtime.KeepAlive(list)
	runtime.KeepAlive(m)
}

func heapAlloc() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkIssue measures the issue of a token and reports its length.
func BenchmarkIssue(b *testing.B) {
	_, m, _ := benchManager(b, false)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		t, _ := m.IssueToken("reservas", ModeLedger)
		size = len(t)
	}
	b.ReportMetric(float64(size), "chars")
}

// BenchmarkExport reports the encoded size of a record with and without a response
// of 1 KiB.
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

// BenchmarkWrites reports the requests to the table service per order for each
// token mode.
func BenchmarkWrites(b *testing.B) {
	for name, callerChosen := range map[string]bool{"home": false, "claim": true} {
		b.Run(name, func(b *testing.B) {
			f, m, list := benchManager(b, callerChosen)
			ctx := context.Background()
			for _, r := range list {
				m.Begin(ctx, r).Permit.Finish(fault.Run, response("booked"))
				_ = m.FlushOutcomes(ctx)
			}
			n := f.platform.RequestCounts()
			b.ReportMetric(float64(n.TableWrites)/float64(b.N), "writes/order")
			b.ReportMetric(float64(n.TableReads)/float64(b.N), "reads/order")
		})
	}
}
