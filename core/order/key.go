package order

import (
	"strings"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// Key is a parsed Idempotency-Key. It is either a token with a suffix that the
// caller appended or a text that the caller chose entirely.
type Key struct {
	// Text is the key without quotes.
	Text string
	// CallerChosen says that the caller chose the whole key; Token is then empty.
	CallerChosen bool
	Token        Token
}

const (
	maxKeySuffix = 64
	// maxCallerKey is the largest length of a caller-chosen key; a UUID has 36 characters.
	maxCallerKey = 255
)

// ParseKey parses the value of an Idempotency-Key header, with or without quotes.
// It returns OrderKeyMissing for an empty value, and OrderKeyInvalid for a
// malformed one or a token with a signature that the signer can't verify.
func (s *Signer) ParseKey(value string) (Key, error) {
	text := unquote(value)
	if text == "" {
		return Key{}, fault.New(fault.OrderKeyMissing, "no Idempotency-Key")
	}
	if !hasValidKeyChars(text) {
		return Key{}, fault.New(fault.OrderKeyInvalid, "character that a key may not hold")
	}
	if hasOtherTokenVersion(text) {
		// A daemon of a later release may accept this format and run the order,
		// so the outcome is unknown.
		return Key{}, fault.New(fault.OrderKeyInvalid, "token of another format").WithOutcome(fault.Unknown)
	}
	if !strings.HasPrefix(text, tokenPrefix) {
		if len(text) > maxCallerKey {
			return Key{}, fault.New(fault.OrderKeyInvalid, "key of %d characters, at most %d are allowed", len(text), maxCallerKey)
		}
		return Key{Text: text, CallerChosen: true}, nil
	}
	token, suffix, ok := strings.Cut(text, ".")
	if !ok || suffix == "" || len(suffix) > maxKeySuffix {
		return Key{}, fault.New(fault.OrderKeyInvalid, "a token needs a suffix of 1 to %d characters", maxKeySuffix)
	}
	t, err := s.Verify(token)
	if err != nil {
		return Key{}, err
	}
	return Key{Text: text, Token: t}, nil
}

// hasOtherTokenVersion reports whether the text starts like a token of an earlier
// or later format, with "w0~" to "w9~" but not tokenPrefix.
func hasOtherTokenVersion(text string) bool {
	return len(text) >= len(tokenPrefix) && text[0] == 'w' && text[1] >= '0' && text[1] <= '9' && text[2] == '~' &&
		!strings.HasPrefix(text, tokenPrefix)
}

func unquote(value string) string {
	if len(value) >= 2 && value[0] == '"' && value[len(value)-1] == '"' {
		return value[1 : len(value)-1]
	}
	return value
}

// hasValidKeyChars reports whether the text consists of visible ASCII characters
// other than the quote and the backslash, which would need escapes.
func hasValidKeyChars(text string) bool {
	for i := range len(text) {
		c := text[i]
		if c <= ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// hash returns the hash that identifies the key in ledgers and claims. A
// caller-chosen key is separate for each workspace and service.
func (k *Key) hash(workspace fleet.WorkspaceID, service fleet.ServiceID) Hash {
	if k.CallerChosen {
		return hashParts("own", string(workspace), string(service), k.Text)
	}
	return hashParts("token", k.Text)
}
