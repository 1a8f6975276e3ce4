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
	// Before is empty if the value did not exist, and {} for a removed path.
	Before json.RawMessage `json:"before,omitempty"`
	// After is empty if the value does not exist any more, and {} for a declared path.
	After json.RawMessage `json:"after,omitempty"`
}

// Changes returns the ops that turn document a into document b.
func Changes(a, b *Doc) []Op {
	var ops []Op
	a.walk(func(p Path, _ *node) bool {
		if !b.Has(p) && b.hasParent(p) {
			ops = append(ops, Remove(p))
		}
		return true
	})
	b.walk(func(p Path, after *node) bool {
		ops = append(ops, changesAt(p, a.at(p), after)...)
		return true
	})
	return ops
}

// hasParent reports whether the level above the path exists. The parent of a
// service is its workspace, that of a route its service.
func (d *Doc) hasParent(p Path) bool {
	s, err := p.parse()
	if err != nil {
		return false
	}
	switch s.level {
	case LevelService:
		return d.spaces.find(fleet.WorkspaceID(s.name)) != nil
	case LevelRoute:
		return d.services[s.serviceKey()] != nil
	default:
		return true
	}
}

func changesAt(p Path, before, after *node) []Op {
	if before == after {
		return nil
	}
	var ops []Op
	if before == nil {
		ops = append(ops, Declare(p))
		before = emptyNode
	}
	for _, e := range before.entries {
		if _, found := after.find(e.key); !found {
			ops = append(ops, Unset(p, e.key.Name))
		}
	}
	for _, e := range after.entries {
		if old, found := before.find(e.key); !found || !bytes.Equal(old.raw, e.raw) {
			ops = append(ops, Op{Path: p, Key: e.key.Name, Value: e.raw})
		}
	}
	return ops
}

func (d *Doc) at(p Path) *node {
	s, err := p.parse()
	if err != nil {
		return nil
	}
	return d.node(s)
}

// Differences returns what differs between documents a and b.
func Differences(a, b *Doc) []Difference {
	var out []Difference
	a.walk(func(p Path, before *node) bool {
		after := b.at(p)
		if before != after {
			out = append(out, gone(p, before, after)...)
		}
		return true
	})
	for _, o := range Changes(a, b) {
		if o.Unset {
			continue
		}
		d := Difference{Path: o.Path, Key: o.Key, After: o.Value}
		if o.Key == "" {
			d.After = json.RawMessage("{}")
		}
		if e, found := a.at(o.Path).entry(o.Key); found {
			d.Before = e.raw
		}
		out = append(out, d)
	}
	return out
}

// gone lists the values of before that after does not hold, and the path if it
// was removed.
func gone(p Path, before, after *node) []Difference {
	var out []Difference
	if after == nil {
		out = append(out, Difference{Path: p, Before: json.RawMessage("{}")})
	}
	for _, e := range before.entries {
		if _, found := after.find(e.key); !found {
			out = append(out, Difference{Path: p, Key: e.key.Name, Before: e.raw})
		}
	}
	return out
}

func (n *node) entry(name string) (entry, bool) {
	k, known := KeyFor(name)
	if !known {
		return entry{}, false
	}
	return n.find(k)
}
