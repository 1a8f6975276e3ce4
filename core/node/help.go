package node

import (
	"sync"
	"time"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
)

const (
	// startupSenderCount is the number of daemons of a data centre that send startup
	// data to a daemon that has just started there.
	startupSenderCount = 2
	// startupResendInterval is the shortest time between two transmissions to the same
	// daemon. Startup data is repeated because datagrams may be lost.
	startupResendInterval = 150 * time.Millisecond
	// snapshotTTL is how long an encoded target list is reused when many daemons start
	// at the same time.
	snapshotTTL = 100 * time.Millisecond
	// maxMembersPerDataCentre limits the members of a data centre that are sent to a
	// daemon that does not get the full list for it. It learns of the others from these
	// members.
	maxMembersPerDataCentre = 8
)

// startupSender sends the configuration, the target list and the members to daemons
// that have just started. Only the goroutine that receives datagrams calls it.
type startupSender struct {
	*Node
	resends    *resendLimiter
	mu         sync.Mutex
	snapshot   *gossip.Snapshot
	snapshotAt time.Time
}

func newStartupSender(n *Node) *startupSender {
	return &startupSender{Node: n, resends: newResendLimiter(startupResendInterval)}
}

// sendIfStarting sends startup data to the sender of a heartbeat if that daemon has
// just started.
func (s *startupSender) sendIfStarting(m roster.Member, r *gossip.Report) {
	now := time.Now()
	if r.Leaving || r.ConfigVersion > 0 && r.ListVersion > 0 || !s.Ready() {
		return
	}
	rank := s.roster.ReaderRank(now)
	isSender := m.DataCentre == s.self.DataCentre && rank < startupSenderCount
	if !isSender && !r.WantsMembers || !s.allow(m.VM, isSender && rank > 0, now) {
		return
	}
	s.sendMembers(now, m, isSender)
	if !isSender {
		return
	}
	if doc := s.configDocument.Load(); doc != nil && r.ConfigVersion < doc.Version {
		s.gossip.SendConfig(s.currentDocument(), []roster.Member{m})
	}
	if r.ListVersion == 0 {
		s.sendSnapshot(now, m)
	}
}

// allow reports whether startup data may be sent to the daemon now, and records the
// transmission. A backup sender, which is not the first in rank, skips the first
// transmission: parts of two lists that arrive at the same time would prevent each
// other's reassembly.
func (s *startupSender) allow(vm string, backup bool, now time.Time) bool {
	allowed, known := s.resends.allow(vm, now)
	return allowed && (known || !backup)
}

// sendMembers sends members to a daemon. With full set, these are all members of
// its data centre and some of each other data centre. Otherwise they are some
// members of its data centre, and a heartbeat tells it that this daemon serves as
// well.
func (s *startupSender) sendMembers(now time.Time, m roster.Member, full bool) {
	members := s.roster.ReaderOrder(now, m.DataCentre)
	if full {
		members = append(members, s.roster.RemotePeers(now, maxMembersPerDataCentre)...)
	} else {
		members = members[:min(len(members), maxMembersPerDataCentre)]
		s.gossip.SendHeartbeatTo([]string{m.PeerAddress})
	}
	s.gossip.SendMembers(members, m)
}

// sendSnapshot sends the target list, encoded at most snapshotTTL ago.
func (s *startupSender) sendSnapshot(now time.Time, m roster.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil || now.Sub(s.snapshotAt) > snapshotTTL {
		snapshot, err := gossip.NewSnapshot(s.targetList.Snapshot(now.Add(snapshotTTL)))
		if err != nil {
			_ = s.logger.Log("msg", "target list not passed on", "err", err)
			return
		}
		s.snapshot, s.snapshotAt = snapshot, now
	}
	s.gossip.SendSnapshot(s.snapshot, []roster.Member{m})
}
