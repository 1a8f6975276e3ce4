package watch

import "time"

const (
	// readInterval is the age of the list at which the first daemon of a data
	// centre reads it again. A target that leaves must not get work two seconds
	// after the store took its word, and the read takes time as well.
	readInterval = 800 * time.Millisecond
	// rankStep is how much later the next daemon in rank reads, if no peer has
	// passed on a newer list by then.
	rankStep = 250 * time.Millisecond
	// maxRankDelay bounds the delay by rank.
	maxRankDelay = 700 * time.Millisecond
	// maxBackoff bounds the wait after failed reads.
	maxBackoff = 2 * time.Second
	// firstBackoff is the wait after the first failed read.
	firstBackoff = 200 * time.Millisecond
)

// Schedule decides when a daemon reads the list itself.
type Schedule struct {
	failures int
	retryAt  time.Time
}

// Due returns when the daemon with the rank in its data centre reads a list that
// rests on a read at asOf and was renewed at heardAt. The first reads by the age of
// the list, the others only when they have heard of no renewal. Load pattern: a read
// of thousands of targets takes half a second; by the age of the list all daemons of
// a data centre would read too, while the first one's read is on its way to them.
func (s *Schedule) Due(asOf, heardAt time.Time, rank int) time.Time {
	if asOf.IsZero() {
		return s.retryAt
	}
	due := asOf.Add(readInterval)
	if rank > 0 {
		due = heardAt.Add(readInterval + min(time.Duration(rank)*rankStep, maxRankDelay))
	}
	if due.Before(s.retryAt) {
		return s.retryAt
	}
	return due
}

// Succeeded notes a read that worked.
func (s *Schedule) Succeeded() {
	s.failures = 0
	s.retryAt = time.Time{}
}

// Failed notes a read that failed.
func (s *Schedule) Failed(now time.Time) {
	wait := min(firstBackoff<<min(s.failures, 8), maxBackoff)
	s.failures++
	s.retryAt = now.Add(wait)
}
