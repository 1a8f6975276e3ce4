package watch

import "time"

// record is a target in the list with its latest entry.
type record struct {
	entry     Entry
	updatedAt time.Time
	// version is the store version of the last change that affects how the target is
	// used.
	version int64
	// state says whether the store still holds the entry.
	state recordState
	// leftBefore says that the target was removed in an earlier era of the store. The copy
	// from which the store came back may still hold its entry, so that only a later one tells
	// that the target is there.
	leftBefore bool
	// late is an entry that is older than entry although the store accepted it later;
	// nil if there is none.
	late *lateEntry
	// acceptedAt is when a late entry became entry; zero if it was not late.
	acceptedAt time.Time
}

// lateEntry is an entry that appears to be older than the one known before. Either the
// store performed an earlier call late, or it came back from an older copy, or the clock of
// the target was set back before it started again.
type lateEntry struct {
	entry Entry
	// restored says that the entry was in the copy from which the store came back.
	restored bool
	// seenAt is when the first late entry of its run was received.
	seenAt  time.Time
	version int64
}

// lateEntryTTL is how long a late entry is ignored while the store is available. A target
// that runs replaces it with its next heartbeat, and the store deletes that of another one
// after three heartbeats; one that a read finds still there after that is current.
const lateEntryTTL = 6 * time.Second

// acceptanceRepeat is how long peers are told that a late entry was accepted. Those that have
// started meanwhile do not know it, and the store does not tell of it again.
const acceptanceRepeat = 5 * time.Second

// recordState is the state of a target's entry in the store.
type recordState uint8

const (
	// present means that the store holds the entry.
	present recordState = iota
	// missing means that the entry may have expired only because of an outage. The
	// target is still used.
	missing
	// removed means that the target is gone. The record is kept to tell peers, and to
	// recognize late entries.
	removed
)

// setLate records a late entry and reports whether this affects how the target is used.
// Heartbeats of a run that is taken for an earlier one do not renew the time from which
// it is ignored.
func (r *record) setLate(late lateEntry) bool {
	if r.late != nil && r.late.entry.StartMillis == late.entry.StartMillis {
		late.seenAt = r.late.seenAt
	}
	draining := r.draining()
	r.late = &late
	return r.draining() != draining
}

// draining reports whether the target may be leaving. A late entry that says so counts,
// because it is not known which run of the target is the current one; in an older copy of
// the store it is the earlier one.
func (r *record) draining() bool {
	return r.entry.Draining || r.late != nil && r.late.entry.Draining && !r.late.restored
}

// isNewer reports whether the entry tells more of the target than the record does.
func (r *record) isNewer(e *Entry) bool {
	if !r.leftBefore {
		return !e.isOlderThan(&r.entry)
	}
	return r.entry.isOlderThan(e) && (r.late == nil || r.late.entry.isOlderThan(e))
}

// change returns the record as a change.
func (r *record) change(id string, now time.Time) Change {
	if r.state != present {
		return Change{ID: id, Version: r.version}
	}
	entry := r.entry
	entry.WarmupLeft = max(entry.WarmupLeft-now.Sub(r.updatedAt), 0)
	return Change{ID: id, Entry: &entry, Version: r.version}
}

// changedSince reports whether peers that know the list up to the version may not know the
// record.
func (r *record) changedSince(version int64, now time.Time) bool {
	return r.version > version || !r.acceptedAt.IsZero() && now.Sub(r.acceptedAt) < acceptanceRepeat
}

// lateChange returns the late entry of the record as a change if it was written after
// the version.
func (r *record) lateChange(id string, version int64) []Change {
	if r.late == nil || r.late.version <= version {
		return nil
	}
	entry := r.late.entry
	return []Change{{ID: id, Entry: &entry, Version: r.late.version}}
}
