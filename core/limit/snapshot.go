package limit

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
)

// Target is one target of a Snapshot.
type Target struct {
	ID fleet.TargetID
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// State is choose.Closed for targets that are ejected, leaving, drained or excluded.
	State choose.State
	// Weight is used in the states SlowStart and Trial; see choose.Candidate.
	Weight         float64
	TrialAllowed   bool
	SameDataCentre bool
	// NeedsEvidence gives the target additional idempotent requests; see choose.Candidate.
	NeedsEvidence bool
	// DataCentre is compared with Snapshot.DataCentres when the slots are divided among
	// the daemons.
	DataCentre fleet.DataCentre
}

// Snapshot is the state of a service's targets as given to a Limiter.
type Snapshot struct {
	Targets []Target
	// QueueLength is the maximum number of waiting requests; 0 means DefaultQueueLength.
	QueueLength int
	// DataCentres holds the data centres of this daemon and its peers, as far as known.
	// The slots of a target are divided first among the daemons in its data centre.
	DataCentres map[fleet.VMID]fleet.DataCentre
}

// DefaultQueueLength is the queue length if Snapshot.QueueLength is not set.
const DefaultQueueLength = 64

// targetUsage counts the requests that this daemon has in flight at one target. It
// outlives snapshots while requests are in flight, so that a target that is removed
// and added again keeps its count.
type targetUsage struct {
	id       fleet.TargetID
	inFlight atomic.Int64
	// shedUntil is the end of the period with a halved limit after a shed response.
	shedUntil atomic.Int64
	// workOffset is the sum of the end times minus the sum of the start times of all
	// requests, so that workOffset + inFlight*now is the slot time used up to now, in
	// slot-nanoseconds.
	workOffset atomic.Int64
	// meanInFlight is the mean number of requests in flight over the last window, which
	// ended at sampledAt with the slot time sampledWork.
	meanInFlight float64
	sampledAt    time.Duration
	sampledWork  int64
}

// sampleMean returns the mean number of requests in flight over the last window, and
// starts a new window if the current one is long enough. The caller holds mu.
func (u *targetUsage) sampleMean(now time.Duration) float64 {
	if span := now - u.sampledAt; span >= minMeanWindow {
		work := u.workOffset.Load() + u.inFlight.Load()*int64(now)
		u.meanInFlight = max(float64(work-u.sampledWork)/float64(span), 0)
		u.sampledAt, u.sampledWork = now, work
	}
	return u.meanInFlight
}

// claim takes a slot if fewer than limit are in use. It fails if the count changes
// concurrently.
func (u *targetUsage) claim(limit int) bool {
	n := u.inFlight.Load()
	return n < int64(limit) && u.inFlight.CompareAndSwap(n, n+1)
}

// entry is one target of a view.
type entry struct {
	usage *targetUsage
	// base is the candidate without this daemon's requests in flight. Its limit is what
	// the peers leave.
	base choose.Candidate
	// peersIdle is set if the peers do not keep the target busy.
	peersIdle bool
}

// view is the immutable state by which requests are granted or refused. Requests read
// it without mu.
type view struct {
	entries []entry
	// validUntil is when the next report of a peer decays, so that the view must be
	// rebuilt.
	validUntil time.Duration
	// guaranteed is the number of requests that this daemon may have in flight whatever
	// peers report. It is 1 if the daemon has no quota at any target, and otherwise 0,
	// because the quotas then guarantee progress.
	guaranteed  int
	queueLength int
}

// Update replaces the targets and their states; requests may be in flight. After it
// returns, no slots of targets that are closed or removed are granted.
func (g *Limiter) Update(s *Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.targets = slices.Clone(s.Targets)
	g.dataCentres = maps.Clone(s.DataCentres)
	g.queueLength = s.QueueLength
	if g.queueLength <= 0 {
		g.queueLength = DefaultQueueLength
	}
	g.rebuildView(now)
	g.pruneUsage()
	g.refuseUnservable()
	g.dispatch(now)
}

// rebuildView computes the view from the targets and the reports of the peers. The
// caller holds mu.
func (g *Limiter) rebuildView(now time.Duration) {
	v := &view{entries: make([]entry, 0, len(g.targets)), queueLength: g.queueLength}
	peers := g.sumPeerLoads(now)
	v.validUntil = peers.validUntil
	v.guaranteed = 1
	for i, quota := range g.slotQuotas(peers.members) {
		t := g.targets[i]
		v.entries = append(v.entries, g.newEntry(t, peers.byTarget[t.ID], quota))
		if quota > 0 {
			v.guaranteed = 0
		}
	}
	g.view.Store(v)
}

// newEntry combines a target with the load of the peers there and with this daemon's
// quota. The load is rounded up, so that it stays within the slots together with this
// daemon's own. The quota stays usable even if the peers exceed theirs.
func (g *Limiter) newEntry(t Target, peerLoad float64, quota int) entry {
	peerSlots := int(math.Ceil(min(peerLoad, float64(t.Slots))))
	e := entry{usage: g.usageOf(t.ID), peersIdle: peerLoad < peersIdleBelow}
	e.base = choose.Candidate{
		State:          t.State,
		Weight:         t.Weight,
		TrialAllowed:   t.TrialAllowed,
		SameDataCentre: t.SameDataCentre,
		NeedsEvidence:  t.NeedsEvidence,
		PeerInFlight:   peerSlots,
		Quota:          quota,
		Limit:          max(t.Slots-peerSlots, quota),
		Slots:          t.Slots,
		Rank:           choose.Rank(g.daemon, t.ID),
	}
	if e.peersIdle && t.Slots > 0 {
		e.base.Limit = max(e.base.Limit, 1)
	}
	if t.State == choose.Trial {
		e.base.Limit = min(e.base.Limit, 1)
	}
	return e
}

// usageOf returns the counters of the target. The caller holds mu.
func (g *Limiter) usageOf(id fleet.TargetID) *targetUsage {
	u, ok := g.usage[id]
	if !ok {
		u = &targetUsage{id: id}
		g.usage[id] = u
	}
	return u
}

// pruneUsage deletes the counters of targets that are removed and idle. It runs after
// the new view is stored: a claim that a concurrent request makes on an old view is
// undone when the request sees that the view changed.
func (g *Limiter) pruneUsage() {
	v := g.view.Load()
	for id, u := range g.usage {
		used := slices.ContainsFunc(v.entries, func(e entry) bool { return e.usage == u })
		if !used && u.inFlight.Load() == 0 {
			delete(g.usage, id)
		}
	}
}

// candidate returns the entry as a candidate with its current count and limit.
func (e *entry) candidate(now time.Duration) choose.Candidate {
	c := e.base
	c.InFlight = int(e.usage.inFlight.Load())
	if e.shedRecently(now) {
		c.Limit = e.halvedLimit()
	}
	return c
}

func (e *entry) shedRecently(now time.Duration) bool {
	return int64(now) < e.usage.shedUntil.Load()
}

// halvedLimit returns the limit after a shed response. A target that the peers do not
// keep busy stays usable for one request.
func (e *entry) halvedLimit() int {
	if e.peersIdle {
		return max(e.base.Limit/2, 1)
	}
	return e.base.Limit / 2
}
