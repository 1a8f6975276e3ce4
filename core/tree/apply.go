package tree

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"wisteriarelay.example/core/fleet"
)

// docBuilder applies ops to a copy of a document. The copy is copy-on-write: it
// shares every part that the ops do not change with the original document.
type docBuilder struct {
	doc              Document
	copiedServices   bool
	copiedWorkspaces bool
	copiedShards     [shardCount]bool
	// changed holds the paths of all applied ops.
	changed  map[Path]location
	problems []Problem
}

func newDocBuilder(d *Document) *docBuilder {
	return &docBuilder{doc: *d, changed: map[Path]location{}}
}

// Apply returns a new document with the ops applied in order. The result is
// validated as a whole: an error of kind SettingsInvalid lists all its problems.
func (d *Document) Apply(ops []Op) (*Document, error) {
	b := newDocBuilder(d)
	for _, o := range ops {
		b.applyOp(o)
	}
	return b.build(d.catalog)
}

// build validates and compiles the document. It reuses the services of the
// previous catalog that did not change.
func (b *docBuilder) build(previous *Catalog) (*Document, error) {
	for p, loc := range b.changed {
		b.addInvalidValues(p, b.doc.node(loc))
	}
	doc := b.doc
	catalog, problems := doc.compile(previous)
	b.problems = append(b.problems, problems...)
	if err := invalidError(b.problems); err != nil {
		return nil, err
	}
	doc.catalog = catalog
	return &doc, nil
}

// addInvalidValues adds the problems of the node's values that did not parse.
// Only the state after the last op counts, so a later op may correct a value.
func (b *docBuilder) addInvalidValues(p Path, n *node) {
	if n == nil {
		return
	}
	for _, e := range n.entries {
		if e.problem != nil {
			b.problems = append(b.problems, *e.problem)
		}
	}
}

// applyOp applies one op. A problem does not stop the ops that follow, so that the
// problems of all ops are found.
func (b *docBuilder) applyOp(o Op) {
	if p, isInvalid := o.findProblem(); isInvalid {
		b.problems = append(b.problems, p)
		return
	}
	loc, _ := o.Path.parse()
	b.changed[o.Path] = loc
	switch {
	case o.Key != "" && o.Unset:
		b.unsetKey(o, loc)
	case o.Key != "":
		b.setKey(o, loc)
	case o.Unset:
		b.removePath(o, loc)
	default:
		b.declarePath(o, loc)
	}
}

func (b *docBuilder) addProblem(o Op, allowed string) {
	b.problems = append(b.problems, o.newProblem(allowed))
}

func (b *docBuilder) setKey(o Op, loc location) {
	n := b.doc.node(loc)
	if n == nil && loc.level < LevelService {
		b.addProblem(o, fmt.Sprintf("a declared %s; an op without a key declares it", loc.level))
		return
	}
	if n == nil {
		n = emptyNode
	}
	b.putNode(loc, n.withEntry(newEntry(o, loc.level)))
}

// newEntry parses the value of an op. An entry whose key is unknown or whose
// value does not parse carries the problem.
func newEntry(o Op, level Level) entry {
	// Marshal compacts and escapes the value in the same way as the encoders of
	// table rows and snapshots, so that equal values have equal bytes, whichever
	// source they come from.
	raw, err := json.Marshal(o.Value)
	if err != nil {
		raw = bytes.Clone(o.Value)
	}
	e := entry{raw: raw}
	key, found := KeyByName(o.Key)
	if !found {
		e.key = &Key{Name: o.Key}
		e.problem = &Problem{Path: o.Path, Key: o.Key, Value: string(raw), Allowed: "a key of the registry"}
		return e
	}
	e.key = key
	parsed, err := key.Parse(e.raw, level)
	if err != nil {
		e.problem = &Problem{Path: o.Path, Key: o.Key, Value: string(raw), Allowed: err.Error()}
		return e
	}
	e.parsed = parsed
	return e
}

func (b *docBuilder) unsetKey(o Op, loc location) {
	if n := b.doc.node(loc); n != nil {
		if next, found := n.withoutKey(o.Key); found {
			b.putNode(loc, next)
			return
		}
	}
	b.addProblem(o, "a key that is set at the path")
}

func (b *docBuilder) declarePath(o Op, loc location) {
	if b.doc.node(loc) == nil {
		b.putNode(loc, emptyNode)
	}
}

func (b *docBuilder) removePath(o Op, loc location) {
	if b.doc.node(loc) == nil {
		b.addProblem(o, "a path that exists")
		return
	}
	if loc.level == LevelWorkspace {
		b.removeServices(fleet.WorkspaceID(loc.name))
	}
	b.putNode(loc, nil)
}

func (b *docBuilder) removeServices(w fleet.WorkspaceID) {
	b.copyServices()
	maps.DeleteFunc(b.doc.services, func(k serviceKey, _ *serviceSubtree) bool { return k.workspace == w })
}

// putNode stores a node at the location; a nil node removes the path.
func (b *docBuilder) putNode(loc location, n *node) {
	switch loc.level {
	case LevelDeployment:
		b.doc.root = n
	case LevelRegion:
		b.doc.regions = b.doc.regions.withNode(loc.name, n)
	case LevelDataCentre:
		b.doc.dataCentres = b.doc.dataCentres.withNode(loc.name, n)
	case LevelWorkspace:
		b.putWorkspace(fleet.WorkspaceID(loc.name), n)
	case LevelService:
		b.putService(loc.serviceKey(), n)
	default:
		b.putRoute(loc, n)
	}
}

// putWorkspace stores the node of a workspace. Before the first change of a shard
// it copies the shard.
func (b *docBuilder) putWorkspace(w fleet.WorkspaceID, n *node) {
	if !b.copiedWorkspaces {
		copied := *b.doc.workspaces
		b.doc.workspaces = &copied
		b.copiedWorkspaces = true
	}
	i := shardOf(w)
	shards := &b.doc.workspaces.shards
	if !b.copiedShards[i] {
		shards[i] = maps.Clone(shards[i])
		b.copiedShards[i] = true
	}
	if shards[i] == nil {
		shards[i] = map[fleet.WorkspaceID]*node{}
	}
	b.doc.workspaces.count -= len(shards[i])
	if n == nil {
		delete(shards[i], w)
	} else {
		shards[i][w] = n
	}
	b.doc.workspaces.count += len(shards[i])
}

// copyServices copies the map of services before the first change of it.
func (b *docBuilder) copyServices() {
	if !b.copiedServices {
		b.doc.services = maps.Clone(b.doc.services)
		b.copiedServices = true
	}
}

func (b *docBuilder) putService(key serviceKey, n *node) {
	b.copyServices()
	if n == nil {
		delete(b.doc.services, key)
		return
	}
	svc := b.doc.services[key]
	if svc == nil {
		svc = &serviceSubtree{}
	}
	b.doc.services[key] = svc.withNode(n)
}

func (b *docBuilder) putRoute(loc location, n *node) {
	b.copyServices()
	svc := b.doc.services[loc.serviceKey()]
	if svc == nil {
		svc = &serviceSubtree{node: emptyNode}
	}
	b.doc.services[loc.serviceKey()] = svc.withRoute(loc.route, n)
}
