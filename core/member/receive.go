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

// Receive handles a report from a peer. It can be used as inner.Handlers.Report.
func (t *Table) Receive(_ context.Context, from fleet.VMID, m *inner.ReportMsg) (*inner.ReportReplyMsg, error) {
	if from == t.self.ID {
		return nil, fault.New(fault.Forbidden, "report comes from the VM id %s of this daemon", from)
	}
	if m.Self != nil && m.Self.ID != from {
		return nil, fault.New(fault.MessageInvalid, "VM %s describes itself as %s", from, m.Self.ID)
	}
	sender, status, isNew := t.acceptReport(from, m, time.Now())
	if isNew {
		t.counters.received.Add(1)
		t.deliver(sender, m)
	}
	reply := &inner.ReportReplyMsg{Run: t.incarnation.RunID(), Revision: t.revision(), Status: status}
	return reply, nil
}

func (t *Table) revision() uint64 {
	if t.hooks.Revision == nil {
		return 0
	}
	return t.hooks.Revision()
}

// acceptReport applies the report to the state of its sender. isNew says that the
// content of the report is new and comes from a known VM, and so may be delivered.
func (t *Table) acceptReport(from fleet.VMID, m *inner.ReportMsg, now time.Time) (s Sender, status inner.ReportStatus, isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.peerState(from)
	if r.isOlderIncarnation(m, now) {
		t.counters.outdated.Add(1)
		return s, inner.ReportOutdated, false
	}
	changed := m.Run != r.run
	if changed {
		r.startIncarnation(m)
		// A process that started after the list removed the VM runs on a new VM
		// with the same id that the list does not contain yet.
		if at, ok := t.removedAt[from]; ok && time.UnixMilli(int64(m.Started)).After(at) {
			delete(t.removedAt, from)
		}
	}
	if m.Sequence <= r.sequence {
		t.counters.outdated.Add(1)
		return s, inner.ReportAccepted, false
	}
	changed = t.updatePeer(from, r, m, now) || changed
	if changed {
		t.rebuild(now)
	} else {
		t.republish(now)
	}
	if _, listed := t.listed[from]; !listed && !r.hasVM {
		return s, inner.ReportFromUnknownVM, false
	}
	return Sender{Incarnation: r.incarnation(from), DataCentre: t.vm(from).DataCentre}, inner.ReportAccepted, true
}

// updatePeer applies a new report to the state of its sender. It returns true if
// the placement may change.
func (t *Table) updatePeer(from fleet.VMID, r *peerState, m *inner.ReportMsg, now time.Time) bool {
	_, listed := t.listed[from]
	changed := r.leaving != m.Leaving || !listed && !isRecent(r.heardAt, now)
	r.sequence, r.revision = m.Sequence, m.Revision
	r.ready, r.leaving, r.heardAt = m.Ready, m.Leaving, now
	if m.Self != nil && (!r.hasVM || r.vm != *m.Self) {
		r.vm, r.hasVM = *m.Self, true
		r.vm.Leaving = false
		changed = true
	}
	// A report without this daemon in its heard list revokes earlier confirmations.
	r.confirmedAt = time.Time{}
	if slices.Contains(m.Heard, inner.IncarnationHash(t.incarnation)) {
		r.confirmedAt = now
	}
	r.recordServices(m.Services, now)
	return changed
}

// deliver passes a new report to the hooks.
func (t *Table) deliver(from Sender, m *inner.ReportMsg) {
	if t.hooks.OnPeerRevision != nil {
		t.hooks.OnPeerRevision(from.Incarnation.VM(), m.Revision)
	}
	if t.hooks.Deliver == nil {
		return
	}
	v, now := t.View(), time.Now()
	for i := range m.Services {
		if id := m.Services[i].Service; v.Carries(id) || v.IsWindingDown(id, now) {
			t.hooks.Deliver(id, from, &m.Services[i])
		}
	}
}

// handleReply handles the reply to a report.
func (t *Table) handleReply(from fleet.VMID, reply *inner.ReportReplyMsg, now time.Time) {
	if t.hooks.OnPeerRevision != nil {
		t.hooks.OnPeerRevision(from, reply.Revision)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.peerState(from)
	if r.run != 0 && r.run != reply.Run {
		return // a new incarnation replied before its first report arrived
	}
	switch reply.Status {
	case inner.ReportAccepted:
		r.confirmedAt = now
	case inner.ReportFromUnknownVM:
		r.confirmedAt = time.Time{}
	case inner.ReportOutdated:
		r.confirmedAt = time.Time{}
		t.superseded = true
		_ = level.Warn(t.log).Log("msg", "peer knows a newer incarnation of this VM", "peer", from)
	}
	t.republish(now)
}
