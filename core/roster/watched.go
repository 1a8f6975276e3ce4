package roster

import (
	"slices"
	"time"
)

const (
	// spares is the number of daemons behind those that carry a group, or read the
	// store, which are watched as closely because they come next.
	spares = 4
	// readerGroup is the name under which daemons are ordered for reading the store.
	readerGroup = "readers"
)

// Watched returns the daemons of the own data centre that everybody there has to
// hear often: those that carry one of the groups or read the store, and those
// that come next. The others are heard by the watched ones only, so that the
// heartbeats of a data centre grow with its size and not with its square. A daemon
// that hears none of them counts itself as watched, and so makes itself known.
func (r *Roster) Watched(now time.Time, cores map[string]float64) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.first(now, readerGroup, 0)
	for group, c := range cores {
		for _, m := range r.first(now, group, c) {
			if !slices.ContainsFunc(out, func(o Member) bool { return o.VM == m.VM }) {
				out = append(out, m)
			}
		}
	}
	return out
}

// first returns the carriers of the group in the own data centre and its spares.
func (r *Roster) first(now time.Time, group string, cores float64) []Member {
	all := r.ordered(now, group, r.self.DataCentre)
	return all[:min(carrierCount(all, cores)+spares, len(all))]
}

// Ordered returns the living members of a data centre, those first that read the store.
func (r *Roster) Ordered(now time.Time, dataCentre string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordered(now, readerGroup, dataCentre)
}

// Abroad returns daemons of other data centres that serve, at most count of each:
// those that were heard, and those that a peer has named as carriers.
func (r *Roster) Abroad(now time.Time, count int) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := map[string]int{}
	var out []Member
	for _, e := range r.entries {
		if e.DataCentre == r.self.DataCentre || !r.farAlive(e, now) && !e.toldLately(now) || found[e.DataCentre] >= count {
			continue
		}
		found[e.DataCentre]++
		out = append(out, e.Member)
	}
	return out
}

func (e *entry) toldLately(now time.Time) bool {
	for _, at := range e.told {
		if now.Sub(at) < carryTTL {
			return true
		}
	}
	return false
}

// Ahead returns the number of daemons of the own data centre that come before this
// one in reading the store and of which nothing speaks against their being alive.
// It is for a daemon that has just started and has not heard the others yet.
func (r *Roster) Ahead(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	ahead := 0
	for _, e := range r.entries {
		silent := !e.heard.IsZero() && now.Sub(e.heard) >= e.ttl()
		if e.DataCentre == r.self.DataCentre && !e.leaving && !silent && before(readerGroup, e.Member, r.self) < 0 {
			ahead++
		}
	}
	return ahead
}

// Rank returns the position of this daemon among those alive in its data
// centre; the first reads the store for the others.
func (r *Roster) Rank(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	position := 0
	for _, m := range r.ordered(now, readerGroup, r.self.DataCentre) {
		if m.VM == r.self.VM {
			return position
		}
		position++
	}
	return position
}
