package gossip

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/roster"
)

const (
	// pieceBytes is the part of a document that one datagram carries.
	pieceBytes = 1200
	// maxPieces bounds the pieces of a document.
	maxPieces = 2048
	// maxDocument bounds a document in bytes after it was unpacked.
	maxDocument = 8 << 20
)

// Document is data of the store that one daemon reads for its data centre.
type Document struct {
	// Version orders the documents; a higher one replaces a lower one.
	Version int64
	Data    []byte
}

// Piece is a part of a compressed document.
type Piece struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	// Sum is the hash of the whole document, which tells apart documents that say
	// they have the same version.
	Sum    uint64
	Number int
	Count  int
	Data   []byte
}

// split returns the pieces of a document; it fails with fault.MessageInvalid if
// that is too large.
func (d *Document) split() ([]Piece, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "document cannot be compressed")
	}
	if _, err := w.Write(d.Data); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "document cannot be compressed")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "document cannot be compressed")
	}
	count := (packed.Len() + pieceBytes - 1) / pieceBytes
	if count > maxPieces || len(d.Data) > maxDocument {
		return nil, fault.New(fault.MessageInvalid, "document of %d bytes is too large to be passed on", len(d.Data))
	}
	sum := xxhash.Sum64(d.Data)
	pieces := make([]Piece, count)
	for i := range pieces {
		pieces[i] = Piece{Version: d.Version, Sum: sum, Number: i, Count: count, Data: packed.Next(pieceBytes)}
	}
	return pieces, nil
}

// joiner puts pieces together. It keeps those of one document, the newest.
type joiner struct {
	version int64
	sum     uint64
	pieces  [][]byte
	missing int
}

// add takes in a piece and returns the document once it is whole. Pieces of other
// versions cost only themselves.
func (j *joiner) add(p *Piece) (*Document, error) {
	if p.Count <= 0 || p.Count > maxPieces || p.Number < 0 || p.Number >= p.Count || len(p.Data) > pieceBytes {
		return nil, fault.New(fault.MessageInvalid, "piece %d of %d is not valid", p.Number, p.Count)
	}
	if p.Version < j.version {
		return nil, nil
	}
	if p.Version > j.version || p.Sum != j.sum || p.Count != len(j.pieces) {
		*j = joiner{version: p.Version, sum: p.Sum, pieces: make([][]byte, p.Count), missing: p.Count}
	}
	if j.pieces[p.Number] != nil {
		return nil, nil
	}
	j.pieces[p.Number] = p.Data
	if j.missing--; j.missing > 0 {
		return nil, nil
	}
	return j.unpack()
}

func (j *joiner) unpack() (*Document, error) {
	packed := flate.NewReader(bytes.NewReader(bytes.Join(j.pieces, nil)))
	data, err := io.ReadAll(io.LimitReader(packed, maxDocument+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "document cannot be unpacked")
	}
	if len(data) > maxDocument || xxhash.Sum64(data) != j.sum {
		return nil, fault.New(fault.MessageInvalid, "document of %d bytes does not match its hash", len(data))
	}
	return &Document{Version: j.version, Data: data}, nil
}

// TellConfig passes the operators' configuration on, as it lies in the store.
func (n *Node) TellConfig(d Document, to []roster.Member) {
	pieces, err := d.split()
	if err != nil {
		_ = n.logger.Log("msg", "configuration not passed on", "version", d.Version, "err", err)
		return
	}
	for i := range pieces {
		n.sendAll(&Report{VM: n.self.VM, Born: n.self.Born, Piece: &pieces[i]}, to)
	}
}
