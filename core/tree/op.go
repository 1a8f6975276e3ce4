package tree

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
)

// Op is an operation of a change. With a key it sets or unsets the key at the
// path. Without a key it declares the path or, if Unset is true, removes the path
// and everything below it. Regions, data centres and workspaces must be declared
// before a key is set there. Services and routes are created by their first key.
type Op struct {
	Path  Path            `json:"path" cbor:"1,keyasint"`
	Key   string          `json:"key,omitempty" cbor:"2,keyasint,omitempty"`
	Value json.RawMessage `json:"value,omitempty" cbor:"3,keyasint,omitempty"`
	Unset bool            `json:"unset,omitempty" cbor:"4,keyasint,omitempty"`
}

// maxValueBytes is the maximum size of a value. A list of 1024 targets takes
// about 100 KiB.
const maxValueBytes = 256 << 10

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

// Validate returns an error if the op is malformed. Whether the key exists and
// accepts the value is checked by Apply after the last op, so that a later op of
// the same change may correct it.
func (o Op) Validate() error {
	if p, isInvalid := o.findProblem(); isInvalid {
		return invalidError([]Problem{p})
	}
	return nil
}

// findProblem returns the first reason why the op is malformed, if there is one.
func (o Op) findProblem() (Problem, bool) {
	if _, err := o.Path.parse(); err != nil {
		return o.newProblem(pathAllowed), true
	}
	if o.Key != "" && !validDNSLabel(o.Key) {
		return o.newProblem("a kebab-case key"), true
	}
	if len(o.Value) > maxValueBytes {
		return o.newProblem(fmt.Sprintf("a value of at most %d bytes", maxValueBytes)), true
	}
	if o.Key == "" || o.Unset {
		if len(o.Value) > 0 {
			return o.newProblem("no value in an op that unsets a key or declares or removes a path"), true
		}
		if o.Key == "" && o.Path == Root {
			return o.newProblem("a key at the deployment, which cannot be declared or removed"), true
		}
		return Problem{}, false
	}
	if !json.Valid(o.Value) {
		return o.newProblem("a JSON value"), true
	}
	return Problem{}, false
}

// newProblem returns a problem of the op's value.
func (o Op) newProblem(allowed string) Problem {
	return Problem{Path: o.Path, Key: o.Key, Value: string(o.Value), Allowed: allowed}
}

// plainOp has the fields of Op without its methods, so that decoding it does not
// call the UnmarshalJSON or UnmarshalCBOR of Op.
type plainOp Op

// UnmarshalJSON decodes an op and checks it. It rejects unknown fields.
func (o *Op) UnmarshalJSON(data []byte) error {
	p, err := decodeStrictJSON[plainOp](data)
	if err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "op")
	}
	*o = Op(p)
	return o.Validate()
}

// UnmarshalCBOR decodes an op and checks it.
func (o *Op) UnmarshalCBOR(data []byte) error {
	var p plainOp
	if err := cbor.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "op")
	}
	*o = Op(p)
	return o.Validate()
}

// DecodeOps decodes a JSON list of ops. The error lists the problems of all ops.
func DecodeOps(data []byte) ([]Op, error) {
	list, err := decodeStrictJSON[[]plainOp](data)
	if err != nil {
		return nil, fault.Wrap(err, fault.SettingsInvalid, "list of ops")
	}
	ops := make([]Op, 0, len(list))
	var problems []Problem
	for _, p := range list {
		o := Op(p)
		if problem, isInvalid := o.findProblem(); isInvalid {
			problems = append(problems, problem)
		}
		ops = append(ops, o)
	}
	return ops, invalidError(problems)
}

// Equal reports whether the ops are equal.
func (o Op) Equal(p Op) bool {
	return o.Path == p.Path && o.Key == p.Key && o.Unset == p.Unset && bytes.Equal(o.Value, p.Value)
}

// Overlaps reports whether both ops change the same value, or one op declares or
// removes a path that contains the path of the other.
func (o Op) Overlaps(p Op) bool {
	if o.Key == "" && o.Path.Contains(p.Path) || p.Key == "" && p.Path.Contains(o.Path) {
		return true
	}
	return o.Path == p.Path && o.Key == p.Key
}
