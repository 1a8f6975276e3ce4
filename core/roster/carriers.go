package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCarriers is the least number of carriers of a group in a data centre: if one
	// fails, callers use the other at once.
	minCarriers = 2
	// defaultCores is the capacity that is assumed for a daemon that reports none.
	defaultCores = 0.25
)

// Carriers returns the daemons of a data centre that carry a group, in order of
// preference; cores is what the group needs in each data centre. Callers choose among
// the carriers at random, so each carrier gets the same share of the requests,
// whatever its capacity. Daemons with the most cores therefore come first, and there
// are as many carriers as the smallest of them needs to handle an equal share. Most
// VMs of a fleet have a fifth of the cores of the few large ones and could not handle
// the same load.
func (r *Roster) Carriers(now time.Time, group, dataCentre string, cores float64) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carriers(now, group, dataCentre, cores)
}

func (r *Roster) carriers(now time.Time, group, dataCentre string, cores float64) []Member {
	all := r.byPreference(now, group, dataCentre)
	return all[:carrierCount(all, cores)]
}

// carrierCount returns how many members, from the first in order of preference, are
// needed for the cores.
func carrierCount(byPreference []Member, cores float64) int {
	for i, m := range byPreference {
		if n := i + 1; n >= minCarriers && float64(n)*m.capacity() >= cores {
			return n
		}
	}
	return len(byPreference)
}

// byPreference returns the members of a data centre that are alive, in the order in
// which they are chosen as carriers of the group.
func (r *Roster) byPreference(now time.Time, group, dataCentre string) []Member {
	all := r.aliveMembers(now, dataCentre)
	slices.SortFunc(all, func(a, b Member) int { return comparePreference(group, a, b) })
	return all
}

// comparePreference compares two members by capacity, the larger first, and then by
// rendezvous weight for the group.
func comparePreference(group string, a, b Member) int {
	if byCores := cmp.Compare(b.capacity(), a.capacity()); byCores != 0 {
		return byCores
	}
	return cmp.Compare(rendezvousWeight(group, b.VM), rendezvousWeight(group, a.VM))
}

// aliveMembers returns the members of a data centre that can serve, including this
// daemon.
func (r *Roster) aliveMembers(now time.Time, dataCentre string) []Member {
	var out []Member
	if dataCentre == r.self.DataCentre && r.ready && !r.leaving {
		out = append(out, r.self)
	}
	for _, e := range r.entries {
		if e.DataCentre == dataCentre && r.alive(e, now) {
			out = append(out, e.Member)
		}
	}
	return out
}

// capacity returns the cores of the member, or defaultCores if it reports none.
func (m Member) capacity() float64 {
	if m.Cores <= 0 {
		return defaultCores
	}
	return m.Cores
}

// rendezvousWeight returns the weight of a daemon for a group (rendezvous hashing): if
// a daemon fails, only the groups that it carries move.
func rendezvousWeight(group, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// Carries reports whether this daemon is one of the carriers of the group.
func (r *Roster) Carries(now time.Time, group string, cores float64) bool {
	for _, m := range r.Carriers(now, group, r.self.DataCentre, cores) {
		if m.VM == r.self.VM {
			return true
		}
	}
	return false
}

// GroupPeers returns the other daemons, in all data centres, that handle requests for
// the group: its carriers by order of preference, those that recently reported that
// they carry it, and those that a peer recently named as carriers.
func (r *Roster) GroupPeers(now time.Time, group string, cores float64) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := map[string]Member{}
	for _, dc := range r.dataCentres() {
		for _, m := range r.carriers(now, group, dc, cores) {
			members[m.VM] = m
		}
	}
	for vm, e := range r.entries {
		if now.Sub(e.lastCarried[group]) < carrierTTL && !e.leaving || now.Sub(e.reportedAt[group]) < carrierTTL {
			members[vm] = e.Member
		}
	}
	delete(members, r.self.VM)
	out := make([]Member, 0, len(members))
	for _, m := range members {
		out = append(out, m)
	}
	return out
}

// RemoteCarriers returns the carriers of the group in other data centres from which
// this daemon received heartbeats. It returns nil unless this daemon is the first
// carrier of the group in its own data centre, because only that one sends the list to
// the others there.
func (r *Roster) RemoteCarriers(now time.Time, group string, cores float64) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	local := r.carriers(now, group, r.self.DataCentre, cores)
	if len(local) == 0 || local[0].VM != r.self.VM {
		return nil
	}
	var out []Member
	for _, e := range r.entries {
		if e.DataCentre != r.self.DataCentre && !e.leaving && now.Sub(e.lastCarried[group]) < carrierTTL {
			out = append(out, e.Member)
		}
	}
	return out
}

// CallerAddresses returns the addresses to which a caller in the data centre should
// connect: those of the carriers there or, if there are none, in the first other data
// centre that has any. A daemon that does not carry the group hears no other data centre;
// if it leaves and its own has no carrier left, it names those of which a peer told it.
func (r *Roster) CallerAddresses(now time.Time, group, dataCentre string, cores float64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := append([]string{dataCentre}, r.dataCentres()...)
	for _, dc := range order {
		members := r.carriers(now, group, dc, cores)
		if len(members) == 0 {
			continue
		}
		return callerAddresses(members)
	}
	if !r.leaving {
		return nil
	}
	return callerAddresses(r.reportedCarriers(now, group))
}

// reportedMemory is how long a daemon that leaves tells callers the carriers that a peer
// named last, if it knows no other.
const reportedMemory = 15 * time.Second

// reportedCarriers returns the daemons that a peer recently named as carriers of the group
// and that did not say themselves that they leave.
func (r *Roster) reportedCarriers(now time.Time, group string) []Member {
	var out []Member
	for _, e := range r.entries {
		if !e.leaving && now.Sub(e.reportedAt[group]) < reportedMemory {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return comparePreference(group, a, b) })
	return out
}

func callerAddresses(members []Member) []string {
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.CallerAddress)
	}
	return addresses
}
