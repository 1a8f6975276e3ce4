package demo

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/tree"
)

func TestDemo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demo")
}

// Guards against example files that are no longer valid, for instance after a
// settings key was renamed. Newcomers copy these files.
var _ = DescribeTable("example deployments",
	func(name string, connections int, sizes map[fleet.ServiceID]int, centres ...string) {
		data, err := os.ReadFile("../../examples/" + name + "/settings.json")
		Expect(err).NotTo(HaveOccurred())
		doc, err := tree.ParseFile(data)
		Expect(err).NotTo(HaveOccurred())
		catalog, err := doc.Catalog()
		Expect(err).NotTo(HaveOccurred())
		Expect(catalog.Services()).To(HaveLen(len(sizes)))
		for id, n := range sizes {
			s, ok := catalog.Service(id)
			Expect(ok).To(BeTrue())
			Expect(s.Targets).To(HaveLen(n))
			for _, t := range s.Targets {
				Expect(t.Slots).To(Equal(2))
				Expect(t.Connections).To(Equal(connections))
				Expect(centres).To(ContainElement(string(t.DataCentre)))
			}
		}
		if name == "local" {
			return // run.sh writes the process settings itself
		}
		settings, err := config.Load("../../examples/" + name + "/daemon.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Operators).To(HaveLen(len(doc.Owners())))
	},
	Entry("cortavientos", "cortavientos", 330, map[fleet.ServiceID]int{"disponible": 6, "reservas": 9, "catalogo": 10}, "mdp", "pinamar", "necochea"),
	Entry("vatulele", "vatulele", 390, map[fleet.ServiceID]int{"rackcount": 6, "refillbook": 14, "cardlist": 14}, "suva-east", "nadi-west", "lautoka-north"),
	Entry("local", "local", 330, map[fleet.ServiceID]int{"reservas": 3}, "here"),
)
