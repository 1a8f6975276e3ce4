package retry

import "time"

// spreadTime is how long daemons may take to learn of a change of the members, beyond the
// span, before one of them uses a larger part because of it.
const spreadTime = 2 * time.Second

// SettledAllocation is the part of the retry budget that a daemon may use over time: the
// smallest of those that it computed in the last span and spreadTime. A part that passes
// from one daemon to another is thus not used by both in one window: the one that loses it
// uses it no more at once, and the one that gets it waits until what the other has sent
// counts no more. For the same reason a run uses nothing in its first span: an earlier run
// of the daemon, or of the whole fleet, may have used everything. It is not safe for
// concurrent use.
type SettledAllocation struct {
	wait time.Duration
	// minima holds the parts of the wait that no later one undercuts, in ascending order.
	minima []timedAllocation
	// usableAt is the time before which nothing may be used; zero before the first part.
	usableAt time.Time
}

// timedAllocation is a part that was computed last at a time.
type timedAllocation struct {
	allocation Allocation
	at         time.Time
}

// NewSettledAllocation returns the part of a run that has computed none yet, for a budget
// with windows of the span.
func NewSettledAllocation(span time.Duration) *SettledAllocation {
	return &SettledAllocation{wait: span + spreadTime}
}

// SkipWait lets the part be used at once. It is for a daemon of which no earlier run and no
// other daemon of its data centre exists: those that start later wait.
func (s *SettledAllocation) SkipWait(now time.Time) {
	s.usableAt = now
}

// Update records the part that was computed now, and returns the part that may be used.
func (s *SettledAllocation) Update(now time.Time, a Allocation) Allocation {
	if s.usableAt.IsZero() {
		s.usableAt = now.Add(s.wait)
	}
	for len(s.minima) > 0 && s.minima[len(s.minima)-1].allocation.SlackFraction >= a.SlackFraction {
		s.minima = s.minima[:len(s.minima)-1]
	}
	s.minima = append(s.minima, timedAllocation{a, now})
	for now.Sub(s.minima[0].at) > s.wait {
		s.minima = s.minima[1:]
	}
	if now.Before(s.usableAt) {
		return Allocation{}
	}
	return s.minima[0].allocation
}
