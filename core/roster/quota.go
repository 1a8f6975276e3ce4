package roster

import (
	"fmt"
	"slices"
	"time"
)

const (
	// QuotaGroup is the group name by which the holders of the quotas are ordered. They
	// report that they carry it, so that they hear each other.
	QuotaGroup = "quota"
	// quotaHolders is the number of holders in each data centre.
	quotaHolders = 4
)

// QuotaHolders says which daemons hold the quotas in equal shares.
type QuotaHolders struct {
	// Self says that this daemon is one of them; Shares is the number of shares.
	Self   bool
	Shares int
	// Candidates are the holders that may coordinate quotas: those that are not leaving.
	Candidates []Member
}

// QuotaHolders returns the holders of the quotas: the first of each data centre, whether or
// not they are alive.
func (r *Roster) QuotaHolders(now time.Time) QuotaHolders {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out QuotaHolders
	for _, dc := range r.dataCentres() {
		holders, shares := r.quotaHolders(now, dc)
		out.Shares += shares
		for _, m := range holders {
			out.Self = out.Self || m.VM == r.self.VM
			if !r.isLeaving(m.VM) {
				out.Candidates = append(out.Candidates, m)
			}
		}
	}
	return out
}

// quotaHolders returns the holders in a data centre and the number of their shares.
// Members that were never heard count as holders only for as long as unheardMemory, but
// for the number of shares as long as those that fell silent: a daemon that starts while
// it is cut off from other data centres must not take its share for a larger one.
func (r *Roster) quotaHolders(now time.Time, dataCentre string) (holders []Member, shares int) {
	if dataCentre == r.self.DataCentre {
		holders = append(holders, r.self)
		shares++
	}
	for _, e := range r.entries {
		if e.DataCentre != dataCentre {
			continue
		}
		mayRun := e.mayRun(now, QuotaGroup)
		if mayRun {
			holders = insertHolder(holders, e.Member)
		}
		if mayRun || e.lastHeartbeat.IsZero() && now.Sub(e.knownSince) < silentMemory {
			shares++
		}
	}
	return holders, min(shares, quotaHolders)
}

// insertHolder inserts a member into the list of the first ones in order. There are many
// members and few holders, so the others are not sorted.
func insertHolder(holders []Member, m Member) []Member {
	at := len(holders)
	for at > 0 && comparePreference(QuotaGroup, m, holders[at-1]) < 0 {
		at--
	}
	if at == quotaHolders {
		return holders
	}
	holders = slices.Insert(holders, at, m)
	return holders[:min(len(holders), quotaHolders)]
}

// isLeaving reports whether the daemon on a VM said that it leaves.
func (r *Roster) isLeaving(vm string) bool {
	if vm == r.self.VM {
		return r.leaving
	}
	e := r.entries[vm]
	return e != nil && e.leaving
}

// QuotaCandidates sorts the candidates for the coordinator of a shard.
func QuotaCandidates(candidates []Member, shard int) []Member {
	group := fmt.Sprint(QuotaGroup, "-", shard)
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b Member) int { return comparePreference(group, a, b) })
	return out
}
