package place

import (
	"cmp"
	"slices"

	"wisteriarelay.example/core/fleet"
)

// Topology is an immutable set of VMs that may carry services, sorted and grouped by
// region and data centre.
type Topology struct {
	vms         []fleet.VM
	vmHashes    []uint64
	dataCentres []dataCentreVMs
	// regions maps each region to its range of Map.dataCentres.
	regions map[fleet.Region]indexRange
}

// dataCentreVMs is the range of Map.vms with the VMs of one data centre.
type dataCentreVMs struct {
	region fleet.Region
	hash   uint64
	indexRange
}

// indexRange is the half-open range of indexes from start to end.
type indexRange struct {
	start, end int
}

func (r indexRange) size() int {
	return r.end - r.start
}

// NewTopology returns a map of the VMs that are not leaving. If an id occurs twice in a
// data centre, the first entry is used.
func NewTopology(vms []fleet.VM) *Topology {
	m := &Topology{vms: make([]fleet.VM, 0, len(vms)), regions: make(map[fleet.Region]indexRange)}
	for i := range vms {
		if !vms[i].Leaving {
			m.vms = append(m.vms, vms[i])
		}
	}
	slices.SortStableFunc(m.vms, compareVMs)
	m.vms = slices.CompactFunc(m.vms, equalIDs)
	m.vmHashes = make([]uint64, len(m.vms))
	for i := range m.vms {
		m.vmHashes[i] = hashNode(string(m.vms[i].ID))
		m.addToDataCentre(i)
	}
	m.indexRegions()
	return m
}

// compareVMs orders VMs by region, data centre and id.
func compareVMs(a, b fleet.VM) int {
	return cmp.Or(
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.ID, b.ID),
	)
}

func equalIDs(a, b fleet.VM) bool {
	return a.ID == b.ID
}

// addToDataCentre appends the VM at index i to the last data centre, or to a new one
// if the VM is the first of its data centre.
func (m *Topology) addToDataCentre(i int) {
	vm := &m.vms[i]
	if i > 0 && m.vms[i-1].Region == vm.Region && m.vms[i-1].DataCentre == vm.DataCentre {
		m.dataCentres[len(m.dataCentres)-1].end = i + 1
		return
	}
	m.dataCentres = append(m.dataCentres, dataCentreVMs{
		region:     vm.Region,
		hash:       hashNode(string(vm.DataCentre)),
		indexRange: indexRange{i, i + 1},
	})
}

// indexRegions sets the range of data centres of each region.
func (m *Topology) indexRegions() {
	for i, dc := range m.dataCentres {
		r, ok := m.regions[dc.region]
		if !ok {
			r.start = i
		}
		r.end = i + 1
		m.regions[dc.region] = r
	}
}

// Len returns the number of VMs.
func (m *Topology) Len() int {
	return len(m.vms)
}

// dataCentresFor returns the data centres that may carry a service of the region:
// those of the region, or all data centres if the region has no VM.
func (m *Topology) dataCentresFor(r fleet.Region) []dataCentreVMs {
	if s, ok := m.regions[r]; ok {
		return m.dataCentres[s.start:s.end]
	}
	return m.dataCentres
}
