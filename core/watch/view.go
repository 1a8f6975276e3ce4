package watch

import (
	"time"

	"wisteriarelay.example/core/sched"
)

// Position returns the position of the list in the store and the start time of the latest
// read that the list is based on.
func (l *List) Position() (position Position, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Position{Era: l.era, Version: l.version}, l.asOf
}

// RenewedAt returns when a delta from a peer or from the store was last applied.
func (l *List) RenewedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewedAt
}

// Snapshot returns the whole list as a delta, as a read of the store would. Targets
// whose entries are missing are left out.
func (l *List) Snapshot(now time.Time) Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.emptyDelta(now)
	for id, r := range l.records {
		if r.state == present {
			d.Changes = append(d.Changes, r.change(id, now))
			d.Changes = append(d.Changes, r.lateChange(id, 0)...)
		}
	}
	d.sortChanges()
	return d
}

// ChangesSince returns the changes after a position, whether this daemon read them or
// received them from a peer. It returns false if not all of them are known, or if the
// position belongs to another era.
func (l *List) ChangesSince(now time.Time, since Position) (Delta, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !since.Era.Matches(l.era) || since.Version < l.historyStart || since.Version == 0 {
		return Delta{}, false
	}
	d := l.emptyDelta(now)
	d.Since = since.Version
	for id, r := range l.records {
		if r.changedSince(since.Version, now) {
			d.Changes = append(d.Changes, r.change(id, now))
		}
		d.Changes = append(d.Changes, r.lateChange(id, since.Version)...)
	}
	d.sortChanges()
	return d, true
}

// emptyDelta returns a delta that leads to the list's version, without changes.
func (l *List) emptyDelta(now time.Time) Delta {
	return Delta{Era: l.era, Version: l.version, Age: max(now.Sub(l.asOf), 0), Uptime: max(l.asOf.Sub(l.store.since), 0)}
}

// Targets returns the targets that may receive requests, by service. Draining targets
// are left out.
func (l *List) Targets() map[string][]sched.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]sched.Target{}
	for id, r := range l.records {
		if r.draining() || r.state == removed {
			continue
		}
		e := &r.entry
		out[e.Service] = append(out[e.Service], sched.Target{
			Key:        sched.Key{ID: id, StartMillis: e.StartMillis},
			Address:    e.Address,
			DataCentre: e.DataCentre,
			Slots:      e.Slots,
			WarmAt:     r.updatedAt.Add(e.WarmupLeft),
		})
	}
	return out
}
