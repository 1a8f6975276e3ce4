package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/place"
)

func TestPlace(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "place")
}

// makeVMs returns n VMs, dealt to 3 data centres of region north and 2 of south.
func makeVMs(n int) []fleet.VM {
	vms := make([]fleet.VM, n)
	for i := range vms {
		dc, region := i%5, fleet.Region("north")
		if dc >= 3 {
			region = "south"
		}
		vms[i] = fleet.VM{
			ID: fleet.VMID(fmt.Sprintf("vm-%03d", i)), Region: region,
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", dc)), Caller: fmt.Sprintf("10.0.0.%d:80", i),
		}
	}
	return vms
}

func makeDemands(n int) []place.Demand {
	demands := make([]place.Demand, n)
	for i := range demands {
		region := fleet.Region("north")
		if i%2 == 1 {
			region = "south"
		}
		demands[i] = place.Demand{Service: fleet.ServiceID(fmt.Sprintf("service-%03d", i)), Region: region, Carriers: 2 + i%6}
	}
	return demands
}

func ids(vms []*fleet.VM) []fleet.VMID {
	var list []fleet.VMID
	for _, vm := range vms {
		list = append(list, vm.ID)
	}
	return list
}

func added(from, to []fleet.VMID) (n int) {
	for _, id := range to {
		if !slices.Contains(from, id) {
			n++
		}
	}
	return n
}

var _ = ginkgo.Describe("carriers", func() {
	// Guards against a data centre whose loss takes more than its share of a service's carriers.
	ginkgo.It("spreads each service over the data centres of its region", func() {
		m := place.NewMap(makeVMs(60))
		for _, d := range makeDemands(200) {
			perDC := map[fleet.DataCentre]int{}
			carriers := m.Carriers(d)
			gomega.Expect(carriers).To(gomega.HaveLen(d.Carriers))
			centres := 3
			if d.Region == "south" {
				centres = 2
			}
			for _, vm := range carriers {
				gomega.Expect(vm.Region).To(gomega.Equal(d.Region))
				perDC[vm.DataCentre]++
			}
			for _, n := range perDC {
				gomega.Expect(n).To(gomega.BeNumerically("<=", (d.Carriers+centres-1)/centres), "%v", d)
			}
			gomega.Expect(perDC).To(gomega.HaveLen(min(centres, d.Carriers)))
		}
	})

	// Guards against a hash that loads some VMs far above others: each count is
	// binomial, so 6 standard deviations bound all of 60 VMs.
	ginkgo.It("spreads services over the VMs of a data centre", func() {
		m := place.NewMap(makeVMs(60))
		perVM := map[fleet.VMID]int{}
		const services = 4000
		for i := range services {
			d := place.Demand{Service: fleet.ServiceID(fmt.Sprint("s", i)), Region: "north", Carriers: 6}
			for _, id := range ids(m.Carriers(d)) {
				perVM[id]++
			}
		}
		const perCentre, share = 12, 2.0 / 12
		mean := float64(services) * share
		spread := 6 * math.Sqrt(mean*(1-share))
		gomega.Expect(perVM).To(gomega.HaveLen(3 * perCentre))
		for id, n := range perVM {
			gomega.Expect(float64(n)).To(gomega.BeNumerically("~", mean, spread), string(id))
		}
	})

	// Guards against a change of one VM that moves services it does not carry.
	ginkgo.It("moves only the share of a VM that comes or goes", func() {
		rng := rand.New(rand.NewPCG(11, 7))
		plan := place.NewPlan(makeDemands(120))
		for round := range 60 {
			vms := makeVMs(5 + rng.IntN(60))
			gone := rng.IntN(len(vms))
			rest := slices.Delete(slices.Clone(vms), gone, gone+1)
			rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
			all, less := plan.Place(place.NewMap(vms)), plan.Place(place.NewMap(rest))
			regionEmpty := !slices.ContainsFunc(rest, func(v fleet.VM) bool { return v.Region == vms[gone].Region })
			for _, d := range makeDemands(120) {
				before, after := ids(all.Carriers(d.Service)), ids(less.Carriers(d.Service))
				if !slices.Contains(before, vms[gone].ID) {
					gomega.Expect(after).To(gomega.Equal(before), "round %d %v", round, d)
					continue
				}
				if regionEmpty {
					continue // the whole service falls back to the other region
				}
				gomega.Expect(added(before, after)).To(gomega.BeNumerically("<=", 1), "round %d %v", round, d)
				gomega.Expect(added(after, before)).To(gomega.Equal(1), "round %d %v", round, d)
			}
		}
	})

	ginkgo.It("uses other regions only when the region has no VM", func() {
		vms := makeVMs(10)
		d := place.Demand{Service: "s", Region: "south", Carriers: 3}
		south := slices.DeleteFunc(slices.Clone(vms), func(v fleet.VM) bool { return v.Region == "south" && v.ID != "vm-003" })
		gomega.Expect(ids(place.NewMap(south).Carriers(d))).To(gomega.Equal([]fleet.VMID{"vm-003"}))
		north := slices.DeleteFunc(slices.Clone(vms), func(v fleet.VM) bool { return v.Region == "south" })
		gomega.Expect(place.NewMap(north).Carriers(d)).To(gomega.HaveLen(3))
		gomega.Expect(place.NewMap(nil).Carriers(d)).To(gomega.BeEmpty())
	})

	ginkgo.It("leaves out leaving VMs and agrees with the table", func() {
		vms := makeVMs(30)
		vms[4].Leaving = true
		m := place.NewMap(vms)
		demands := makeDemands(50)
		table := place.NewPlan(append(demands, demands[0])).Place(m)
		carried := 0
		for _, d := range demands {
			set := table.Carriers(d.Service)
			gomega.Expect(ids(set)).To(gomega.Equal(ids(m.Carriers(d))))
			gomega.Expect(ids(set)).NotTo(gomega.ContainElement(fleet.VMID("vm-004")))
			if slices.Contains(ids(set), "vm-007") {
				carried++
			}
		}
		gomega.Expect(table.CarriedBy("vm-007")).To(gomega.HaveLen(carried))
		gomega.Expect(table.Carriers("no-such")).To(gomega.BeNil())
		gomega.Expect(table.Equal(place.NewPlan(demands).Place(m))).To(gomega.BeTrue())
		vms[7].Caller = "10.9.9.9:80"
		gomega.Expect(table.Equal(place.NewPlan(demands).Place(place.NewMap(vms)))).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("prober", func() {
	// Guards against probers that move when an unrelated carrier leaves, which would bunch up probes.
	ginkgo.It("depends on the set of carriers only and moves with its own VM only", func() {
		carriers := []fleet.VMID{"a", "b", "c", "d", "e", "f"}
		perVM := map[fleet.VMID]int{}
		for i := range 600 {
			target := fleet.TargetID(fmt.Sprint("t", i))
			prober := place.Prober("s", target, carriers)
			gomega.Expect(place.ProberRank("s", target, carriers, prober)).To(gomega.BeZero())
			perVM[prober]++
			turned := append(slices.Clone(carriers[3:]), carriers[:3]...)
			gomega.Expect(place.Prober("s", target, turned)).To(gomega.Equal(prober))
			if prober != "f" {
				gomega.Expect(place.Prober("s", target, carriers[:5])).To(gomega.Equal(prober))
			}
		}
		for id, n := range perVM {
			gomega.Expect(n).To(gomega.BeNumerically("~", 100, 6*9.2), string(id))
		}
		gomega.Expect(place.Prober("s", "t", nil)).To(gomega.BeEmpty())
	})
})

var _ = ginkgo.Describe("addresses", func() {
	ginkgo.It("puts the caller's data centre first and spreads callers over equal carriers", func() {
		vms := makeVMs(15)
		vms[0].Leaving = true
		candidates := make([]place.Candidate, len(vms))
		for i := range vms {
			candidates[i].VM = &vms[i]
		}
		candidates[5].Load = 2
		first := map[fleet.VMID]int{}
		for i := range 300 {
			caller := place.Caller{DataCentre: "dc-1", Key: fmt.Sprint("10.1.0.", i)}
			order := place.Addresses("s", caller, candidates)
			gomega.Expect(order).To(gomega.HaveLen(14))
			gomega.Expect(order[:3]).To(gomega.HaveEach(gomega.HaveField("DataCentre", fleet.DataCentre("dc-1"))))
			gomega.Expect(order[13].ID).To(gomega.Equal(fleet.VMID("vm-005")))
			first[order[0].ID]++
		}
		gomega.Expect(first).To(gomega.HaveLen(3))
		for _, n := range first {
			gomega.Expect(n).To(gomega.BeNumerically("~", 100, 6*8.2))
		}
	})
})

// BenchmarkPlace measures what one VM change costs at the planned scale.
func BenchmarkPlace(b *testing.B) {
	vms := makeVMs(690)
	plan := place.NewPlan(makeDemands(360))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		vms[i%len(vms)].Leaving = !vms[i%len(vms)].Leaving
		plan.Place(place.NewMap(vms))
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/change")
}
