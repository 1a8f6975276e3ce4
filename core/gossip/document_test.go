package gossip

import (
	"bytes"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// randomDocument returns a document whose data hardly compresses.
func randomDocument(version int64, size int) Document {
	random := rand.New(rand.NewPCG(uint64(version), 1))
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return Document{Version: version, Data: data}
}

func mustSplit(g *WithT, d Document) []Fragment {
	fragments, err := d.split()
	g.Expect(err).NotTo(HaveOccurred())
	return fragments
}

// Guards against a configuration that is reassembled wrongly if fragments arrive out
// of order or more than once.
func TestFragmentsReassembleInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	want := randomDocument(7, 20_000)
	fragments := mustSplit(g, want)
	g.Expect(len(fragments)).To(BeNumerically(">", 10))
	rand.Shuffle(len(fragments), func(a, b int) { fragments[a], fragments[b] = fragments[b], fragments[a] })
	var r reassembler
	var got []*Document
	for i := range fragments {
		for range 2 {
			d, err := r.add(&fragments[i])
			g.Expect(err).NotTo(HaveOccurred())
			if d != nil {
				got = append(got, d)
			}
		}
	}
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Version).To(Equal(want.Version))
	g.Expect(bytes.Equal(got[0].Data, want.Data)).To(BeTrue())
}

// Guards against fragments of an older configuration, or of another one with the same
// version, that are reassembled into one document, or keep each other from completion.
func TestFragmentsOfDifferentDocumentsDoNotMix(t *testing.T) {
	g := NewWithT(t)
	older, newer := randomDocument(1, 3000), randomDocument(2, 3000)
	other := Document{Version: 2, Data: randomDocument(3, 3000).Data}
	documents := []Document{other, older, newer}
	var split [][]Fragment
	for _, d := range documents {
		split = append(split, mustSplit(g, d))
	}
	var r reassembler
	var got []Document
	for i := range split[0] {
		for _, fragments := range split {
			d, err := r.add(&fragments[i])
			g.Expect(err).NotTo(HaveOccurred())
			if d != nil {
				got = append(got, *d)
			}
		}
	}
	g.Expect(got).To(Equal(documents))
}

// Guards against memory and time spent on a forged or damaged fragment.
func TestInvalidFragmentsAreRejected(t *testing.T) {
	g := NewWithT(t)
	bad := map[string]Fragment{
		"no pieces":       {Version: 1},
		"too many":        {Version: 1, Count: 1 << 30},
		"number too high": {Version: 1, Index: 2, Count: 2},
		"negative":        {Version: 1, Index: -1, Count: 2},
		"too long":        {Version: 1, Count: 1, Data: make([]byte, maxFragmentBytes+1)},
		"not compressed":  {Version: 1, Count: 1, Data: []byte("abc")},
		"wrong hash":      mustSplit(g, randomDocument(1, 10))[0],
	}
	for name, p := range bad {
		var r reassembler
		if name == "wrong hash" {
			p.Hash++
		}
		d, err := r.add(&p)
		g.Expect(d).To(BeNil(), name)
		g.Expect(err).To(HaveOccurred(), name)
	}
}

// Guards against a document that fits in few datagrams but needs more memory after
// decompression than a VM has.
func TestDocumentSizeIsBounded(t *testing.T) {
	g := NewWithT(t)
	d := Document{Version: 1, Data: make([]byte, maxDocumentBytes+1)}
	_, err := d.split()
	g.Expect(err).To(HaveOccurred())
}

// Guards against one fragment with a version that does not exist, after which a daemon
// dropped every configuration that its peers sent.
func TestWrongVersionDoesNotBlockDocuments(t *testing.T) {
	g := NewWithT(t)
	var r reassembler
	wrong := mustSplit(g, randomDocument(1<<40, 3000))
	_, err := r.add(&wrong[0])
	g.Expect(err).NotTo(HaveOccurred())
	fragments := mustSplit(g, randomDocument(8, 3000))
	var got *Document
	for i := range fragments {
		got, err = r.add(&fragments[i])
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(got).NotTo(BeNil())
	g.Expect(got.Version).To(Equal(int64(8)))
}
