package roster_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/roster"
)

// sized returns a member with a capacity in cores.
func sized(n int, cores float64) roster.Member {
	m := member("a", n)
	m.Cores = cores
	return m
}

// fleetOf returns the view of a daemon that is not among the members.
func fleetOf(members ...roster.Member) *roster.Roster {
	r := roster.New(member("b", 0))
	for _, m := range members {
		r.Add(m)
		r.Heard(begin, m, roster.Standing{Ready: true}, nil)
	}
	return r
}

// Load pattern: most VMs are weak, a few are strong. Guards against callers who are
// sent to weak ones, where answers wait for the link.
func TestStrongDaemonsCarry(t *testing.T) {
	g := NewWithT(t)
	var members []roster.Member
	for i := range 20 {
		members = append(members, sized(i, 0.1))
	}
	members[7].Cores, members[13].Cores = 0.8, 0.8
	r := fleetOf(members...)
	g.Expect(names(r.Carriers(begin, "all", "a", 1.5))).To(ConsistOf("a-7", "a-13"))
}

// Load pattern: one of two strong daemons dies. Guards against a single weak one
// in its place, to which half of the callers would be sent.
func TestWeakDaemonsCarryOnlyTheirShare(t *testing.T) {
	g := NewWithT(t)
	members := []roster.Member{sized(0, 0.8)}
	for i := 1; i < 20; i++ {
		members = append(members, sized(i, 0.1))
	}
	carriers := fleetOf(members...).Carriers(begin, "all", "a", 1)
	g.Expect(carriers).To(HaveLen(10), "a tenth of one core each")
	g.Expect(carriers[0].VM).To(Equal("a-0"))
}

// Guards against callers without an address when no number of daemons is enough.
func TestAllCarryWhenDemandIsTooLarge(t *testing.T) {
	g := NewWithT(t)
	g.Expect(fleetOf(sized(0, 0.1), sized(1, 0.1), sized(2, 0)).Carriers(begin, "all", "a", 50)).To(HaveLen(3))
}

// Guards against a service that is left to a single daemon of a data centre, and
// against callers of a host with routes to several services who are sent to
// daemons that do not know all of them.
func TestServicesOfAHostAreCarriedTogether(t *testing.T) {
	g := NewWithT(t)
	d := roster.Demand{Slots: map[string]int{}, DataCentres: 5}
	for i := range 60 {
		d.Slots[fmt.Sprintf("s%d", i)] = 320
		d.Joined = append(d.Joined, []string{fmt.Sprintf("s%d", i), fmt.Sprintf("s%d", i-i%3)})
	}
	p := roster.NewPlan(d)
	groups := map[string]float64{}
	for i := range 60 {
		name, cores := p.Group(fmt.Sprintf("s%d", i))
		lead, _ := p.Group(fmt.Sprintf("s%d", i-i%3))
		g.Expect(name).To(Equal(lead))
		g.Expect(cores).To(BeNumerically(">", 0))
		groups[name] = cores
	}
	g.Expect(len(groups)).To(BeNumerically(">", 1), "a large fleet has several groups")
}

// Guards against a small fleet whose services are told apart, which leaves callers
// of one host at daemons that do not carry the other service.
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

// Guards against a plan that assigns most services anew when the fleet's targets
// grow past the size of one group more.
func TestPlanChangesSmoothly(t *testing.T) {
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
		was, _ := before.Group(fmt.Sprintf("s%d", i))
		is, _ := after.Group(fmt.Sprintf("s%d", i))
		if was != is {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically(">", 0))
	g.Expect(moved).To(BeNumerically("<", 200/3))
}
