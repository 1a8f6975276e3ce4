package tree

import (
	"bytes"
	"encoding/json"

	"wisteriarelay.example/core/fleet"
)

// Difference is one value that differs between two documents.
type Difference struct {
	Path Path `json:"path"`
	// Key is empty if the path itself was declared or removed.
	Key string `json:"key,omitempty"`
	// Before is the old value. It is empty if there was none, and {} for a removed path.
	Before json.RawMessage `json:"before,omitempty"`
	// After is the new value. It is empty if there is none, and {} for a declared path.
	After json.RawMessage `json:"after,omitempty"`
}

// OpsBetween returns the ops that turn document a into document b. A removed path
// removes everything below it, so paths below it need no op of their own.
func OpsBetween(a, b *Document) []Op {
	var ops []Op
	a.walk(func(p Path, _ *node) bool {
		if !b.Has(p) && b.hasParent(p) {
			ops = append(ops, Remove(p))
		}
		return true
	})
	b.walk(func(p Path, after *node) bool {
		ops = append(ops, nodeOps(p, a.nodeAt(p), after)...)
		return true
	})
	return ops
}

// hasParent reports whether the parent of the path exists: for a service its
// workspace, for a route its service. The other paths always have a parent.
func (d *Document) hasParent(p Path) bool {
	loc, err := p.parse()
	if err != nil {
		return false
	}
	switch loc.level {
	case LevelService:
		return d.workspaces.find(fleet.WorkspaceID(loc.name)) != nil
	case LevelRoute:
		return d.services[loc.serviceKey()] != nil
	default:
		return true
	}
}

// nodeOps returns the ops that turn the node before into the node after.
func nodeOps(p Path, before, after *node) []Op {
	if before == after {
		return nil
	}
	var ops []Op
	if before == nil {
		ops = append(ops, Declare(p))
		before = emptyNode
	}
	for _, e := range before.entries {
		if _, found := after.findKey(e.key); !found {
			ops = append(ops, Unset(p, e.key.Name))
		}
	}
	for _, e := range after.entries {
		if old, found := before.findKey(e.key); !found || !bytes.Equal(old.raw, e.raw) {
			ops = append(ops, Op{Path: p, Key: e.key.Name, Value: e.raw})
		}
	}
	return ops
}

// nodeAt returns the node at the path, or nil.
func (d *Document) nodeAt(p Path) *node {
	loc, err := p.parse()
	if err != nil {
		return nil
	}
	return d.node(loc)
}

// Diff returns the values and paths that differ between documents a and b.
func Diff(a, b *Document) []Difference {
	var out []Difference
	a.walk(func(p Path, before *node) bool {
		after := b.nodeAt(p)
		if before != after {
			out = append(out, removedValues(p, before, after)...)
		}
		return true
	})
	for _, o := range OpsBetween(a, b) {
		if o.Unset {
			continue
		}
		d := Difference{Path: o.Path, Key: o.Key, After: o.Value}
		if o.Key == "" {
			d.After = json.RawMessage("{}")
		}
		if e, found := a.nodeAt(o.Path).findName(o.Key); found {
			d.Before = e.raw
		}
		out = append(out, d)
	}
	return out
}

// removedValues lists the values of the node before that the node after lacks,
// and the path itself if after is nil.
func removedValues(p Path, before, after *node) []Difference {
	var out []Difference
	if after == nil {
		out = append(out, Difference{Path: p, Before: json.RawMessage("{}")})
	}
	for _, e := range before.entries {
		if _, found := after.findKey(e.key); !found {
			out = append(out, Difference{Path: p, Key: e.key.Name, Before: e.raw})
		}
	}
	return out
}

// findName returns the entry of the key with the name. It accepts a nil node.
func (n *node) findName(name string) (entry, bool) {
	k, found := KeyByName(name)
	if !found {
		return entry{}, false
	}
	return n.findKey(k)
}
