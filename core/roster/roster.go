package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearTTL is how long a daemon of the own data centre counts as alive after
	// it was heard; several heartbeats may be lost in it.
	nearTTL = 900 * time.Millisecond
	// farTTL is the same for daemons of other data centres, which are heard less often.
	farTTL = 3500 * time.Millisecond
	// carryTTL is how long a daemon counts as a carrier after it said so.
	carryTTL = 3 * time.Second
)

// Member is one daemon of the fleet.
type Member struct {
	VM         string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Inner is the address for peers, Callers the one for callers.
	Inner   string `cbor:"3,keyasint"`
	Callers string `cbor:"4,keyasint"`
	// Born is the Unix time in milliseconds at which the daemon started.
	Born int64 `cbor:"5,keyasint"`
}

// entry is a member with what was heard of it.
type entry struct {
	Member
	heard   time.Time
	ready   bool
	leaving bool
	carries map[string]time.Time
	// askedAt is when this daemon first counted on the member without having heard it.
	askedAt time.Time
	// told is when a peer of the own data centre last said that the member carries a group.
	told map[string]time.Time
}

// Roster is the fleet as one daemon sees it. It is safe for concurrent use.
type Roster struct {
	self    Member
	mu      sync.Mutex
	entries map[string]*entry
	ready   bool
	leaving bool
}

// New returns a roster with only the daemon itself.
func New(self Member) *Roster {
	return &Roster{self: self, entries: map[string]*entry{}}
}

// Add takes in a member that is known from the store.
func (r *Roster) Add(m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.VM == r.self.VM {
		return
	}
	if e := r.entries[m.VM]; e != nil && e.Born >= m.Born {
		return
	}
	r.entries[m.VM] = &entry{Member: m, carries: map[string]time.Time{}}
}

// SetSelf says whether this daemon is ready and whether it is leaving.
func (r *Roster) SetSelf(ready, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready, r.leaving = ready, leaving
}

// Heard notes a message of a member and returns the groups that it has begun
// to carry. ok is false if the message comes from an earlier run of the daemon.
func (r *Roster) Heard(now time.Time, m Member, ready, leaving bool, carries []string) (begun []string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[m.VM]
	if e != nil && m.Born < e.Born || m.VM == r.self.VM {
		return nil, false
	}
	if e == nil || m.Born > e.Born {
		e = &entry{carries: map[string]time.Time{}}
		r.entries[m.VM] = e
	}
	e.Member = m
	e.heard = now
	e.ready, e.leaving = ready, leaving
	for _, s := range carries {
		if now.Sub(e.carries[s]) >= carryTTL {
			begun = append(begun, s)
		}
		e.carries[s] = now
	}
	return begun, true
}

// Told notes the carriers of a group in other data centres that a peer hears.
// It makes nobody alive: it only says who is to get evidence.
func (r *Roster) Told(now time.Time, group string, members []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		e := r.entries[m.VM]
		if m.DataCentre == r.self.DataCentre || e != nil && m.Born < e.Born {
			continue
		}
		if e == nil || m.Born > e.Born {
			e = &entry{Member: m, carries: map[string]time.Time{}}
			r.entries[m.VM] = e
		}
		if e.told == nil {
			e.told = map[string]time.Time{}
		}
		e.told[group] = now
	}
}

// FarCarriers returns the carriers of the group in other data centres that this
// daemon heard itself, if it is the first carrier of its own data centre and so
// the one that tells the others there.
func (r *Roster) FarCarriers(now time.Time, group string, count int) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	near := r.carriers(now, group, r.self.DataCentre, count)
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

// alive reports whether the member counts as serving.
func (r *Roster) alive(e *entry, now time.Time) bool {
	if e.leaving {
		return false
	}
	if e.DataCentre == r.self.DataCentre {
		return e.ready && now.Sub(e.heard) < nearTTL
	}
	return r.farAlive(e, now)
}

// farAlive gives a daemon of another data centre that was never heard the
// benefit of the doubt for a while.
func (r *Roster) farAlive(e *entry, now time.Time) bool {
	if e.heard.IsZero() {
		if e.askedAt.IsZero() {
			e.askedAt = now
		}
		return now.Sub(e.askedAt) < farTTL
	}
	return now.Sub(e.heard) < farTTL
}

// DataCentres returns the data centres that have members, the own one first.
func (r *Roster) DataCentres() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dataCentres()
}

func (r *Roster) dataCentres() []string {
	var others []string
	for _, e := range r.entries {
		if e.DataCentre != r.self.DataCentre {
			others = append(others, e.DataCentre)
		}
	}
	slices.Sort(others)
	return append([]string{r.self.DataCentre}, slices.Compact(others)...)
}

// Carriers returns the daemons of a data centre that carry the group, best first.
func (r *Roster) Carriers(now time.Time, group, dataCentre string, count int) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carriers(now, group, dataCentre, count)
}

func (r *Roster) carriers(now time.Time, group, dataCentre string, count int) []Member {
	var out []Member
	if dataCentre == r.self.DataCentre && r.ready && !r.leaving {
		out = append(out, r.self)
	}
	for _, e := range r.entries {
		if e.DataCentre == dataCentre && r.alive(e, now) {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Compare(rank(group, b.VM), rank(group, a.VM))
	})
	return out[:min(count, len(out))]
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
func (r *Roster) Carries(now time.Time, group string, count int) bool {
	for _, m := range r.Carriers(now, group, r.self.DataCentre, count) {
		if m.VM == r.self.VM {
			return true
		}
	}
	return false
}

// Group returns the other daemons that carry the group, in all data centres:
// those that said so lately, and those that should by rank.
func (r *Roster) Group(now time.Time, group string, count int) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := map[string]Member{}
	for _, dc := range r.dataCentres() {
		for _, m := range r.carriers(now, group, dc, count) {
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

// Near returns the other members of the own data centre, heard or not.
func (r *Roster) Near() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Member
	for _, e := range r.entries {
		if e.DataCentre == r.self.DataCentre {
			out = append(out, e.Member)
		}
	}
	return out
}

// Rank returns the position of this daemon among those alive in its data
// centre; the first reads the store for the others.
func (r *Roster) Rank(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	position := 0
	for _, e := range r.entries {
		if e.DataCentre == r.self.DataCentre && r.alive(e, now) && e.VM < r.self.VM {
			position++
		}
	}
	return position
}

// ageMargin is the difference of two start times from which a daemon counts as
// older; it covers clocks that differ.
const ageMargin = 5 * time.Second

// YoungerThanMost reports whether most daemons of which anything is known started
// well before this one.
func (r *Roster) YoungerThanMost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	older := 0
	for _, e := range r.entries {
		if r.self.Born-e.Born > ageMargin.Milliseconds() {
			older++
		}
	}
	return 2*older > len(r.entries)
}

// Answer returns the addresses that a caller in the data centre should use:
// those of the carriers there, or in the next data centre that has any.
func (r *Roster) Answer(now time.Time, group, dataCentre string, count int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := append([]string{dataCentre}, r.dataCentres()...)
	for _, dc := range order {
		members := r.carriers(now, group, dc, count)
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
