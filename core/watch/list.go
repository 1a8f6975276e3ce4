package watch

import (
	"sync"
	"time"

	"wisteriarelay.example/core/sched"
)

const (
	// outageAfter is the time without a read after which missing entries may
	// have lapsed only because the store was away.
	outageAfter = 2500 * time.Millisecond
	// lapsedGrace is how long after the return of the store an entry may take to
	// be written again by a live target.
	lapsedGrace = 2200 * time.Millisecond
)

// record is a target in the list.
type record struct {
	entry Entry
	seen  time.Time
	// goneAt is when a lapsed target leaves the list; zero if it is not lapsed.
	goneAt time.Time
}

// List is the list of targets as the store last gave it. It is safe for concurrent use.
type List struct {
	mu      sync.Mutex
	records map[string]*record
	version int64
	asOf    time.Time
	// heardAt is when the list was last renewed, by a peer or by a read.
	heardAt time.Time
	// graceEnd is when the grace after an outage ends.
	graceEnd time.Time
}

// NewList returns an empty list.
func NewList() *List {
	return &List{records: map[string]*record{}}
}

// Applied says what a delta changed.
type Applied struct {
	// Taken is false if the delta does not follow what the list holds.
	Taken bool
	// Returned says that the store could be read again after an outage.
	Returned bool
	// Changes are those that matter for the use of targets.
	Changes []Change
}

// Apply takes in a delta.
func (l *List) Apply(now time.Time, d Delta) Applied {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Since > l.version || d.Version < l.version {
		return Applied{}
	}
	asOf := now.Add(-d.Age)
	out := Applied{Taken: true, Returned: !l.asOf.IsZero() && asOf.Sub(l.asOf) > outageAfter}
	if out.Returned {
		l.graceEnd = now.Add(lapsedGrace)
	}
	for _, c := range d.Changes {
		if l.applyOne(now, c) {
			out.Changes = append(out.Changes, c)
		}
	}
	if d.Since == 0 {
		out.Changes = append(out.Changes, l.removeMissing(now, d)...)
	}
	l.version = d.Version
	l.heardAt = now
	if asOf.After(l.asOf) {
		l.asOf = asOf
	}
	return out
}

// applyOne applies one change and reports whether it matters for the use of the target.
func (l *List) applyOne(now time.Time, c Change) bool {
	r := l.records[c.ID]
	switch {
	case c.Entry == nil:
		return l.lapse(now, c.ID)
	case r == nil:
		l.records[c.ID] = &record{entry: *c.Entry, seen: now}
		return true
	case c.Entry.older(&r.entry):
		return false
	}
	matters := !r.entry.sameUse(c.Entry) || !r.goneAt.IsZero()
	*r = record{entry: *c.Entry, seen: now}
	return matters
}

// lapse handles an entry that is missing in the store.
func (l *List) lapse(now time.Time, id string) bool {
	r := l.records[id]
	if r == nil {
		return false
	}
	if now.Before(l.graceEnd) {
		if r.goneAt.IsZero() {
			r.goneAt = l.graceEnd
		}
		return true
	}
	delete(l.records, id)
	return true
}

// removeMissing handles the entries that a read of the whole list did not hold.
func (l *List) removeMissing(now time.Time, d Delta) []Change {
	held := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		held[c.ID] = true
	}
	var changes []Change
	for id := range l.records {
		if !held[id] && l.lapse(now, id) {
			changes = append(changes, Change{ID: id})
		}
	}
	return changes
}

// Expire removes the lapsed targets whose grace has ended and reports whether there were any.
func (l *List) Expire(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired := false
	for id, r := range l.records {
		if !r.goneAt.IsZero() && now.After(r.goneAt) {
			delete(l.records, id)
			expired = true
		}
	}
	return expired
}

// Position returns the version of the store that the list holds and the moment
// of the read that it rests on.
func (l *List) Position() (version int64, asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.asOf
}

// HeardAt returns when the list was last renewed.
func (l *List) HeardAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heardAt
}

// Snapshot returns the whole list, as a read of the store would. Lapsed targets are
// left out.
func (l *List) Snapshot(now time.Time) Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Delta{Version: l.version, Age: max(now.Sub(l.asOf), 0)}
	for id, r := range l.records {
		if !r.goneAt.IsZero() {
			continue
		}
		entry := r.entry
		entry.ColdLeft = max(entry.ColdLeft-now.Sub(r.seen), 0)
		d.Changes = append(d.Changes, Change{ID: id, Entry: &entry})
	}
	return d
}

// Targets returns the targets that may get work, by service.
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
			Key:        sched.Key{ID: id, Born: e.Born},
			Address:    e.Address,
			DataCentre: e.DataCentre,
			Slots:      e.Slots,
			WarmAt:     r.seen.Add(e.ColdLeft),
		})
	}
	return out
}
