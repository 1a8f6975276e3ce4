package place

import (
	"cmp"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// Map is an immutable set of VMs that may carry services, grouped by region
// and data centre.
type Map struct {
	vms    []fleet.VM
	hashes []uint64
	cells  []cell
	// regions holds the range of cells of each region.
	regions map[fleet.Region]span
}

// cell is the VMs of one data centre, a range of Map.vms.
type cell struct {
	region fleet.Region
	hash   uint64
	span
}

type span struct {
	from, to int
}

func (s span) size() int {
	return s.to - s.from
}

// NewMap returns the map of the VMs that are not leaving. If an id occurs
// twice, the first entry counts.
func NewMap(vms []fleet.VM) *Map {
	m := &Map{vms: make([]fleet.VM, 0, len(vms)), regions: make(map[fleet.Region]span)}
	for i := range vms {
		if !vms[i].Leaving {
			m.vms = append(m.vms, vms[i])
		}
	}
	slices.SortStableFunc(m.vms, compareVM)
	m.vms = slices.CompactFunc(m.vms, sameVM)
	m.hashes = make([]uint64, len(m.vms))
	for i := range m.vms {
		m.hashes[i] = hashMember(string(m.vms[i].ID))
		m.addToCell(i)
	}
	m.addRegions()
	return m
}

func compareVM(a, b fleet.VM) int {
	return cmp.Or(
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.ID, b.ID),
	)
}

func sameVM(a, b fleet.VM) bool {
	return a.ID == b.ID
}

func (m *Map) addToCell(i int) {
	vm := &m.vms[i]
	if i > 0 && m.vms[i-1].Region == vm.Region && m.vms[i-1].DataCentre == vm.DataCentre {
		m.cells[len(m.cells)-1].to = i + 1
		return
	}
	m.cells = append(m.cells, cell{
		region: vm.Region,
		hash:   hashMember(string(vm.DataCentre)),
		span:   span{i, i + 1},
	})
}

func (m *Map) addRegions() {
	for i, c := range m.cells {
		r, ok := m.regions[c.region]
		if !ok {
			r.from = i
		}
		r.to = i + 1
		m.regions[c.region] = r
	}
}

// Len returns the number of VMs.
func (m *Map) Len() int {
	return len(m.vms)
}

// cellsFor returns the cells that may carry a service of the region: those of
// the region, or all others if the region has no VM.
func (m *Map) cellsFor(r fleet.Region) []cell {
	if s, ok := m.regions[r]; ok {
		return m.cells[s.from:s.to]
	}
	return m.cells
}
