package order

import (
	"crypto/sha256"
	"hash"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// hashSize is 128 bits: no two of 2^40 keys share a hash with a probability above 2^-48.
const hashSize = 16

// Hash identifies a key, or the content of a request, by a truncated SHA-256.
type Hash [hashSize]byte

// IsZero reports whether the hash is not set.
func (h Hash) IsZero() bool {
	return h == Hash{}
}

// UnmarshalCBOR decodes a hash and checks its length.
func (h *Hash) UnmarshalCBOR(data []byte) error {
	var b []byte
	if err := cbor.Unmarshal(data, &b); err != nil {
		return fault.Wrap(err, fault.MessageInvalid, "hash")
	}
	if len(b) != hashSize {
		return fault.New(fault.MessageInvalid, "hash of %d bytes", len(b))
	}
	copy(h[:], b)
	return nil
}

// Digester computes the digest of a request while its body is read. Two copies
// of an order have the same digest only if workspace, method, path with query
// and body are equal.
type Digester struct {
	h hash.Hash
}

// NewDigester returns a digester for a request without its body.
func NewDigester(workspace fleet.WorkspaceID, method, path string) Digester {
	d := Digester{h: sha256.New()}
	for _, part := range []string{string(workspace), method, path} {
		d.h.Write([]byte(part))
		d.h.Write([]byte{0})
	}
	return d
}

// Write adds bytes of the body; it never fails.
func (d Digester) Write(p []byte) (int, error) {
	return d.h.Write(p)
}

// Sum returns the digest.
func (d Digester) Sum() Hash {
	var sum [sha256.Size]byte
	return Hash(d.h.Sum(sum[:0])[:hashSize])
}

// hashParts hashes the parts, each ended by a zero byte, which no part contains.
func hashParts(parts ...string) Hash {
	var room [512]byte
	b := room[:0]
	for _, p := range parts {
		b = append(append(b, p...), 0)
	}
	sum := sha256.Sum256(b)
	return Hash(sum[:hashSize])
}
