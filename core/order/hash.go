package order

import (
	"crypto/sha256"
	"hash"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// hashSize is 128 bits. The probability that any two of 2^40 keys have the same
// hash is then below 2^-48.
const hashSize = 16

// Hash is a truncated SHA-256 that identifies a key or the content of a request.
type Hash [hashSize]byte

// IsZero reports whether the hash is not set.
func (h Hash) IsZero() bool {
	return h == Hash{}
}

// UnmarshalCBOR decodes a hash and validates its length.
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

// Digester computes the digest of a request, to which the body can be written in
// pieces. Two requests have the same digest only if their workspace, method, path
// with query, and body are equal.
type Digester struct {
	h hash.Hash
}

// NewDigester returns a digester that covers the request apart from its body.
func NewDigester(workspace fleet.WorkspaceID, method, path string) Digester {
	d := Digester{h: sha256.New()}
	for _, part := range []string{string(workspace), method, path} {
		d.h.Write([]byte(part))
		d.h.Write([]byte{0})
	}
	return d
}

// Write adds bytes of the body. It never returns an error.
func (d Digester) Write(p []byte) (int, error) {
	return d.h.Write(p)
}

// Sum returns the digest of the request with the body written so far.
func (d Digester) Sum() Hash {
	var sum [sha256.Size]byte
	return Hash(d.h.Sum(sum[:0])[:hashSize])
}

// hashParts hashes the parts, each followed by a zero byte. No part contains a
// zero byte, so different lists of parts give different input.
func hashParts(parts ...string) Hash {
	var buf [512]byte
	b := buf[:0]
	for _, p := range parts {
		b = append(append(b, p...), 0)
	}
	sum := sha256.Sum256(b)
	return Hash(sum[:hashSize])
}
