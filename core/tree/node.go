package tree

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fleet"
)

// entry is the value of a key at a path. A value that does not parse is kept
// with its problem until all ops are applied, because a later op may correct it.
type entry struct {
	key     *Key
	raw     json.RawMessage
	parsed  any
	problem *Problem
}

// node holds the entries of a path, sorted by key name. It is immutable.
type node struct {
	entries []entry
}

// emptyNode is shared by all declared paths without keys, which saves memory for
// most of the 24,000 workspaces.
var emptyNode = &node{}

// findKey returns the entry of a key. It accepts a nil node, which has no entries.
func (n *node) findKey(k *Key) (entry, bool) {
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

// searchName returns the index of the entry with the key name, or the index at
// which such an entry is to be inserted.
func (n *node) searchName(name string) (int, bool) {
	return slices.BinarySearchFunc(n.entries, name, func(e entry, name string) int {
		return strings.Compare(e.key.Name, name)
	})
}

// withEntry returns a copy of the node in which the entry is added or replaced.
func (n *node) withEntry(e entry) *node {
	i, found := n.searchName(e.key.Name)
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

// withoutKey returns a copy of the node without the key, and whether the key was set.
func (n *node) withoutKey(name string) (*node, bool) {
	i, found := n.searchName(name)
	if !found {
		return n, false
	}
	if len(n.entries) == 1 {
		return emptyNode, true
	}
	return &node{entries: slices.Delete(slices.Clone(n.entries), i, i+1)}, true
}

// hasInvalidValue reports whether a value of the node did not parse.
func (n *node) hasInvalidValue() bool {
	return n != nil && slices.ContainsFunc(n.entries, func(e entry) bool { return e.problem != nil })
}

// nodeIndex holds the nodes of a level by name. It is immutable.
type nodeIndex struct {
	nodes map[string]*node
}

// withNode returns a copy of the index in which the node is added or replaced, or
// removed if n is nil.
func (x *nodeIndex) withNode(name string, n *node) *nodeIndex {
	nodes := maps.Clone(x.nodes)
	if n == nil {
		delete(nodes, name)
	} else {
		nodes[name] = n
	}
	return &nodeIndex{nodes: nodes}
}

// shardCount splits 24,000 workspaces into maps of about 94 entries, so that a
// change of one workspace copies one small map.
const shardCount = 256

// workspaceIndex holds the nodes of the workspaces, sharded by the hash of the
// workspace id. It is immutable.
type workspaceIndex struct {
	shards [shardCount]map[fleet.WorkspaceID]*node
	count  int
}

func shardOf(w fleet.WorkspaceID) int { return int(xxhash.Sum64String(string(w)) % shardCount) }

func (x *workspaceIndex) find(w fleet.WorkspaceID) *node { return x.shards[shardOf(w)][w] }

func (x *workspaceIndex) sortedIDs() []fleet.WorkspaceID {
	ids := make([]fleet.WorkspaceID, 0, x.count)
	for _, shard := range x.shards {
		ids = slices.AppendSeq(ids, maps.Keys(shard))
	}
	slices.Sort(ids)
	return ids
}

// serviceKey identifies a service by workspace and id, because it is only checked
// at compilation that the id alone is unique.
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

// serviceSubtree holds the node of a service and the nodes of its routes, sorted
// by name. It is immutable.
type serviceSubtree struct {
	node   *node
	routes []routeNode
}

type routeNode struct {
	name string
	node *node
}

func (s *serviceSubtree) searchRoute(name string) (int, bool) {
	return slices.BinarySearchFunc(s.routes, name, func(r routeNode, name string) int {
		return strings.Compare(r.name, name)
	})
}

// findRoute returns the node of a route, or nil. It accepts a nil subtree.
func (s *serviceSubtree) findRoute(name string) *node {
	if s == nil {
		return nil
	}
	if i, found := s.searchRoute(name); found {
		return s.routes[i].node
	}
	return nil
}

// withNode returns a copy of the subtree with another node of the service.
func (s *serviceSubtree) withNode(n *node) *serviceSubtree {
	return &serviceSubtree{node: n, routes: s.routes}
}

// withRoute returns a copy of the subtree in which the node of the route is added
// or replaced, or removed if n is nil.
func (s *serviceSubtree) withRoute(name string, n *node) *serviceSubtree {
	i, found := s.searchRoute(name)
	routes := slices.Clone(s.routes)
	switch {
	case found && n == nil:
		routes = slices.Delete(routes, i, i+1)
	case found:
		routes[i].node = n
	case n != nil:
		routes = slices.Insert(routes, i, routeNode{name: name, node: n})
	}
	return &serviceSubtree{node: s.node, routes: routes}
}
