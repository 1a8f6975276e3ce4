package quota

import (
	"math"
	"time"

	"wisteriarelay.example/core/roster"
)

const (
	// useTime is how long a coordinator uses a share after the stamp that the holder
	// received. The holder waits for leaseTime; the difference covers the time between
	// the check and the use, and clocks that run at different speeds.
	useTime = 530 * time.Millisecond
	// leaseTime is how long a holder treats its share as leased after it received the
	// last stamp that it used.
	leaseTime = 550 * time.Millisecond
	// fillingTime is how long after it received most of its shares a coordinator reports
	// empty buckets as filling: requests have waited for the shares, and at 0.6 of the
	// quota it takes 0.8 s to serve them.
	fillingTime = time.Second
	// fillingFraction is the part of the final fraction up to which a coordinator counts
	// as new.
	fillingFraction = 0.5
	// sharelessWait is how soon a daemon should ask a coordinator without shares again.
	sharelessWait = 20 * time.Millisecond
	// maxShares is the largest number of shares of a shard that a coordinator accepts.
	maxShares = 256
)

// limitFunc returns the limit of a workspace; ok is false if the configuration does not
// contain it.
type limitFunc func(WorkspaceHash) (l Limit, ok bool)

// Coordinator grants tokens at the rate of the shares that holders have leased to it. It
// is not safe for concurrent use.
type Coordinator struct {
	policy    Policy
	limit     limitFunc
	epoch     uint64
	startedAt time.Time
	leaving   bool
	shards    [ShardCount]coordinatorShard
}

// NewCoordinator returns a coordinator without shares. epoch identifies its run.
func NewCoordinator(p Policy, limit limitFunc, epoch uint64, now time.Time) *Coordinator {
	c := &Coordinator{policy: p, limit: limit, epoch: epoch, startedAt: now}
	for i := range c.shards {
		c.shards[i] = coordinatorShard{coordinator: c, shares: map[uint64]*share{}, buckets: map[WorkspaceHash]*bucket{}}
	}
	return c
}

// Fraction returns the fraction of the shares of a shard that the coordinator may use.
func (c *Coordinator) Fraction(now time.Time, s Shard) float64 {
	shard := &c.shards[s]
	shard.settle(now)
	return shard.fraction
}

// stamp returns the time for replies. It is rounded down, which only shortens leases. The
// first one is 1, because 0 stands for no stamp.
func (c *Coordinator) stamp(now time.Time) int64 {
	return now.Sub(c.startedAt).Milliseconds() + 1
}

// stampTime returns the time of a stamp of the past.
func (c *Coordinator) stampTime(stamp int64) time.Time {
	return c.startedAt.Add(time.Duration(stamp-1) * time.Millisecond)
}

// Answer processes a request and returns the reply.
func (c *Coordinator) Answer(now time.Time, from roster.Member, m *RequestMsg) *ReplyMsg {
	reply := c.newReply(now, m.Seq)
	for i := range m.Leases {
		l := &m.Leases[i]
		if c.acceptLease(now, from, m.Epoch, l) {
			continue
		}
		reply.Returns = append(reply.Returns, LeaseReturn{Shard: l.Shard, Number: l.Number})
	}
	if c.leaving {
		return reply
	}
	for _, t := range m.Tokens {
		reply.Grants = append(reply.Grants, c.grant(now, t))
	}
	return reply
}

func (c *Coordinator) newReply(now time.Time, seq uint64) *ReplyMsg {
	return &ReplyMsg{Seq: seq, Epoch: c.epoch, Stamp: c.stamp(now), Leaving: c.leaving}
}

// acceptLease processes an offer and reports whether the holder's share may be in use
// because of it.
func (c *Coordinator) acceptLease(now time.Time, from roster.Member, holder uint64, l *LeaseOffer) bool {
	shard := &c.shards[l.Shard]
	switch {
	case l.Epoch != c.epoch || l.Stamp > c.stamp(now):
		// The offer is for an earlier run, whose lease this one cannot return.
		return true
	case c.leaving:
		return false
	case l.Release:
		shard.release(now, holder, l.Number)
		return false
	}
	shard.renew(now, from, holder, l, c.stampTime(l.Stamp).Add(useTime))
	return true
}

// grant takes tokens from the bucket of a workspace.
func (c *Coordinator) grant(now time.Time, t TokenRequest) Grant {
	g := Grant{Workspace: t.Workspace}
	l, known := c.limit(t.Workspace)
	if known && l.Rate <= 0 {
		g.Count = t.Count
		return g
	}
	shard := &c.shards[t.Workspace.Shard()]
	shard.settle(now)
	if !known || shard.fraction <= 0 {
		g.State, g.WaitMillis = NoShares, sharelessWait.Milliseconds()
		return g
	}
	b := shard.bucket(now, t.Workspace)
	b.fill(now, l.Rate*shard.fraction, c.policy.capacity(l, shard.fraction))
	g.Count = b.take(t.Count)
	if g.Count == t.Count {
		return g
	}
	if now.Before(shard.fillingUntil) {
		g.State = BucketFilling
	}
	wait := (1 - b.level) / (l.Rate * shard.fraction)
	g.WaitMillis = int64(min(math.Ceil(wait*1000), maxWaitMillis))
	return g
}

// Leave returns all shares. It returns the replies that tell the holders so, and calls
// after the first return none.
func (c *Coordinator) Leave(now time.Time) []Addressed {
	if c.leaving {
		return nil
	}
	c.leaving = true
	replies := map[roster.Member]*ReplyMsg{}
	for i := range c.shards {
		for _, s := range c.shards[i].shares {
			if replies[s.holder] == nil {
				replies[s.holder] = c.newReply(now, 0)
			}
			replies[s.holder].Returns = append(replies[s.holder].Returns, LeaseReturn{Shard: Shard(i), Number: s.number})
		}
		c.shards[i].drop(now)
	}
	var out []Addressed
	for to, reply := range replies {
		out = append(out, Addressed{To: to, Reply: reply})
	}
	return out
}

// forget removes the buckets of workspaces that the configuration no longer contains.
func (c *Coordinator) forget(now time.Time) {
	for i := range c.shards {
		c.shards[i].forget(now)
	}
}
