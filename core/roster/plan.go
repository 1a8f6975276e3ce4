package roster

import (
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// slotsPerCore is the number of target slots whose requests one core can handle.
	// With fewer carriers each of them sees more results and detects failing targets
	// sooner; with more carriers each has less load.
	slotsPerCore = 500
	// coresPerGroup is the demand in cores from which another group is added. Each
	// result of a request is sent to all carriers of the group, so groups must not
	// grow without bound.
	coresPerGroup = 4
	// maxGroups bounds the time to assign a service, whatever number of slots the targets
	// claim to have.
	maxGroups = 64
)

// Demand is the input of a plan.
type Demand struct {
	// Slots is the number of target slots of each service.
	Slots map[string]int
	// ServicesByHost lists the services that are routed from the same host. Callers are
	// directed to daemons by host, so these services must be in the same group.
	ServicesByHost [][]string
	// DataCentres is the number of data centres with daemons.
	DataCentres int
}

// Plan assigns services to groups. Each group is carried by some daemons of every data
// centre. If a service or a target is added, few services change their group.
type Plan struct {
	groups map[string]string
	cores  map[string]float64
}

// NewPlan returns the plan for the demand.
func NewPlan(d Demand) *Plan {
	p := &Plan{groups: map[string]string{}, cores: map[string]float64{}}
	total := 0.0
	for _, n := range d.Slots {
		total += float64(n)
	}
	groupCount := int(min(math.Ceil(total/(slotsPerCore*coresPerGroup)), maxGroups))
	for service, representative := range representatives(d) {
		group := assignGroup(representative, max(groupCount, 1))
		p.groups[service] = group
		p.cores[group] += float64(d.Slots[service]) / slotsPerCore / float64(max(d.DataCentres, 1))
	}
	return p
}

// Group returns the name of the service's group and the cores that the group needs in
// each data centre. A service that is not in the plan is assigned as if there were one
// group.
func (p *Plan) Group(service string) (name string, cores float64) {
	name, ok := p.groups[service]
	if !ok {
		name = assignGroup(service, 1)
	}
	return name, p.cores[name]
}

// Cores returns the cores that the group needs in each data centre.
func (p *Plan) Cores(group string) float64 {
	return p.cores[group]
}

// representatives maps each service to a representative of the services that must be
// in the same group because they share hosts, directly or through others: the first of
// them by name.
func representatives(d Demand) map[string]string {
	representative := make(map[string]string, len(d.Slots))
	for s := range d.Slots {
		representative[s] = s
	}
	for changed := true; changed; {
		changed = false
		for _, joined := range d.ServicesByHost {
			changed = mergeRepresentatives(representative, joined) || changed
		}
	}
	return representative
}

// mergeRepresentatives gives the services that are routed from one host the same
// representative, the first by name, and reports whether one changed.
func mergeRepresentatives(representative map[string]string, joined []string) bool {
	var all []string
	for _, s := range joined {
		if rep, ok := representative[s]; ok {
			all = append(all, rep)
		}
	}
	if len(all) == 0 {
		return false
	}
	first := slices.Min(all)
	changed := false
	for _, s := range joined {
		if rep, ok := representative[s]; ok && rep != first {
			representative[s] = first
			changed = true
		}
	}
	return changed
}

// assignGroup chooses the group of a service by rendezvous hashing: if a group is
// added, only the services that move to it change their group.
func assignGroup(service string, groupCount int) string {
	best, bestWeight := "", uint64(0)
	for i := range groupCount {
		name := fmt.Sprintf("group-%d", i)
		if weight := xxhash.Sum64String(name + " " + service); best == "" || weight > bestWeight {
			best, bestWeight = name, weight
		}
	}
	return best
}
