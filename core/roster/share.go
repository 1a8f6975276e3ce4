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
// daemons add up to at most the whole also while they cannot see each other. The whole is
// divided equally among the data centres first: a daemon knows all daemons of its own, but
// of the others only those that it was told of.
type Share struct {
	// Regular says that this daemon is one of the carriers of the group while all members
	// are alive; Regulars is the number of these in this data centre, times the number of
	// data centres.
	Regular  bool
	Regulars int
	// Members is the number of all members that this daemon has known in its data centre,
	// times the number of data centres.
	Members int
}

// ShareOf returns this daemon's share in what the fleet has for a group.
func (r *Roster) ShareOf(now time.Time, group string, cores float64) Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	local := 1
	for _, e := range r.entries {
		if e.DataCentre == r.self.DataCentre {
			local++
		}
	}
	regulars := r.regularCarriers(now, group, r.self.DataCentre, cores)
	dataCentres := r.sharingDataCentres(now, group)
	return Share{
		Regular:  slices.ContainsFunc(regulars, func(m Member) bool { return m.VM == r.self.VM }),
		Regulars: dataCentres * len(regulars),
		Members:  dataCentres * local,
	}
}

// SetTargetDataCentres sets the data centres that have targets. Those have a share also if
// no daemon there was ever heard, as after a start while they are cut off.
func (r *Roster) SetTargetDataCentres(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetDataCentres = names
}

// sharingDataCentres returns the number of data centres that have targets or daemons that
// may run, with this one.
func (r *Roster) sharingDataCentres(now time.Time, group string) int {
	names := map[string]bool{r.self.DataCentre: true}
	for _, dc := range r.targetDataCentres {
		names[dc] = true
	}
	for _, e := range r.entries {
		if e.mayRun(now, group) {
			names[e.DataCentre] = true
		}
	}
	return len(names)
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
