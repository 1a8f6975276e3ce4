package gossip

import (
	"fmt"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
)

// heapInUse returns the number of bytes of reachable objects on the heap.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against peers that exhaust the memory with fragments of documents that never
// become complete.
func TestMemoryOfUnfinishedDocumentsIsBounded(t *testing.T) {
	const documents, maxBytes = 20, 16 << 20
	g := NewWithT(t)
	var r reassembler
	before := heapInUse()
	for version := range documents {
		for index := range maxFragments - 1 {
			d, err := r.add(&Fragment{Version: int64(version), Hash: 1, Index: index, Count: maxFragments, Data: make([]byte, maxFragmentBytes)})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d).To(BeNil())
		}
	}
	used := heapInUse() - before
	t.Logf("%d KiB in use", used>>10)
	g.Expect(used).To(BeNumerically("<", maxBytes))
	runtime.KeepAlive(&r)
}

// Guards against a document that is small when compressed and exhausts the memory when it
// is decompressed.
func TestDecompressedDocumentIsBounded(t *testing.T) {
	g := NewWithT(t)
	bomb := Document{Version: 1, Data: make([]byte, maxDocumentBytes)}
	fragments, err := bomb.split()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(fragments)).To(BeNumerically("<", 20))
	_, err = (&Document{Version: 1, Data: make([]byte, maxDocumentBytes+1)}).split()
	g.Expect(err).To(HaveOccurred())
	var r reassembler
	var got *Document
	for i := range fragments {
		fragments[i].Hash++ // A sender that claims another document.
		got, err = r.add(&fragments[i])
	}
	g.Expect(got).To(BeNil())
	g.Expect(err).To(HaveOccurred())
}

// Guards against memory that grows with each name of a sender, such as those of replaced
// VMs or of reports from elsewhere.
func TestMemoryOfSendersIsBounded(t *testing.T) {
	const senders, maxBytes = 200_000, 4 << 20
	g := NewWithT(t)
	r := &receiver{Transport: &Transport{windows: map[string]*senderWindow{}}}
	before := heapInUse()
	for n := range senders {
		g.Expect(r.markNew(&Report{VM: fmt.Sprint("vm-", n), StartMillis: 1}, 1)).To(BeTrue())
	}
	used := heapInUse() - before
	t.Logf("%d KiB in use", used>>10)
	g.Expect(used).To(BeNumerically("<", maxBytes))
	g.Expect(r.markNew(&Report{VM: fmt.Sprint("vm-", senders-1), StartMillis: 1}, 1)).To(BeFalse())
}
