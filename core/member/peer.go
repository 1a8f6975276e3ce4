package member

import (
	"time"

	"wisteriarelay.example/core/fleet"
)

// Peer is a VM that shares a service with this daemon or sends it reports. Its
// methods take the current time, because a view is not replaced when a peer merely
// becomes unheard.
type Peer struct {
	VM fleet.VM
	// Incarnation is the one that sent the last accepted report, or "" if there is none.
	Incarnation fleet.Incarnation
	// Listed says that the VM list contains the VM. A VM may be heard before it is
	// added to the list and after it is removed.
	Listed bool
	// Ready says that the peer serves requests, according to its last report.
	Ready bool
	// Revision is the settings revision that the peer stated last.
	Revision uint64
	// HeardAt is the time of the last accepted report, or zero if there is none.
	HeardAt time.Time
	// ConfirmedAt is the last time at which the peer stated, in a report or a reply,
	// that it hears this daemon. It is zero if its last report did not state so.
	ConfirmedAt time.Time
	// GraceUntil is the end of the grace period. Until then, missing reports prove
	// nothing, because the peer is new or this daemon was paused.
	GraceUntil time.Time
}

// isRecent reports whether at is set and less than 3 report intervals ago.
func isRecent(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < HeartbeatTimeout
}

// IsHeard reports whether a report of the peer was accepted in the last 3 report intervals.
func (p *Peer) IsHeard(now time.Time) bool {
	return isRecent(p.HeardAt, now)
}

// HearsUs reports whether the peer stated in the last 3 report intervals that it hears
// this daemon.
func (p *Peer) HearsUs(now time.Time) bool {
	return isRecent(p.ConfirmedAt, now)
}

// IsUsableForEvidence reports whether the peer's evidence about targets counts. The
// peer need not hear this daemon to observe targets.
func (p *Peer) IsUsableForEvidence(now time.Time) bool {
	return p.IsHeard(now)
}

// IsUsableAsProber reports whether this daemon may rely on the peer to probe
// targets. Reports must arrive in both directions: the peer applies the same rule
// to this daemon, and its results must reach this daemon.
func (p *Peer) IsUsableAsProber(now time.Time) bool {
	return p.IsHeard(now) && p.HearsUs(now) && p.Ready && !p.VM.Leaving
}

// IsUsableForAddresses reports whether address responses may contain the peer.
func (p *Peer) IsUsableForAddresses(now time.Time) bool {
	if p.VM.Leaving || p.IsHeard(now) && !p.Ready {
		return false
	}
	return p.IsHeard(now) && p.HearsUs(now) || now.Before(p.GraceUntil)
}

// InFlightWeight returns the weight of the requests in flight that the peer last
// reported. It is 1 while the peer is heard and then falls linearly to 0 within 3 report
// intervals.
func (p *Peer) InFlightWeight(now time.Time) float64 {
	if p.HeardAt.IsZero() {
		return 0
	}
	silent := now.Sub(p.HeardAt) - HeartbeatTimeout
	return min(1, max(0, 1-float64(silent)/float64(HeartbeatTimeout)))
}
