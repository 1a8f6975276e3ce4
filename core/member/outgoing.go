package member

import (
	"maps"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
)

// outgoingReport is a report to one peer.
type outgoingReport struct {
	to         inner.Peer
	services   []fleet.ServiceID
	composedAt time.Time
	// parts holds one message, or several if one would exceed its size limits.
	parts []*inner.ReportMsg
}

// maxPartBytes is the limit of the estimated size of a part. It leaves half of the
// message limit for the fields that estimateSize does not count.
const maxPartBytes = inner.MaxRequestBytes / 2

// addServices adds what was collected for the services and splits the report into
// parts if necessary. This is rare: it takes a fleet of few daemons with hundreds
// of services.
func (o *outgoingReport) addServices(collected map[fleet.ServiceID]inner.ServiceReport) {
	m, total := o.parts[0], 0
	for _, id := range o.services {
		r := collected[id]
		total += estimateSize(&r)
		if len(m.Services) == inner.MaxServices || total > maxPartBytes && len(m.Services) > 0 {
			next := *m
			next.Services, total = nil, estimateSize(&r)
			next.Sequence++
			m = &next
			o.parts = append(o.parts, m)
		}
		m.Services = append(m.Services, r)
	}
}

// estimateSize estimates the encoded size of r in bytes.
func estimateSize(r *inner.ServiceReport) int {
	const bytesPerLoad, bytesPerTarget = 12, 32
	return len(r.Evidence) + len(r.Ejections) + bytesPerLoad*len(r.InFlight) + bytesPerTarget*len(r.Leaving)
}

// composeReports returns the reports of one round. A peer for which a report is
// still pending gets no other one, except for one urgent report, so that reports to
// a slow peer do not pile up.
func (t *Table) composeReports(services []fleet.ServiceID, urgent bool, now time.Time) []outgoingReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := 1
	if urgent {
		limit++
	}
	byPeer := t.servicesByPeer(services, now)
	var reports []outgoingReport
	for _, id := range slices.Sorted(maps.Keys(byPeer)) {
		r, vm := t.peerState(id), t.vm(id)
		if vm.PeerAddress == "" {
			continue
		}
		if r.pendingReports >= limit {
			t.counters.skipped.Add(1)
			continue
		}
		r.pendingReports++
		reports = append(reports, outgoingReport{
			to:         inner.Peer{VM: id, Address: vm.PeerAddress},
			services:   byPeer[id],
			composedAt: now,
			parts:      []*inner.ReportMsg{t.newReport(id, byPeer, now)},
		})
	}
	return reports
}

// servicesByPeer returns the services to report to each peer. The peers of a service
// are its carriers, and the VMs that recently reported about it although this
// daemon does not place it on them.
func (t *Table) servicesByPeer(services []fleet.ServiceID, now time.Time) map[fleet.VMID][]fleet.ServiceID {
	v := t.View()
	byPeer := make(map[fleet.VMID][]fleet.ServiceID)
	for _, id := range services {
		for _, c := range v.Carriers(id) {
			if c.ID != t.self.ID {
				byPeer[c.ID] = append(byPeer[c.ID], id)
			}
		}
		for vm, r := range t.peerStates {
			if isRecent(r.serviceReportedAt[id], now) && !slices.Contains(byPeer[vm], id) {
				byPeer[vm] = append(byPeer[vm], id)
			}
		}
	}
	return byPeer
}

// newReport returns a report without its services. It reserves one sequence number
// for each service, because the report may be split into that many parts. The heard
// list contains only the receiver and the peers that share one of its services,
// because the receiver does not know the others.
func (t *Table) newReport(to fleet.VMID, byPeer map[fleet.VMID][]fleet.ServiceID, now time.Time) *inner.ReportMsg {
	n := uint64(len(byPeer[to]))
	m := &inner.ReportMsg{
		Run:      t.incarnation.RunID(),
		Started:  t.started,
		Sequence: t.sequence.Add(n) - n + 1,
		Leaving:  t.leaving,
	}
	for id, services := range byPeer {
		r := t.peerState(id)
		common := slices.ContainsFunc(services, func(s fleet.ServiceID) bool { return slices.Contains(byPeer[to], s) })
		if common && isRecent(r.heardAt, now) {
			m.Heard = append(m.Heard, inner.IncarnationHash(r.incarnation(id)))
		}
	}
	slices.Sort(m.Heard)
	if !isRecent(t.peerState(to).confirmedAt, now) {
		self := t.self
		m.Self = &self
	}
	return m
}

// finishReport notes that a report to the peer is no longer pending.
func (t *Table) finishReport(to fleet.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerState(to).pendingReports--
}

// currentServices is like activeServices for the current view, but takes the lock.
func (t *Table) currentServices() []fleet.ServiceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.activeServices(t.View())
}

// takeUrgentServices returns the services to report about at once, and clears them.
func (t *Table) takeUrgentServices() []fleet.ServiceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := slices.Collect(maps.Keys(t.urgentServices))
	clear(t.urgentServices)
	return ids
}

// takeLeaveNotice reports whether the peers must be told at once that this daemon
// leaves, and clears the flag.
func (t *Table) takeLeaveNotice() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := t.leaveNoticeDue
	t.leaveNoticeDue = false
	return due
}

// expire applies the changes that are caused by time alone: unlisted VMs that are
// no longer heard, services whose wind-down has ended, and unused peer states.
// paused says that this daemon did not run for longer than a report interval. Missing
// reports then prove nothing, so all peers get a new grace period.
func (t *Table) expire(now time.Time, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, r := range t.peerStates {
		if paused {
			r.graceUntil = now.Add(HeartbeatTimeout)
		}
		changed = changed || r.liveWhileHeard && !isRecent(r.heardAt, now)
		if !r.coCarrier && r.pendingReports == 0 && now.Sub(r.heardAt) > peerStateTTL {
			delete(t.peerStates, id)
		}
	}
	for _, until := range t.windDownUntil {
		changed = changed || !now.Before(until)
	}
	maps.DeleteFunc(t.removedAt, func(id fleet.VMID, at time.Time) bool {
		return t.peerStates[id] == nil && now.Sub(at) > peerStateTTL
	})
	switch {
	case changed:
		t.rebuild(now)
	case paused:
		t.republish(now)
	}
}
