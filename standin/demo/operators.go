package demo

import (
	"crypto/sha256"
	"encoding/hex"

	"wisteriarelay.example/core/config"
)

// OperatorToken returns the bearer token of an owner in the demo.
func OperatorToken(name string) string {
	return "demo-token-of-" + name
}

func (f *Fleet) operators() []config.Operator {
	var out []config.Operator
	for _, name := range f.Doc.Owners() {
		digest := sha256.Sum256([]byte(OperatorToken(name)))
		out = append(out, config.Operator{Name: name, TokenSHA256: hex.EncodeToString(digest[:])})
	}
	return out
}
