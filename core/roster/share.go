package roster

import (
	"slices"
	"time"
)

const (
	// silentMemory is how long a member that stopped sending heartbeats still counts as
	// one of those that share what the fleet has in common: it may be cut off, and use its
	// share.
	silentMemory = 10 * time.Minute
	// leavingMemory replaces silentMemory for members that said that they leave.
	leavingMemory = 30 * time.Second
	// unheardMemory replaces silentMemory for members that were never heard. Rows of VMs
	// that are gone for good stay in the store.
	unheardMemory = 30 * time.Second
)

// Share says among how many daemons something that the fleet has in common is divided. It
// does not depend on which of them this daemon can reach now, so that the shares of all
// daemons add up to at most the whole also while they cannot see each other.
type Share struct {
	// Regular says that this daemon is one of the carriers of the group while all members
	// are alive; Regulars is the number of these.
	Regular  bool
	Regulars int
	// Members is the number of all members that this daemon has known.
	Members int
}

// ShareOf returns this daemon's share in what the fleet has for a group.
func (r *Roster) ShareOf(now time.Time, group string, cores float64) Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Share{Members: len(r.entries) + 1}
	for _, dc := range r.dataCentres() {
		regulars := r.regularCarriers(now, group, dc, cores)
		s.Regulars += len(regulars)
		s.Regular = s.Regular || slices.ContainsFunc(regulars, func(m Member) bool { return m.VM == r.self.VM })
	}
	return s
}

// regularCarriers returns the carriers of the group in a data centre as they would be if
// all members were alive.
func (r *Roster) regularCarriers(now time.Time, group, dataCentre string, cores float64) []Member {
	var all []Member
	if dataCentre == r.self.DataCentre {
		all = append(all, r.self)
	}
	for _, e := range r.entries {
		if e.DataCentre == dataCentre && e.mayRun(now, group) {
			all = append(all, e.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return comparePreference(group, a, b) })
	return all[:carrierCount(all, cores)]
}

// mayRun reports whether the member may still run, although it may not be heard.
func (e *entry) mayRun(now time.Time, group string) bool {
	switch {
	case now.Sub(e.reportedAt[group]) < carrierTTL:
		return true
	case e.leaving:
		return now.Sub(e.lastHeartbeat) < leavingMemory
	case e.lastHeartbeat.IsZero():
		return now.Sub(e.knownSince) < unheardMemory
	default:
		return now.Sub(e.lastHeartbeat) < silentMemory
	}
}
