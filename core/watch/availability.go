package watch

import "time"

const (
	// outageThreshold is the time between two reads from which the store counts as
	// having been unavailable. Entries that are missing afterwards may have expired
	// only because live targets could not renew them.
	outageThreshold = 2500 * time.Millisecond
	// missingGrace is how long the store has to be available again before a read tells
	// that a missing entry will not be back. It gives live targets time to write their
	// entries anew.
	missingGrace = 2200 * time.Millisecond
)

// availability records when the store is known to have been readable, by this daemon
// or by its peers.
type availability struct {
	// since and until bound the latest period in which the store was readable; no two
	// known reads in it are further apart than outageThreshold.
	since time.Time
	until time.Time
	// lastBefore is the end of the period before it; zero if no outage is known.
	lastBefore time.Time
	// restored says that the period began when the store came back from an older copy.
	restored bool
}

// restart records that the store came back from an older copy and was readable from start
// to end since then. Earlier reads say nothing about that period, however short the outage.
func (a *availability) restart(start, end time.Time) {
	*a = availability{since: start, until: end, restored: true}
}

// observe records that the store was readable from start to end.
func (a *availability) observe(start, end time.Time) {
	switch {
	case a.until.IsZero():
		a.since, a.until = start, end
		return
	case start.Sub(a.until) > outageThreshold:
		*a = availability{since: start, until: end, lastBefore: a.until}
		return
	case a.since.Sub(end) > outageThreshold:
		return
	}
	if start.Before(a.since) {
		a.since = start
	}
	if end.After(a.until) {
		a.until = end
	}
	if a.since.Sub(a.lastBefore) <= outageThreshold {
		// A peer could read the store while this daemon could not.
		a.lastBefore = time.Time{}
	}
}

// graceEnd returns the time from which on a read tells that a missing target is gone; zero
// if any read does.
func (a *availability) graceEnd() time.Time {
	if a.lastBefore.IsZero() && !a.restored {
		return time.Time{}
	}
	return a.since.Add(missingGrace)
}
