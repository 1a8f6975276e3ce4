package node

import (
	"sync"
	"time"

	"wisteriarelay.example/core/route"
)

// configAge records when the configuration in force was last known to be the newest. It
// is safe for concurrent use.
type configAge struct {
	mu      sync.Mutex
	version route.Version
	// asOf is the latest such time, readAt the latest one that this daemon knows from the
	// store itself.
	asOf   time.Time
	readAt time.Time
}

// confirmRead records that the store held no configuration newer than the version at the
// time, by an answer that this daemon got.
func (a *configAge) confirmRead(v route.Version, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.confirm(v, at) && at.After(a.readAt) {
		a.readAt = at
	}
}

// confirmReport records the same by the report of a peer.
func (a *configAge) confirmReport(v route.Version, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirm(v, at)
}

// confirm reports whether the version is not older than the one recorded. a.mu is held.
func (a *configAge) confirm(v route.Version, at time.Time) bool {
	switch {
	case v < a.version:
		return false
	case v > a.version:
		a.version, a.asOf, a.readAt = v, at, time.Time{}
	case at.After(a.asOf):
		a.asOf = at
	}
	return true
}

// lastConfirmed returns when the configuration in force was last known to be the
// newest; zero if it never was.
func (a *configAge) lastConfirmed() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asOf
}

// lastRead is like lastConfirmed, by this daemon's own calls to the store alone.
func (a *configAge) lastRead() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readAt
}

const (
	// minReportedAge is the smallest age that daemons report, since an age of 0 stands for
	// an unknown one.
	minReportedAge = time.Millisecond
	// unknownConfigAge is the age that is assumed if a peer reports none. The daemon that
	// is first in rank then checks at once.
	unknownConfigAge = 800 * time.Millisecond
)

// reportedConfigAge returns the age of the configuration in force, as it is sent to
// peers; 0 if this daemon has not read it itself. Ages that peers reported are not passed
// on: each message would make them younger by its delay, and round trips without end.
func (n *Node) reportedConfigAge() time.Duration {
	at := n.configAge.lastRead()
	if at.IsZero() {
		return 0
	}
	return max(time.Since(at), minReportedAge)
}

// confirmConfig records a peer's report that the version in force was the newest one
// age ago.
func (n *Node) confirmConfig(version int64, age time.Duration) {
	t := n.relay.Table()
	if t != nil && age > 0 && version == int64(t.Version) {
		n.configAge.confirmReport(t.Version, time.Now().Add(-age))
	}
}

// oldConfigAge is the age from which a configuration is reported as old. A change must
// be in force 2 s after the store accepted it.
const oldConfigAge = 2 * time.Second

// configAgeMonitor logs when the configuration becomes old and when it is current again.
type configAgeMonitor struct {
	*Node
	old bool
}

func (m *configAgeMonitor) check(now time.Time) {
	asOf := m.configAge.lastConfirmed()
	age := now.Sub(asOf)
	old := !asOf.IsZero() && age > oldConfigAge
	if old != m.old {
		msg := "configuration is current again"
		if old {
			msg = "configuration is old"
		}
		_ = m.logger.Log("msg", msg, "version", m.relay.Table().Version, "age", age, "rank", m.roster.ReaderRank(now))
	}
	m.old = old
}
