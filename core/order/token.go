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

// Mode says where the keys under a token are recorded.
type Mode uint8

// The modes of tokens.
const (
	// ModeHome records keys in the memory of the home daemon.
	ModeHome Mode = 1
	// ModeClaim records keys as claims in the table service, like callers' own keys.
	ModeClaim Mode = 2
)

// Token is what a signed token states. Each issued token has its own serial
// number, so that callers who choose the same suffix don't share a key.
type Token struct {
	Service fleet.ServiceID
	Home    fleet.Incarnation
	Epoch   uint32
	Mode    Mode
	Serial  [tokenSerial]byte
}

const (
	// tokenPrefix marks a token and its format; callers' own keys may not start with it.
	tokenPrefix = "w1~"
	tokenSerial = 8
	// tokenRun is the size of the random part of an incarnation in bytes.
	tokenRun = 8
	// tokenMAC is the size of the signature; 128 bits are enough against forgery.
	tokenMAC = 16
	// maxTokenName bounds service and VM ids in a token. Ids of at most 72
	// bytes together give a token of at most 150 characters.
	maxTokenName = 64
	// maxTokenText is the length of a token with two ids of maxTokenName bytes.
	maxTokenText = 256
	// minSecret is the smallest size of a fleet secret in bytes.
	minSecret = 16
)

var tokenText = base64.RawURLEncoding.Strict()

// Signer signs and verifies tokens with the fleet's secrets.
type Signer struct {
	secrets atomic.Pointer[[]*secret]
	// random fills serial numbers; the property test replaces it.
	random func([]byte) (int, error)
}

// secret is one fleet secret with a pool of keyed hashes.
type secret struct {
	pool sync.Pool
}

// NewSigner returns a signer that signs with the first, newest, secret and
// accepts signatures of all of them.
func NewSigner(secrets ...[]byte) (*Signer, error) {
	s := &Signer{random: rand.Read}
	return s, s.Rotate(secrets...)
}

// Rotate replaces the secrets, newest first. Add a new secret behind the old
// one on every daemon before it signs, so that no daemon meets a signature
// that it can't verify.
func (s *Signer) Rotate(secrets ...[]byte) error {
	if len(secrets) == 0 {
		return fault.New(fault.ConfigInvalid, "no fleet secret")
	}
	list := make([]*secret, 0, len(secrets))
	for i, k := range secrets {
		if len(k) < minSecret {
			return fault.New(fault.ConfigInvalid, "fleet secret %d has %d bytes, at least %d are needed", i, len(k), minSecret)
		}
		key := slices.Clone(k)
		list = append(list, &secret{pool: sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}})
	}
	s.secrets.Store(&list)
	return nil
}

func (k *secret) sum(into, data []byte) []byte {
	h := k.pool.Get().(hash.Hash)
	defer k.pool.Put(h)
	h.Reset()
	h.Write(data)
	return h.Sum(into)
}

// Issue returns the text of a signed token, with a new serial number.
func (s *Signer) Issue(t Token) (string, error) {
	if t.Service == "" || len(t.Service) > maxTokenName || len(t.Home.VM()) > maxTokenName {
		return "", fault.New(fault.Internal, "service %q or incarnation %q doesn't fit into a token", t.Service, t.Home)
	}
	_, _ = s.random(t.Serial[:])
	b, err := t.encode()
	if err != nil {
		return "", err
	}
	var sum [sha256.Size]byte
	b = append(b, (*s.secrets.Load())[0].sum(sum[:0], b)[:tokenMAC]...)
	return tokenPrefix + tokenText.EncodeToString(b), nil
}

// Verify returns what a token states. Text that no daemon accepts gives
// OrderKeyInvalid with outcome not-run. A signature of none of the secrets
// gives the outcome unknown, because an earlier copy may have run while its
// secret was accepted, or may run at a daemon that accepts it.
func (s *Signer) Verify(text string) (Token, error) {
	encoded, ok := strings.CutPrefix(text, tokenPrefix)
	if !ok || len(text) > maxTokenText {
		return Token{}, fault.New(fault.OrderKeyInvalid, "not a token")
	}
	var room [maxTokenText]byte
	b, err := tokenText.AppendDecode(room[:0], []byte(encoded))
	if err != nil || len(b) <= tokenMAC {
		return Token{}, fault.New(fault.OrderKeyInvalid, "malformed token")
	}
	body, mac := b[:len(b)-tokenMAC], b[len(b)-tokenMAC:]
	t, err := decodeToken(body)
	if err != nil {
		return Token{}, err
	}
	if !s.signed(body, mac) {
		return Token{}, fault.New(fault.OrderKeyInvalid, "signature of the token isn't known here").WithOutcome(fault.Unknown)
	}
	return t, nil
}

func (s *Signer) signed(body, mac []byte) bool {
	for _, k := range *s.secrets.Load() {
		var sum [sha256.Size]byte
		if hmac.Equal(k.sum(sum[:0], body)[:tokenMAC], mac) {
			return true
		}
	}
	return false
}

// encode returns mode, epoch, serial, random part of the incarnation, VM id
// and service id.
func (t Token) encode() ([]byte, error) {
	vm := t.Home.VM()
	run, err := hex.DecodeString(strings.TrimPrefix(string(t.Home), string(vm)+"."))
	if err != nil || len(run) != tokenRun || vm == "" {
		return nil, fault.New(fault.Internal, "malformed incarnation %q", t.Home)
	}
	b := make([]byte, 0, maxTokenText)
	b = append(b, byte(t.Mode))
	b = binary.AppendUvarint(b, uint64(t.Epoch))
	b = append(b, t.Serial[:]...)
	b = append(b, run...)
	b = append(append(b, byte(len(vm))), vm...)
	return append(append(b, byte(len(t.Service))), t.Service...), nil
}

func decodeToken(b []byte) (Token, error) {
	malformed := fault.New(fault.OrderKeyInvalid, "malformed token")
	t := Token{Mode: Mode(b[0])}
	if t.Mode != ModeHome && t.Mode != ModeClaim {
		return t, malformed
	}
	epoch, n := binary.Uvarint(b[1:])
	if n <= 0 || epoch == 0 || epoch > 1<<32-1 {
		return t, malformed
	}
	t.Epoch = uint32(epoch)
	b = b[1+n:]
	if len(b) < tokenSerial+tokenRun {
		return t, malformed
	}
	copy(t.Serial[:], b)
	run := b[tokenSerial : tokenSerial+tokenRun]
	vm, b, ok := cutName(b[tokenSerial+tokenRun:])
	if !ok {
		return t, malformed
	}
	service, b, ok := cutName(b)
	if !ok || len(b) != 0 {
		return t, malformed
	}
	t.Home = fleet.Incarnation(string(vm) + "." + hex.EncodeToString(run))
	t.Service = fleet.ServiceID(service)
	return t, nil
}

func cutName(b []byte) (name, rest []byte, ok bool) {
	if len(b) == 0 || b[0] == 0 || b[0] > maxTokenName || len(b) <= int(b[0]) {
		return nil, nil, false
	}
	return b[1 : 1+b[0]], b[1+b[0]:], true
}
