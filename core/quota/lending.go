package quota

import (
	"time"

	"wisteriarelay.example/core/roster"
)

const (
	// renewInterval is the time between two renewals of a lease.
	renewInterval = 150 * time.Millisecond
	// repeatInterval is the time after which an offer or a request without a reply is
	// repeated.
	repeatInterval = 100 * time.Millisecond
	// takeoverDelay is how long a daemon that becomes a holder while the fleet runs
	// leases out nothing: other daemons may still count it as none.
	takeoverDelay = 5 * time.Second
)

// contact is what a holder knows of the run of a coordinator.
type contact struct {
	member roster.Member
	// epoch is 0 until a reply has arrived.
	epoch uint64
	// stamp is the newest that arrived, at stampAt.
	stamp   int64
	stampAt time.Time
}

// observe records the epoch and the stamp of a reply.
func (c *contact) observe(now time.Time, m *ReplyMsg) {
	if c.epoch != m.Epoch {
		c.epoch, c.stamp, c.stampAt = m.Epoch, m.Stamp, now
		return
	}
	if m.Stamp > c.stamp {
		c.stamp, c.stampAt = m.Stamp, now
	}
}

// lending is this daemon's share of one shard.
type lending struct {
	shard Shard
	// next is the coordinator to which the share is, or will be, leased.
	next contact
	// lessee is the run that may use the share until the given time; its epoch is 0 if
	// there is none.
	lessee contact
	until  time.Time
	number uint64
	sendAt time.Time
}

// leased reports whether a coordinator may use the share.
func (l *lending) leased(now time.Time) bool {
	if l.lessee.epoch != 0 && !now.Before(l.until) {
		l.lessee = contact{}
	}
	return l.lessee.epoch != 0
}

// leasedTo returns the VM of the coordinator that may use the share; empty if there is none.
func (l *lending) leasedTo(now time.Time) string {
	if !l.leased(now) {
		return ""
	}
	return l.lessee.member.VM
}

// step returns the offer that is due, if any. want is the coordinator to use; with mayLease
// unset, the share is not leased again. holders is the number of shares.
func (l *lending) step(now time.Time, want roster.Member, holders int, mayLease bool) (to roster.Member, offer LeaseOffer, ok bool) {
	if l.next.member != want {
		l.next = contact{member: want}
		l.sendAt = now
	}
	leased := l.leased(now)
	release := leased && (!mayLease || l.leasedElsewhere(want))
	if now.Before(l.sendAt) || !leased && !mayLease || want.VM == "" && !release {
		return to, offer, false
	}
	offer = LeaseOffer{Shard: l.shard, Number: l.number, Holders: max(holders, 1)}
	switch {
	case release:
		l.sendAt = now.Add(repeatInterval)
		offer.Release, offer.Epoch, offer.Stamp = true, l.lessee.epoch, l.lessee.stamp
		return l.lessee.member, offer, true
	case l.next.epoch == 0:
		l.sendAt = now.Add(repeatInterval)
		return want, offer, true
	}
	l.sendAt = now.Add(renewInterval)
	l.number++
	l.lessee, l.until = l.next, l.next.stampAt.Add(leaseTime)
	offer.Number, offer.Epoch, offer.Stamp = l.number, l.next.epoch, l.next.stamp
	return want, offer, true
}

// leasedElsewhere reports whether a share on lease is leased to another daemon than the one
// to use, or to an earlier run of it.
func (l *lending) leasedElsewhere(want roster.Member) bool {
	return l.lessee.member.VM != want.VM || l.next.epoch != 0 && l.next.epoch != l.lessee.epoch
}

// handleReply records what a reply says of the coordinator.
func (l *lending) handleReply(now time.Time, from roster.Member, m *ReplyMsg) {
	if from.VM != l.next.member.VM || m.Leaving {
		return
	}
	isNew := l.next.epoch != m.Epoch
	l.next.observe(now, m)
	if isNew {
		l.sendAt = now
	}
}

// handleReturn processes the confirmation that a coordinator no longer uses the share.
func (l *lending) handleReturn(now time.Time, m *ReplyMsg, number uint64) {
	// A coordinator that leaves accepts no later offer either.
	if l.lessee.epoch == m.Epoch && (m.Leaving || number >= l.number) {
		l.lessee, l.sendAt = contact{}, now
	}
}

// holding is whether this daemon is a holder, and since when.
type holding struct {
	startedAt time.Time
	// firstAt is when it was first known whether this daemon is a holder: when the
	// daemon started, or when a workspace got the first quota.
	firstAt time.Time
	since   time.Time
	holders int
}

// update records the number of holders; 0 if this daemon is none.
func (h *holding) update(now time.Time, holders int) {
	if h.firstAt.IsZero() {
		h.firstAt = now
	}
	if h.holders == 0 && holders > 0 {
		h.since = now
	}
	h.holders = holders
}

// mayLease reports whether the share may be leased out. An earlier run of this daemon may
// have leased it just before, and another daemon may hold it in place of a new holder.
func (h *holding) mayLease(now time.Time) bool {
	ready := h.startedAt.Add(leaseTime)
	if h.since.After(h.firstAt.Add(leaseTime)) {
		ready = h.since.Add(takeoverDelay)
	}
	return h.holders > 0 && !now.Before(ready)
}
