package roster

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotsPerCore is the number of target slots whose requests one core carries.
	// Fewer carriers learn faster which targets are sick; more share the load.
	slotsPerCore = 500
	// groupCores is the demand from which the services are split into more groups:
	// each result is told to the whole group.
	groupCores = 4
)

// Demand is what the services of a fleet ask of its daemons.
type Demand struct {
	// Slots is the number of target slots of each service.
	Slots map[string]int
	// Joined lists services that one host has routes to. Callers are sent to
	// daemons by host, so such services are carried together.
	Joined [][]string
	// DataCentres is the number of data centres with daemons.
	DataCentres int
}

// Plan assigns services to groups, each of which is carried by some daemons of
// every data centre. One more service or target moves few services.
type Plan struct {
	groups map[string]string
	cores  map[string]float64
}

// NewPlan returns the plan for the demand.
func NewPlan(d Demand) *Plan {
	p := &Plan{groups: map[string]string{}, cores: map[string]float64{}}
	total := 0
	for _, n := range d.Slots {
		total += n
	}
	count := int(math.Ceil(float64(total) / (slotsPerCore * groupCores)))
	for service, lead := range leads(d) {
		group := groupOf(lead, max(count, 1))
		p.groups[service] = group
		p.cores[group] += float64(d.Slots[service]) / slotsPerCore / float64(max(d.DataCentres, 1))
	}
	return p
}

// Group returns the name of the group that carries the service, and the cores
// that it takes in each data centre.
func (p *Plan) Group(service string) (name string, cores float64) {
	name, ok := p.groups[service]
	if !ok {
		name = groupOf(service, 1)
	}
	return name, p.cores[name]
}

// Cores returns the cores that the group takes in each data centre.
func (p *Plan) Cores(group string) float64 {
	return p.cores[group]
}

// leads maps each service to the first by name of those that hosts join it with.
func leads(d Demand) map[string]string {
	lead := make(map[string]string, len(d.Slots))
	for s := range d.Slots {
		lead[s] = s
	}
	for changed := true; changed; {
		changed = false
		for _, joined := range d.Joined {
			changed = joinLeads(lead, joined) || changed
		}
	}
	return lead
}

// joinLeads gives the services their first lead and reports whether one changed.
func joinLeads(lead map[string]string, joined []string) bool {
	var all []string
	for _, s := range joined {
		if l, ok := lead[s]; ok {
			all = append(all, l)
		}
	}
	if len(all) == 0 {
		return false
	}
	first := slices.Min(all)
	changed := false
	for _, s := range joined {
		if l, ok := lead[s]; ok && l != first {
			lead[s] = first
			changed = true
		}
	}
	return changed
}

// groupOf chooses one of the groups by rendezvous hashing: one group more takes
// only its own share of the services from the others.
func groupOf(service string, count int) string {
	best, bestRank := "", uint64(0)
	for i := range count {
		name := fmt.Sprintf("group-%d", i)
		if rank := xxhash.Sum64String(name + " " + service); best == "" || rank > bestRank {
			best, bestRank = name, rank
		}
	}
	return best
}
