package node

import (
	"sync"
	"time"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
)

const (
	// helpers is the number of daemons of a data centre that pass on what a daemon
	// needs that has just started.
	helpers = 2
	// helpPause is the time after which the same daemon is helped again: datagrams
	// may be lost.
	helpPause = 150 * time.Millisecond
	// snapshotTTL is how long a packed target list is used again, when many daemons
	// start together.
	snapshotTTL = 100 * time.Millisecond
	// introductions is the number of daemons that are told to one of another data
	// centre. They know the others there.
	introductions = 8
	// maxHelped bounds the daemons of which the last help is remembered.
	maxHelped = 4096
)

// helper passes configuration, targets and members on to daemons that have just
// started. Only the receiver of datagrams calls it.
type helper struct {
	*Node
	mu       sync.Mutex
	helped   map[string]time.Time
	snapshot *gossip.Snapshot
	packedAt time.Time
}

func newHelper(n *Node) *helper {
	return &helper{Node: n, helped: map[string]time.Time{}}
}

// offer helps the sender of a heartbeat if it has just started.
func (h *helper) offer(m roster.Member, r *gossip.Report) {
	now := time.Now()
	if r.Leaving || r.Config > 0 && r.Targets > 0 || !h.Ready() {
		return
	}
	rank := h.roster.Rank(now)
	helps := m.DataCentre == h.self.DataCentre && rank < helpers
	if !helps && !r.Seeks || !h.due(m.VM, helps && rank > 0, now) {
		return
	}
	h.introduce(now, m, helps)
	if !helps {
		return
	}
	if doc := h.document.Load(); doc != nil && r.Config < doc.Version {
		h.peers.TellConfig(*doc, []roster.Member{m})
	}
	if r.Targets == 0 {
		h.passList(now, m)
	}
}

// due reports whether the daemon may be helped now. The second in rank leaves the
// first call to the first: pieces of two lists that are passed on at the same moment
// would keep each other from becoming whole.
func (h *helper) due(vm string, second bool, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, known := h.helped[vm]
	if now.Sub(last) < helpPause {
		return false
	}
	if len(h.helped) >= maxHelped {
		clear(h.helped)
	}
	h.helped[vm] = now
	return known || !second
}

// introduce tells the daemon who serves in its data centre, and that this one does.
// One of the own data centre is told all of them and some in each other.
func (h *helper) introduce(now time.Time, m roster.Member, all bool) {
	members := h.roster.Ordered(now, m.DataCentre)
	if all {
		members = append(members, h.roster.Abroad(now, introductions)...)
	} else {
		members = members[:min(len(members), introductions)]
		h.peers.BeatTo([]string{m.Inner})
	}
	h.peers.TellMembers(members, m)
}

// passList passes the target list on, packed at most a moment ago.
func (h *helper) passList(now time.Time, m roster.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.snapshot == nil || now.Sub(h.packedAt) > snapshotTTL {
		s, err := gossip.NewSnapshot(h.list.Snapshot(now.Add(snapshotTTL)))
		if err != nil {
			_ = h.logger.Log("msg", "target list not passed on", "err", err)
			return
		}
		h.snapshot, h.packedAt = s, now
	}
	h.peers.TellSnapshot(h.snapshot, m)
}
