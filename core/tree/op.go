package tree

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
)

// Op is one step of a change. With a key it sets or unsets the key at the
// path. Without a key it declares the path, or with Unset removes the path and
// everything below it. Regions, data centres and workspaces are declared
// before a key is set there; services and routes come into being with their
// first key.
type Op struct {
	Path  Path            `json:"path" cbor:"1,keyasint"`
	Key   string          `json:"key,omitempty" cbor:"2,keyasint,omitempty"`
	Value json.RawMessage `json:"value,omitempty" cbor:"3,keyasint,omitempty"`
	Unset bool            `json:"unset,omitempty" cbor:"4,keyasint,omitempty"`
}

// maxValue bounds one value; 1024 targets take about 100 KiB.
const maxValue = 256 << 10

// Set returns an op that sets a key to a value, which is encoded as JSON.
func Set(p Path, key string, value any) Op {
	raw, err := json.Marshal(value)
	if err != nil {
		raw = json.RawMessage("null")
	}
	return Op{Path: p, Key: key, Value: raw}
}

// Unset returns an op that unsets a key.
func Unset(p Path, key string) Op { return Op{Path: p, Key: key, Unset: true} }

// Declare returns an op that declares a path.
func Declare(p Path) Op { return Op{Path: p} }

// Remove returns an op that removes a path and everything below it.
func Remove(p Path) Op { return Op{Path: p, Unset: true} }

// Check reports whether the op is well formed. Whether the key exists and
// admits the value is checked when the op is applied, so that a later op of
// the same change may correct it.
func (o Op) Check() error {
	if p, bad := o.problem(); bad {
		return invalid([]Problem{p})
	}
	return nil
}

func (o Op) problem() (Problem, bool) {
	if _, err := o.Path.parse(); err != nil {
		return o.refuse(pathAllowed), true
	}
	if o.Key != "" && !validLabel(o.Key) {
		return o.refuse("a kebab-case key"), true
	}
	if len(o.Value) > maxValue {
		return o.refuse(fmt.Sprintf("a value of at most %d bytes", maxValue)), true
	}
	if o.Key == "" || o.Unset {
		if len(o.Value) > 0 {
			return o.refuse("no value in an op that unsets a key or declares or removes a path"), true
		}
		if o.Key == "" && o.Path == Root {
			return o.refuse("a key at the deployment, which cannot be declared or removed"), true
		}
		return Problem{}, false
	}
	if !json.Valid(o.Value) {
		return o.refuse("a JSON value"), true
	}
	return Problem{}, false
}

func (o Op) refuse(allowed string) Problem {
	return Problem{Path: o.Path, Key: o.Key, Value: string(o.Value), Allowed: allowed}
}

// plainOp has the fields of Op without its methods.
type plainOp Op

// UnmarshalJSON decodes an op, refuses unknown fields and checks the op.
func (o *Op) UnmarshalJSON(data []byte) error {
	p, err := strict[plainOp](data)
	if err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "op")
	}
	*o = Op(p)
	return o.Check()
}

// UnmarshalCBOR decodes an op and checks it.
func (o *Op) UnmarshalCBOR(data []byte) error {
	var p plainOp
	if err := cbor.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "op")
	}
	*o = Op(p)
	return o.Check()
}

// DecodeOps decodes a JSON list of ops and lists the problems of all of them.
func DecodeOps(data []byte) ([]Op, error) {
	list, err := strict[[]plainOp](data)
	if err != nil {
		return nil, fault.Wrap(err, fault.SettingsInvalid, "list of ops")
	}
	ops := make([]Op, 0, len(list))
	var problems []Problem
	for _, p := range list {
		o := Op(p)
		if problem, bad := o.problem(); bad {
			problems = append(problems, problem)
		}
		ops = append(ops, o)
	}
	return ops, invalid(problems)
}

// Same reports whether two ops do the same.
func (o Op) Same(p Op) bool {
	return o.Path == p.Path && o.Key == p.Key && o.Unset == p.Unset && bytes.Equal(o.Value, p.Value)
}

// Overlaps reports whether both ops touch the same value, or one declares or
// removes a path that holds the other.
func (o Op) Overlaps(p Op) bool {
	if o.Key == "" && o.Path.Contains(p.Path) || p.Key == "" && p.Path.Contains(o.Path) {
		return true
	}
	return o.Path == p.Path && o.Key == p.Key
}
