package member

import (
	"cmp"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/place"
)

// View is an immutable snapshot of the membership. Its slices must not be changed.
type View struct {
	// Self is this daemon's VM. Its Leaving is set if the daemon leaves or if the VM
	// is listed as leaving.
	Self        fleet.VM
	Incarnation fleet.Incarnation
	// VMsKnown says that VMs are known from the VM list or the seeds. Before that, this
	// daemon carries no service.
	VMsKnown bool
	// ListVersion is the version of the VM list in use, and ListReadAt the time when
	// it was read, which is zero before the first read.
	ListVersion uint64
	ListReadAt  time.Time
	// Superseded says that a peer knows a newer incarnation with the VM id of this
	// daemon.
	Superseded bool
	// PlacementGeneration increases when the carriers of any service change.
	PlacementGeneration uint64
	// Live holds the VMs that are listed or heard, including Self, sorted by id.
	Live []fleet.VM
	// Peers holds the peers, sorted by id.
	Peers []Peer
	// Carried holds the services that this daemon carries, sorted.
	Carried []fleet.ServiceID

	// windDownUntil holds the end of the wind-down of each service that is wound down.
	windDownUntil map[fleet.ServiceID]time.Time
	placement     *place.Placement
	isReady       func() bool
}

// Peer returns the peer with the id.
func (v *View) Peer(id fleet.VMID) (*Peer, bool) {
	i, ok := slices.BinarySearchFunc(v.Peers, id, func(p Peer, id fleet.VMID) int {
		return cmp.Compare(p.VM.ID, id)
	})
	if !ok {
		return nil, false
	}
	return &v.Peers[i], true
}

// Carriers returns the carriers of the service, including unheard ones, or nil if
// the service is unknown.
func (v *View) Carriers(id fleet.ServiceID) []*fleet.VM {
	return v.placement.Carriers(id)
}

// Carries reports whether this daemon carries the service.
func (v *View) Carries(id fleet.ServiceID) bool {
	return slices.Contains(v.Carried, id)
}

// IsWindingDown reports whether this daemon is no longer a carrier of the service but
// still serves it. It does so for the address lifetime of the service and 10 s.
func (v *View) IsWindingDown(id fleet.ServiceID, now time.Time) bool {
	return now.Before(v.windDownUntil[id])
}

// WindingDown returns the services for which IsWindingDown is true, sorted.
func (v *View) WindingDown(now time.Time) []fleet.ServiceID {
	var ids []fleet.ServiceID
	for id := range v.windDownUntil {
		if v.IsWindingDown(id, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Prober returns the VM that probes the target of a service that this daemon
// carries. It is this daemon or a peer that is usable as prober.
func (v *View) Prober(service fleet.ServiceID, target fleet.TargetID, now time.Time) fleet.VMID {
	var usable []fleet.VMID
	for _, c := range v.Carriers(service) {
		p, ok := v.Peer(c.ID)
		if c.ID == v.Self.ID || ok && p.IsUsableAsProber(now) {
			usable = append(usable, c.ID)
		}
	}
	return place.Prober(service, target, usable)
}

// AddressCandidates returns the carriers of the service that an address response may
// contain. A carrier that shares no service with this daemon is known only from the
// VM list; it is a candidate unless it is listed as leaving.
func (v *View) AddressCandidates(service fleet.ServiceID, now time.Time) []place.Candidate {
	var candidates []place.Candidate
	for _, c := range v.Carriers(service) {
		if v.isUsableForAddresses(c, now) {
			candidates = append(candidates, place.Candidate{VM: c})
		}
	}
	return candidates
}

func (v *View) isUsableForAddresses(c *fleet.VM, now time.Time) bool {
	if c.ID == v.Self.ID {
		return v.isReady == nil || v.isReady()
	}
	if p, ok := v.Peer(c.ID); ok {
		return p.IsUsableForAddresses(now)
	}
	return !c.Leaving
}

// Addresses returns the address candidates of the service in the order in which the
// caller tries them.
func (v *View) Addresses(service fleet.ServiceID, caller place.Caller, now time.Time) []*fleet.VM {
	return place.SortCandidates(service, caller, v.AddressCandidates(service, now))
}
