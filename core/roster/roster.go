package roster

import (
	"slices"
	"sync"
	"time"
)

const (
	// localTTL is how long a daemon of the local data centre counts as alive after its
	// last heartbeat. It covers the loss of several heartbeats.
	localTTL = 900 * time.Millisecond
	// reducedRateTTL replaces localTTL for daemons that are not monitored and send
	// heartbeats at a reduced rate.
	reducedRateTTL = 4500 * time.Millisecond
	// remoteTTL replaces localTTL for daemons of other data centres, whose heartbeats
	// arrive less often.
	remoteTTL = 3500 * time.Millisecond
	// carrierTTL is how long a daemon counts as a carrier after it, or a peer, last
	// reported that it carries a group.
	carrierTTL = 3 * time.Second
	// earlierRunTTL is how long after the last heartbeat of a run the heartbeats of one
	// that seems to be earlier are ignored. Later ones cannot have been on the way for so
	// long: the clock of the VM was set back before the daemon started again.
	earlierRunTTL = 4 * time.Second
)

// Member describes one daemon of the fleet.
type Member struct {
	VM         string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// PeerAddress is the address for peers, CallerAddress the address for callers.
	PeerAddress   string `cbor:"3,keyasint"`
	CallerAddress string `cbor:"4,keyasint"`
	// StartMillis is the Unix time in milliseconds at which the daemon started.
	StartMillis int64 `cbor:"5,keyasint"`
	// Cores is the number of processor cores that the daemon has for requests; 0 if it
	// reports none.
	Cores float64 `cbor:"6,keyasint,omitempty"`
}

// Status is the status that a daemon reports about itself.
type Status struct {
	Ready   bool
	Leaving bool
	// ReducedRate is true if the daemon sends heartbeats at a reduced rate, because it is
	// not monitored.
	ReducedRate bool
	// ConfigVersion is the version of the configuration in force; 0 if there is none.
	ConfigVersion int64
}

// entry is a member with the latest reports about it.
type entry struct {
	Member
	lastHeartbeat time.Time
	ready         bool
	leaving       bool
	// reducedRate is true if the member sends heartbeats at a reduced rate.
	reducedRate bool
	// configVersion is the version of the configuration that the member last reported.
	configVersion int64
	// lastCarried holds, by group, when the member last reported that it carries the
	// group.
	lastCarried map[string]time.Time
	// knownSince is when this daemon learned of this run of the member.
	knownSince time.Time
	// assumedAliveSince is when this daemon first took the member for alive without
	// having received a heartbeat from it.
	assumedAliveSince time.Time
	// reportedAt holds, by group, when a peer of the local data centre last named the
	// member as a carrier of the group.
	reportedAt map[string]time.Time
}

// Roster holds the members of the fleet as seen by one daemon. It is safe for
// concurrent use.
type Roster struct {
	self    Member
	mu      sync.Mutex
	entries map[string]*entry
	ready   bool
	leaving bool
	// targetDataCentres are the data centres that have targets.
	targetDataCentres []string
}

// New returns a roster that contains only the daemon itself.
func New(self Member) *Roster {
	return &Roster{self: self, entries: map[string]*entry{}}
}

// Add adds a member that is known from the store or from a peer. It does nothing if
// this run of the daemon, or a later one, is already known.
func (r *Roster) Add(m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.VM == r.self.VM {
		return
	}
	if e := r.entries[m.VM]; e != nil && e.StartMillis >= m.StartMillis {
		return
	}
	r.entries[m.VM] = &entry{Member: m, knownSince: time.Now(), lastCarried: map[string]time.Time{}}
}

// SetStatus sets whether this daemon is ready and whether it is leaving.
func (r *Roster) SetStatus(ready, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready, r.leaving = ready, leaving
}

// RecordHeartbeat records a heartbeat of a member and the groups that it carries. It
// returns the groups that the member did not carry before. ok is false if the heartbeat
// is ignored, because it comes from an earlier run of the daemon or from this daemon.
func (r *Roster) RecordHeartbeat(now time.Time, m Member, s Status, carries []string) (newlyCarried []string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[m.VM]
	if e != nil && m.StartMillis < e.StartMillis && now.Sub(e.lastHeartbeat) < earlierRunTTL || m.VM == r.self.VM {
		return nil, false
	}
	if e == nil || m.StartMillis != e.StartMillis {
		e = &entry{knownSince: now, lastCarried: map[string]time.Time{}}
		r.entries[m.VM] = e
	}
	e.Member = m
	e.lastHeartbeat = now
	e.ready, e.leaving, e.reducedRate = s.Ready, s.Leaving, s.ReducedRate
	e.configVersion = s.ConfigVersion
	for _, group := range carries {
		if now.Sub(e.lastCarried[group]) >= carrierTTL {
			newlyCarried = append(newlyCarried, group)
		}
		e.lastCarried[group] = now
	}
	return newlyCarried, true
}

// RecordRemoteCarriers records the carriers of a group in other data centres, as
// reported by a peer. The members do not count as alive because of it; the report only
// adds them to the daemons to which results are sent.
func (r *Roster) RecordRemoteCarriers(now time.Time, group string, members []Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		e := r.entries[m.VM]
		if m.DataCentre == r.self.DataCentre || e != nil && m.StartMillis < e.StartMillis {
			continue
		}
		if e == nil || m.StartMillis > e.StartMillis {
			e = &entry{Member: m, knownSince: now, lastCarried: map[string]time.Time{}}
			r.entries[m.VM] = e
		}
		if e.reportedAt == nil {
			e.reportedAt = map[string]time.Time{}
		}
		e.reportedAt[group] = now
	}
}

// alive reports whether the member counts as able to serve.
func (r *Roster) alive(e *entry, now time.Time) bool {
	if e.leaving {
		return false
	}
	if e.DataCentre == r.self.DataCentre {
		return e.ready && now.Sub(e.lastHeartbeat) < e.ttl()
	}
	return r.remoteAlive(e, now)
}

// ttl returns how long a member of the local data centre counts as alive after a
// heartbeat.
func (e *entry) ttl() time.Duration {
	if e.reducedRate {
		return reducedRateTTL
	}
	return localTTL
}

// remoteAlive reports whether a daemon of another data centre counts as alive. One
// that has not sent a heartbeat yet is taken for alive for remoteTTL from the first
// call.
func (r *Roster) remoteAlive(e *entry, now time.Time) bool {
	if e.lastHeartbeat.IsZero() {
		if e.assumedAliveSince.IsZero() {
			e.assumedAliveSince = now
		}
		return now.Sub(e.assumedAliveSince) < remoteTTL
	}
	return now.Sub(e.lastHeartbeat) < remoteTTL
}

// DataCentres returns the data centres that have members: the local one first, the
// others by name.
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

// LocalPeers returns the other members of the local data centre, whether or not they
// are alive.
func (r *Roster) LocalPeers() []Member {
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

// AnyPeerReady reports whether another daemon recently sent a heartbeat that says it is
// ready and not leaving.
func (r *Roster) AnyPeerReady(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.ready && !e.leaving && !e.lastHeartbeat.IsZero() && now.Sub(e.lastHeartbeat) < remoteTTL {
			return true
		}
	}
	return false
}
