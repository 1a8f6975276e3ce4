package watch_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/watch"
)

const (
	// maxSenders and maxParts are the senders and the parts of a delta that an assembler
	// accepts.
	maxSenders = 64
	maxParts   = 256
)

// heapInUse returns the number of bytes of reachable objects on the heap.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against peers that exhaust the memory with parts of deltas that never become
// complete, each of a size that fits in a datagram.
func TestMemoryOfUnfinishedDeltasIsBounded(t *testing.T) {
	const maxBytes = 16 << 20
	cases := map[string]func(number int) []watch.Change{
		"empty changes": func(int) []watch.Change { return make([]watch.Change, 1300) },
		"long ids": func(n int) []watch.Change {
			return []watch.Change{{ID: strings.Repeat("a", 1300) + fmt.Sprint(n)}}
		},
		"entries": func(n int) []watch.Change {
			out := make([]watch.Change, 8)
			for i := range out {
				out[i] = watch.Change{ID: fmt.Sprint(n, i), Entry: &watch.Entry{Service: fmt.Sprint("service-", n), Address: fmt.Sprint("10.0.0.1:", n), DataCentre: "a"}}
			}
			return out
		},
	}
	for name, changes := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var a watch.Assembler
			before := heapInUse()
			for sender := range maxSenders {
				for index := range maxParts - 1 {
					p := watch.Part{Delta: watch.Delta{Since: 1, Version: 2, Changes: changes(index)}, Index: index, Count: maxParts}
					_, complete := a.Add(fmt.Sprint("vm-", sender), p)
					g.Expect(complete).To(BeFalse())
				}
			}
			used := heapInUse() - before
			t.Logf("%d KiB in use", used>>10)
			g.Expect(used).To(BeNumerically("<", maxBytes))
			g.Expect(a.Senders()).To(BeNumerically("<=", maxSenders))
			runtime.KeepAlive(&a)
		})
	}
}

// Guards against a limit on unfinished deltas that keeps large ones of several senders
// from becoming complete.
func TestLargeDeltasOfSeveralSendersAreJoined(t *testing.T) {
	const senders, partChanges = 4, 8
	g := NewWithT(t)
	d := watch.Delta{Since: 1, Version: 2}
	for i := range maxParts * partChanges {
		d.Changes = append(d.Changes, watch.Change{ID: fmt.Sprint("i-", i), Entry: &watch.Entry{Service: "service", Address: "10.0.0.1:80", DataCentre: "zone"}})
	}
	var a watch.Assembler
	complete := 0
	for _, p := range d.Split(partChanges) {
		for sender := range senders {
			if got, ok := a.Add(fmt.Sprint("vm-", sender), p); ok {
				g.Expect(got.Changes).To(HaveLen(len(d.Changes)))
				complete++
			}
		}
	}
	g.Expect(complete).To(Equal(senders))
	g.Expect(a.Abandoned()).To(BeZero())
}
