package tree

import (
	"reflect"

	"wisteriarelay.example/core/fleet"
)

// Catalog holds the compiled services and the workspaces of a document. It is
// immutable.
type Catalog struct {
	byID       map[fleet.ServiceID]compiledService
	sorted     []*fleet.Service
	workspaces *workspaceIndex
}

// compiledService is a service with the parts of the document that it was
// compiled from.
type compiledService struct {
	service *fleet.Service
	inputs  compileInputs
}

// compileInputs are the parts of a document that determine a compiled service.
// The parts are immutable, so equal pointers mean an equal result.
type compileInputs struct {
	key         serviceKey
	root        *node
	region      *node
	workspace   *node
	dataCentres *nodeIndex
	subtree     *serviceSubtree
}

// Service returns the compiled service.
func (c *Catalog) Service(id fleet.ServiceID) (*fleet.Service, bool) {
	s, found := c.byID[id]
	return s.service, found
}

// Services returns all services sorted by id. The caller must not modify the slice.
func (c *Catalog) Services() []*fleet.Service { return c.sorted }

// HasWorkspace reports whether the workspace exists.
func (c *Catalog) HasWorkspace(w fleet.WorkspaceID) bool { return c.workspaces.find(w) != nil }

// Workspaces returns the ids of all workspaces, sorted.
func (c *Catalog) Workspaces() []fleet.WorkspaceID { return c.workspaces.sortedIDs() }

// WorkspaceCount returns the number of workspaces.
func (c *Catalog) WorkspaceCount() int { return c.workspaces.count }

// Compile returns the catalog of the document. A document is compiled when it is
// created, so the call is cheap. A service that did not change since the previous
// document has the same pointer as in the catalog of that document.
func (d *Doc) Compile() (*Catalog, error) { return d.catalog, nil }

// Relate returns a document equal to d whose catalog reuses the services of the
// previous catalog that are equal. It is needed for a document decoded from a
// snapshot, which shares no parts with the previous document.
func (d *Doc) Relate(previous *Catalog) *Doc {
	c := &Catalog{byID: make(map[fleet.ServiceID]compiledService, len(d.catalog.byID)), workspaces: d.workspaces}
	for _, svc := range d.catalog.sorted {
		entry := d.catalog.byID[svc.ID]
		entry.service = reuseIfEqual(previous, entry.service)
		c.byID[svc.ID] = entry
		c.sorted = append(c.sorted, entry.service)
	}
	related := *d
	related.catalog = c
	return &related
}

// reuseIfEqual returns the service of the previous catalog if it equals svc, and
// svc otherwise. A service's pointer thus changes only if a value changed.
func reuseIfEqual(previous *Catalog, svc *fleet.Service) *fleet.Service {
	if old, found := previous.byID[svc.ID]; found && reflect.DeepEqual(old.service, svc) {
		return old.service
	}
	return svc
}
