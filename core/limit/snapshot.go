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
	// Slots is the number of requests the target works on at once.
	Slots int
	// State is Closed for targets that are ejected, leaving, drained or excluded.
	State choose.State
	// Weight is used in the states SlowStart and Trial; see choose.Candidate.
	Weight         float64
	TrialAllowed   bool
	SameDataCentre bool
	// Confirm asks for a share of the idempotent requests; see choose.Candidate.
	Confirm bool
	// DataCentre is compared with Snapshot.Members when the slots are divided.
	DataCentre fleet.DataCentre
}

// Snapshot is the state of a service's targets that a Gate works with.
type Snapshot struct {
	Targets []Target
	// QueueLength is the most requests that wait; 0 stands for DefaultQueueLength.
	QueueLength int
	// Members is the data centre of this daemon and its peers, as far as known. The
	// division of the slots gives targets to daemons in their own data centre first.
	Members map[fleet.VMID]fleet.DataCentre
}

// DefaultQueueLength is the queue length of a Snapshot that states none.
const DefaultQueueLength = 64

// slot counts this daemon's work at one target. It outlives snapshots while work
// is in flight, so that a target removed and added again keeps its count.
type slot struct {
	id       fleet.TargetID
	inFlight atomic.Int64
	// shedUntil is the end of the halved share after a shed response.
	shedUntil atomic.Int64
	// worked is the sum of the ends minus the sum of the starts of all work, so that
	// worked + inFlight*now is the work done up to now in slot-nanoseconds.
	worked atomic.Int64
	// mean is the work in flight over the last window, which ended at sampled.
	mean        float64
	sampled     time.Duration
	sampledWork int64
}

// sample returns the mean work in flight over the last window; mu is held.
func (s *slot) sample(now time.Duration) float64 {
	if span := now - s.sampled; span >= meanWindow {
		work := s.worked.Load() + s.inFlight.Load()*int64(now)
		s.mean = max(float64(work-s.sampledWork)/float64(span), 0)
		s.sampled, s.sampledWork = now, work
	}
	return s.mean
}

// claim takes one slot below limit.
func (s *slot) claim(limit int) bool {
	n := s.inFlight.Load()
	return n < int64(limit) && s.inFlight.CompareAndSwap(n, n+1)
}

// entry is one target of a view.
type entry struct {
	slot *slot
	// cand is the candidate but for the own work, with the limit that the peers leave.
	cand choose.Candidate
	// alone says that no peer reports the target as busy.
	alone bool
}

// view is what a request is decided on; it is immutable.
type view struct {
	entries []entry
	// until is when the peers' shares must be computed again.
	until time.Duration
	// least is the work that this daemon may have in flight whatever peers report; it
	// is 1 if the daemon has no share of any target, and else the shares suffice.
	least       int
	queueLength int
}

// Update replaces the targets and their states while requests are in flight. When
// it returns, targets that are closed or gone receive no further grants.
func (g *Gate) Update(s *Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.targets = slices.Clone(s.Targets)
	g.centres = maps.Clone(s.Members)
	g.queueLength = s.QueueLength
	if g.queueLength <= 0 {
		g.queueLength = DefaultQueueLength
	}
	g.rebuild(now)
	g.purge()
	g.refuseStranded()
	g.dispatch(now)
}

// rebuild computes the view from targets and peers; mu is held.
func (g *Gate) rebuild(now time.Duration) {
	v := &view{entries: make([]entry, 0, len(g.targets)), queueLength: g.queueLength}
	shares := g.shares(now)
	v.until = shares.until
	v.least = 1
	for i, share := range g.divide(shares.members) {
		t := g.targets[i]
		v.entries = append(v.entries, g.entry(t, shares.work[t.ID], share))
		if share > 0 {
			v.least = 0
		}
	}
	g.view.Store(v)
}

// entry joins a target with the peers' work there and this daemon's share of it. The
// peers' work is rounded up, so that own and reported work stay within the slots; the
// share stays usable when peers overrun it.
func (g *Gate) entry(t Target, peers float64, share int) entry {
	busy := int(math.Ceil(min(peers, float64(t.Slots))))
	e := entry{slot: g.slotOf(t.ID), alone: peers < idlePeers}
	e.cand = choose.Candidate{
		State:          t.State,
		Weight:         t.Weight,
		TrialAllowed:   t.TrialAllowed,
		SameDataCentre: t.SameDataCentre,
		Confirm:        t.Confirm,
		PeerInFlight:   busy,
		Share:          share,
		Limit:          max(t.Slots-busy, share),
		Slots:          t.Slots,
		Rank:           choose.Rank(g.daemon, t.ID),
	}
	if e.alone && t.Slots > 0 {
		e.cand.Limit = max(e.cand.Limit, 1)
	}
	if t.State == choose.Trial {
		e.cand.Limit = min(e.cand.Limit, 1)
	}
	return e
}

// slotOf returns the counter of the target; mu is held.
func (g *Gate) slotOf(id fleet.TargetID) *slot {
	s, ok := g.slots[id]
	if !ok {
		s = &slot{id: id}
		g.slots[id] = s
	}
	return s
}

// purge drops the counters of targets that are gone and idle. It runs after the
// new view is stored: a claim that a concurrent request makes on an old view is
// undone when the request sees that the view changed.
func (g *Gate) purge() {
	v := g.view.Load()
	for id, s := range g.slots {
		used := slices.ContainsFunc(v.entries, func(e entry) bool { return e.slot == s })
		if !used && s.inFlight.Load() == 0 {
			delete(g.slots, id)
		}
	}
}

// candidate returns the entry as a candidate at this moment.
func (e *entry) candidate(now time.Duration) choose.Candidate {
	c := e.cand
	c.InFlight = int(e.slot.inFlight.Load())
	if e.shed(now) {
		c.Limit = e.halved()
	}
	return c
}

func (e *entry) shed(now time.Duration) bool {
	return int64(now) < e.slot.shedUntil.Load()
}

// halved is the limit while the share is halved after a shed response. A target
// that no peer keeps busy stays usable for one request.
func (e *entry) halved() int {
	if e.alone {
		return max(e.cand.Limit/2, 1)
	}
	return e.cand.Limit / 2
}
