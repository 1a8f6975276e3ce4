package place

import (
	"cmp"
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
	turns []turn
}

// turn is one data centre's part in the placement of one service.
type turn struct {
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
	s.share(d.carriers)
	rounds := 0
	for i := range s.turns {
		s.turns[i].pick(m.hashes, d.hash)
		rounds = max(rounds, s.turns[i].quota)
	}
	for r := range rounds {
		for i := range s.turns {
			if r < s.turns[i].quota {
				dst = append(dst, &m.vms[s.turns[i].best[r].index])
			}
		}
	}
	return dst
}

// order ranks the data centres for a service by hash, so that the data centres
// that get one carrier more differ from service to service.
func (s *scratch) order(cells []cell, hash uint64) {
	s.turns = slices.Grow(s.turns[:0], len(cells))[:len(cells)]
	for i, c := range cells {
		s.turns[i].span = c.span
		s.turns[i].rank = score(hash, c.hash)
		s.turns[i].quota = 0
	}
	// Insertion by swapping: there are few data centres, and a turn is large.
	for i := 1; i < len(s.turns); i++ {
		for j := i; j > 0 && s.turns[j].rank > s.turns[j-1].rank; j-- {
			s.turns[j].swap(&s.turns[j-1])
		}
	}
}

// swap exchanges what order sets; best is written only after the order is final.
func (t *turn) swap(o *turn) {
	t.span, o.span = o.span, t.span
	t.rank, o.rank = o.rank, t.rank
}

// share deals n carriers to the data centres in turn, and skips those whose
// VMs are all taken.
func (s *scratch) share(n int) {
	for dealt := true; dealt && n > 0; {
		dealt = false
		for i := range s.turns {
			if n > 0 && s.turns[i].quota < s.turns[i].size() {
				s.turns[i].quota++
				n--
				dealt = true
			}
		}
	}
}

// pick keeps the VMs of the data centre with the highest scores, best first.
func (t *turn) pick(hashes []uint64, hash uint64) {
	n := 0
	for i := t.from; i < t.to; i++ {
		r := ranked{score(hash, hashes[i]), i}
		if n < t.quota {
			n++
		} else if n == 0 || !r.before(t.best[n-1]) {
			continue
		}
		at := n - 1
		for ; at > 0 && r.before(t.best[at-1]); at-- {
			t.best[at] = t.best[at-1]
		}
		t.best[at] = r
	}
}

// before prefers the higher score; equal scores go to the lower VM id, whose
// index is lower.
func (r ranked) before(o ranked) bool {
	return cmp.Or(cmp.Compare(o.score, r.score), cmp.Compare(r.index, o.index)) < 0
}
