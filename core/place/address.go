package place

import (
	"cmp"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// Caller is what is known of a caller that asks for addresses.
type Caller struct {
	// DataCentre is the data centre that the caller names, or "".
	DataCentre fleet.DataCentre
	// Key tells callers apart, for example the caller's IP address.
	Key string
}

// Candidate is a carrier that may stand in an address response.
type Candidate struct {
	VM *fleet.VM
	// Load is a coarse load level; 0 if unknown. Coarse levels keep most
	// candidates equal, so that callers still spread out by hash.
	Load int
}

// Addresses returns the order in which the caller tries the candidates: those
// of its data centre first, then by load level, and equal ones rotated by a
// hash of caller and service. Leaving VMs are left out.
func Addresses(service fleet.ServiceID, caller Caller, candidates []Candidate) []*fleet.VM {
	order := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.VM.Leaving {
			order = append(order, c)
		}
	}
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(caller.compare(a, b), cmp.Compare(a.VM.ID, b.VM.ID))
	})
	turn := score(hashItem(string(service)), hashMember(caller.Key))
	vms := make([]*fleet.VM, 0, len(order))
	for from := 0; from < len(order); {
		to := from + 1
		for to < len(order) && caller.compare(order[from], order[to]) == 0 {
			to++
		}
		vms = appendRotated(vms, order[from:to], turn)
		from = to
	}
	return vms
}

func (c Caller) compare(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(c.distance(a), c.distance(b)),
		cmp.Compare(a.Load, b.Load),
	)
}

func (c Caller) distance(o Candidate) int {
	if o.VM.DataCentre == c.DataCentre {
		return 0
	}
	return 1
}

func appendRotated(dst []*fleet.VM, group []Candidate, turn uint64) []*fleet.VM {
	n := uint64(len(group))
	for i := range n {
		dst = append(dst, group[(turn+i)%n].VM)
	}
	return dst
}
