package limit

import (
	"math"
	"slices"
	"strings"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Load is the work of one daemon at one target, in requests in flight.
type Load struct {
	Target   fleet.TargetID `json:"target"`
	InFlight float64        `json:"in-flight"`
}

const (
	// peerFresh is how long a report counts in full: three intervals of 3 s, after
	// which section 10 of the design calls the peer unheard.
	peerFresh = 9 * time.Second
	// peerHalving is the time in which the share of an unheard peer halves.
	peerHalving = 2 * time.Second
	// peerGone is the age at which a report is dropped; by then it counts 1/8.
	peerGone = peerFresh + 3*peerHalving
	// meanWindow is the least time over which the reported mean is taken; it is shorter
	// than the interval of the reports, also while a target is suspect.
	meanWindow = 900 * time.Millisecond
	// leastReported is the least mean that is worth a row.
	leastReported = 1.0 / 32
	// idlePeers is the mean work below which the peers do not keep a target busy.
	idlePeers = 0.5
	// never lies after any time of the gate's clock.
	never = time.Duration(math.MaxInt64)
)

// peer is the last report of one peer; it is immutable.
type peer struct {
	at    time.Duration
	loads []Load
}

// shares is the work of all peers by target.
type shares struct {
	work map[fleet.TargetID]float64
	// members are this daemon and the peers whose reports still count, in order.
	members []fleet.VMID
	until   time.Duration
}

// SetPeer replaces the work that a peer reports. Reports older than the last one
// are ignored; one from the future counts as made now.
func (g *Gate) SetPeer(vm fleet.VMID, loads []Load, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	p := &peer{at: min(at.Sub(g.born), now), loads: slices.Clone(loads)}
	if old, ok := g.peers[vm]; ok && old.at > p.at {
		return
	}
	g.peers[vm] = p
	g.rebuild(now)
	g.dispatch(now)
}

// DropPeer forgets a peer that has left.
func (g *Gate) DropPeer(vm fleet.VMID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.peers, vm)
	now := g.now()
	g.rebuild(now)
	g.dispatch(now)
}

// shares adds up the reports that still count and forgets the others; mu is held.
func (g *Gate) shares(now time.Duration) shares {
	s := shares{work: make(map[fleet.TargetID]float64, len(g.targets)), until: never}
	for vm, p := range g.peers {
		age := now - p.at
		if age >= peerGone {
			delete(g.peers, vm)
			continue
		}
		s.members = append(s.members, vm)
		s.until = min(s.until, p.at+nextDecay(age))
		for _, l := range p.loads {
			if l.InFlight > 0 {
				s.work[l.Target] += math.Ldexp(l.InFlight, -halvings(age))
			}
		}
	}
	s.members = append(s.members, g.daemon)
	slices.Sort(s.members)
	return s
}

// halvings is the number of times a share of this age is halved.
func halvings(age time.Duration) int {
	if age < peerFresh {
		return 0
	}
	return 1 + int((age-peerFresh)/peerHalving)
}

// nextDecay is the age at which a share of this age changes next.
func nextDecay(age time.Duration) time.Duration {
	return peerFresh + time.Duration(halvings(age))*peerHalving
}

// InFlight returns this daemon's work by target for the report to the peers, as the
// mean over the time since the last call. A report is up to one interval old when it
// is used, so the work at one instant would say little about short requests.
// Targets without work are omitted; the order is by target.
func (g *Gate) InFlight() []Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	loads := make([]Load, 0, len(g.slots))
	for id, s := range g.slots {
		if mean := s.sample(now); mean >= leastReported {
			loads = append(loads, Load{Target: id, InFlight: mean})
		}
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return loads
}

// InUse returns the slots in use by this daemon at this moment, by target.
func (g *Gate) InUse() map[fleet.TargetID]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	used := make(map[fleet.TargetID]int, len(g.slots))
	for id, s := range g.slots {
		if n := s.inFlight.Load(); n > 0 {
			used[id] = int(n)
		}
	}
	return used
}
