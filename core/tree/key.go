package tree

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Key is one entry of the typed key registry.
type Key struct {
	Name string
	// Levels lists the levels at which the key may be set.
	Levels []Level
	// Allowed says which values the parser accepts.
	Allowed string
	// Default says in words which value holds if no level sets the key.
	Default string
	// Description says what the key means.
	Description string

	nullable bool
	preset   bool
	parse    func(raw json.RawMessage, at Level) (any, error)
	fallback func(v view) any
}

// Rule is the value of the approval key: who must approve a change.
type Rule string

// The approval rules.
const (
	// RuleOne demands one owner.
	RuleOne Rule = "one"
	// RuleBoth demands both owners.
	RuleBoth Rule = "both"
)

// Keys returns the registry in the order of the table in docs/design.md.
func Keys() []*Key { return slices.Clone(registry) }

// KeyFor returns the key of the name.
func KeyFor(name string) (*Key, bool) {
	k, ok := registryByName[name]
	return k, ok
}

// At reports whether the key may be set at the level.
func (k *Key) At(l Level) bool { return slices.Contains(k.Levels, l) }

// Parse checks a value for the key at a level and returns it typed.
func (k *Key) Parse(raw json.RawMessage, at Level) (any, error) {
	if !k.At(at) {
		return nil, fmt.Errorf("the key at the levels %s", k.levelList())
	}
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) && !k.nullable {
		return nil, fmt.Errorf("%s", k.Allowed)
	}
	val, err := k.parse(raw, at)
	if err != nil {
		return nil, fmt.Errorf("%s", k.Allowed)
	}
	return val, nil
}

func (k *Key) levelList() string {
	names := make([]string, 0, len(k.Levels))
	for _, l := range k.Levels {
		names = append(names, l.String())
	}
	return strings.Join(names, ", ")
}

// Value is the effective value of a key.
type Value struct {
	// Raw is the value in JSON; it is null if the key has no value.
	Raw json.RawMessage `json:"value"`
	// Parsed is the typed value; it is shared and must not be changed.
	Parsed any `json:"-"`
}

// encodeValue returns the JSON form in which a settings file states the value.
func encodeValue(val any) json.RawMessage {
	switch v := val.(type) {
	case time.Duration:
		val = v.String()
	case fleet.RequestKind:
		val = v.String()
	case fleet.OrderKeyMode:
		val = orderKeyNames[v]
	case fleet.Floor:
		val = v.Count
		if v.Percent > 0 {
			val = fmt.Sprintf("%g%%", v.Percent)
		}
	}
	raw, err := json.Marshal(val)
	if err != nil {
		return json.RawMessage("null")
	}
	return raw
}
