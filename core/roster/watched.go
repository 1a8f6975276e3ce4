package roster

import (
	"slices"
	"time"
)

const (
	// standbys is the number of daemons, next in order after the carriers of a group
	// or the readers of the store, that are monitored as closely because they replace
	// a failed one.
	standbys = 4
	// readerGroup is the group name by which daemons are ordered for reading the
	// store.
	readerGroup = "readers"
)

// Monitored returns the daemons of the local data centre that are monitored: they send
// heartbeats to all members there at the full rate. They are the carriers of the
// groups, the readers of the store, and the standbys of both; cores is the demand of
// each group. The other daemons send heartbeats only to the monitored ones, so that
// the number of heartbeats in a data centre grows with its size and not with its
// square. A daemon that receives no heartbeats finds itself among the monitored ones,
// and so becomes known to the others.
func (r *Roster) Monitored(now time.Time, cores map[string]float64) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.carriersAndStandbys(now, readerGroup, 0)
	for group, c := range cores {
		for _, m := range r.carriersAndStandbys(now, group, c) {
			if !slices.ContainsFunc(out, func(o Member) bool { return o.VM == m.VM }) {
				out = append(out, m)
			}
		}
	}
	return out
}

// carriersAndStandbys returns the carriers of the group in the local data centre and
// its standbys.
func (r *Roster) carriersAndStandbys(now time.Time, group string, cores float64) []Member {
	all := r.byPreference(now, group, r.self.DataCentre)
	return all[:min(carrierCount(all, cores)+standbys, len(all))]
}

// ReaderOrder returns the members of a data centre that are alive, in the order in
// which they read the store for the others.
func (r *Roster) ReaderOrder(now time.Time, dataCentre string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byPreference(now, readerGroup, dataCentre)
}

// RemotePeers returns daemons of other data centres, at most count of each: those that
// count as alive, and those that a peer recently named as carriers.
func (r *Roster) RemotePeers(now time.Time, count int) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	perDataCentre := map[string]int{}
	var out []Member
	for _, e := range r.entries {
		if e.DataCentre == r.self.DataCentre || !r.remoteAlive(e, now) && !e.reportedRecently(now) || perDataCentre[e.DataCentre] >= count {
			continue
		}
		perDataCentre[e.DataCentre]++
		out = append(out, e.Member)
	}
	return out
}

// reportedRecently reports whether a peer recently named the member as a carrier of
// any group.
func (e *entry) reportedRecently(now time.Time) bool {
	for _, at := range e.reportedAt {
		if now.Sub(at) < carrierTTL {
			return true
		}
	}
	return false
}

// ReadersAhead returns the number of daemons of the local data centre that precede this
// one in the order of readers and may be alive. It is meant for a daemon that has just
// started: members from which it has not received a heartbeat yet are counted.
func (r *Roster) ReadersAhead(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ahead := 0
	for _, e := range r.entries {
		timedOut := !e.lastHeartbeat.IsZero() && now.Sub(e.lastHeartbeat) >= e.ttl()
		if e.DataCentre == r.self.DataCentre && !e.leaving && !timedOut && comparePreference(readerGroup, e.Member, r.self) < 0 {
			ahead++
		}
	}
	return ahead
}

// ReaderRank returns the position of this daemon in the order of readers of its data
// centre. Rank 0 reads the store for the others. If this daemon does not count as
// alive, the rank is the number of those that do.
func (r *Roster) ReaderRank(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	position := 0
	for _, m := range r.byPreference(now, readerGroup, r.self.DataCentre) {
		if m.VM == r.self.VM {
			return position
		}
		position++
	}
	return position
}
