package place

import (
	"slices"

	"wisteriarelay.example/core/fleet"
)

// DefaultCarrierCount is the number of carriers of a service whose demand does not
// state a positive number.
const DefaultCarrierCount = 6

// MaxCarrierCount limits the carriers of a service. The carriers of a service send
// reports to each other, and a higher number would make that a full mesh.
const MaxCarrierCount = 64

// ServiceSpec states the region in which a service is placed and its number of carriers.
type ServiceSpec struct {
	Service      fleet.ServiceID
	Region       fleet.Region
	CarrierCount int
}

// hashedDemand is a Demand with the service hashed, and with its number of carriers
// set to the default if missing and limited to MaxCarrierCount.
type hashedDemand struct {
	region       fleet.Region
	hash         uint64
	carrierCount int
}

func newHashedDemand(d ServiceSpec) hashedDemand {
	n := d.CarrierCount
	if n <= 0 {
		n = DefaultCarrierCount
	}
	return hashedDemand{region: d.Region, hash: hashKey(string(d.Service)), carrierCount: min(n, MaxCarrierCount)}
}

// Carriers returns the VMs that carry the service. They are assigned to the data
// centres in round-robin order: the numbers of carriers of two data centres differ
// by at most one unless a data centre has too few VMs. VMs of other regions are used
// only if the service's region has none.
func (m *Topology) Carriers(d ServiceSpec) []*fleet.VM {
	var a allocator
	return a.appendCarriers(nil, m, newHashedDemand(d))
}

// allocator computes the carriers of one service at a time. It reuses its memory for
// the next service.
type allocator struct {
	allocations []allocation
}

// allocation holds the carriers that one data centre provides for one service.
// quota is their number; selected holds them in the order of their scores.
type allocation struct {
	indexRange
	score    uint64
	quota    int
	selected [MaxCarrierCount]scoredVM
}

// scoredVM is an index into Map.vms with the score of that VM for a service.
type scoredVM struct {
	score uint64
	index int
}

// appendCarriers appends the carriers of the service to dst, one VM of each data
// centre per round.
func (a *allocator) appendCarriers(dst []*fleet.VM, m *Topology, d hashedDemand) []*fleet.VM {
	a.sortByScore(m.dataCentresFor(d.region), d.hash)
	a.assignQuotas(d.carrierCount)
	rounds := 0
	for i := range a.allocations {
		a.allocations[i].selectVMs(m.vmHashes, d.hash)
		rounds = max(rounds, a.allocations[i].quota)
	}
	for r := range rounds {
		for i := range a.allocations {
			if r < a.allocations[i].quota {
				dst = append(dst, &m.vms[a.allocations[i].selected[r].index])
			}
		}
	}
	return dst
}

// sortByScore sets one allocation per data centre and sorts them by their scores for
// the service, highest first. The order differs from service to service, so that
// different data centres get the additional carrier.
func (a *allocator) sortByScore(dataCentres []dataCentreVMs, hash uint64) {
	a.allocations = slices.Grow(a.allocations[:0], len(dataCentres))[:len(dataCentres)]
	for i, dc := range dataCentres {
		a.allocations[i].indexRange = dc.indexRange
		a.allocations[i].score = score(hash, dc.hash)
		a.allocations[i].quota = 0
	}
	// Insertion sort: there are few data centres. An allocation is large, so swap
	// exchanges only the fields that are set by now.
	for i := 1; i < len(a.allocations); i++ {
		for j := i; j > 0 && a.allocations[j].score > a.allocations[j-1].score; j-- {
			a.allocations[j].swap(&a.allocations[j-1])
		}
	}
}

// swap exchanges the fields that differ while sortByScore sorts; selected is written
// only after that.
func (a *allocation) swap(o *allocation) {
	a.indexRange, o.indexRange = o.indexRange, a.indexRange
	a.score, o.score = o.score, a.score
}

// assignQuotas distributes n carriers over the data centres in round-robin order. It
// skips data centres whose quota has reached their number of VMs.
func (a *allocator) assignQuotas(n int) {
	for placed := true; placed && n > 0; {
		placed = false
		for i := range a.allocations {
			if n > 0 && a.allocations[i].quota < a.allocations[i].size() {
				a.allocations[i].quota++
				n--
				placed = true
			}
		}
	}
}

// selectVMs keeps the VMs of the data centre with the highest scores, up to the
// quota, in descending order. hash is that of the service.
func (a *allocation) selectVMs(vmHashes []uint64, hash uint64) {
	n := 0
	for i := a.start; i < a.end; i++ {
		r := scoredVM{score(hash, vmHashes[i]), i}
		if n < a.quota {
			n++
		} else if n == 0 || !r.outranks(a.selected[n-1]) {
			continue
		}
		pos := n - 1
		for ; pos > 0 && r.outranks(a.selected[pos-1]); pos-- {
			a.selected[pos] = a.selected[pos-1]
		}
		a.selected[pos] = r
	}
}

// outranks reports whether r has the higher score. Of equal scores, the one with the
// lower index ranks higher, which is the one with the lower VM id.
func (r scoredVM) outranks(o scoredVM) bool {
	if r.score != o.score {
		return r.score > o.score
	}
	return r.index < o.index
}
