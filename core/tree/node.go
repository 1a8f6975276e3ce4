package tree

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fleet"
)

// entry is one key at one path. A value that does not parse is kept with its
// problem until the end of a change, because a later op may correct it.
type entry struct {
	key *Key
	raw json.RawMessage
	val any
	bad *Problem
}

// node holds the keys of one path, sorted by name; it is immutable.
type node struct {
	entries []entry
}

// emptyNode is shared by all declared paths without keys, such as most of the
// 24,000 workspaces.
var emptyNode = &node{}

func (n *node) find(k *Key) (entry, bool) {
	if n == nil {
		return entry{}, false
	}
	for i := range n.entries {
		if n.entries[i].key == k {
			return n.entries[i], true
		}
	}
	return entry{}, false
}

func (n *node) search(name string) (int, bool) {
	return slices.BinarySearchFunc(n.entries, name, func(e entry, name string) int {
		return strings.Compare(e.key.Name, name)
	})
}

func (n *node) with(e entry) *node {
	i, found := n.search(e.key.Name)
	if found {
		entries := slices.Clone(n.entries)
		entries[i] = e
		return &node{entries: entries}
	}
	entries := make([]entry, 0, len(n.entries)+1)
	entries = append(entries, n.entries[:i]...)
	entries = append(entries, e)
	return &node{entries: append(entries, n.entries[i:]...)}
}

func (n *node) without(name string) (*node, bool) {
	i, found := n.search(name)
	if !found {
		return n, false
	}
	if len(n.entries) == 1 {
		return emptyNode, true
	}
	return &node{entries: slices.Delete(slices.Clone(n.entries), i, i+1)}, true
}

// faulty reports whether a value of the node did not parse.
func (n *node) faulty() bool {
	return n != nil && slices.ContainsFunc(n.entries, func(e entry) bool { return e.bad != nil })
}

// index holds the nodes of one level; it is immutable.
type index struct {
	nodes map[string]*node
}

func (x *index) with(name string, n *node) *index {
	nodes := maps.Clone(x.nodes)
	if n == nil {
		delete(nodes, name)
	} else {
		nodes[name] = n
	}
	return &index{nodes: nodes}
}

// shardCount splits 24,000 workspaces into maps of about 94, so that a change
// of one workspace copies one small map.
const shardCount = 256

// spaces holds the workspaces; it is immutable.
type spaces struct {
	shards [shardCount]map[fleet.WorkspaceID]*node
	count  int
}

func shardOf(w fleet.WorkspaceID) int { return int(xxhash.Sum64String(string(w)) % shardCount) }

func (s *spaces) find(w fleet.WorkspaceID) *node { return s.shards[shardOf(w)][w] }

func (s *spaces) sorted() []fleet.WorkspaceID {
	ids := make([]fleet.WorkspaceID, 0, s.count)
	for _, shard := range s.shards {
		ids = slices.AppendSeq(ids, maps.Keys(shard))
	}
	slices.Sort(ids)
	return ids
}

// serviceKey names a service before it is known that its id is unique.
type serviceKey struct {
	workspace fleet.WorkspaceID
	id        fleet.ServiceID
}

func (k serviceKey) path() Path { return ServicePath(k.workspace, k.id) }

func compareServiceKeys(a, b serviceKey) int {
	if c := strings.Compare(string(a.id), string(b.id)); c != 0 {
		return c
	}
	return strings.Compare(string(a.workspace), string(b.workspace))
}

// service holds the keys of a service and its routes; it is immutable.
type service struct {
	own    *node
	routes []routeNode
}

type routeNode struct {
	name string
	own  *node
}

func (s *service) search(name string) (int, bool) {
	return slices.BinarySearchFunc(s.routes, name, func(r routeNode, name string) int {
		return strings.Compare(r.name, name)
	})
}

func (s *service) route(name string) *node {
	if s == nil {
		return nil
	}
	if i, found := s.search(name); found {
		return s.routes[i].own
	}
	return nil
}

func (s *service) withOwn(n *node) *service { return &service{own: n, routes: s.routes} }

func (s *service) withRoute(name string, n *node) *service {
	i, found := s.search(name)
	routes := slices.Clone(s.routes)
	switch {
	case found && n == nil:
		routes = slices.Delete(routes, i, i+1)
	case found:
		routes[i].own = n
	case n != nil:
		routes = slices.Insert(routes, i, routeNode{name: name, own: n})
	}
	return &service{own: s.own, routes: routes}
}
