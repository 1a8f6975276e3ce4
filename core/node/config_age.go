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
	asOf    time.Time
}

// confirm records that no configuration newer than the version existed at the time.
// Claims about versions older than the one recorded are ignored.
func (a *configAge) confirm(v route.Version, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case v < a.version:
	case v > a.version:
		a.version, a.asOf = v, at
	case at.After(a.asOf):
		a.asOf = at
	}
}

// lastConfirmed returns when the configuration in force was last known to be the
// newest; zero if it never was.
func (a *configAge) lastConfirmed() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asOf
}

// minReportedAge is the smallest age that daemons report, since an age of 0 stands for an
// unknown one.
const minReportedAge = time.Millisecond

// reportedConfigAge returns the age of the configuration in force, as it is sent to
// peers; 0 if it is not known.
func (n *Node) reportedConfigAge() time.Duration {
	asOf := n.configAge.lastConfirmed()
	if asOf.IsZero() {
		return 0
	}
	return max(time.Since(asOf), minReportedAge)
}

// confirmConfig records a peer's report that the version in force was the newest one
// age ago.
func (n *Node) confirmConfig(version int64, age time.Duration) {
	t := n.relay.Table()
	if t != nil && age > 0 && version == int64(t.Version) {
		n.configAge.confirm(t.Version, time.Now().Add(-age))
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
