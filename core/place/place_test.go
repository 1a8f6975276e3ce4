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

// makeVMs returns n VMs, distributed in turn over 3 data centres of region north and
// 2 of region south.
func makeVMs(n int) []fleet.VM {
	vms := make([]fleet.VM, n)
	for i := range vms {
		dc, region := i%5, fleet.Region("north")
		if dc >= 3 {
			region = "south"
		}
		vms[i] = fleet.VM{
			ID: fleet.VMID(fmt.Sprintf("vm-%03d", i)), Region: region,
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", dc)), CallerAddress: fmt.Sprintf("10.0.0.%d:80", i),
		}
	}
	return vms
}

func makeDemands(n int) []place.ServiceSpec {
	demands := make([]place.ServiceSpec, n)
	for i := range demands {
		region := fleet.Region("north")
		if i%2 == 1 {
			region = "south"
		}
		demands[i] = place.ServiceSpec{Service: fleet.ServiceID(fmt.Sprintf("service-%03d", i)), Region: region, CarrierCount: 2 + i%6}
	}
	return demands
}

func vmIDs(vms []*fleet.VM) []fleet.VMID {
	var ids []fleet.VMID
	for _, vm := range vms {
		ids = append(ids, vm.ID)
	}
	return ids
}

// countAdded returns the number of ids in to that are not in from.
func countAdded(from, to []fleet.VMID) (n int) {
	for _, id := range to {
		if !slices.Contains(from, id) {
			n++
		}
	}
	return n
}

var _ = ginkgo.Describe("carriers", func() {
	// Guards against a service that loses more than its share of carriers with one data centre.
	ginkgo.It("spreads each service over the data centres of its region", func() {
		m := place.NewTopology(makeVMs(60))
		for _, d := range makeDemands(200) {
			carriersPerDataCentre := map[fleet.DataCentre]int{}
			carriers := m.Carriers(d)
			gomega.Expect(carriers).To(gomega.HaveLen(d.CarrierCount))
			dataCentres := 3
			if d.Region == "south" {
				dataCentres = 2
			}
			for _, vm := range carriers {
				gomega.Expect(vm.Region).To(gomega.Equal(d.Region))
				carriersPerDataCentre[vm.DataCentre]++
			}
			for _, n := range carriersPerDataCentre {
				gomega.Expect(n).To(gomega.BeNumerically("<=", (d.CarrierCount+dataCentres-1)/dataCentres), "%v", d)
			}
			gomega.Expect(carriersPerDataCentre).To(gomega.HaveLen(min(dataCentres, d.CarrierCount)))
		}
	})

	// Guards against a hash that assigns far more services to some VMs than to others.
	// The number of services per VM is binomially distributed; with 60 VMs, none is
	// expected to deviate by more than 6 standard deviations.
	ginkgo.It("spreads services over the VMs of a data centre", func() {
		m := place.NewTopology(makeVMs(60))
		countPerVM := map[fleet.VMID]int{}
		const services = 4000
		for i := range services {
			d := place.ServiceSpec{Service: fleet.ServiceID(fmt.Sprint("s", i)), Region: "north", CarrierCount: 6}
			for _, id := range vmIDs(m.Carriers(d)) {
				countPerVM[id]++
			}
		}
		const vmsPerDataCentre, share = 12, 2.0 / 12
		mean := float64(services) * share
		tolerance := 6 * math.Sqrt(mean*(1-share))
		gomega.Expect(countPerVM).To(gomega.HaveLen(3 * vmsPerDataCentre))
		for id, n := range countPerVM {
			gomega.Expect(float64(n)).To(gomega.BeNumerically("~", mean, tolerance), string(id))
		}
	})

	// Guards against the removal of one VM moving services that this VM does not carry.
	ginkgo.It("moves only the services of a VM that is added or removed", func() {
		rng := rand.New(rand.NewPCG(11, 7))
		plan := place.NewServiceSet(makeDemands(120))
		for round := range 60 {
			vms := makeVMs(5 + rng.IntN(60))
			removed := rng.IntN(len(vms))
			remaining := slices.Delete(slices.Clone(vms), removed, removed+1)
			rng.Shuffle(len(remaining), func(i, j int) { remaining[i], remaining[j] = remaining[j], remaining[i] })
			fullTable, reducedTable := plan.Place(place.NewTopology(vms)), plan.Place(place.NewTopology(remaining))
			regionEmpty := !slices.ContainsFunc(remaining, func(v fleet.VM) bool { return v.Region == vms[removed].Region })
			for _, d := range makeDemands(120) {
				before, after := vmIDs(fullTable.Carriers(d.Service)), vmIDs(reducedTable.Carriers(d.Service))
				if !slices.Contains(before, vms[removed].ID) {
					gomega.Expect(after).To(gomega.Equal(before), "round %d %v", round, d)
					continue
				}
				if regionEmpty {
					continue // the service is placed in the other region
				}
				gomega.Expect(countAdded(before, after)).To(gomega.BeNumerically("<=", 1), "round %d %v", round, d)
				gomega.Expect(countAdded(after, before)).To(gomega.Equal(1), "round %d %v", round, d)
			}
		}
	})

	ginkgo.It("uses other regions only when the region has no VM", func() {
		vms := makeVMs(10)
		d := place.ServiceSpec{Service: "s", Region: "south", CarrierCount: 3}
		south := slices.DeleteFunc(slices.Clone(vms), func(v fleet.VM) bool { return v.Region == "south" && v.ID != "vm-003" })
		gomega.Expect(vmIDs(place.NewTopology(south).Carriers(d))).To(gomega.Equal([]fleet.VMID{"vm-003"}))
		north := slices.DeleteFunc(slices.Clone(vms), func(v fleet.VM) bool { return v.Region == "south" })
		gomega.Expect(place.NewTopology(north).Carriers(d)).To(gomega.HaveLen(3))
		gomega.Expect(place.NewTopology(nil).Carriers(d)).To(gomega.BeEmpty())
	})

	ginkgo.It("leaves out leaving VMs and agrees with the table", func() {
		vms := makeVMs(30)
		vms[4].Leaving = true
		m := place.NewTopology(vms)
		demands := makeDemands(50)
		table := place.NewServiceSet(append(demands, demands[0])).Place(m)
		carried := 0
		for _, d := range demands {
			carriers := table.Carriers(d.Service)
			gomega.Expect(vmIDs(carriers)).To(gomega.Equal(vmIDs(m.Carriers(d))))
			gomega.Expect(vmIDs(carriers)).NotTo(gomega.ContainElement(fleet.VMID("vm-004")))
			if slices.Contains(vmIDs(carriers), "vm-007") {
				carried++
			}
		}
		gomega.Expect(table.CarriedBy("vm-007")).To(gomega.HaveLen(carried))
		gomega.Expect(table.Carriers("no-such")).To(gomega.BeNil())
		gomega.Expect(table.Equal(place.NewServiceSet(demands).Place(m))).To(gomega.BeTrue())
		vms[7].CallerAddress = "10.9.9.9:80"
		gomega.Expect(table.Equal(place.NewServiceSet(demands).Place(place.NewTopology(vms)))).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("prober", func() {
	// Guards against targets that change their prober when another carrier leaves: the
	// probes of many targets would then be sent at the same time.
	ginkgo.It("depends only on the set of carriers and changes only if its VM is removed", func() {
		carriers := []fleet.VMID{"a", "b", "c", "d", "e", "f"}
		countPerVM := map[fleet.VMID]int{}
		for i := range 600 {
			target := fleet.TargetID(fmt.Sprint("t", i))
			prober := place.Prober("s", target, carriers)
			gomega.Expect(place.ProberRank("s", target, carriers, prober)).To(gomega.BeZero())
			countPerVM[prober]++
			rotated := append(slices.Clone(carriers[3:]), carriers[:3]...)
			gomega.Expect(place.Prober("s", target, rotated)).To(gomega.Equal(prober))
			if prober != "f" {
				gomega.Expect(place.Prober("s", target, carriers[:5])).To(gomega.Equal(prober))
			}
		}
		for id, n := range countPerVM {
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
		candidates[5].LoadLevel = 2
		first := map[fleet.VMID]int{}
		for i := range 300 {
			caller := place.Caller{DataCentre: "dc-1", Key: fmt.Sprint("10.1.0.", i)}
			order := place.SortCandidates("s", caller, candidates)
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

// BenchmarkPlace measures the time to place all services after one VM has changed, at
// 690 VMs and 360 services.
func BenchmarkPlace(b *testing.B) {
	vms := makeVMs(690)
	plan := place.NewServiceSet(makeDemands(360))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		vms[i%len(vms)].Leaving = !vms[i%len(vms)].Leaving
		plan.Place(place.NewTopology(vms))
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/change")
}
