package member

import (
	"maps"
	"slices"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
)

// outgoingReport is one report to one peer, before the content of its services is added.
type outgoingReport struct {
	to       inner.Peer
	services []fleet.ServiceID
	composed time.Time
	// parts holds one message, or several if one would exceed the bounds.
	parts []*inner.ReportMsg
}

// maxPart leaves half of the bound of a message for what size does not count.
const maxPart = inner.MaxAsk / 2

// fill adds the content of the services. Parts are rare: they need a fleet of
// few daemons with hundreds of services.
func (l *outgoingReport) fill(collected map[fleet.ServiceID]inner.ServiceReport) {
	m, total := l.parts[0], 0
	for _, id := range l.services {
		r := collected[id]
		total += size(&r)
		if len(m.Services) == inner.MaxServices || total > maxPart && len(m.Services) > 0 {
			next := *m
			next.Services, total = nil, size(&r)
			next.Sequence++
			m = &next
			l.parts = append(l.parts, m)
		}
		m.Services = append(m.Services, r)
	}
}

// size estimates the encoded size of a service's part in bytes.
func size(r *inner.ServiceReport) int {
	const perLoad, perTarget = 12, 32
	return len(r.Evidence) + len(r.Ejections) + perLoad*len(r.InFlight) + perTarget*len(r.Leaving)
}

// outgoing returns the reports of one round. A peer gets one report at a time,
// or a second one if it is urgent, so that a slow peer does not pile them up.
func (t *Table) outgoing(services []fleet.ServiceID, urgent bool, now time.Time) []outgoingReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := 1
	if urgent {
		limit++
	}
	shared := t.shared(services, now)
	var outgoing []outgoingReport
	for _, id := range slices.Sorted(maps.Keys(shared)) {
		r, vm := t.record(id), t.vm(id)
		if vm.Inner == "" {
			continue
		}
		if r.sending >= limit {
			t.counters.skipped.Add(1)
			continue
		}
		r.sending++
		outgoing = append(outgoing, outgoingReport{
			to:       inner.Peer{VM: id, Address: vm.Inner},
			services: shared[id],
			composed: now,
			parts:    []*inner.ReportMsg{t.compose(id, shared, now)},
		})
	}
	return outgoing
}

// shared returns the peers with the services that are reported to them: the
// carriers of each service, and the VMs that report it although the own VM
// list does not make them its carriers.
func (t *Table) shared(services []fleet.ServiceID, now time.Time) map[fleet.VMID][]fleet.ServiceID {
	v := t.View()
	shared := make(map[fleet.VMID][]fleet.ServiceID)
	for _, id := range services {
		for _, c := range v.Carriers(id) {
			if c.ID != t.self.ID {
				shared[c.ID] = append(shared[c.ID], id)
			}
		}
		for vm, r := range t.records {
			if isRecent(r.reported[id], now) && !slices.Contains(shared[vm], id) {
				shared[vm] = append(shared[vm], id)
			}
		}
	}
	return shared
}

// compose returns the report without its services. The sequence leaves room
// for as many parts as there are services. It lists in the heard list the receiver and those peers that get a
// report about one of the same services, because the receiver knows no others.
func (t *Table) compose(to fleet.VMID, shared map[fleet.VMID][]fleet.ServiceID, now time.Time) *inner.ReportMsg {
	n := uint64(len(shared[to]))
	m := &inner.ReportMsg{
		Run:      t.incarnation.Run(),
		Started:  t.started,
		Sequence: t.sequence.Add(n) - n + 1,
		Leaving:  t.leaving,
	}
	for id, services := range shared {
		r := t.record(id)
		common := slices.ContainsFunc(services, func(s fleet.ServiceID) bool { return slices.Contains(shared[to], s) })
		if common && isRecent(r.heardAt, now) {
			m.Heard = append(m.Heard, inner.HeardKey(r.incarnation(id)))
		}
	}
	slices.Sort(m.Heard)
	if !isRecent(t.record(to).confirmedAt, now) {
		self := t.self
		m.Self = &self
	}
	return m
}

func (t *Table) sent(to fleet.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(to).sending--
}

// carriedNow returns the services that this daemon carries or winds down.
func (t *Table) carriedNow() []fleet.ServiceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active(t.View())
}

func (t *Table) takeUrgent() []fleet.ServiceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := slices.Collect(maps.Keys(t.urgent))
	clear(t.urgent)
	return ids
}

func (t *Table) isLeaveNoticeDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := t.leaveNotice
	t.leaveNotice = false
	return due
}

// sweep updates what changes with time alone: VMs that are live only while
// heard, services that are wound down, and records that are out of use.
func (t *Table) sweep(now time.Time, paused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for id, r := range t.records {
		if paused {
			r.graceUntil = now.Add(UnheardAfter)
		}
		changed = changed || r.placed && !isRecent(r.heardAt, now)
		if !r.expected && r.sending == 0 && now.Sub(r.heardAt) > forgetAfter {
			delete(t.records, id)
		}
	}
	for _, until := range t.winding {
		changed = changed || !now.Before(until)
	}
	maps.DeleteFunc(t.gone, func(id fleet.VMID, at time.Time) bool {
		return t.records[id] == nil && now.Sub(at) > forgetAfter
	})
	switch {
	case changed:
		t.rebuild(now)
	case paused:
		t.republish(now)
	}
}
