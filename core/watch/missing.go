package watch

import "time"

// addRemoved adds a record of a target that is not known here. Peers that know of it, or of a
// late entry of it, must learn that it is gone.
func (l *List) addRemoved(c Change) {
	if l.records[c.ID] == nil {
		l.records[c.ID] = &record{state: removed, version: c.Version}
		l.removedCount++
	}
}

// removeOrDefer removes a target whose entry is missing from the store at asOf, or defers
// its removal if the grace period after an outage had not ended by then. It reports whether
// the target was in use.
func (l *List) removeOrDefer(asOf time.Time, id string, version int64) bool {
	r := l.records[id]
	if r == nil {
		return false
	}
	r.version = max(r.version, version)
	r.late = nil
	if r.state == removed {
		return false
	}
	if asOf.Before(l.store.graceEnd()) {
		l.setState(r, missing)
	} else {
		l.setState(r, removed)
	}
	return true
}

// removeMissing calls removeOrDefer for the targets that are missing from a read of
// the whole list, and returns them as changes.
func (l *List) removeMissing(asOf time.Time, d Delta) []Change {
	listed := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		listed[c.ID] = true
	}
	var changes []Change
	for id, r := range l.records {
		known := r.state != removed || r.late != nil
		if !listed[id] && known && l.removeOrDefer(asOf, id, d.Version) {
			changes = append(changes, Change{ID: id})
		}
	}
	return changes
}

// removeStillMissing removes the targets whose entries are missing if the list is based on
// a read after the grace period, and returns them as changes. The passage of time alone is
// no reason to remove them: the store may be unavailable again.
func (l *List) removeStillMissing() []Change {
	if l.asOf.Before(l.store.graceEnd()) {
		return nil
	}
	var changes []Change
	for id, r := range l.records {
		if r.state == missing {
			l.setState(r, removed)
			changes = append(changes, Change{ID: id, Version: r.version})
		}
	}
	return changes
}

// acceptLate replaces entries by the late ones that the store still holds after
// lateEntryTTL in which it was available, and returns those that affect how the target is
// used as changes. While it is unavailable, nothing replaces or deletes a late entry.
func (l *List) acceptLate(now time.Time) []Change {
	var changes []Change
	for id, r := range l.records {
		if r.late == nil {
			continue
		}
		since := r.late.seenAt
		if l.store.since.After(since) {
			since = l.store.since
		}
		late := *r.late
		if l.asOf.Sub(since) < lateEntryTTL {
			continue
		}
		if l.setEntry(now, r, late.entry, late.version) {
			changes = append(changes, Change{ID: id, Entry: &late.entry, Version: late.version})
		}
		r.acceptedAt = now
	}
	return changes
}

// CheckDue returns when a read tells which of the missing targets are gone; zero if no
// target is missing.
func (l *List) CheckDue() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if r.state == missing {
			return l.store.graceEnd()
		}
	}
	return time.Time{}
}
