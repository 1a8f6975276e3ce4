package member

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
)

// Receive takes a report of a peer; it has the type of inner.Handlers.Report.
func (t *Table) Receive(_ context.Context, from fleet.VMID, m *inner.ReportMsg) (*inner.ReportReplyMsg, error) {
	if from == t.self.ID {
		return nil, fault.New(fault.Forbidden, "report comes from the VM id %s of this daemon", from)
	}
	if m.Self != nil && m.Self.ID != from {
		return nil, fault.New(fault.MessageInvalid, "VM %s describes itself as %s", from, m.Self.ID)
	}
	sender, standing, fresh := t.accept(from, m, time.Now())
	if fresh {
		t.counters.received.Add(1)
		t.deliver(sender, m)
	}
	reply := &inner.ReportReplyMsg{Run: t.incarnation.Run(), Revision: t.revision(), Standing: standing}
	return reply, nil
}

func (t *Table) revision() uint64 {
	if t.hooks.Revision == nil {
		return 0
	}
	return t.hooks.Revision()
}

// accept merges the report into the record of its sender; fresh says that its
// content is new.
func (t *Table) accept(from fleet.VMID, m *inner.ReportMsg, now time.Time) (s Sender, standing inner.Standing, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(from)
	if r.isOutdated(m, now) {
		t.counters.outdated.Add(1)
		return s, inner.Outdated, false
	}
	changed := m.Run != r.run
	if changed {
		r.replace(m)
		// A process that started after the list dropped the VM is a new VM
		// under the same id, which is listed late.
		if at, ok := t.gone[from]; ok && time.UnixMilli(int64(m.Started)).After(at) {
			delete(t.gone, from)
		}
	}
	if m.Sequence <= r.sequence {
		t.counters.outdated.Add(1)
		return s, inner.Accepted, false
	}
	changed = t.update(from, r, m, now) || changed
	if changed {
		t.rebuild(now)
	} else {
		t.republish(now)
	}
	if _, listed := t.listed[from]; !listed && !r.known {
		return s, inner.Unlisted, false
	}
	return Sender{Incarnation: r.incarnation(from), DataCentre: t.vm(from).DataCentre}, inner.Accepted, true
}

// update returns true if the placement may change.
func (t *Table) update(from fleet.VMID, r *record, m *inner.ReportMsg, now time.Time) bool {
	_, listed := t.listed[from]
	changed := r.leaving != m.Leaving || !listed && !isRecent(r.heardAt, now)
	r.sequence, r.revision = m.Sequence, m.Revision
	r.ready, r.leaving, r.heardAt = m.Ready, m.Leaving, now
	if m.Self != nil && (!r.known || r.vm != *m.Self) {
		r.vm, r.known = *m.Self, true
		r.vm.Leaving = false
		changed = true
	}
	// A report that leaves this daemon out revokes earlier confirmations.
	r.confirmedAt = time.Time{}
	if slices.Contains(m.Heard, inner.HeardKey(t.incarnation)) {
		r.confirmedAt = now
	}
	r.note(m.Services, now)
	return changed
}

func (t *Table) deliver(from Sender, m *inner.ReportMsg) {
	if t.hooks.SeenRevision != nil {
		t.hooks.SeenRevision(from.Incarnation.VM(), m.Revision)
	}
	if t.hooks.Deliver == nil {
		return
	}
	v, now := t.View(), time.Now()
	for i := range m.Services {
		if id := m.Services[i].Service; v.Carries(id) || v.WindsDown(id, now) {
			t.hooks.Deliver(id, from, &m.Services[i])
		}
	}
}

// replied takes the reply to a report.
func (t *Table) replied(from fleet.VMID, reply *inner.ReportReplyMsg, now time.Time) {
	if t.hooks.SeenRevision != nil {
		t.hooks.SeenRevision(from, reply.Revision)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(from)
	if r.run != 0 && r.run != reply.Run {
		return // a new incarnation, which has not reported yet
	}
	switch reply.Standing {
	case inner.Accepted:
		r.confirmedAt = now
	case inner.Unlisted:
		r.confirmedAt = time.Time{}
	case inner.Outdated:
		r.confirmedAt = time.Time{}
		t.superseded = true
		_ = level.Warn(t.log).Log("msg", "peer knows a newer incarnation of this VM", "peer", from)
	}
	t.republish(now)
}
