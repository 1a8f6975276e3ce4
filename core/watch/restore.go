package watch

import "time"

// EraStart describes the list after the first delta of a later era of the store, in which the
// store has come back from an older copy.
type EraStart struct {
	// Previous is the era of the list before.
	Previous Era
	// Missing is the number of targets in use whose entries the store does not hold.
	Missing int
	// Outdated is the number of targets whose entries in the store are older than the ones
	// known before.
	Outdated int
}

// beginsEra reports whether the delta belongs to a later era than the list. A list without
// any delta has no era yet.
func (l *List) beginsEra(d *Delta) bool {
	return d.Era > l.era && !l.asOf.IsZero()
}

// beginEra prepares the list for the whole list of a later era, in which the store is known to
// have been readable from start to end. The targets stay in use with what was last known of
// them, but no version of the earlier era means anything in this one.
func (l *List) beginEra(e Era, start, end time.Time) *EraStart {
	out := &EraStart{Previous: l.era}
	for _, r := range l.records {
		r.version = 0
		r.leftBefore = r.state == removed
	}
	l.era, l.version, l.asOf = e, 0, time.Time{}
	l.store.restart(start, end)
	return out
}

// summarize sets the numbers of an EraStart.
func (l *List) summarize(s *EraStart) {
	for _, r := range l.records {
		if r.state == missing {
			s.Missing++
		}
		if r.late != nil {
			s.Outdated++
		}
	}
}
