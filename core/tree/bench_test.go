package tree

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
)

func bigDoc(b *testing.B) *Doc {
	b.Helper()
	doc, err := New().Apply(bigOps())
	if err != nil {
		b.Fatal(err)
	}
	return doc
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCompile compiles all services without reuse.
func BenchmarkCompile(b *testing.B) {
	doc := bigDoc(b)
	empty := New().catalog
	for b.Loop() {
		if _, problems := doc.compile(empty); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
	b.ReportMetric(bigServices, "services")
}

// BenchmarkApplyService applies one change to one service; the document is
// validated and compiled with reuse.
func BenchmarkApplyService(b *testing.B) {
	doc := bigDoc(b)
	i := 0
	for b.Loop() {
		i++
		next, err := doc.Apply([]Op{Set(bigServicePath(i%bigServices), "floor", fmt.Sprintf("%d%%", 40+i%20))})
		if err != nil {
			b.Fatal(err)
		}
		doc = next
	}
}

// BenchmarkApplyDeployment applies one change that every service inherits.
func BenchmarkApplyDeployment(b *testing.B) {
	doc := bigDoc(b)
	i := 0
	for b.Loop() {
		i++
		next, err := doc.Apply([]Op{Set(Root, "queue-length", 40+i%20)})
		if err != nil {
			b.Fatal(err)
		}
		doc = next
	}
}

// BenchmarkDecode decodes, validates and compiles a whole document, as a cold
// boot does with a snapshot.
func BenchmarkDecode(b *testing.B) {
	raw, err := json.Marshal(bigDoc(b))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "document-bytes")
}

// BenchmarkHeap reports the heap held by one document with its catalog.
func BenchmarkHeap(b *testing.B) {
	raw, err := json.Marshal(bigDoc(b))
	if err != nil {
		b.Fatal(err)
	}
	held := 0.0
	for b.Loop() {
		before := heapBytes()
		doc, err := Decode(raw)
		if err != nil {
			b.Fatal(err)
		}
		held = heapBytes() - before
		runtime.KeepAlive(doc)
	}
	b.ReportMetric(held, "heap-bytes")
}
