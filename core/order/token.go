package order

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// TokenMode says where the keys under a token are recorded.
type TokenMode uint8

// The modes of tokens.
const (
	// ModeLedger records keys in the ledger of the incarnation that issued the token.
	ModeLedger TokenMode = 1
	// ModeClaim records keys as claims in the table service, like caller-chosen keys.
	ModeClaim TokenMode = 2
)

// Token is the content of a signed token. A random nonce makes each issued token
// unique, so that callers who choose the same suffix get different keys.
type Token struct {
	Service fleet.ServiceID
	Issuer  fleet.Incarnation
	Epoch   uint32
	Mode    TokenMode
	Nonce   [tokenNonceSize]byte
}

const (
	// tokenPrefix marks a token and the version of its format; caller-chosen
	// keys may not start with it.
	tokenPrefix    = "w1~"
	tokenNonceSize = 8
	// tokenRunIDSize is the size in bytes of the part of an incarnation that
	// follows the VM id.
	tokenRunIDSize = 8
	// tokenMACSize is the size of the signature, a truncated HMAC; 128 bits are
	// enough against forgery.
	tokenMACSize = 16
	// maxTokenIDLen is the largest length of the service id and of the VM id in a
	// token. Ids of at most 72 bytes together give a token of at most 150 characters.
	maxTokenIDLen = 64
	// maxTokenLen limits the text of a token; a token with two ids of
	// maxTokenIDLen bytes fits.
	maxTokenLen = 256
	// minSecretSize is the smallest size of a fleet secret in bytes.
	minSecretSize = 16
)

var tokenEncoding = base64.RawURLEncoding.Strict()

// Signer signs and verifies tokens with secrets that all daemons of the fleet share.
type Signer struct {
	secrets atomic.Pointer[[]*secret]
	// random fills nonces; tests replace it to be reproducible.
	random func([]byte) (int, error)
}

// secret is one fleet secret, as a pool of HMAC hashes that are keyed with it.
type secret struct {
	pool sync.Pool
}

// NewSigner returns a signer that signs with the first secret, the newest, and
// accepts signatures with any of them.
func NewSigner(secrets ...[]byte) (*Signer, error) {
	s := &Signer{random: rand.Read}
	return s, s.Rotate(secrets...)
}

// Rotate replaces the secrets, newest first. To introduce a new secret, first add
// it after the old one on every daemon and only then make it the first, so that no
// daemon receives a signature that it can't verify.
func (s *Signer) Rotate(secrets ...[]byte) error {
	if len(secrets) == 0 {
		return fault.New(fault.ConfigInvalid, "no fleet secret")
	}
	list := make([]*secret, 0, len(secrets))
	for i, k := range secrets {
		if len(k) < minSecretSize {
			return fault.New(fault.ConfigInvalid, "fleet secret %d has %d bytes, at least %d are needed", i, len(k), minSecretSize)
		}
		key := slices.Clone(k)
		list = append(list, &secret{pool: sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}})
	}
	s.secrets.Store(&list)
	return nil
}

func (k *secret) mac(into, data []byte) []byte {
	h := k.pool.Get().(hash.Hash)
	defer k.pool.Put(h)
	h.Reset()
	h.Write(data)
	return h.Sum(into)
}

// Issue returns the text of a signed token with a new nonce.
func (s *Signer) Issue(t Token) (string, error) {
	if t.Service == "" || len(t.Service) > maxTokenIDLen || len(t.Issuer.VM()) > maxTokenIDLen {
		return "", fault.New(fault.Internal, "service %q or incarnation %q doesn't fit into a token", t.Service, t.Issuer)
	}
	_, _ = s.random(t.Nonce[:])
	b, err := t.encode()
	if err != nil {
		return "", err
	}
	var sum [sha256.Size]byte
	b = append(b, (*s.secrets.Load())[0].mac(sum[:0], b)[:tokenMACSize]...)
	return tokenPrefix + tokenEncoding.EncodeToString(b), nil
}

// Verify parses a token and verifies its signature. It returns OrderKeyInvalid
// with the outcome not-run for text that no daemon accepts. If no secret matches
// the signature, the outcome of the error is unknown, because an earlier copy of
// the order may have run while the secret was accepted, or a copy may run at a
// daemon that accepts it.
func (s *Signer) Verify(text string) (Token, error) {
	encoded, ok := strings.CutPrefix(text, tokenPrefix)
	if !ok || len(text) > maxTokenLen {
		return Token{}, fault.New(fault.OrderKeyInvalid, "not a token")
	}
	var buf [maxTokenLen]byte
	b, err := tokenEncoding.AppendDecode(buf[:0], []byte(encoded))
	if err != nil || len(b) <= tokenMACSize {
		return Token{}, fault.New(fault.OrderKeyInvalid, "malformed token")
	}
	body, mac := b[:len(b)-tokenMACSize], b[len(b)-tokenMACSize:]
	t, err := decodeToken(body)
	if err != nil {
		return Token{}, err
	}
	if !s.hasValidMAC(body, mac) {
		return Token{}, fault.New(fault.OrderKeyInvalid, "signature of the token isn't known here").WithOutcome(fault.Unknown)
	}
	return t, nil
}

func (s *Signer) hasValidMAC(body, mac []byte) bool {
	for _, k := range *s.secrets.Load() {
		var sum [sha256.Size]byte
		if hmac.Equal(k.mac(sum[:0], body)[:tokenMACSize], mac) {
			return true
		}
	}
	return false
}

// encode returns the signed part of a token: the mode in one byte, the epoch as a
// varint, the nonce, the run id of the issuer, its VM id, and the service id. The
// two ids are each preceded by their length in one byte.
func (t Token) encode() ([]byte, error) {
	vm := t.Issuer.VM()
	runID, err := hex.DecodeString(strings.TrimPrefix(string(t.Issuer), string(vm)+"."))
	if err != nil || len(runID) != tokenRunIDSize || vm == "" {
		return nil, fault.New(fault.Internal, "malformed incarnation %q", t.Issuer)
	}
	b := make([]byte, 0, maxTokenLen)
	b = append(b, byte(t.Mode))
	b = binary.AppendUvarint(b, uint64(t.Epoch))
	b = append(b, t.Nonce[:]...)
	b = append(b, runID...)
	b = append(append(b, byte(len(vm))), vm...)
	return append(append(b, byte(len(t.Service))), t.Service...), nil
}

func decodeToken(b []byte) (Token, error) {
	malformed := fault.New(fault.OrderKeyInvalid, "malformed token")
	t := Token{Mode: TokenMode(b[0])}
	if t.Mode != ModeLedger && t.Mode != ModeClaim {
		return t, malformed
	}
	epoch, n := binary.Uvarint(b[1:])
	if n <= 0 || epoch == 0 || epoch > 1<<32-1 {
		return t, malformed
	}
	t.Epoch = uint32(epoch)
	b = b[1+n:]
	if len(b) < tokenNonceSize+tokenRunIDSize {
		return t, malformed
	}
	copy(t.Nonce[:], b)
	runID := b[tokenNonceSize : tokenNonceSize+tokenRunIDSize]
	vm, b, ok := cutID(b[tokenNonceSize+tokenRunIDSize:])
	if !ok {
		return t, malformed
	}
	service, b, ok := cutID(b)
	if !ok || len(b) != 0 {
		return t, malformed
	}
	t.Issuer = fleet.Incarnation(string(vm) + "." + hex.EncodeToString(runID))
	t.Service = fleet.ServiceID(service)
	return t, nil
}

// cutID cuts an id with its length prefix off the front of b.
func cutID(b []byte) (id, rest []byte, ok bool) {
	if len(b) == 0 || b[0] == 0 || b[0] > maxTokenIDLen || len(b) <= int(b[0]) {
		return nil, nil, false
	}
	return b[1 : 1+b[0]], b[1+b[0]:], true
}
