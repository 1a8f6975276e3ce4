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
	// Self is this daemon's VM; Leaving is set if it leaves or is listed as leaving.
	Self        fleet.VM
	Incarnation fleet.Incarnation
	// Known says that VMs are known from the VM list or the seeds; before that,
	// no service is carried.
	Known bool
	// ListVersion and ListReadAt say which VM list is in use; ListReadAt is
	// zero before the first read.
	ListVersion uint64
	ListReadAt  time.Time
	// Superseded says that a peer knows a newer incarnation on this VM id.
	Superseded bool
	// Generation rises with each change of a carrier set.
	Generation uint64
	// Live holds the VMs that are listed or heard, sorted by id, with Self.
	Live []fleet.VM
	// Peers holds the peers, sorted by id.
	Peers []Peer
	// Carried holds the services that this daemon carries now.
	Carried []fleet.ServiceID

	winding map[fleet.ServiceID]time.Time
	placed  *place.Table
	ready   func() bool
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

// Carriers returns the carriers of the service, also those that are not heard;
// nil if the service is unknown.
func (v *View) Carriers(id fleet.ServiceID) []*fleet.VM {
	return v.placed.Carriers(id)
}

// Carries reports whether this daemon carries the service.
func (v *View) Carries(id fleet.ServiceID) bool {
	return slices.Contains(v.Carried, id)
}

// WindsDown reports whether this daemon stopped being a carrier of the service
// less than the address lifetime and 10 s ago and therefore still serves it.
func (v *View) WindsDown(id fleet.ServiceID, now time.Time) bool {
	return now.Before(v.winding[id])
}

// WindingDown returns the services for which WindsDown is true, sorted.
func (v *View) WindingDown(now time.Time) []fleet.ServiceID {
	var ids []fleet.ServiceID
	for id := range v.winding {
		if v.WindsDown(id, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Prober returns the VM that probes the target of a service that this daemon
// carries, chosen among itself and the peers that are usable as prober.
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

// Candidates returns the carriers of the service that may stand in an address
// response. A carrier that shares no service with this daemon is known by the
// VM list only, which excludes leaving VMs.
func (v *View) Candidates(service fleet.ServiceID, now time.Time) []place.Candidate {
	var candidates []place.Candidate
	for _, c := range v.Carriers(service) {
		if v.isUsable(c, now) {
			candidates = append(candidates, place.Candidate{VM: c})
		}
	}
	return candidates
}

func (v *View) isUsable(c *fleet.VM, now time.Time) bool {
	if c.ID == v.Self.ID {
		return v.ready == nil || v.ready()
	}
	if p, ok := v.Peer(c.ID); ok {
		return p.IsUsableForAddresses(now)
	}
	return !c.Leaving
}

// Addresses returns the carriers of the service in the order in which the
// caller tries them.
func (v *View) Addresses(service fleet.ServiceID, caller place.Caller, now time.Time) []*fleet.VM {
	return place.Addresses(service, caller, v.Candidates(service, now))
}
