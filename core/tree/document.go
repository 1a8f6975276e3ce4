package tree

import (
	"iter"
	"maps"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// Doc is an immutable settings document that was validated as a whole.
type Doc struct {
	root     *node
	regions  *index
	centres  *index
	spaces   *spaces
	services map[serviceKey]*service
	catalog  *Catalog
}

// New returns the empty document.
func New() *Doc {
	d := &Doc{
		root:     emptyNode,
		regions:  &index{nodes: map[string]*node{}},
		centres:  &index{nodes: map[string]*node{}},
		spaces:   &spaces{},
		services: map[serviceKey]*service{},
	}
	d.catalog = &Catalog{spaces: d.spaces, byID: map[fleet.ServiceID]compiled{}}
	return d
}

// node returns the node at the spot, or nil.
func (d *Doc) node(s spot) *node {
	switch s.level {
	case LevelDeployment:
		return d.root
	case LevelRegion:
		return d.regions.nodes[s.name]
	case LevelDataCentre:
		return d.centres.nodes[s.name]
	case LevelWorkspace:
		return d.spaces.find(fleet.WorkspaceID(s.name))
	case LevelService:
		if svc := d.services[s.serviceKey()]; svc != nil {
			return svc.own
		}
		return nil
	default:
		return d.services[s.serviceKey()].route(s.route)
	}
}

// Has reports whether the path exists.
func (d *Doc) Has(p Path) bool {
	s, err := p.parse()
	return err == nil && d.node(s) != nil
}

// Paths returns every path of the document in a fixed order, parents first.
func (d *Doc) Paths() iter.Seq[Path] {
	return func(yield func(Path) bool) {
		d.walk(func(p Path, _ *node) bool { return yield(p) })
	}
}

// walk calls visit for each node in a fixed order until visit returns false.
func (d *Doc) walk(visit func(p Path, n *node) bool) {
	if !visit(Root, d.root) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.regions.nodes)) {
		if !visit(RegionPath(fleet.Region(name)), d.regions.nodes[name]) {
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.centres.nodes)) {
		if !visit(DataCentrePath(fleet.DataCentre(name)), d.centres.nodes[name]) {
			return
		}
	}
	for _, id := range d.spaces.sorted() {
		if !visit(WorkspacePath(id), d.spaces.find(id)) {
			return
		}
	}
	for _, key := range d.serviceKeys() {
		if !d.services[key].walk(key, visit) {
			return
		}
	}
}

func (s *service) walk(key serviceKey, visit func(p Path, n *node) bool) bool {
	if !visit(key.path(), s.own) {
		return false
	}
	for _, r := range s.routes {
		if !visit(RoutePath(key.workspace, key.id, r.name), r.own) {
			return false
		}
	}
	return true
}

func (d *Doc) serviceKeys() []serviceKey {
	return slices.SortedFunc(maps.Keys(d.services), compareServiceKeys)
}

// Owners returns the operators whose approval counts.
func (d *Doc) Owners() []string {
	return slices.Clone(get[[]string](d.viewOf(spot{level: LevelDeployment}), keyOwners))
}

// Approval returns the rule for a change at the path. A path that does not
// exist has the rule of the levels above it.
func (d *Doc) Approval(p Path) (Rule, error) {
	s, err := p.parse()
	if err != nil {
		return RuleBoth, invalid([]Problem{{Path: p, Allowed: pathAllowed}})
	}
	return get[Rule](d.viewOf(s), keyApproval), nil
}
