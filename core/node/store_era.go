package node

import (
	"sync"
	"time"

	"wisteriarelay.example/core/watch"
)

// storeEra is the latest era of the store that this daemon knows of, by an answer of the store
// or a message of a peer. It is safe for concurrent use.
type storeEra struct {
	mu sync.Mutex
	// first is the earliest era that the daemon heard of since its start.
	first watch.Era
	era   watch.Era
	// noticedAt is when the daemon first knew of the era.
	noticedAt time.Time
	// changed is closed and replaced when a later era is noticed.
	changed chan struct{}
}

func newStoreEra() *storeEra {
	return &storeEra{changed: make(chan struct{})}
}

// notice records an era. It returns the latest one known before, and whether this one is
// later.
func (s *storeEra) notice(now time.Time, e watch.Era) (previous watch.Era, later bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous = s.era
	if e != 0 && (s.first == 0 || e < s.first) {
		s.first = e
	}
	if e <= previous {
		return previous, false
	}
	s.era, s.noticedAt = e, now
	close(s.changed)
	s.changed = make(chan struct{})
	return previous, true
}

// latest returns the latest era and when the daemon first knew of it.
func (s *storeEra) latest() (e watch.Era, noticedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.noticedAt
}

// earliest returns the earliest era that the daemon heard of since its start.
func (s *storeEra) earliest() watch.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

// hasEnded reports whether a later era than the given one is known; no unknown era has ended.
func (s *storeEra) hasEnded(e watch.Era) bool {
	latest, _ := s.latest()
	return e != 0 && e < latest
}

// ended returns a channel that is closed once the era has ended.
func (s *storeEra) ended(e watch.Era) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e == 0:
		return nil
	case e < s.era:
		closed := make(chan struct{})
		close(closed)
		return closed
	default:
		return s.changed
	}
}

// noticeEra records the era of an answer or a message. The source is the VM of a peer or
// fromStore.
func (n *Node) noticeEra(source string, e watch.Era) {
	previous, later := n.storeEra.notice(time.Now(), e)
	if !later || previous == 0 {
		return
	}
	n.metrics.Counter("store_eras_begun").Inc(1)
	_ = n.logger.Log("msg", "store has begun a new era", "era", e, "previous", previous, "source", source)
}

// handleStoreEra records the era that an answer of the store names, or logs once that it
// cannot be told.
func (n *Node) handleStoreEra(e watch.Era, err error) {
	if err == nil {
		n.noticeEra(fromStore, e)
		return
	}
	if !n.eraProblemLogged.Swap(true) {
		_ = n.logger.Log("msg", "era of the store is not known", "err", err)
	}
}
