package gossip

import (
	"bytes"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// document returns data that hardly compresses.
func document(version int64, size int) Document {
	random := rand.New(rand.NewPCG(uint64(version), 1))
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return Document{Version: version, Data: data}
}

func split(g *WithT, d Document) []Piece {
	pieces, err := d.split()
	g.Expect(err).NotTo(HaveOccurred())
	return pieces
}

// Guards against a configuration that is put together wrongly from pieces that come
// in any order and more than once.
func TestPiecesJoinInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	want := document(7, 20_000)
	pieces := split(g, want)
	g.Expect(len(pieces)).To(BeNumerically(">", 10))
	rand.Shuffle(len(pieces), func(a, b int) { pieces[a], pieces[b] = pieces[b], pieces[a] })
	var j joiner
	var got []*Document
	for i := range pieces {
		for range 2 {
			d, err := j.add(&pieces[i])
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

// Guards against pieces of an older configuration, or of another with the same
// version, that end up in one document.
func TestPiecesOfDifferentDocumentsDoNotMix(t *testing.T) {
	g := NewWithT(t)
	older, newer := split(g, document(1, 3000)), split(g, document(2, 3000))
	other := split(g, Document{Version: 2, Data: document(3, 3000).Data})
	var j joiner
	for i := range newer {
		for _, p := range []*Piece{&other[i], &older[i], &newer[i]} {
			d, err := j.add(p)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d).To(BeNil(), "each piece of the one starts the other anew")
		}
	}
}

// Guards against memory and time that a forged or damaged piece takes.
func TestUnusablePiecesAreDropped(t *testing.T) {
	g := NewWithT(t)
	bad := map[string]Piece{
		"no pieces":       {Version: 1},
		"too many":        {Version: 1, Count: 1 << 30},
		"number too high": {Version: 1, Number: 2, Count: 2},
		"negative":        {Version: 1, Number: -1, Count: 2},
		"too long":        {Version: 1, Count: 1, Data: make([]byte, pieceBytes+1)},
		"not compressed":  {Version: 1, Count: 1, Data: []byte("abc")},
		"wrong hash":      split(g, document(1, 10))[0],
	}
	for name, p := range bad {
		var j joiner
		if name == "wrong hash" {
			p.Sum++
		}
		d, err := j.add(&p)
		g.Expect(d).To(BeNil(), name)
		g.Expect(err).To(HaveOccurred(), name)
	}
}

// Guards against a small datagram that unpacks to more memory than a VM has.
func TestUnpackedDocumentIsBounded(t *testing.T) {
	g := NewWithT(t)
	d := Document{Version: 1, Data: make([]byte, maxDocument+1)}
	_, err := d.split()
	g.Expect(err).To(HaveOccurred())
}
