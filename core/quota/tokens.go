package quota

import "time"

const (
	// tokenTTL is how long a granted token may be used after its arrival. It bounds how
	// many tokens of an earlier time are used in a window.
	tokenTTL = 200 * time.Millisecond
	// maxBatches is the largest number of grants whose tokens a daemon holds for one
	// workspace; more are joined and expire with the oldest of them.
	maxBatches = 8
	// meterWindow is the time over which a meter counts.
	meterWindow = 500 * time.Millisecond
)

// tokenBatch holds the tokens of one grant.
type tokenBatch struct {
	count   int
	expires time.Time
}

// tokenStore holds the tokens of a workspace that are granted but not used, the oldest
// first.
type tokenStore struct {
	batches [maxBatches]tokenBatch
	used    int
}

// expire drops the tokens that may no longer be used.
func (s *tokenStore) expire(now time.Time) {
	gone := 0
	for gone < s.used && (s.batches[gone].count == 0 || !now.Before(s.batches[gone].expires)) {
		gone++
	}
	if gone > 0 {
		copy(s.batches[:], s.batches[gone:s.used])
		s.used -= gone
	}
}

// add adds tokens that expire at the given time.
func (s *tokenStore) add(count int, expires time.Time) {
	if count <= 0 {
		return
	}
	if s.used == maxBatches {
		s.batches[s.used-1].count += count
		return
	}
	s.batches[s.used] = tokenBatch{count: count, expires: expires}
	s.used++
}

// take takes one token and reports whether there was one. Expired tokens must have been
// dropped.
func (s *tokenStore) take() bool {
	for i := range s.batches[:s.used] {
		if s.batches[i].count > 0 {
			s.batches[i].count--
			return true
		}
	}
	return false
}

// count returns the number of tokens.
func (s *tokenStore) count() int {
	n := 0
	for _, b := range s.batches[:s.used] {
		n += b.count
	}
	return n
}

// meter measures a rate over the current and the previous window.
type meter struct {
	start             time.Time
	current, previous float64
}

// add counts n events.
func (m *meter) add(now time.Time, n int) {
	m.roll(now)
	m.current += float64(n)
}

// roll begins a new window if the current one is over.
func (m *meter) roll(now time.Time) {
	switch age := now.Sub(m.start); {
	case age < meterWindow:
	case age < 2*meterWindow:
		m.start, m.previous, m.current = m.start.Add(meterWindow), m.current, 0
	default:
		m.start, m.previous, m.current = now, 0, 0
	}
}

// rate returns the number of events per second.
func (m *meter) rate(now time.Time) float64 {
	m.roll(now)
	passed := now.Sub(m.start).Seconds() / meterWindow.Seconds()
	return (m.current + m.previous*(1-passed)) / meterWindow.Seconds()
}
