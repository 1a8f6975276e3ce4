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

// regularCount is the number of regular carriers of a group in each data centre. It does
// not follow the demand, because a daemon that is cut off may know an earlier demand.
const regularCount = minCarriers

// Share says among how many daemons something that the fleet has in common is divided. It
// does not depend on which of them this daemon can reach now, so that the shares of all
// daemons add up to at most the whole also while they cannot see each other. The whole is
// divided equally among the data centres first: a daemon knows all daemons of its own, but
// of the others only those that it was told of.
type Share struct {
	// Counted says that another daemon of the data centre is known to count this one, or
	// that there is none. A daemon that starts knows those that started before it, but they
	// know it only once it was heard; until then they divide the whole without it.
	Counted bool
	// Regular says that this daemon is one of the first of the group while all members are
	// alive; Regulars is the number of these in this data centre, times the number of data
	// centres.
	Regular  bool
	Regulars int
	// Members is the number of all members that this daemon has known in its data centre,
	// times the number of data centres.
	Members int
}

// ShareOf returns this daemon's share in what the fleet has for a group.
func (r *Roster) ShareOf(now time.Time, group string) Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	local := 1
	for _, e := range r.entries {
		if e.DataCentre == r.self.DataCentre {
			local++
		}
	}
	candidates := r.localCandidates(now, group)
	regulars := min(regularCount, len(candidates))
	dataCentres := r.sharingDataCentres(now, group)
	return Share{
		Counted:  r.countedBy(candidates),
		Regular:  r.isRegular(candidates),
		Regulars: dataCentres * regulars,
		Members:  dataCentres * local,
	}
}

// countedBy reports whether one of the members has sent this daemon a heartbeat, and so
// knows it, or there is no other.
func (r *Roster) countedBy(members []Member) bool {
	return len(members) == 1 || slices.ContainsFunc(members, r.heard)
}

// heard reports whether another member has sent this daemon a heartbeat. Daemons send
// heartbeats only to members that they know.
func (r *Roster) heard(m Member) bool {
	e := r.entries[m.VM]
	return e != nil && !e.lastHeartbeat.IsZero()
}

// isRegular reports whether this daemon is one of the first of the candidates, and those
// that would be in its place know it: the regularCount candidates after the first ones.
func (r *Roster) isRegular(candidates []Member) bool {
	isSelf := func(m Member) bool { return m.VM == r.self.VM }
	first := candidates[:min(regularCount, len(candidates))]
	if !slices.ContainsFunc(first, isSelf) {
		return false
	}
	next := candidates[len(first):min(2*regularCount, len(candidates))]
	return !slices.ContainsFunc(next, func(m Member) bool { return !r.heard(m) })
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
		if e.mayShare(now, group) {
			names[e.DataCentre] = true
		}
	}
	return len(names)
}

// localCandidates returns the members of the local data centre that may run, with this
// daemon, in the order in which they carry the group while all are alive.
func (r *Roster) localCandidates(now time.Time, group string) []Member {
	all := []Member{r.self}
	for _, e := range r.entries {
		if e.DataCentre == r.self.DataCentre && e.mayShare(now, group) {
			all = append(all, e.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return comparePreference(group, a, b) })
	return all
}

// mayShare reports whether the member may still use its share. One that was never heard may
// do so as long as one that fell silent.
func (e *entry) mayShare(now time.Time, group string) bool {
	if e.lastHeartbeat.IsZero() && !e.leaving {
		return now.Sub(e.knownSince) < silentMemory
	}
	return e.mayRun(now, group)
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
