package place

import (
	"cmp"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// Caller identifies a caller that asks for the addresses of a service.
type Caller struct {
	// DataCentre is the data centre given by the caller, or "" if it gave none.
	DataCentre fleet.DataCentre
	// Key is hashed to spread callers over carriers, for example the caller's IP
	// address.
	Key string
}

// Candidate is a carrier that may be listed in an address response.
type Candidate struct {
	VM *fleet.VM
	// LoadLevel is a coarse load level; 0 if unknown. With coarse levels most
	// candidates are equal, and callers are still spread over them by hash.
	LoadLevel int
}

// SortCandidates returns the VMs of the candidates in the order in which the caller
// should try them: VMs in its own data centre first, then by ascending load level.
// Candidates that are equal in both are sorted by id and rotated by a hash of caller
// and service, so that callers start at different VMs. Leaving VMs are omitted.
func SortCandidates(service fleet.ServiceID, caller Caller, candidates []Candidate) []*fleet.VM {
	sorted := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.VM.Leaving {
			sorted = append(sorted, c)
		}
	}
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(caller.comparePreference(a, b), cmp.Compare(a.VM.ID, b.VM.ID))
	})
	offset := score(hashKey(string(service)), hashNode(caller.Key))
	vms := make([]*fleet.VM, 0, len(sorted))
	for start := 0; start < len(sorted); {
		end := start + 1
		for end < len(sorted) && caller.comparePreference(sorted[start], sorted[end]) == 0 {
			end++
		}
		vms = appendRotated(vms, sorted[start:end], offset)
		start = end
	}
	return vms
}

// comparePreference orders candidates by data centre, then by load level.
func (c Caller) comparePreference(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(c.distance(a), c.distance(b)),
		cmp.Compare(a.LoadLevel, b.LoadLevel),
	)
}

// distance returns 0 for a candidate in the caller's data centre, and 1 for others.
func (c Caller) distance(o Candidate) int {
	if o.VM.DataCentre == c.DataCentre {
		return 0
	}
	return 1
}

// appendRotated appends the VMs of the group to dst, starting at index offset modulo
// the size of the group.
func appendRotated(dst []*fleet.VM, group []Candidate, offset uint64) []*fleet.VM {
	n := uint64(len(group))
	for i := range n {
		dst = append(dst, group[(offset+i)%n].VM)
	}
	return dst
}
