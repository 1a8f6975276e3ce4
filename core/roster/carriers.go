package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCarriers lets callers go on at once when one daemon of their data centre fails.
	minCarriers = 2
	// defaultCores stands for the capacity of a daemon that does not state any.
	defaultCores = 0.25
)

// Carriers returns the daemons of a data centre that carry a group of so many
// cores, best first. Callers choose among them at random, so that each gets the
// same share: strong daemons come first, and there are as many as the weakest
// of them needs to carry its share. Load pattern: most VMs of a fleet are a
// fifth as strong as a few, and cannot carry what those can.
func (r *Roster) Carriers(now time.Time, group, dataCentre string, cores float64) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carriers(now, group, dataCentre, cores)
}

func (r *Roster) carriers(now time.Time, group, dataCentre string, cores float64) []Member {
	all := r.ordered(now, group, dataCentre)
	return all[:carrierCount(all, cores)]
}

// carrierCount returns how many of the ordered members carry a group.
func carrierCount(ordered []Member, cores float64) int {
	for i, m := range ordered {
		if n := i + 1; n >= minCarriers && float64(n)*m.capacity() >= cores {
			return n
		}
	}
	return len(ordered)
}

// ordered returns the living members of a data centre in the order in which they
// carry the group.
func (r *Roster) ordered(now time.Time, group, dataCentre string) []Member {
	all := r.living(now, dataCentre)
	slices.SortFunc(all, func(a, b Member) int { return before(group, a, b) })
	return all
}

// before compares two members by the order in which they carry the group.
func before(group string, a, b Member) int {
	if byCores := cmp.Compare(b.capacity(), a.capacity()); byCores != 0 {
		return byCores
	}
	return cmp.Compare(rank(group, b.VM), rank(group, a.VM))
}

// living returns the members of a data centre that count as serving.
func (r *Roster) living(now time.Time, dataCentre string) []Member {
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

func (m Member) capacity() float64 {
	if m.Cores <= 0 {
		return defaultCores
	}
	return m.Cores
}

// rank orders the daemons for a group by rendezvous hashing: the loss of a
// daemon moves only its own groups.
func rank(group, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(group)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}

// Carries reports whether this daemon is among the carriers of the group.
func (r *Roster) Carries(now time.Time, group string, cores float64) bool {
	for _, m := range r.Carriers(now, group, r.self.DataCentre, cores) {
		if m.VM == r.self.VM {
			return true
		}
	}
	return false
}

// Group returns the other daemons that carry the group, in all data centres:
// those that said so lately, and those that should by rank.
func (r *Roster) Group(now time.Time, group string, cores float64) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := map[string]Member{}
	for _, dc := range r.dataCentres() {
		for _, m := range r.carriers(now, group, dc, cores) {
			members[m.VM] = m
		}
	}
	for vm, e := range r.entries {
		if now.Sub(e.carries[group]) < carryTTL && !e.leaving || now.Sub(e.told[group]) < carryTTL {
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

// FarCarriers returns the carriers of the group in other data centres that this
// daemon heard itself, if it is the first carrier of its own data centre and so
// the one that tells the others there.
func (r *Roster) FarCarriers(now time.Time, group string, cores float64) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	near := r.carriers(now, group, r.self.DataCentre, cores)
	if len(near) == 0 || near[0].VM != r.self.VM {
		return nil
	}
	var out []Member
	for _, e := range r.entries {
		if e.DataCentre != r.self.DataCentre && !e.leaving && now.Sub(e.carries[group]) < carryTTL {
			out = append(out, e.Member)
		}
	}
	return out
}

// Answer returns the addresses that a caller in the data centre should use:
// those of the carriers there, or in the next data centre that has any.
func (r *Roster) Answer(now time.Time, group, dataCentre string, cores float64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := append([]string{dataCentre}, r.dataCentres()...)
	for _, dc := range order {
		members := r.carriers(now, group, dc, cores)
		if len(members) == 0 {
			continue
		}
		addresses := make([]string, 0, len(members))
		for _, m := range members {
			addresses = append(addresses, m.Callers)
		}
		return addresses
	}
	return nil
}
