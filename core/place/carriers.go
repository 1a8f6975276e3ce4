package place

import (
	"slices"

	"wisteriarelay.example/core/fleet"
)

// DefaultCarriers is the number of carriers of a service that sets none.
const DefaultCarriers = 6

// MaxCarriers bounds the carriers of a service; more would turn the reports of
// a service into a full mesh.
const MaxCarriers = 64

// Demand is what a service asks of the placement.
type Demand struct {
	Service  fleet.ServiceID
	Region   fleet.Region
	Carriers int
}

// demand is a Demand with its hash and its bounded number of carriers.
type demand struct {
	region   fleet.Region
	hash     uint64
	carriers int
}

func newDemand(d Demand) demand {
	n := d.Carriers
	if n <= 0 {
		n = DefaultCarriers
	}
	return demand{region: d.Region, hash: hashItem(string(d.Service)), carriers: min(n, MaxCarriers)}
}

// Carriers returns the VMs that carry the service. Data centres take turns, so
// that their numbers of carriers differ by at most one unless a data centre
// runs out of VMs. VMs of other regions are used only if the service's region
// has none.
func (m *Map) Carriers(d Demand) []*fleet.VM {
	var s scratch
	return s.appendCarriers(nil, m, newDemand(d))
}

// scratch is the memory that one computation reuses from service to service.
type scratch struct {
	allocations []allocation
}

// allocation is one data centre's part in the placement of one service.
type allocation struct {
	span
	rank  uint64
	quota int
	best  [MaxCarriers]ranked
}

type ranked struct {
	score uint64
	index int
}

func (s *scratch) appendCarriers(dst []*fleet.VM, m *Map, d demand) []*fleet.VM {
	s.order(m.cellsFor(d.region), d.hash)
	s.allocate(d.carriers)
	rounds := 0
	for i := range s.allocations {
		s.allocations[i].pick(m.hashes, d.hash)
		rounds = max(rounds, s.allocations[i].quota)
	}
	for r := range rounds {
		for i := range s.allocations {
			if r < s.allocations[i].quota {
				dst = append(dst, &m.vms[s.allocations[i].best[r].index])
			}
		}
	}
	return dst
}

// order ranks the data centres for a service by hash, so that the data centres
// that get one carrier more differ from service to service.
func (s *scratch) order(cells []cell, hash uint64) {
	s.allocations = slices.Grow(s.allocations[:0], len(cells))[:len(cells)]
	for i, c := range cells {
		s.allocations[i].span = c.span
		s.allocations[i].rank = score(hash, c.hash)
		s.allocations[i].quota = 0
	}
	// Insertion by swapping: there are few data centres, and an allocation is large.
	for i := 1; i < len(s.allocations); i++ {
		for j := i; j > 0 && s.allocations[j].rank > s.allocations[j-1].rank; j-- {
			s.allocations[j].swap(&s.allocations[j-1])
		}
	}
}

// swap exchanges what order sets; best is written only after the order is final.
func (a *allocation) swap(o *allocation) {
	a.span, o.span = o.span, a.span
	a.rank, o.rank = o.rank, a.rank
}

// allocate assigns n carriers to the data centres in turn, and skips those whose
// VMs are all taken.
func (s *scratch) allocate(n int) {
	for placed := true; placed && n > 0; {
		placed = false
		for i := range s.allocations {
			if n > 0 && s.allocations[i].quota < s.allocations[i].size() {
				s.allocations[i].quota++
				n--
				placed = true
			}
		}
	}
}

// pick keeps the VMs of the data centre with the highest scores, best first.
func (a *allocation) pick(hashes []uint64, hash uint64) {
	n := 0
	for i := a.from; i < a.to; i++ {
		r := ranked{score(hash, hashes[i]), i}
		if n < a.quota {
			n++
		} else if n == 0 || !r.before(a.best[n-1]) {
			continue
		}
		at := n - 1
		for ; at > 0 && r.before(a.best[at-1]); at-- {
			a.best[at] = a.best[at-1]
		}
		a.best[at] = r
	}
}

// before prefers the higher score; equal scores go to the lower VM id, whose
// index is lower.
func (r ranked) before(o ranked) bool {
	if r.score != o.score {
		return r.score > o.score
	}
	return r.index < o.index
}
