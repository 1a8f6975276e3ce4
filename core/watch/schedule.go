package watch

import "time"

const (
	// readInterval is the age of the list at which the daemon with rank 0 in a data
	// centre reads it again. A target that is leaving must receive no requests 2 s
	// after the store accepted its update, and the read takes time as well.
	readInterval = 800 * time.Millisecond
	// rankDelay is the additional delay per rank before a daemon reads the list. It
	// reads only if no peer has sent it a newer list by then.
	rankDelay = 250 * time.Millisecond
	// maxRankDelay is the upper bound of the delay by rank.
	maxRankDelay = 700 * time.Millisecond
	// maxListAge is the age of the list at which the daemon with rank 1 reads it even if
	// updates arrive: the daemon with rank 0 may take long for each read.
	maxListAge = 1600 * time.Millisecond
	// maxListAgeStep is added to maxListAge per further rank, up to maxListAgeSteps times.
	maxListAgeStep  = 100 * time.Millisecond
	maxListAgeSteps = 2
	// maxBackoff is the upper bound of the delay after failed reads, maxReaderBackoff
	// that of the first readerCount ranks: the others learn from these that the store can
	// be read again. It bounds how late the first read after an outage begins, and with it
	// how long a target that left before the outage is used.
	maxBackoff       = 2 * time.Second
	maxReaderBackoff = 500 * time.Millisecond
	readerCount      = 8
	// checkRankDelay is the delay per rank, up to readerCount, before a daemon reads the
	// list to find out which of the missing targets are gone.
	checkRankDelay = 25 * time.Millisecond
	// initialBackoff is the delay after the first failed read; it doubles with each
	// further one.
	initialBackoff = 200 * time.Millisecond
)

// Schedule determines when a daemon reads the target list from the store, with
// exponential backoff after failures.
type Schedule struct {
	failures int
	retryAt  time.Time
}

// Due returns when the daemon with the given rank in its data centre reads the list
// again. The list is based on a read at asOf and was last updated at renewedAt. Rank 0
// reads as soon as the list is too old. The other ranks are backups: they read only if
// the list has not been updated for some time. A read of thousands of targets takes
// half a second; if the age of the list counted for all ranks, every daemon of the data
// centre would read too while the result of rank 0 is still being sent to them. Only a
// list that is close to the bound for leaving targets is read regardless of updates.
func (s *Schedule) Due(asOf, renewedAt time.Time, rank int) time.Time {
	if asOf.IsZero() {
		return s.retryAt
	}
	due := asOf.Add(readInterval)
	if rank > 0 {
		due = renewedAt.Add(readInterval + min(time.Duration(rank)*rankDelay, maxRankDelay))
		steps := min(rank-1, maxListAgeSteps)
		if limit := asOf.Add(maxListAge + time.Duration(steps)*maxListAgeStep); limit.Before(due) {
			due = limit
		}
	}
	return s.afterBackoff(due)
}

// afterBackoff returns the time, or the end of the backoff if that is later.
func (s *Schedule) afterBackoff(due time.Time) time.Time {
	if due.Before(s.retryAt) {
		return s.retryAt
	}
	return due
}

// Succeeded records a successful read and resets the backoff.
func (s *Schedule) Succeeded() {
	s.failures = 0
	s.retryAt = time.Time{}
}

// Failed records a failed read of the daemon with the given rank and extends the backoff,
// which begins at the time.
func (s *Schedule) Failed(at time.Time, rank int) {
	backoff := min(initialBackoff<<min(s.failures, 8), backoffLimit(rank))
	s.failures++
	s.retryAt = at.Add(backoff)
}

// Rejected records a read whose result could not be used, and delays the next one, so that a
// store whose answers contradict each other is not read without pause.
func (s *Schedule) Rejected(at time.Time) {
	s.retryAt = at.Add(initialBackoff)
}

// backoffLimit returns the upper bound of the delay after failed reads of the daemon with
// the given rank.
func backoffLimit(rank int) time.Duration {
	if rank < readerCount {
		return maxReaderBackoff
	}
	return maxBackoff
}

// ProbeInterval returns the time between two calls that do not wait for each other, and
// whether the daemon with the given rank makes such calls. The first ranks do so after a
// failed read, to notice the end of an outage soon.
func (s *Schedule) ProbeInterval(rank int) (time.Duration, bool) {
	return maxReaderBackoff, s.failures > 0 && rank < readerCount
}

// CheckDue returns when the daemon with the given rank reads the list because of a check
// that is due. Rank 0 reads at once, the others if it does not.
func (s *Schedule) CheckDue(check time.Time, rank int) time.Time {
	due := check.Add(time.Duration(min(rank, readerCount)) * checkRankDelay)
	return s.afterBackoff(due)
}

// EraDue returns when the daemon with the given rank reads the whole list because a new era of
// the store has begun, of which it knows since the start. Rank 0 reads at once and sends the
// list to the others, who read it themselves if it does not arrive.
func (s *Schedule) EraDue(start time.Time, rank int) time.Time {
	due := start.Add(min(time.Duration(rank)*rankDelay, maxRankDelay))
	return s.afterBackoff(due)
}

// EndBackoff allows the next read at once: a peer could read the store.
func (s *Schedule) EndBackoff() {
	s.retryAt = time.Time{}
}
