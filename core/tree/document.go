package tree

import (
	"iter"
	"maps"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// Document is an immutable settings document that is valid as a whole.
type Document struct {
	root        *node
	regions     *nodeIndex
	dataCentres *nodeIndex
	workspaces  *workspaceIndex
	services    map[serviceKey]*serviceSubtree
	catalog     *Catalog
}

// New returns the empty document.
func New() *Document {
	d := &Document{
		root:        emptyNode,
		regions:     &nodeIndex{nodes: map[string]*node{}},
		dataCentres: &nodeIndex{nodes: map[string]*node{}},
		workspaces:  &workspaceIndex{},
		services:    map[serviceKey]*serviceSubtree{},
	}
	d.catalog = &Catalog{workspaces: d.workspaces, servicesByID: map[fleet.ServiceID]compiledService{}}
	return d
}

// node returns the node at the location, or nil.
func (d *Document) node(loc location) *node {
	switch loc.level {
	case LevelDeployment:
		return d.root
	case LevelRegion:
		return d.regions.nodes[loc.name]
	case LevelDataCentre:
		return d.dataCentres.nodes[loc.name]
	case LevelWorkspace:
		return d.workspaces.find(fleet.WorkspaceID(loc.name))
	case LevelService:
		if svc := d.services[loc.serviceKey()]; svc != nil {
			return svc.node
		}
		return nil
	default:
		return d.services[loc.serviceKey()].findRoute(loc.route)
	}
}

// Has reports whether the path exists.
func (d *Document) Has(p Path) bool {
	loc, err := p.parse()
	return err == nil && d.node(loc) != nil
}

// Paths returns all paths of the document in a fixed order, parents first.
func (d *Document) Paths() iter.Seq[Path] {
	return func(yield func(Path) bool) {
		d.walk(func(p Path, _ *node) bool { return yield(p) })
	}
}

// walk calls visit for each node in a fixed order until visit returns false.
func (d *Document) walk(visit func(p Path, n *node) bool) {
	if !visit(Root, d.root) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.regions.nodes)) {
		if !visit(RegionPath(fleet.Region(name)), d.regions.nodes[name]) {
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.dataCentres.nodes)) {
		if !visit(DataCentrePath(fleet.DataCentre(name)), d.dataCentres.nodes[name]) {
			return
		}
	}
	for _, id := range d.workspaces.sortedIDs() {
		if !visit(WorkspacePath(id), d.workspaces.find(id)) {
			return
		}
	}
	for _, key := range d.serviceKeys() {
		if !d.services[key].walk(key, visit) {
			return
		}
	}
}

func (s *serviceSubtree) walk(key serviceKey, visit func(p Path, n *node) bool) bool {
	if !visit(key.path(), s.node) {
		return false
	}
	for _, r := range s.routes {
		if !visit(RoutePath(key.workspace, key.id, r.name), r.node) {
			return false
		}
	}
	return true
}

func (d *Document) serviceKeys() []serviceKey {
	return slices.SortedFunc(maps.Keys(d.services), compareServiceKeys)
}

// Owners returns the names of the operators who may approve changes.
func (d *Document) Owners() []string {
	return slices.Clone(effective[[]string](d.chainOf(location{level: LevelDeployment}), keyOwners))
}

// ApprovalRule returns the approval rule for a change at the path. A path that does
// not exist inherits the rule of the levels above it.
func (d *Document) ApprovalRule(p Path) (ApprovalRule, error) {
	loc, err := p.parse()
	if err != nil {
		return ApprovalByBoth, invalidError([]Problem{{Path: p, Allowed: pathAllowed}})
	}
	return effective[ApprovalRule](d.chainOf(loc), keyApproval), nil
}
