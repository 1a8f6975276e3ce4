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

// Key describes a settings key: the levels at which it may be set, its valid
// values and its default.
type Key struct {
	Name string
	// Levels lists the levels at which the key may be set.
	Levels []Level
	// Allowed describes the values that the parser accepts.
	Allowed string
	// Default describes the value that applies if no level sets the key.
	Default string
	// Description tells the meaning of the key.
	Description string

	// nullable keys accept null, which unsets an inherited value.
	nullable   bool
	fromPreset bool
	parse      func(raw json.RawMessage, level Level) (any, error)
	// defaultValue returns the value that applies if no node of the chain sets the key.
	defaultValue func(chain inheritanceChain) any
}

// ApprovalRule is a value of the approval key. It says who must approve a change.
type ApprovalRule string

// The approval rules.
const (
	// ApprovalByOne requires the approval of one owner.
	ApprovalByOne ApprovalRule = "one"
	// ApprovalByBoth requires the approval of both owners.
	ApprovalByBoth ApprovalRule = "both"
)

// Keys returns all keys, in the order of the table in docs/design.md.
func Keys() []*Key { return slices.Clone(registry) }

// KeyByName returns the key with the name.
func KeyByName(name string) (*Key, bool) {
	k, ok := registryByName[name]
	return k, ok
}

// SettableAt reports whether the key may be set at the level.
func (k *Key) SettableAt(level Level) bool { return slices.Contains(k.Levels, level) }

// Parse validates the JSON value of a key at a level and returns the typed value.
// The text of the error says what is allowed.
func (k *Key) Parse(raw json.RawMessage, level Level) (any, error) {
	if !k.SettableAt(level) {
		return nil, fmt.Errorf("the key at the levels %s", k.levelList())
	}
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) && !k.nullable {
		return nil, fmt.Errorf("%s", k.Allowed)
	}
	value, err := k.parse(raw, level)
	if err != nil {
		return nil, fmt.Errorf("%s", k.Allowed)
	}
	return value, nil
}

func (k *Key) levelList() string {
	names := make([]string, 0, len(k.Levels))
	for _, l := range k.Levels {
		names = append(names, l.String())
	}
	return strings.Join(names, ", ")
}

// Value is an effective value of a key.
type Value struct {
	// Raw is the value in JSON, or null if the key has no value.
	Raw json.RawMessage `json:"value"`
	// Parsed is the typed value. It is shared and must not be modified.
	Parsed any `json:"-"`
}

// encodeValue encodes a typed value as it is written in a settings file.
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
