package member

import (
	"cmp"
	"maps"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
)

// record is what the table keeps of another VM.
type record struct {
	// run, started and sequence are those of the last accepted report.
	run, started, sequence uint64
	// vm is what the VM reported about itself; known says that it did and that the VM
	// list has not changed the VM's entry since.
	vm    fleet.VM
	known bool
	// placed says that the VM is live because it is heard, not because it is listed.
	placed         bool
	ready, leaving bool
	revision       uint64
	heardAt        time.Time
	confirmedAt    time.Time
	graceUntil     time.Time
	// expected says that the VM is a co-carrier.
	expected bool
	// reported holds when the VM last reported each service.
	reported map[fleet.ServiceID]time.Time
	// sending counts the reports to the VM that are under way.
	sending int
}

// record returns the record of the VM, a new one if there is none.
func (t *Table) record(id fleet.VMID) *record {
	r, ok := t.records[id]
	if !ok {
		r = &record{}
		t.records[id] = r
	}
	return r
}

func (r *record) incarnation(id fleet.VMID) fleet.Incarnation {
	if r.run == 0 {
		return ""
	}
	return fleet.IncarnationOf(id, r.run)
}

func (r *record) peer(listed bool, vm fleet.VM) Peer {
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

// isOutdated reports whether a report comes from an older incarnation than the
// one that is known. Start times order the incarnations; they come from the
// clocks of different VMs, so an unheard incarnation gives way to any other.
func (r *record) isOutdated(m *inner.ReportMsg, now time.Time) bool {
	if r.run == 0 || m.Run == r.run || !isRecent(r.heardAt, now) {
		return false
	}
	return cmp.Or(cmp.Compare(m.Started, r.started), cmp.Compare(m.Run, r.run)) < 0
}

// replace forgets the state of the former incarnation.
func (r *record) replace(m *inner.ReportMsg) {
	r.run, r.started, r.sequence = m.Run, m.Started, 0
	r.leaving, r.known = false, false
	r.reported = nil
}

func (r *record) note(services []inner.ServiceReport, now time.Time) {
	if r.reported == nil {
		r.reported = make(map[fleet.ServiceID]time.Time, len(services))
	}
	for i := range services {
		r.reported[services[i].Service] = now
	}
	maps.DeleteFunc(r.reported, func(_ fleet.ServiceID, at time.Time) bool { return !isRecent(at, now) })
}

func compareID(a, b fleet.VM) int {
	return cmp.Compare(a.ID, b.ID)
}
