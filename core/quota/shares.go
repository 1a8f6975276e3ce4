package quota

import (
	"time"

	"wisteriarelay.example/core/roster"
)

// bucket is the token bucket of a workspace at a coordinator.
type bucket struct {
	level float64
	at    time.Time
}

// fill adds the tokens since the last call, up to the capacity. A level above the capacity
// is cut, because shares were returned or the quota was lowered.
func (b *bucket) fill(now time.Time, rate, capacity float64) {
	if now.After(b.at) {
		b.level += rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity)
}

// take takes up to count whole tokens and returns their number.
func (b *bucket) take(count int) int {
	taken := int(min(float64(count), b.level))
	b.level -= float64(taken)
	return taken
}

// share is a holder's share of a shard on lease at a coordinator.
type share struct {
	holder   roster.Member
	fraction float64
	// until is the end of use.
	until time.Time
	// number is that of the last offer. Offers up to released are ignored.
	number   uint64
	released uint64
}

// coordinatorShard is the part of a coordinator for one shard.
type coordinatorShard struct {
	coordinator *Coordinator
	// shares are by the epoch of the holder: the share of a holder that has started again
	// is another one, since the holder waits for the end of the earlier lease.
	shares map[uint64]*share
	// fraction is the sum of the shares in use, at most 1.
	fraction float64
	// nextEnd is not after the end of any share in use.
	nextEnd      time.Time
	fillingUntil time.Time
	// emptyAt is when buckets that do not exist yet were empty.
	emptyAt time.Time
	buckets map[WorkspaceHash]*bucket
}

// bucket returns the bucket of a workspace. A new one has filled since the last change of
// the shares.
func (s *coordinatorShard) bucket(now time.Time, h WorkspaceHash) *bucket {
	b := s.buckets[h]
	if b == nil {
		b = &bucket{at: s.emptyAt}
		s.buckets[h] = b
	}
	return b
}

// renew extends the use of a share until the given time.
func (s *coordinatorShard) renew(now time.Time, from roster.Member, holder uint64, l *LeaseOffer, until time.Time) {
	s.settle(now)
	e := s.shares[holder]
	if !until.After(now) || e == nil && len(s.shares) >= maxShares || e != nil && l.Number <= e.released {
		return
	}
	if e == nil {
		e = &share{}
		s.shares[holder] = e
	}
	if e.fraction == 0 || until.After(e.until) {
		e.until = until
	}
	if l.Number >= e.number {
		e.holder, e.number = from, l.Number
		s.setFraction(now, e, 1/float64(l.Holders))
	}
	if s.nextEnd.IsZero() || e.until.Before(s.nextEnd) {
		s.nextEnd = e.until
	}
}

// setFraction changes the size of a share in use.
func (s *coordinatorShard) setFraction(now time.Time, e *share, fraction float64) {
	if e.fraction == fraction {
		return
	}
	s.advance(now)
	e.fraction = fraction
	s.recount(now)
}

// release ends the use of a share and ignores offers up to the number from now on.
func (s *coordinatorShard) release(now time.Time, holder, number uint64) {
	s.settle(now)
	e := s.shares[holder]
	if e == nil {
		if len(s.shares) >= maxShares {
			return
		}
		e = &share{}
		s.shares[holder] = e
	}
	e.released = max(e.released, number)
	if e.number > number {
		return
	}
	s.setFraction(now, e, 0)
	// The entry stays until an offer that is still on the way would have ended anyway.
	e.until = now.Add(leaseTime)
	if s.nextEnd.IsZero() || e.until.Before(s.nextEnd) {
		s.nextEnd = e.until
	}
}

// settle ends the shares whose time is over, each at its time.
func (s *coordinatorShard) settle(now time.Time) {
	for !s.nextEnd.IsZero() && !now.Before(s.nextEnd) {
		end := s.nextEnd
		s.nextEnd = time.Time{}
		for holder, e := range s.shares {
			if !e.until.After(end) {
				s.setFraction(end, e, 0)
				delete(s.shares, holder)
				continue
			}
			if s.nextEnd.IsZero() || e.until.Before(s.nextEnd) {
				s.nextEnd = e.until
			}
		}
	}
}

// drop ends the use of all shares.
func (s *coordinatorShard) drop(now time.Time) {
	s.advance(now)
	clear(s.shares)
	s.nextEnd = time.Time{}
	s.recount(now)
}

// advance fills all buckets up to now with the shares of the time before.
func (s *coordinatorShard) advance(now time.Time) {
	for h, b := range s.buckets {
		l, _ := s.coordinator.limit(h)
		b.fill(now, l.Rate*s.fraction, s.coordinator.policy.capacity(l, s.fraction))
	}
}

// recount sums the shares in use. Added shares bring no tokens; without a share, buckets
// lose theirs at once.
func (s *coordinatorShard) recount(now time.Time) {
	before := s.fraction
	s.fraction = 0
	for _, e := range s.shares {
		s.fraction += e.fraction
	}
	// Daemons that disagree on the members for a moment may offer more than the whole.
	s.fraction = min(s.fraction, 1)
	s.emptyAt = now
	if before < fillingFraction*s.fraction {
		s.fillingUntil = now.Add(fillingTime)
	}
	if s.fraction < before {
		s.advance(now)
	}
}

// forget removes the buckets of workspaces that the configuration no longer contains. One
// that returns begins with an empty bucket, as its tokens may have been used.
func (s *coordinatorShard) forget(now time.Time) {
	for h := range s.buckets {
		if _, known := s.coordinator.limit(h); !known {
			delete(s.buckets, h)
			s.emptyAt = now
		}
	}
}
