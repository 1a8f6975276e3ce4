package tree

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
)

func TestTree(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tree")
}

const sampleSettings = `{
  // Franchise counters of the coast.
  "/": {"owners": ["ana", "luis"], "deadline": "3s"},
  "/region/costa": {"floor": 2},
  "/data-centre/mdp": {"slots": 4},
  "/data-centre/pinamar": {},
  "/workspace/franquicias": {"carriers": 4, "connections": 300},
  "/workspace/franquicias/service/reservas": {
    "region": "costa",
    "targets": [
      {"id": "r1", "address": "10.0.0.1:80", "data-centre": "mdp"},
      {"id": "r2", "address": "10.0.0.2:80", "data-centre": "pinamar"},
    ],
    "detection": "careful",
    "detection-window": "6s",
  },
  "/workspace/franquicias/service/reservas/route/book": {"methods": ["POST"], "path-prefix": "/bookings", "kind": "order"},
  "/workspace/franquicias/service/reservas/route/stock": {"methods": ["GET"], "path-prefix": "/stock", "hedge-after": "50ms", "deadline": "1s"},
}`

const (
	reservasPath = Path("/workspace/franquicias/service/reservas")
	bookPath     = reservasPath + "/route/book"
	stockPath    = reservasPath + "/route/stock"
)

func sampleDoc() *Document {
	doc, err := ParseFile([]byte(sampleSettings))
	Expect(err).NotTo(HaveOccurred())
	return doc
}

// Sizes of the fleet that are planned for in two years; see section 1 of docs/design.md.
const (
	plannedServices   = 360
	plannedRoutes     = 4300
	plannedTargets    = 9800
	plannedWorkspaces = 24_000
)

// plannedFleetOps returns the ops that build a document of the planned size.
func plannedFleetOps() []Op {
	ops := []Op{Set(Root, "owners", []string{"ana", "luis"}), Set(Root, "deadline", "3s")}
	for i := range 2 {
		ops = append(ops, Declare(RegionPath(fleet.Region(fmt.Sprint("region-", i)))))
	}
	for i := range 5 {
		ops = append(ops, Declare(DataCentrePath(fleet.DataCentre(fmt.Sprint("centre-", i)))))
	}
	for i := range plannedWorkspaces {
		ops = append(ops, Declare(plannedWorkspacePath(i)))
	}
	for i := range plannedServices {
		ops = append(ops, plannedServiceOps(i)...)
	}
	for i := range plannedRoutes {
		p := RoutePath(fleet.WorkspaceID(fmt.Sprintf("team-%05d", i%plannedServices)), plannedServiceID(i%plannedServices), fmt.Sprint("route-", i/plannedServices))
		ops = append(ops, Set(p, "methods", []string{"GET", "HEAD"}), Set(p, "path-prefix", fmt.Sprint("/v1/part-", i/plannedServices)))
		ops = append(ops, Set(p, "deadline", "800ms"), Set(p, "kind", "batch"))
	}
	return ops
}

func plannedWorkspacePath(i int) Path {
	return WorkspacePath(fleet.WorkspaceID(fmt.Sprintf("team-%05d", i)))
}

func plannedServiceID(i int) fleet.ServiceID { return fleet.ServiceID(fmt.Sprint("service-", i)) }

func plannedServicePath(i int) Path {
	return ServicePath(fleet.WorkspaceID(fmt.Sprintf("team-%05d", i)), plannedServiceID(i))
}

func plannedServiceOps(i int) []Op {
	var targets []TargetEntry
	for n := i; n < plannedTargets; n += plannedServices {
		targets = append(targets, TargetEntry{
			ID:         fleet.TargetID(fmt.Sprint("t", n)),
			Address:    fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&255, n&255),
			DataCentre: fleet.DataCentre(fmt.Sprint("centre-", n%5)),
		})
	}
	p := plannedServicePath(i)
	return []Op{Set(p, "region", fmt.Sprint("region-", i%2)), Set(p, "targets", targets), Set(p, "floor", "60%")}
}
