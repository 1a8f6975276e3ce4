package order

import (
	"bytes"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzParseKey guards against a panic in the parser, and against a token that
// is accepted although it was not signed.
func FuzzParseKey(f *testing.F) {
	s, err := NewSigner(testSecret)
	if err != nil {
		f.Fatal(err)
	}
	// A constant nonce, because all processes of a fuzz run must issue the same token.
	s.random = func(b []byte) (int, error) { return len(b), nil }
	token, err := s.Issue(Token{Service: "reservas", Issuer: "vm1.0123456789abcdef", Epoch: 3, Mode: ModeLedger})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{"", `""`, "own", `"7f3c-11"`, "w1~", "w1~.", "w1~AAAA.1", "w2~x.1", token, token + ".", token + ".1", `"` + token + `.1"`, strings.Repeat("x", 300)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		k, err := s.ParseKey(value)
		if err != nil || k.CallerChosen {
			return
		}
		if issued, _, _ := strings.Cut(k.Text, "."); issued != token {
			t.Fatalf("accepted %q", value)
		}
	})
}

// FuzzMessages guards against a panic in the decoders, and against an accepted
// message that changes when it is encoded and decoded again.
func FuzzMessages(f *testing.F) {
	key := digest("key")
	grant := &Grant{Grantee: "vm1.0123456789abcdef", Epoch: 2}
	for _, m := range []any{
		KeyQuery{Ledger: "vm1.0123456789abcdef", Epoch: 1, Key: key, Digest: key, OnUnseen: UnseenRelease, Grant: grant},
		KeyReply{State: StateReleased, Grant: grant},
		KeyReply{State: StateRun, Response: response("x")},
		LedgerPart{Ledger: "vm1.0123456789abcdef", Count: 1, FirstEpoch: 1, LastEpoch: 2, Records: []Record{{Epoch: 1, Key: key, State: StateNotRun}}},
		ClaimRow{ID: "1", Grant: *grant, Digest: key, State: StateRunning},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		checkRoundTrip(t, b, &KeyQuery{}, &KeyQuery{})
		checkRoundTrip(t, b, &KeyReply{}, &KeyReply{})
		checkRoundTrip(t, b, &LedgerPart{}, &LedgerPart{})
		checkRoundTrip(t, b, &ClaimRow{}, &ClaimRow{})
	})
}

func checkRoundTrip(t *testing.T, b []byte, m, n any) {
	if cbor.Unmarshal(b, m) != nil {
		return
	}
	first, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(first, n); err != nil {
		t.Fatalf("%T %x: %v", m, first, err)
	}
	if second, _ := cbor.Marshal(n); !bytes.Equal(first, second) {
		t.Fatalf("%T %x became %x", m, first, second)
	}
}
