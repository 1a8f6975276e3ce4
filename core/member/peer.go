package member

import (
	"time"

	"wisteriarelay.example/core/fleet"
)

// Peer is a VM that shares a service with this daemon or that sends it reports.
// Its methods take the time, so that a view stays right while nothing changes.
type Peer struct {
	VM fleet.VM
	// Incarnation is the run that was heard last; "" if none was.
	Incarnation fleet.Incarnation
	// Listed says that the VM list holds the VM. A VM may be heard before it is
	// listed and after it is gone from the list.
	Listed bool
	// Ready is what the peer reported about itself in its last report.
	Ready bool
	// Revision is the settings revision that the peer stated last.
	Revision uint64
	// HeardAt is the time of the last accepted report; zero if there is none.
	HeardAt time.Time
	// ConfirmedAt is the last time when the peer stated that it hears this
	// daemon; zero if its last report left this daemon out.
	ConfirmedAt time.Time
	// GraceUntil is the time until which missing reports prove nothing, because
	// the peer is new or this daemon was paused.
	GraceUntil time.Time
}

func isRecent(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < UnheardAfter
}

// IsHeard reports whether a report of the peer arrived in the last 3 intervals.
func (p *Peer) IsHeard(now time.Time) bool {
	return isRecent(p.HeardAt, now)
}

// HearsUs reports whether the peer stated in the last 3 intervals that it hears
// this daemon.
func (p *Peer) HearsUs(now time.Time) bool {
	return isRecent(p.ConfirmedAt, now)
}

// IsUsableForEvidence reports whether the peer's evidence counts. A peer that
// does not hear this daemon still observes targets.
func (p *Peer) IsUsableForEvidence(now time.Time) bool {
	return p.IsHeard(now)
}

// IsUsableAsProber reports whether this daemon may rely on the peer to probe.
// Both directions are needed: the peer decides by the same rule, and results
// must arrive.
func (p *Peer) IsUsableAsProber(now time.Time) bool {
	return p.IsHeard(now) && p.HearsUs(now) && p.Ready && !p.VM.Leaving
}

// IsUsableForAddresses reports whether the peer may stand in address responses.
func (p *Peer) IsUsableForAddresses(now time.Time) bool {
	if p.VM.Leaving || p.IsHeard(now) && !p.Ready {
		return false
	}
	return p.IsHeard(now) && p.HearsUs(now) || now.Before(p.GraceUntil)
}

// InFlightShare returns the weight of the work in flight that the peer reported
// last: 1 while the peer is heard, then falling to 0 within 3 intervals.
func (p *Peer) InFlightShare(now time.Time) float64 {
	if p.HeardAt.IsZero() {
		return 0
	}
	silent := now.Sub(p.HeardAt) - UnheardAfter
	return min(1, max(0, 1-float64(silent)/float64(UnheardAfter)))
}
