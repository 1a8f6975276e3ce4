package tree

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
)

func plannedFleetDoc(b *testing.B) *Document {
	b.Helper()
	doc, err := New().Apply(plannedFleetOps())
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

// BenchmarkCompile measures the compilation of all services without reuse.
func BenchmarkCompile(b *testing.B) {
	doc := plannedFleetDoc(b)
	empty := New().catalog
	for b.Loop() {
		if _, problems := doc.compile(empty); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
	b.ReportMetric(plannedServices, "services")
}

// BenchmarkApplyService measures a change of one service. The document is
// validated, and the unchanged compiled services are reused.
func BenchmarkApplyService(b *testing.B) {
	doc := plannedFleetDoc(b)
	i := 0
	for b.Loop() {
		i++
		next, err := doc.Apply([]Op{Set(plannedServicePath(i%plannedServices), "floor", fmt.Sprintf("%d%%", 40+i%20))})
		if err != nil {
			b.Fatal(err)
		}
		doc = next
	}
}

// BenchmarkApplyDeployment measures a change that every service inherits, so that
// all services are compiled again.
func BenchmarkApplyDeployment(b *testing.B) {
	doc := plannedFleetDoc(b)
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

// BenchmarkDecode measures the decoding, validation and compilation of a whole
// document, as a cold start does with a snapshot.
func BenchmarkDecode(b *testing.B) {
	raw, err := json.Marshal(plannedFleetDoc(b))
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

// BenchmarkHeap reports the heap memory that a document and its catalog occupy.
func BenchmarkHeap(b *testing.B) {
	raw, err := json.Marshal(plannedFleetDoc(b))
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
