package detect

import (
	"sync"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fleet"
)

// SignalSource is where a leaving signal came from.
type SignalSource uint8

// The sources of leaving signals. The answer to a probe overrides a response,
// since the target's prober learns when the target is back and other daemons do
// not.
const (
	FromResponse SignalSource = iota
	FromProbe
	FromPeer
	FromDrain
	sourceCount
)

var sourceNames = [sourceCount]string{"response", "probe", "peer", "drain"}

// String returns the kebab-case name of the source.
func (s SignalSource) String() string {
	if s >= sourceCount {
		return "invalid"
	}
	return sourceNames[s]
}

// LeavingSignal states that a target is leaving.
type LeavingSignal struct {
	Source SignalSource
	Since  time.Time
}

// LeavingSignals holds the leaving targets; it is immutable.
type LeavingSignals map[fleet.TargetID]LeavingSignal

const (
	// responseSignalTTL is how long a signal from a response lasts. A target
	// that gets no new requests sends no more responses, so the prober, which
	// probes every few seconds, takes over within this time.
	responseSignalTTL = 30 * time.Second
	// peerSignalTTL is three report intervals.
	peerSignalTTL = 6 * time.Second
)

// LeavingTracker merges the leaving signals about the targets of one service.
type LeavingTracker struct {
	signals atomic.Pointer[LeavingSignals]

	mu    sync.Mutex
	spans map[fleet.TargetID]*[sourceCount]signalSpan
	// changed is closed and replaced when a first-hand signal begins or ends.
	changed chan struct{}
}

// signalSpan is the time for which a signal lasts; a zero until means no end.
type signalSpan struct {
	since, until time.Time
}

// NewLeavingTracker returns a tracker without signals.
func NewLeavingTracker() *LeavingTracker {
	l := &LeavingTracker{spans: map[fleet.TargetID]*[sourceCount]signalSpan{}, changed: make(chan struct{})}
	l.signals.Store(&LeavingSignals{})
	return l
}

// Signals returns the leaving targets as of the last change or Expire.
func (l *LeavingTracker) Signals() LeavingSignals {
	return *l.signals.Load()
}

// IsLeaving reports whether the target is leaving; it takes no lock.
func (l *LeavingTracker) IsLeaving(id fleet.TargetID) bool {
	_, ok := (*l.signals.Load())[id]
	return ok
}

// RecordResponse records a target's own response. The request path calls it for every
// response; it takes the lock only if the target was not known to be leaving.
func (l *LeavingTracker) RecordResponse(id fleet.TargetID, leaving bool, now time.Time) {
	if leaving && !l.IsLeaving(id) {
		l.set(FromResponse, id, now, now.Add(responseSignalTTL))
	}
}

// RecordProbe records the answer to a probe. An answer without the signal means that
// the target is back, and also ends the signal of earlier responses.
func (l *LeavingTracker) RecordProbe(id fleet.TargetID, leaving bool, now time.Time) {
	if leaving {
		l.set(FromProbe, id, now, time.Time{})
		return
	}
	l.clear(now, id, FromProbe, FromResponse)
}

// RecordPeerSignals records the signals that one or more peers report first-hand.
func (l *LeavingTracker) RecordPeerSignals(ids []fleet.TargetID, now time.Time) {
	for _, id := range ids {
		l.set(FromPeer, id, now, now.Add(peerSignalTTL))
	}
}

// SetDrained replaces the set of targets that operators drain or that the platform
// lists as leaving.
func (l *LeavingTracker) SetDrained(ids []fleet.TargetID, now time.Time) {
	drained := map[fleet.TargetID]bool{}
	for _, id := range ids {
		drained[id] = true
		l.set(FromDrain, id, now, time.Time{})
	}
	for id := range l.Signals() {
		if !drained[id] {
			l.clear(now, id, FromDrain)
		}
	}
}

// LocallyObserved returns the targets whose signal this daemon saw itself. Only these
// go into reports: a signal received from peers and reported again would never
// expire.
func (l *LeavingTracker) LocallyObserved(now time.Time) []fleet.TargetID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []fleet.TargetID
	for id, spans := range l.spans {
		if spans[FromResponse].isActive(now) || spans[FromProbe].isActive(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Changed returns a channel that is closed at the next change of a first-hand
// signal, so that a report can be sent at once.
func (l *LeavingTracker) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Expire removes signals whose time is over; the daemon calls it at a regular
// interval.
func (l *LeavingTracker) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publish(now)
}

func (l *LeavingTracker) set(src SignalSource, id fleet.TargetID, now, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spans := l.spans[id]
	if spans == nil {
		spans = &[sourceCount]signalSpan{}
		l.spans[id] = spans
	}
	if !spans[src].isActive(now) {
		spans[src].since = now
		if src == FromResponse || src == FromProbe {
			l.notifyChanged()
		}
	}
	spans[src].until = until
	l.publish(now)
}

func (l *LeavingTracker) clear(now time.Time, id fleet.TargetID, sources ...SignalSource) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spans := l.spans[id]
	if spans == nil {
		return
	}
	for _, src := range sources {
		if spans[src].isActive(now) && src != FromDrain {
			l.notifyChanged()
		}
		spans[src] = signalSpan{}
	}
	l.publish(now)
}

func (l *LeavingTracker) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (s signalSpan) isActive(now time.Time) bool {
	return !s.since.IsZero() && (s.until.IsZero() || now.Before(s.until))
}

// publish replaces the signals that readers see, without those that have
// expired. A target's signal is the one that began first.
func (l *LeavingTracker) publish(now time.Time) {
	next := LeavingSignals{}
	for id, spans := range l.spans {
		found := false
		for src := range spans {
			if !spans[src].isActive(now) {
				spans[src] = signalSpan{}
				continue
			}
			if s, ok := next[id]; !ok || spans[src].since.Before(s.Since) {
				next[id] = LeavingSignal{Source: SignalSource(src), Since: spans[src].since}
			}
			found = true
		}
		if !found {
			delete(l.spans, id)
		}
	}
	l.signals.Store(&next)
}
