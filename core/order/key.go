package order

import (
	"strings"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Key is a checked Idempotency-Key.
type Key struct {
	// Text is the key without quotes.
	Text string
	// Own says that the caller chose the whole key; Token is empty then.
	Own   bool
	Token Token
}

const (
	maxSuffix = 64
	// maxOwnKey bounds callers' own keys; UUIDs need 36 characters.
	maxOwnKey = 255
)

// ParseKey checks the value of an Idempotency-Key header, with or without its
// quotes. It returns OrderKeyMissing for an empty value and OrderKeyInvalid
// for one that is malformed or that the signer doesn't know.
func (s *Signer) ParseKey(value string) (Key, error) {
	text := unquote(value)
	if text == "" {
		return Key{}, fault.New(fault.OrderKeyMissing, "no Idempotency-Key")
	}
	if !isKeyText(text) {
		return Key{}, fault.New(fault.OrderKeyInvalid, "character that a key may not hold")
	}
	if isOtherFormat(text) {
		// A daemon of a later release may accept it.
		return Key{}, fault.New(fault.OrderKeyInvalid, "token of another format").WithOutcome(fault.Unknown)
	}
	if !strings.HasPrefix(text, tokenPrefix) {
		if len(text) > maxOwnKey {
			return Key{}, fault.New(fault.OrderKeyInvalid, "key of %d characters, at most %d are allowed", len(text), maxOwnKey)
		}
		return Key{Text: text, Own: true}, nil
	}
	token, suffix, ok := strings.Cut(text, ".")
	if !ok || suffix == "" || len(suffix) > maxSuffix {
		return Key{}, fault.New(fault.OrderKeyInvalid, "a token needs a suffix of 1 to %d characters", maxSuffix)
	}
	t, err := s.Verify(token)
	if err != nil {
		return Key{}, err
	}
	return Key{Text: text, Token: t}, nil
}

// isOtherFormat recognises tokens of earlier and later formats, "w0~" to "w9~".
func isOtherFormat(text string) bool {
	return len(text) >= len(tokenPrefix) && text[0] == 'w' && text[1] >= '0' && text[1] <= '9' && text[2] == '~' &&
		!strings.HasPrefix(text, tokenPrefix)
}

func unquote(value string) string {
	if len(value) >= 2 && value[0] == '"' && value[len(value)-1] == '"' {
		return value[1 : len(value)-1]
	}
	return value
}

// isKeyText admits visible ASCII but for the quote and the backslash, which
// would need escapes.
func isKeyText(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c <= ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// hash returns the name of the key in ledgers and claims. A caller's own key
// is known only within its workspace and service.
func (k *Key) hash(workspace fleet.WorkspaceID, service fleet.ServiceID) Hash {
	if k.Own {
		return hashParts("own", string(workspace), string(service), k.Text)
	}
	return hashParts("token", k.Text)
}
