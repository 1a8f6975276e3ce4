package tree

import (
	"reflect"

	"wisteriarelay.example/core/fleet"
)

// Catalog holds the compiled services and the workspaces of a document; it is
// immutable.
type Catalog struct {
	byID   map[fleet.ServiceID]compiled
	sorted []*fleet.Service
	spaces *spaces
}

// compiled is a service with the parts of the document that it was compiled
// from. The parts are immutable, so equal pointers mean an equal result.
type compiled struct {
	svc  *fleet.Service
	from inputs
}

type inputs struct {
	key     serviceKey
	root    *node
	region  *node
	space   *node
	centres *index
	own     *service
}

// Service returns the compiled service.
func (c *Catalog) Service(id fleet.ServiceID) (*fleet.Service, bool) {
	s, found := c.byID[id]
	return s.svc, found
}

// Services returns all services sorted by id; the slice must not be changed.
func (c *Catalog) Services() []*fleet.Service { return c.sorted }

// HasWorkspace reports whether the workspace exists.
func (c *Catalog) HasWorkspace(w fleet.WorkspaceID) bool { return c.spaces.find(w) != nil }

// Workspaces returns the ids of all workspaces, sorted.
func (c *Catalog) Workspaces() []fleet.WorkspaceID { return c.spaces.sorted() }

// WorkspaceCount returns the number of workspaces.
func (c *Catalog) WorkspaceCount() int { return c.spaces.count }

// Compile returns the catalog of the document. Documents are compiled when
// they are made, so the call is cheap; services that did not change since the
// document that this one was made from are the same pointers as there.
func (d *Doc) Compile() (*Catalog, error) { return d.catalog, nil }

// Relate returns a document equal to d whose catalog reuses the compiled
// services of prev that are equal. It serves a document that was decoded from
// a snapshot, which shares no parts with its predecessor.
func (d *Doc) Relate(prev *Catalog) *Doc {
	c := &Catalog{byID: make(map[fleet.ServiceID]compiled, len(d.catalog.byID)), spaces: d.spaces}
	for _, svc := range d.catalog.sorted {
		entry := d.catalog.byID[svc.ID]
		entry.svc = reuse(prev, entry.svc)
		c.byID[svc.ID] = entry
		c.sorted = append(c.sorted, entry.svc)
	}
	related := *d
	related.catalog = c
	return &related
}

// reuse returns the service of prev if it equals svc, so that holders of a
// service pointer see a change only if a value changed.
func reuse(prev *Catalog, svc *fleet.Service) *fleet.Service {
	if old, found := prev.byID[svc.ID]; found && reflect.DeepEqual(old.svc, svc) {
		return old.svc
	}
	return svc
}
