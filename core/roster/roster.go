package roster

import (
	"slices"
	"sync"
	"time"
)

const (
	// nearTTL is how long a daemon of the own data centre counts as alive after
	// it was heard; several heartbeats may be lost in it.
	nearTTL = 900 * time.Millisecond
	// quietTTL is the same for daemons that are not watched and beat less often.
	quietTTL = 4500 * time.Millisecond
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
	// Cores is the processor share that the daemon has for requests; 0 if it states none.
	Cores float64 `cbor:"6,keyasint,omitempty"`
}

// Standing is what a daemon says of itself beside its place.
type Standing struct {
	Ready   bool
	Leaving bool
	// Quiet says that it beats less often, because it is not watched.
	Quiet bool
}

// entry is a member with what was heard of it.
type entry struct {
	Member
	heard   time.Time
	ready   bool
	leaving bool
	// quiet says that the member beats less often.
	quiet   bool
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
func (r *Roster) Heard(now time.Time, m Member, s Standing, carries []string) (begun []string, ok bool) {
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
	e.ready, e.leaving, e.quiet = s.Ready, s.Leaving, s.Quiet
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

// alive reports whether the member counts as serving.
func (r *Roster) alive(e *entry, now time.Time) bool {
	if e.leaving {
		return false
	}
	if e.DataCentre == r.self.DataCentre {
		return e.ready && now.Sub(e.heard) < e.ttl()
	}
	return r.farAlive(e, now)
}

// ttl returns how long a member of the own data centre counts as alive.
func (e *entry) ttl() time.Duration {
	if e.quiet {
		return quietTTL
	}
	return nearTTL
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

// AnyReady reports whether another daemon was heard that serves.
func (r *Roster) AnyReady(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.ready && !e.leaving && !e.heard.IsZero() && now.Sub(e.heard) < farTTL {
			return true
		}
	}
	return false
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
