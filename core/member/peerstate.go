package member

import (
	"cmp"
	"maps"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
)

// peerState is what the table stores about another VM.
type peerState struct {
	// run, started and sequence are from the last accepted report.
	run, started, sequence uint64
	// vm describes the VM if hasVM is set. It is what the VM reported about itself or,
	// after the VM list removed the VM, its last entry in the list. A change of the
	// VM's entry in the list invalidates it.
	vm    fleet.VM
	hasVM bool
	// liveWhileHeard says that the VM is live only because it is heard: it is not listed.
	liveWhileHeard bool
	ready, leaving bool
	revision       uint64
	heardAt        time.Time
	confirmedAt    time.Time
	graceUntil     time.Time
	// coCarrier says that the VM carries a service that this daemon carries or winds
	// down, so that its reports are expected.
	coCarrier bool
	// serviceReportedAt holds the time of the VM's last report about each service.
	serviceReportedAt map[fleet.ServiceID]time.Time
	// pendingReports counts the reports to the VM that are being sent.
	pendingReports int
}

// peerState returns the state of the VM and creates it if necessary.
func (t *Table) peerState(id fleet.VMID) *peerState {
	r, ok := t.peerStates[id]
	if !ok {
		r = &peerState{}
		t.peerStates[id] = r
	}
	return r
}

func (r *peerState) incarnation(id fleet.VMID) fleet.Incarnation {
	if r.run == 0 {
		return ""
	}
	return fleet.IncarnationFromRunID(id, r.run)
}

func (r *peerState) toPeer(listed bool, vm fleet.VM) Peer {
	return Peer{
		VM:          vm,
		Incarnation: r.incarnation(vm.ID),
		Listed:      listed,
		Ready:       r.ready,
		Revision:    r.revision,
		HeardAt:     r.heardAt,
		ConfirmedAt: r.confirmedAt,
		GraceUntil:  r.graceUntil,
	}
}

// isOlderIncarnation reports whether a report comes from an older incarnation than
// the one that is known. Incarnations are ordered by their start times. These come
// from the clocks of different VMs, which may differ, so if the known incarnation is
// unheard, any other one replaces it.
func (r *peerState) isOlderIncarnation(m *inner.ReportMsg, now time.Time) bool {
	if r.run == 0 || m.Run == r.run || !isRecent(r.heardAt, now) {
		return false
	}
	return cmp.Or(cmp.Compare(m.Started, r.started), cmp.Compare(m.Run, r.run)) < 0
}

// startIncarnation sets the incarnation to that of the report and discards the state
// of the former one.
func (r *peerState) startIncarnation(m *inner.ReportMsg) {
	r.run, r.started, r.sequence = m.Run, m.Started, 0
	r.leaving, r.hasVM = false, false
	r.serviceReportedAt = nil
}

// recordServices sets when the services were reported and removes old entries.
func (r *peerState) recordServices(services []inner.ServiceReport, now time.Time) {
	if r.serviceReportedAt == nil {
		r.serviceReportedAt = make(map[fleet.ServiceID]time.Time, len(services))
	}
	for i := range services {
		r.serviceReportedAt[services[i].Service] = now
	}
	maps.DeleteFunc(r.serviceReportedAt, func(_ fleet.ServiceID, at time.Time) bool { return !isRecent(at, now) })
}

func compareVMID(a, b fleet.VM) int {
	return cmp.Compare(a.ID, b.ID)
}
