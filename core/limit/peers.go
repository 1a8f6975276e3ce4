package limit

import (
	"math"
	"slices"
	"strings"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Load is the number of requests that one daemon has in flight at one target.
type Load struct {
	Target   fleet.TargetID `json:"target"`
	InFlight float64        `json:"in-flight"`
}

const (
	// reportFresh is how long a report counts in full: three report intervals of 3 s.
	// After that the peer counts as silent.
	reportFresh = 9 * time.Second
	// reportHalfLife is the time in which the last report of a silent peer loses half
	// of its weight.
	reportHalfLife = 2 * time.Second
	// reportMaxAge is the age at which a report is dropped; by then it counts 1/8.
	reportMaxAge = reportFresh + 3*reportHalfLife
	// minMeanWindow is the shortest time over which the mean of the requests in flight
	// is taken. It is shorter than the interval of the reports, also of the shorter
	// interval while a target is suspect.
	minMeanWindow = 900 * time.Millisecond
	// minReportedMean is the lowest mean that is reported to the peers.
	minReportedMean = 1.0 / 32
	// peersIdleBelow is the mean of the peers' requests in flight at a target below
	// which they do not keep it busy.
	peersIdleBelow = 0.5
	// never is later than any time of the limiter's clock.
	never = time.Duration(math.MaxInt64)
)

// peerReport is the last report of one peer; it is immutable.
type peerReport struct {
	madeAt time.Duration
	loads  []Load
}

// peerLoads holds the sums of the loads that the peers report.
type peerLoads struct {
	byTarget map[fleet.TargetID]float64
	// members are this daemon and the peers whose reports still count, sorted.
	members    []fleet.VMID
	validUntil time.Duration
}

// SetPeerLoads stores the load that a peer reports, in place of its last report. A report
// older than the last one is ignored, and one from the future counts as made now.
func (g *Limiter) SetPeerLoads(vm fleet.VMID, loads []Load, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	p := &peerReport{madeAt: min(at.Sub(g.created), now), loads: slices.Clone(loads)}
	if old, ok := g.peers[vm]; ok && old.madeAt > p.madeAt {
		return
	}
	g.peers[vm] = p
	g.rebuildView(now)
	g.dispatch(now)
}

// RemovePeer removes the report of a peer that no longer serves the service.
func (g *Limiter) RemovePeer(vm fleet.VMID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.peers, vm)
	now := g.now()
	g.rebuildView(now)
	g.dispatch(now)
}

// sumPeerLoads adds up the reports that still count and deletes the others. The caller
// holds mu.
func (g *Limiter) sumPeerLoads(now time.Duration) peerLoads {
	sum := peerLoads{byTarget: make(map[fleet.TargetID]float64, len(g.targets)), validUntil: never}
	for vm, p := range g.peers {
		age := now - p.madeAt
		if age >= reportMaxAge {
			delete(g.peers, vm)
			continue
		}
		sum.members = append(sum.members, vm)
		sum.validUntil = min(sum.validUntil, p.madeAt+nextDecay(age))
		for _, l := range p.loads {
			if l.InFlight > 0 {
				sum.byTarget[l.Target] += math.Ldexp(l.InFlight, -halvings(age))
			}
		}
	}
	sum.members = append(sum.members, g.daemon)
	slices.Sort(sum.members)
	return sum
}

// halvings returns how many times the load in a report of this age is halved.
func halvings(age time.Duration) int {
	if age < reportFresh {
		return 0
	}
	return 1 + int((age-reportFresh)/reportHalfLife)
}

// nextDecay returns the age at which a report of this age is halved again.
func nextDecay(age time.Duration) time.Duration {
	return reportFresh + time.Duration(halvings(age))*reportHalfLife
}

// MeanLoads returns the number of requests that this daemon has in flight at each target
// for the report to the peers, as the mean over the time since the last call. A report
// is up to one interval old when it is used, so the number at one moment would say
// little about short requests. Targets without load are omitted; the result is sorted
// by target. Calls less than minMeanWindow apart return the same means.
func (g *Limiter) MeanLoads() []Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	loads := make([]Load, 0, len(g.usage))
	for id, u := range g.usage {
		if mean := u.sampleMean(now); mean >= minReportedMean {
			loads = append(loads, Load{Target: id, InFlight: mean})
		}
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return loads
}

// SlotsInUse returns the number of slots that this daemon uses now, by target.
func (g *Limiter) SlotsInUse() map[fleet.TargetID]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	used := make(map[fleet.TargetID]int, len(g.usage))
	for id, u := range g.usage {
		if n := u.inFlight.Load(); n > 0 {
			used[id] = int(n)
		}
	}
	return used
}
