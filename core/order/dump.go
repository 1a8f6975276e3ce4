package order

import "wisteriarelay.example/core/fleet"

// Dump is the state of a manager in counts, without keys or contents.
type Dump struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Epoch is the open epoch, 0 while the daemon leaves.
	Epoch      uint32         `json:"epoch"`
	FirstEpoch uint32         `json:"first-epoch"`
	Records    int64          `json:"records"`
	MaxRecords int64          `json:"max-records"`
	KeptBytes  int64          `json:"kept-bytes"`
	MaxKept    int64          `json:"max-kept-bytes"`
	States     map[string]int `json:"states"`
	// Held counts the records of each ledger that was handed over.
	Held            map[fleet.Incarnation]int `json:"held"`
	OutcomesWaiting int                       `json:"outcomes-waiting"`
	OutcomesWritten uint64                    `json:"outcomes-written"`
	OutcomesDropped uint64                    `json:"outcomes-dropped"`
}

// Dump returns the state of the manager.
func (m *Manager) Dump() Dump {
	l := m.ledger
	out := Dump{
		Incarnation: m.self,
		Epoch:       l.current.Load(),
		Records:     l.records.Load(),
		MaxRecords:  l.maxRecords,
		KeptBytes:   l.kept.Load(),
		MaxKept:     l.maxKept,
		States:      map[string]int{},
		Held:        map[fleet.Incarnation]int{},
	}
	l.mu.Lock()
	out.FirstEpoch = l.epochs[0].number
	l.mu.Unlock()
	for i := range l.shards {
		l.shards[i].countStates(out.States)
	}
	m.holdings.mu.Lock()
	for inc, h := range m.holdings.ledgers {
		out.Held[inc] = len(h.records)
	}
	m.holdings.mu.Unlock()
	c := m.claims
	c.mu.Lock()
	defer c.mu.Unlock()
	out.OutcomesWaiting, out.OutcomesWritten, out.OutcomesDropped = len(c.waiting), c.written, c.dropped
	return out
}

func (s *shard) countStates(into map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		for _, r := range t.records {
			into[r.state.String()]++
		}
	}
}
