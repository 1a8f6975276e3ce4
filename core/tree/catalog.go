package tree

import (
	"reflect"

	"wisteriarelay.example/core/fleet"
)

// Catalog holds the compiled services and the workspaces of a document. It is
// immutable.
type Catalog struct {
	servicesByID   map[fleet.ServiceID]compiledService
	sortedServices []*fleet.Service
	workspaces     *workspaceIndex
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
	s, found := c.servicesByID[id]
	return s.service, found
}

// Services returns all services sorted by id. The caller must not modify the slice.
func (c *Catalog) Services() []*fleet.Service { return c.sortedServices }

// HasWorkspace reports whether the workspace exists.
func (c *Catalog) HasWorkspace(w fleet.WorkspaceID) bool { return c.workspaces.find(w) != nil }

// Workspaces returns the ids of all workspaces, sorted.
func (c *Catalog) Workspaces() []fleet.WorkspaceID { return c.workspaces.sortedIDs() }

// WorkspaceCount returns the number of workspaces.
func (c *Catalog) WorkspaceCount() int { return c.workspaces.count }

// Catalog returns the catalog of the document. A document is compiled when it is
// created, so the call is cheap. A service that did not change since the previous
// document has the same pointer as in the catalog of that document.
func (d *Document) Catalog() (*Catalog, error) { return d.catalog, nil }

// ReuseServices returns a document equal to d whose catalog reuses the services of the
// previous catalog that are equal. It is needed for a document decoded from a
// snapshot, which shares no parts with the previous document.
func (d *Document) ReuseServices(previous *Catalog) *Document {
	c := &Catalog{servicesByID: make(map[fleet.ServiceID]compiledService, len(d.catalog.servicesByID)), workspaces: d.workspaces}
	for _, svc := range d.catalog.sortedServices {
		cs := d.catalog.servicesByID[svc.ID]
		cs.service = reuseIfEqual(previous, cs.service)
		c.servicesByID[svc.ID] = cs
		c.sortedServices = append(c.sortedServices, cs.service)
	}
	related := *d
	related.catalog = c
	return &related
}

// reuseIfEqual returns the service of the previous catalog if it equals svc, and
// svc otherwise. A service's pointer thus changes only if a value changed.
func reuseIfEqual(previous *Catalog, svc *fleet.Service) *fleet.Service {
	if old, found := previous.servicesByID[svc.ID]; found && reflect.DeepEqual(old.service, svc) {
		return old.service
	}
	return svc
}
