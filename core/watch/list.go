package watch

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxRemoved is the largest number of removed targets that are kept.
const maxRemoved = 4096

// List is a local copy of the store's target list. It is safe for concurrent use.
type List struct {
	mu      sync.Mutex
	records map[string]*record
	// removedCount is the number of records with the state removed.
	removedCount int
	// era is the era of the store to which all versions in the list belong.
	era     Era
	version int64
	// historyStart is the version from which on all changes are known.
	historyStart int64
	// asOf is the start of the latest read that the list is based on.
	asOf time.Time
	// renewedAt is when a delta from a peer or from the store was last applied.
	renewedAt time.Time
	// store is when the store is known to have been readable.
	store availability
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
	// EraGap means that the delta holds changes of a later era of the store than the list,
	// which must be read whole first.
	EraGap Rejection = "era-gap"
)

// ApplyResult is the result of applying a delta.
type ApplyResult struct {
	Rejection Rejection
	// StoreRecovered is true if the delta is the first read after an outage of the store.
	StoreRecovered bool
	// EraStart is set if the delta is the first one of a later era of the store.
	EraStart *EraStart
	// Changes holds the changes that affect how targets are used.
	Changes []Change
}

// Accepted reports whether the delta was applied.
func (r ApplyResult) Accepted() bool {
	return r.Rejection == ""
}

// Apply applies a delta unless it leaves a gap after the list's version or is older
// than the list. Even then the delta shows that the store could be read, if it belongs to the
// list's era. The first delta of a later era must be the whole list.
func (l *List) Apply(now time.Time, d Delta) ApplyResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	asOf := now.Add(-d.Age)
	out := ApplyResult{StoreRecovered: !l.asOf.IsZero() && asOf.Sub(l.asOf) > outageThreshold}
	switch {
	case d.Era != 0 && d.Era < l.era:
		return ApplyResult{Rejection: Outdated}
	case !l.beginsEra(&d):
		l.store.observe(asOf.Add(-d.Uptime), asOf)
	case d.Since > 0:
		return ApplyResult{Rejection: EraGap}
	default:
		out.EraStart = l.beginEra(d.Era, asOf.Add(-d.Uptime), asOf)
	}
	switch {
	case d.Version < l.version:
		return ApplyResult{Rejection: Outdated}
	case d.Since > l.version:
		return ApplyResult{Rejection: Gap}
	}
	out.Changes = l.applyDelta(now, asOf, d, out.EraStart != nil)
	if out.EraStart != nil {
		l.summarize(out.EraStart)
	}
	return out
}

// applyDelta applies a delta that fits the list and was read at asOf, and returns the changes
// that affect how targets are used. restored says that it holds the copy from which the store
// came back.
func (l *List) applyDelta(now, asOf time.Time, d Delta, restored bool) []Change {
	var changes []Change
	for _, c := range d.Changes {
		if c.Entry != nil && c.Entry.Validate() != nil {
			c.Entry = nil
		}
		c.Version = d.versionOf(c)
		if c.Entry == nil && d.Since > 0 {
			l.addRemoved(c)
		}
		if l.applyChange(now, asOf, c, restored) {
			changes = append(changes, c)
		}
	}
	if d.Since == 0 {
		changes = append(changes, l.removeMissing(asOf, d)...)
	}
	if l.version == 0 {
		l.historyStart = d.Version
	}
	l.era = max(l.era, d.Era)
	l.version = d.Version
	l.renewedAt = now
	if asOf.After(l.asOf) {
		l.asOf = asOf
	}
	changes = append(changes, l.removeStillMissing()...)
	changes = append(changes, l.acceptLate(now)...)
	l.pruneRemoved()
	return changes
}

// applyChange applies one change, which was read at asOf, and reports whether it affects how
// the target is used. restored says that it was in the copy from which the store came back.
func (l *List) applyChange(now, asOf time.Time, c Change, restored bool) bool {
	r := l.records[c.ID]
	switch {
	case c.Entry == nil:
		return l.removeOrDefer(asOf, c.ID, c.Version)
	case r == nil:
		l.records[c.ID] = &record{entry: *c.Entry, updatedAt: now, version: c.Version}
		return true
	case restored && r.leftBefore, !r.isNewer(c.Entry):
		return r.setLate(lateEntry{entry: *c.Entry, restored: restored, seenAt: now, version: c.Version})
	}
	return l.setEntry(now, r, *c.Entry, c.Version)
}

// setEntry replaces the entry of a record and reports whether this affects how the
// target is used. Peers that know of a late entry must learn that it is replaced.
func (l *List) setEntry(now time.Time, r *record, entry Entry, version int64) bool {
	relevant := !r.entry.equivalentTo(&entry) || r.state != present || r.draining() != entry.Draining
	if !relevant && r.late == nil {
		version = r.version
	}
	l.setState(r, present)
	*r = record{entry: entry, updatedAt: now, version: version}
	return relevant
}

// setState changes the state of a record.
func (l *List) setState(r *record, s recordState) {
	if r.state == removed {
		l.removedCount--
	}
	if s == removed {
		l.removedCount++
	}
	r.state = s
}

// pruneRemoved forgets the older half of the removed targets if there are too many.
func (l *List) pruneRemoved() {
	if l.removedCount <= maxRemoved {
		return
	}
	var ids []string
	for id, r := range l.records {
		if r.state == removed {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(l.records[a].version, l.records[b].version) })
	for _, id := range ids[:len(ids)/2] {
		l.historyStart = max(l.historyStart, l.records[id].version)
		delete(l.records, id)
		l.removedCount--
	}
}
