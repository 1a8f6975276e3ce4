package roster_test

import (
	"fmt"
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/roster"
)

// memberWithCores returns a member with the given capacity.
func memberWithCores(n int, cores float64) roster.Member {
	m := member("a", n)
	m.Cores = cores
	return m
}

// rosterOf returns the roster of a daemon in another data centre that received a
// heartbeat from each of the members.
func rosterOf(members ...roster.Member) *roster.Roster {
	r := roster.New(member("b", 0))
	for _, m := range members {
		r.Add(m)
		r.RecordHeartbeat(startTime, m, roster.Status{Ready: true}, nil)
	}
	return r
}

// Most VMs are small, a few are large. Guards against callers being directed to small
// VMs, where responses wait for the network link.
func TestDaemonsWithMostCoresCarry(t *testing.T) {
	g := NewWithT(t)
	var members []roster.Member
	for i := range 20 {
		members = append(members, memberWithCores(i, 0.1))
	}
	members[7].Cores, members[13].Cores = 0.8, 0.8
	r := rosterOf(members...)
	g.Expect(vmNames(r.Carriers(startTime, "all", "a", 1.5))).To(ConsistOf("a-7", "a-13"))
}

// One of two large daemons fails. Guards against its replacement by a single small
// daemon, which would then get half of the callers.
func TestSmallDaemonsCarryOnlyWhatTheyCanHandle(t *testing.T) {
	g := NewWithT(t)
	members := []roster.Member{memberWithCores(0, 0.8)}
	for i := 1; i < 20; i++ {
		members = append(members, memberWithCores(i, 0.1))
	}
	carriers := rosterOf(members...).Carriers(startTime, "all", "a", 1)
	g.Expect(carriers).To(HaveLen(10), "a tenth of one core each")
	g.Expect(carriers[0].VM).To(Equal("a-0"))
}

// Guards against callers without an address when all daemons together are too small
// for the demand.
func TestAllDaemonsCarryWhenDemandExceedsCapacity(t *testing.T) {
	g := NewWithT(t)
	g.Expect(rosterOf(memberWithCores(0, 0.1), memberWithCores(1, 0.1), memberWithCores(2, 0)).Carriers(startTime, "all", "a", 50)).To(HaveLen(3))
}

// Guards against a service that is left to a single daemon of a data centre, and
// against services of one host in different groups: callers are directed to daemons by
// host, and would reach daemons that do not carry all services of the host.
func TestServicesOfOneHostShareAGroup(t *testing.T) {
	g := NewWithT(t)
	d := roster.Demand{Slots: map[string]int{}, DataCentres: 5}
	for i := range 60 {
		d.Slots[fmt.Sprintf("s%d", i)] = 320
		d.ServicesByHost = append(d.ServicesByHost, []string{fmt.Sprintf("s%d", i), fmt.Sprintf("s%d", i-i%3)})
	}
	p := roster.NewPlan(d)
	groups := map[string]float64{}
	for i := range 60 {
		name, cores := p.Group(fmt.Sprintf("s%d", i))
		representative, _ := p.Group(fmt.Sprintf("s%d", i-i%3))
		g.Expect(name).To(Equal(representative))
		g.Expect(cores).To(BeNumerically(">", 0))
		groups[name] = cores
	}
	g.Expect(len(groups)).To(BeNumerically(">", 1), "a large fleet has several groups")
}

// Guards against a small fleet whose services are split into groups, so that callers
// of one host reach daemons that do not carry its other service.
func TestSmallFleetHasOneGroup(t *testing.T) {
	g := NewWithT(t)
	p := roster.NewPlan(roster.Demand{Slots: map[string]int{"orders": 18, "lookups": 12}, DataCentres: 3})
	orders, cores := p.Group("orders")
	lookups, _ := p.Group("lookups")
	g.Expect(orders).To(Equal(lookups))
	g.Expect(cores).To(BeNumerically("<", 0.1))
	unknown, none := p.Group("elsewhere")
	g.Expect(unknown).To(Equal(orders))
	g.Expect(none).To(Equal(cores))
}

// Guards against a plan that moves most services to other groups when the targets of
// the fleet grow enough for one more group.
func TestAddedGroupMovesFewServices(t *testing.T) {
	g := NewWithT(t)
	demand := func(slots int) roster.Demand {
		d := roster.Demand{Slots: map[string]int{}, DataCentres: 5}
		for i := range 200 {
			d.Slots[fmt.Sprintf("s%d", i)] = slots
		}
		return d
	}
	before, after := roster.NewPlan(demand(79)), roster.NewPlan(demand(81))
	moved := 0
	for i := range 200 {
		oldGroup, _ := before.Group(fmt.Sprintf("s%d", i))
		newGroup, _ := after.Group(fmt.Sprintf("s%d", i))
		if oldGroup != newGroup {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically(">", 0))
	g.Expect(moved).To(BeNumerically("<", 200/3))
}

// Guards against a daemon that does nothing but assign groups, because targets claim to
// have more slots than any fleet has.
func TestPlanOfAbsurdDemandIsSmall(t *testing.T) {
	g := NewWithT(t)
	for _, slots := range []map[string]int{{"orders": 1e15}, {"orders": math.MaxInt, "stock": math.MaxInt}} {
		p := roster.NewPlan(roster.Demand{Slots: slots, DataCentres: 3})
		group, cores := p.Group("orders")
		g.Expect(group).NotTo(BeEmpty())
		g.Expect(cores).To(BeNumerically(">", 0))
	}
}
