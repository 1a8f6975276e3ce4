package watch

import (
	"sync"
	"time"

	"wisteriarelay.example/core/sched"
)

// record is a target in the list with its latest entry.
type record struct {
	entry     Entry
	updatedAt time.Time
	// missing is true if the store does not hold the entry, which may have expired
	// only because of an outage.
	missing bool
}

// List is a local copy of the store's target list. It is safe for concurrent use.
type List struct {
	mu      sync.Mutex
	records map[string]*record
	version int64
	asOf    time.Time
	// renewedAt is when a delta from a peer or from the store was last applied.
	renewedAt time.Time
	store     availability
}

// NewList returns an empty list.
func NewList() *List {
	return &List{records: map[string]*record{}}
}

// Rejection is the reason why a delta was not applied; empty if it was.
type Rejection string

// The reasons to reject a delta.
const (
	// Gap means that changes between the list's version and the delta are missing.
	Gap Rejection = "gap"
	// Outdated means that the delta is older than the list.
	Outdated Rejection = "outdated"
)

// ApplyResult is the result of applying a delta.
type ApplyResult struct {
	Rejection Rejection
	// StoreRecovered is true if the delta is the first read after an outage of the store.
	StoreRecovered bool
	// Changes holds the changes that affect how targets are used.
	Changes []Change
}

// Accepted reports whether the delta was applied.
func (r ApplyResult) Accepted() bool {
	return r.Rejection == ""
}

// Apply applies a delta unless it leaves a gap after the list's version or is older
// than the list. Even then the delta shows that the store could be read.
func (l *List) Apply(now time.Time, d Delta) ApplyResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := now.Add(-d.Age)
	l.store.observe(asOf.Add(-d.Uptime), asOf)
	switch {
	case d.Version < l.version:
		return ApplyResult{Rejection: Outdated}
	case d.Since > l.version:
		return ApplyResult{Rejection: Gap}
	}
	out := ApplyResult{StoreRecovered: !l.asOf.IsZero() && asOf.Sub(l.asOf) > outageThreshold}
	for _, c := range d.Changes {
		if l.applyChange(now, c) {
			out.Changes = append(out.Changes, c)
		}
	}
	if d.Since == 0 {
		out.Changes = append(out.Changes, l.removeMissing(now, d)...)
	}
	l.version = d.Version
	l.renewedAt = now
	if asOf.After(l.asOf) {
		l.asOf = asOf
	}
	return out
}

// applyChange applies one change and reports whether it affects how the target is used.
func (l *List) applyChange(now time.Time, c Change) bool {
	r := l.records[c.ID]
	switch {
	case c.Entry == nil:
		return l.removeOrDefer(now, c.ID)
	case r == nil:
		l.records[c.ID] = &record{entry: *c.Entry, updatedAt: now}
		return true
	case c.Entry.isOlderThan(&r.entry):
		return false
	}
	relevant := !r.entry.equivalentTo(c.Entry) || r.missing
	*r = record{entry: *c.Entry, updatedAt: now}
	return relevant
}

// removeOrDefer removes a target whose entry is missing from the store, or schedules
// its removal if the grace period after an outage has not ended. It reports whether
// the target was in the list.
func (l *List) removeOrDefer(now time.Time, id string) bool {
	r := l.records[id]
	if r == nil {
		return false
	}
	if now.Before(l.store.graceEnd()) {
		r.missing = true
		return true
	}
	delete(l.records, id)
	return true
}

// removeMissing calls removeOrDefer for the targets that are missing from a read of
// the whole list, and returns them as changes.
func (l *List) removeMissing(now time.Time, d Delta) []Change {
	present := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		present[c.ID] = true
	}
	var changes []Change
	for id := range l.records {
		if !present[id] && l.removeOrDefer(now, id) {
			changes = append(changes, Change{ID: id})
		}
	}
	return changes
}

// Expire removes the targets whose entries are still missing at the end of the grace
// period, and reports whether there were any.
func (l *List) Expire(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.After(l.store.graceEnd()) {
		return false
	}
	expired := false
	for id, r := range l.records {
		if r.missing {
			delete(l.records, id)
			expired = true
		}
	}
	return expired
}

// Position returns the store version of the list and the start time of the latest
// read that the list is based on.
func (l *List) Position() (version int64, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.asOf
}

// RenewedAt returns when a delta from a peer or from the store was last applied.
func (l *List) RenewedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewedAt
}

// Uptime returns how long before the latest read the store is known to have been
// readable without an outage.
func (l *List) Uptime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.uptime()
}

func (l *List) uptime() time.Duration {
	return max(l.asOf.Sub(l.store.since), 0)
}

// Snapshot returns the whole list as a delta, as a read of the store would. Targets
// whose entries are missing are left out.
func (l *List) Snapshot(now time.Time) Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Delta{Version: l.version, Age: max(now.Sub(l.asOf), 0), Uptime: l.uptime()}
	for id, r := range l.records {
		if r.missing {
			continue
		}
		entry := r.entry
		entry.WarmupLeft = max(entry.WarmupLeft-now.Sub(r.updatedAt), 0)
		d.Changes = append(d.Changes, Change{ID: id, Entry: &entry})
	}
	return d
}

// Targets returns the targets that may receive requests, by service. Draining targets
// are left out.
func (l *List) Targets() map[string][]sched.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]sched.Target{}
	for id, r := range l.records {
		e := &r.entry
		if e.Draining {
			continue
		}
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
