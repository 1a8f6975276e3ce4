package gossip

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/roster"
)

const (
	// maxFragmentBytes is the largest number of bytes of a compressed document that
	// one datagram carries.
	maxFragmentBytes = 1200
	// maxFragments is the largest number of fragments of a document.
	maxFragments = 2048
	// maxDocumentBytes is the largest size of a document before compression.
	maxDocumentBytes = 8 << 20
)

// Document is data from the store that one daemon reads and sends to the others in its
// data centre.
type Document struct {
	// Version orders the documents; a higher one replaces a lower one.
	Version int64
	Data    []byte
	// Age is the time since the document was last known to be the newest; 0 if it is
	// not known.
	Age time.Duration
}

// Fragment is one part of a compressed document.
type Fragment struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	// Hash is the hash of the whole document. It distinguishes different documents
	// that claim the same version.
	Hash  uint64
	Index int
	Count int
	Data  []byte
}

// split compresses the document and divides it into fragments. It fails with
// fault.MessageInvalid if the document is too large.
func (d *Document) split() ([]Fragment, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "document cannot be compressed")
	}
	if _, err := w.Write(d.Data); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "document cannot be compressed")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "document cannot be compressed")
	}
	count := (compressed.Len() + maxFragmentBytes - 1) / maxFragmentBytes
	if count > maxFragments || len(d.Data) > maxDocumentBytes {
		return nil, fault.New(fault.MessageInvalid, "document of %d bytes is too large to be passed on", len(d.Data))
	}
	hash := xxhash.Sum64(d.Data)
	fragments := make([]Fragment, count)
	for i := range fragments {
		fragments[i] = Fragment{Version: d.Version, Hash: hash, Index: i, Count: count, Data: compressed.Next(maxFragmentBytes)}
	}
	return fragments, nil
}

// maxAssemblies is the largest number of documents whose fragments a [reassembler] keeps.
// One that never becomes complete must not keep the others from being reassembled.
const maxAssemblies = 4

// reassembler reassembles documents from their fragments. Fragments of the same document
// may come from several senders.
type reassembler struct {
	// assemblies are in the order in which a fragment of each last arrived.
	assemblies []*documentAssembly
}

// documentAssembly is a document of which fragments have arrived.
type documentAssembly struct {
	version   int64
	hash      uint64
	fragments [][]byte
	// missing is the number of fragments that have not arrived; once it is 0, the
	// document was returned and fragments holds no data.
	missing int
}

// add adds a fragment and returns the document once all fragments have arrived. A
// document is returned once for as long as it is among the last maxAssemblies.
func (r *reassembler) add(f *Fragment) (*Document, error) {
	if f.Count <= 0 || f.Count > maxFragments || f.Index < 0 || f.Index >= f.Count || len(f.Data) > maxFragmentBytes {
		return nil, fault.New(fault.MessageInvalid, "fragment %d of %d is invalid", f.Index, f.Count)
	}
	a := r.assemblyFor(f)
	if a.missing == 0 || a.fragments[f.Index] != nil {
		return nil, nil
	}
	a.fragments[f.Index] = f.Data
	if a.missing--; a.missing > 0 {
		return nil, nil
	}
	return a.decompress()
}

// assemblyFor returns the assembly of the fragment's document as the most recent one,
// and forgets the least recent one if there are too many.
func (r *reassembler) assemblyFor(f *Fragment) *documentAssembly {
	i := slices.IndexFunc(r.assemblies, func(a *documentAssembly) bool {
		return a.version == f.Version && a.hash == f.Hash && len(a.fragments) == f.Count
	})
	if i < 0 {
		r.assemblies = append(r.assemblies, &documentAssembly{version: f.Version, hash: f.Hash, fragments: make([][]byte, f.Count), missing: f.Count})
		// Delete clears the forgotten elements, so that they are not kept in memory.
		r.assemblies = slices.Delete(r.assemblies, 0, max(len(r.assemblies)-maxAssemblies, 0))
		return r.assemblies[len(r.assemblies)-1]
	}
	a := r.assemblies[i]
	r.assemblies = append(slices.Delete(r.assemblies, i, i+1), a)
	return a
}

// decompress joins and decompresses the fragments, releases them, and checks size and
// hash of the document.
func (a *documentAssembly) decompress() (*Document, error) {
	reader := flate.NewReader(bytes.NewReader(bytes.Join(a.fragments, nil)))
	clear(a.fragments)
	data, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "document cannot be decompressed")
	}
	if len(data) > maxDocumentBytes || xxhash.Sum64(data) != a.hash {
		return nil, fault.New(fault.MessageInvalid, "document of %d bytes does not match its hash", len(data))
	}
	return &Document{Version: a.version, Data: data}, nil
}

// SendConfig sends the operators' configuration to peers, in the form in which the
// store holds it.
func (n *Transport) SendConfig(d Document, to []roster.Member) {
	fragments, err := d.split()
	if err != nil {
		_ = n.logger.Log("msg", "configuration not passed on", "version", d.Version, "err", err)
		return
	}
	for i := range fragments {
		n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, ConfigFragment: &fragments[i], ConfigAge: d.Age}, to)
	}
}

// RequestConfig asks a peer for its configuration, if that is newer than the version.
func (n *Transport) RequestConfig(version int64, to roster.Member) {
	n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, WantsConfig: true, ConfigVersion: version}, []roster.Member{to})
}
