package detect

import (
	"sync"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Source says where a leaving sign came from.
type Source uint8

// The sources of leaving signs. A probe counts above a response, since the
// prober learns when the target is back and others do not.
const (
	FromResponse Source = iota
	FromProbe
	FromPeer
	FromDrain
	sourceCount
)

var sourceNames = [sourceCount]string{"response", "probe", "peer", "drain"}

// String returns the kebab-case name of the source.
func (s Source) String() string {
	if s >= sourceCount {
		return "invalid"
	}
	return sourceNames[s]
}

// Sign says that a target is leaving.
type Sign struct {
	Source Source
	Since  time.Time
}

// Signs holds the leaving targets; it is immutable.
type Signs map[fleet.TargetID]Sign

const (
	// responseHold is how long a sign in a response lasts. No more responses
	// come from a target without new work, so the prober, which probes every
	// few seconds, takes over within this time.
	responseHold = 30 * time.Second
	// peerHold is three report intervals.
	peerHold = 6 * time.Second
)

// LeavingTracker merges the leaving signs of one service.
type LeavingTracker struct {
	signs atomic.Pointer[Signs]

	mu    sync.Mutex
	marks map[fleet.TargetID]*[sourceCount]mark
	// changed is closed and replaced when a first-hand sign comes or goes.
	changed chan struct{}
}

// mark is one sign; a zero until means no end.
type mark struct {
	since, until time.Time
}

// NewLeavingTracker returns a tracker without signs.
func NewLeavingTracker() *LeavingTracker {
	l := &LeavingTracker{marks: map[fleet.TargetID]*[sourceCount]mark{}, changed: make(chan struct{})}
	l.signs.Store(&Signs{})
	return l
}

// Signs returns the leaving targets as of the last change or Expire.
func (l *LeavingTracker) Signs() Signs {
	return *l.signs.Load()
}

// Is reports whether the target is leaving; it takes no lock.
func (l *LeavingTracker) Is(id fleet.TargetID) bool {
	_, ok := (*l.signs.Load())[id]
	return ok
}

// Response takes a target's own response. The request path calls it for every
// response; only a changed sign takes the lock.
func (l *LeavingTracker) Response(id fleet.TargetID, leaving bool, now time.Time) {
	if leaving && !l.Is(id) {
		l.set(FromResponse, id, now, now.Add(responseHold))
	}
}

// Probe takes the answer to a probe. A target without the sign is back, also
// against earlier responses.
func (l *LeavingTracker) Probe(id fleet.TargetID, leaving bool, now time.Time) {
	if leaving {
		l.set(FromProbe, id, now, time.Time{})
		return
	}
	l.clear(now, id, FromProbe, FromResponse)
}

// Peers takes the signs that one or more peers report first-hand.
func (l *LeavingTracker) Peers(ids []fleet.TargetID, now time.Time) {
	for _, id := range ids {
		l.set(FromPeer, id, now, now.Add(peerHold))
	}
}

// Drains replaces the set of targets that operators drain or the platform lists
// as leaving.
func (l *LeavingTracker) Drains(ids []fleet.TargetID, now time.Time) {
	drained := map[fleet.TargetID]bool{}
	for _, id := range ids {
		drained[id] = true
		l.set(FromDrain, id, now, time.Time{})
	}
	for id := range l.Signs() {
		if !drained[id] {
			l.clear(now, id, FromDrain)
		}
	}
}

// FirstHand returns the targets whose sign this daemon saw itself. Only these
// go into reports: a sign heard from peers would otherwise circle for ever.
func (l *LeavingTracker) FirstHand(now time.Time) []fleet.TargetID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []fleet.TargetID
	for id, m := range l.marks {
		if m[FromResponse].holds(now) || m[FromProbe].holds(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Changed returns a channel that is closed at the next change of a first-hand
// sign, so that a report goes out at once.
func (l *LeavingTracker) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Expire drops signs whose time is over; the daemon calls it each interval.
func (l *LeavingTracker) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish(now)
}

func (l *LeavingTracker) set(src Source, id fleet.TargetID, now, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.marks[id]
	if m == nil {
		m = &[sourceCount]mark{}
		l.marks[id] = m
	}
	if !m[src].holds(now) {
		m[src].since = now
		if src == FromResponse || src == FromProbe {
			l.announce()
		}
	}
	m[src].until = until
	l.publish(now)
}

func (l *LeavingTracker) clear(now time.Time, id fleet.TargetID, sources ...Source) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.marks[id]
	if m == nil {
		return
	}
	for _, src := range sources {
		if m[src].holds(now) && src != FromDrain {
			l.announce()
		}
		m[src] = mark{}
	}
	l.publish(now)
}

func (l *LeavingTracker) announce() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (m mark) holds(now time.Time) bool {
	return !m.since.IsZero() && (m.until.IsZero() || now.Before(m.until))
}

func (l *LeavingTracker) publish(now time.Time) {
	next := Signs{}
	for id, m := range l.marks {
		found := false
		for src := range m {
			if !m[src].holds(now) {
				m[src] = mark{}
				continue
			}
			if s, ok := next[id]; !ok || m[src].since.Before(s.Since) {
				next[id] = Sign{Source: Source(src), Since: m[src].since}
			}
			found = true
		}
		if !found {
			delete(l.marks, id)
		}
	}
	l.signs.Store(&next)
}
