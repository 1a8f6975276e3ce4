package order

import "wisteriarelay.example/core/fleet"

// Dump is a snapshot of a manager's state for diagnosis. It contains counts only,
// no keys and no contents of orders.
type Dump struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Epoch is the open epoch, 0 once the ledger is sealed.
	Epoch        uint32         `json:"epoch"`
	FirstEpoch   uint32         `json:"first-epoch"`
	Records      int64          `json:"records"`
	MaxRecords   int64          `json:"max-records"`
	KeptBytes    int64          `json:"kept-bytes"`
	MaxKeptBytes int64          `json:"max-kept-bytes"`
	States       map[string]int `json:"states"`
	// Imported counts the records of each ledger that another daemon handed over.
	Imported        map[fleet.Incarnation]int `json:"held"`
	OutcomesWaiting int                       `json:"outcomes-waiting"`
	OutcomesWritten uint64                    `json:"outcomes-written"`
	OutcomesDropped uint64                    `json:"outcomes-dropped"`
}

// Dump returns the state of the manager.
func (m *Manager) Dump() Dump {
	l := m.ledger
	out := Dump{
		Incarnation:  m.self,
		Epoch:        l.openEpoch.Load(),
		Records:      l.records.Load(),
		MaxRecords:   l.maxRecords,
		KeptBytes:    l.keptBytes.Load(),
		MaxKeptBytes: l.maxKeptBytes,
		States:       map[string]int{},
		Imported:     map[fleet.Incarnation]int{},
	}
	l.mu.Lock()
	out.FirstEpoch = l.epochs[0].number
	l.mu.Unlock()
	for i := range l.shards {
		l.shards[i].countStates(out.States)
	}
	m.imported.mu.Lock()
	for inc, h := range m.imported.ledgers {
		out.Imported[inc] = len(h.records)
	}
	m.imported.mu.Unlock()
	c := m.claims
	c.mu.Lock()
	defer c.mu.Unlock()
	out.OutcomesWaiting, out.OutcomesWritten, out.OutcomesDropped = len(c.waiting), c.written, c.dropped
	return out
}

func (s *shard) countStates(into map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.epochs {
		for _, r := range e.records {
			into[r.state.String()]++
		}
	}
}
