package tree

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/tailscale/hujson"

	"wisteriarelay.example/core/fault"
)

// errNotObject is returned for a document or node that is not a JSON object.
var errNotObject = errors.New("not a JSON object")

// MarshalJSON encodes the document as an object that maps each path to an object
// of keys and values. The order is fixed, so that equal documents have equal bytes.
func (d *Document) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('{')
	first := true
	d.walk(func(p Path, n *node) bool {
		if p == Root && len(n.entries) == 0 {
			return true
		}
		if !first {
			b.WriteByte(',')
		}
		first = false
		fmt.Fprintf(&b, "%q:{", string(p))
		for i, e := range n.entries {
			if i > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, "%q:", e.key.Name)
			b.Write(e.raw)
		}
		b.WriteByte('}')
		return true
	})
	b.WriteByte('}')
	return b.Bytes(), nil
}

// UnmarshalJSON decodes a document and validates it as a whole.
func (d *Document) UnmarshalJSON(data []byte) error {
	doc, err := Decode(data)
	if err != nil {
		return err
	}
	*d = *doc
	return nil
}

// ParseFile decodes a settings file written by an operator. The file is JSON that
// may contain comments and trailing commas.
func ParseFile(data []byte) (*Document, error) {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, fault.Wrap(err, fault.SettingsInvalid, "settings file")
	}
	return Decode(standard)
}

// Decode decodes a document and validates it as a whole. A duplicate path or key
// is a problem, because one of the two values would be lost.
func Decode(data []byte) (*Document, error) {
	ops, problems, err := decodeNodes(data)
	if err != nil {
		return nil, fault.Wrap(err, fault.SettingsInvalid, "settings document")
	}
	// Parents sort before the paths below them.
	slices.SortStableFunc(ops, func(a, b Op) int { return bytes.Compare([]byte(a.Path), []byte(b.Path)) })
	empty := New()
	b := newDocBuilder(empty)
	b.problems = problems
	for _, o := range ops {
		b.applyOp(o)
	}
	return b.build(empty.catalog)
}

// decodeNodes returns the ops that create the paths and values of an encoded
// document. The problems list duplicate paths and keys.
func decodeNodes(data []byte) ([]Op, []Problem, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	var ops []Op
	var problems []Problem
	seen := map[Path]bool{}
	err := forEachMember(dec, func(name string) error {
		p := Path(name)
		if seen[p] {
			problems = append(problems, Problem{Path: p, Allowed: "each path once"})
		}
		seen[p] = true
		if p != Root {
			ops = append(ops, Declare(p))
		}
		keyOps, duplicates, err := decodeKeys(dec, p)
		ops = append(ops, keyOps...)
		problems = append(problems, duplicates...)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, errors.New("data after the document")
	}
	return ops, problems, nil
}

// decodeKeys returns the ops that set the keys of one path.
func decodeKeys(dec *json.Decoder, p Path) ([]Op, []Problem, error) {
	var ops []Op
	var problems []Problem
	seen := map[string]bool{}
	err := forEachMember(dec, func(key string) error {
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return err
		}
		if seen[key] || key == "" {
			problems = append(problems, Problem{Path: p, Key: key, Value: string(raw), Allowed: "each key once"})
			return nil
		}
		seen[key] = true
		ops = append(ops, Op{Path: p, Key: key, Value: raw})
		return nil
	})
	return ops, problems, err
}

// forEachMember reads a JSON object and calls visit after reading the name of
// each member. visit must consume the member's value.
func forEachMember(dec *json.Decoder, visit func(name string) error) error {
	open, err := dec.Token()
	if err != nil {
		return err
	}
	if open != json.Delim('{') {
		return errNotObject
	}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return err
		}
		name, isName := token.(string)
		if !isName {
			return errNotObject
		}
		if err := visit(name); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}
