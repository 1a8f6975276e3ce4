package tree

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"wisteriarelay.example/core/fleet"
)

// draft is a document while ops are applied to it. It shares every part that
// the ops leave alone with the document that it started from.
type draft struct {
	doc          Doc
	ownsServices bool
	ownsSpaces   bool
	ownsShard    [shardCount]bool
	touched      map[Path]spot
	problems     []Problem
}

func newDraft(d *Doc) *draft {
	return &draft{doc: *d, touched: map[Path]spot{}}
}

// Apply returns the document after the ops. The result is validated as a
// whole: an error of kind SettingsInvalid lists every problem of it.
func (d *Doc) Apply(ops []Op) (*Doc, error) {
	t := newDraft(d)
	for _, o := range ops {
		t.apply(o)
	}
	return t.finish(d.catalog)
}

// finish validates the draft and compiles it with reuse of prev.
func (t *draft) finish(prev *Catalog) (*Doc, error) {
	for p, s := range t.touched {
		t.collect(p, t.doc.node(s))
	}
	doc := t.doc
	catalog, problems := doc.compile(prev)
	t.problems = append(t.problems, problems...)
	if err := invalid(t.problems); err != nil {
		return nil, err
	}
	doc.catalog = catalog
	return &doc, nil
}

func (t *draft) collect(p Path, n *node) {
	if n == nil {
		return
	}
	for _, e := range n.entries {
		if e.bad != nil {
			t.problems = append(t.problems, *e.bad)
		}
	}
}

func (t *draft) apply(o Op) {
	if p, bad := o.problem(); bad {
		t.problems = append(t.problems, p)
		return
	}
	s, _ := o.Path.parse()
	t.touched[o.Path] = s
	switch {
	case o.Key != "" && o.Unset:
		t.unset(o, s)
	case o.Key != "":
		t.set(o, s)
	case o.Unset:
		t.remove(o, s)
	default:
		t.declare(o, s)
	}
}

func (t *draft) refuse(o Op, allowed string) {
	t.problems = append(t.problems, o.refuse(allowed))
}

func (t *draft) set(o Op, s spot) {
	n := t.doc.node(s)
	if n == nil && s.level < LevelService {
		t.refuse(o, fmt.Sprintf("a declared %s; an op without a key declares it", s.level))
		return
	}
	if n == nil {
		n = emptyNode
	}
	t.put(s, n.with(newEntry(o, s.level)))
}

func newEntry(o Op, at Level) entry {
	// Marshal compacts and escapes like the encoders of rows and snapshots, so
	// that a value has the same bytes wherever it comes from.
	raw, err := json.Marshal(o.Value)
	if err != nil {
		raw = bytes.Clone(o.Value)
	}
	e := entry{raw: raw}
	key, known := KeyFor(o.Key)
	if !known {
		e.key = &Key{Name: o.Key}
		e.bad = &Problem{Path: o.Path, Key: o.Key, Value: string(raw), Allowed: "a key of the registry"}
		return e
	}
	e.key = key
	val, err := key.Parse(e.raw, at)
	if err != nil {
		e.bad = &Problem{Path: o.Path, Key: o.Key, Value: string(raw), Allowed: err.Error()}
		return e
	}
	e.val = val
	return e
}

func (t *draft) unset(o Op, s spot) {
	if n := t.doc.node(s); n != nil {
		if next, found := n.without(o.Key); found {
			t.put(s, next)
			return
		}
	}
	t.refuse(o, "a key that is set at the path")
}

func (t *draft) declare(o Op, s spot) {
	if t.doc.node(s) == nil {
		t.put(s, emptyNode)
	}
}

func (t *draft) remove(o Op, s spot) {
	if t.doc.node(s) == nil {
		t.refuse(o, "a path that exists")
		return
	}
	if s.level == LevelWorkspace {
		t.removeServices(fleet.WorkspaceID(s.name))
	}
	t.put(s, nil)
}

func (t *draft) removeServices(w fleet.WorkspaceID) {
	t.copyServices()
	maps.DeleteFunc(t.doc.services, func(k serviceKey, _ *service) bool { return k.workspace == w })
}

// put stores a node at the spot; nil removes it.
func (t *draft) put(s spot, n *node) {
	switch s.level {
	case LevelDeployment:
		t.doc.root = n
	case LevelRegion:
		t.doc.regions = t.doc.regions.with(s.name, n)
	case LevelDataCentre:
		t.doc.centres = t.doc.centres.with(s.name, n)
	case LevelWorkspace:
		t.putWorkspace(fleet.WorkspaceID(s.name), n)
	case LevelService:
		t.putService(s.serviceKey(), n)
	default:
		t.putRoute(s, n)
	}
}

func (t *draft) putWorkspace(w fleet.WorkspaceID, n *node) {
	if !t.ownsSpaces {
		copied := *t.doc.spaces
		t.doc.spaces = &copied
		t.ownsSpaces = true
	}
	i := shardOf(w)
	shards := &t.doc.spaces.shards
	if !t.ownsShard[i] {
		shards[i] = maps.Clone(shards[i])
		t.ownsShard[i] = true
	}
	if shards[i] == nil {
		shards[i] = map[fleet.WorkspaceID]*node{}
	}
	t.doc.spaces.count -= len(shards[i])
	if n == nil {
		delete(shards[i], w)
	} else {
		shards[i][w] = n
	}
	t.doc.spaces.count += len(shards[i])
}

func (t *draft) copyServices() {
	if !t.ownsServices {
		t.doc.services = maps.Clone(t.doc.services)
		t.ownsServices = true
	}
}

func (t *draft) putService(key serviceKey, n *node) {
	t.copyServices()
	if n == nil {
		delete(t.doc.services, key)
		return
	}
	svc := t.doc.services[key]
	if svc == nil {
		svc = &service{}
	}
	t.doc.services[key] = svc.withOwn(n)
}

func (t *draft) putRoute(s spot, n *node) {
	t.copyServices()
	svc := t.doc.services[s.serviceKey()]
	if svc == nil {
		svc = &service{own: emptyNode}
	}
	t.doc.services[s.serviceKey()] = svc.withRoute(s.route, n)
}
