package order

import "sync"

// record is what a ledger knows of one key.
type record struct {
	digest Hash
	state  State
	res    *Response
	grant  *Grant
}

// checked returns the record as a request with the digest may see it.
func (r record) checked(digest Hash) record {
	if !digest.IsZero() && !r.digest.IsZero() && digest != r.digest {
		return record{state: StateMismatch}
	}
	return r
}

// reply returns the record for an asker, without a response if the asker
// doesn't prove by its digest that it has the same request.
func (r record) reply(digest Hash) OrderReply {
	switch r.state {
	case StateAsking:
		return OrderReply{State: StateRunning}
	case StateRun:
		if digest.IsZero() || digest != r.digest {
			return OrderReply{State: StateRunDropped}
		}
	}
	return OrderReply{State: r.state, Response: r.res, Grant: r.grant}
}

// table holds the records of one epoch in one shard.
type table struct {
	number  uint32
	closed  bool
	records map[Hash]record
	kept    int64
}

// keptRef names a record with a kept response.
type keptRef struct {
	key    Hash
	number uint32
}

// shard holds a part of the records, by key. Its methods need its lock, but
// for roll, close, forgetOldest, removeAsking and export, which take it.
type shard struct {
	mu     sync.Mutex
	tables []*table
	// queue lists the kept responses, oldest first, and kept sums their bytes.
	queue []keptRef
	kept  int64
}

// roll closes the open epoch and opens the next one in one step, so that no
// copy meets a shard without an open epoch.
func (s *shard) roll(number uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tables) > 0 {
		s.last().closed = true
	}
	s.tables = append(s.tables, &table{number: number, records: map[Hash]record{}})
}

func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last().closed = true
}

// forgetOldest drops the oldest epoch and returns the number of its records
// and the bytes of its kept responses.
func (s *shard) forgetOldest() (records int, kept int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[0]
	s.tables = append([]*table(nil), s.tables[1:]...)
	s.kept -= t.kept
	queue := make([]keptRef, 0, len(s.queue))
	for _, ref := range s.queue {
		if ref.number != t.number {
			queue = append(queue, ref)
		}
	}
	s.queue = queue
	return len(t.records), t.kept
}

func (s *shard) last() *table {
	return s.tables[len(s.tables)-1]
}

// table returns the table of a remembered epoch, or nil.
func (s *shard) table(number uint32) *table {
	first := s.tables[0].number
	if number < first || number > s.last().number {
		return nil
	}
	return s.tables[number-first]
}

// find returns the record of a key, checked against the digest. For a key
// without a record it answers by the state of the epoch: unknown if the epoch
// is forgotten, since a copy may have run in it; not-run if it is closed, since
// no copy was admitted and none will be. It returns false for an unseen key of
// the open epoch.
func (s *shard) find(number uint32, key, digest Hash) (record, bool) {
	t := s.table(number)
	if t == nil {
		return record{state: StateUnknown}, true
	}
	if r, ok := t.records[key]; ok {
		return r.checked(digest), true
	}
	if t.closed {
		return record{state: StateNotRun}, true
	}
	return record{}, false
}

func (s *shard) insert(l *Ledger, t *table, key Hash, r record) {
	t.records[key] = r
	l.records.Add(1)
}

// admit records the first copy of a key at its home.
func (s *shard) admit(l *Ledger, known bool, r record, key, digest Hash, run bool) (record, bool) {
	if known {
		return r, false
	}
	r = record{state: StateNotRun, digest: digest}
	if run {
		r.state = StateRunning
	}
	s.insert(l, s.last(), key, r)
	return r, run
}

// settle does what an ask wants with an unseen key.
func (s *shard) settle(l *Ledger, known bool, r record, a OrderAsk) record {
	if known {
		return r
	}
	switch a.Want {
	case WantRelease:
		r = record{state: StateReleased, digest: a.Digest, grant: a.Asker}
	case WantClose:
		r = record{state: StateNotRun, digest: a.Digest}
	default:
		return record{state: StateUnseen}
	}
	s.insert(l, s.last(), a.Key, r)
	return r
}

// keep counts a kept response and drops the oldest ones above the shard's
// share of the bound.
func (s *shard) keep(l *Ledger, t *table, key Hash, size int64) {
	s.queue = append(s.queue, keptRef{key, t.number})
	s.count(l, t, size)
	for s.kept > l.maxKept/shardCount && len(s.queue) > 0 {
		s.dropOldest(l)
	}
}

func (s *shard) count(l *Ledger, t *table, size int64) {
	t.kept += size
	s.kept += size
	l.kept.Add(size)
}

func (s *shard) dropOldest(l *Ledger) {
	ref := s.queue[0]
	s.queue = s.queue[1:]
	t := s.table(ref.number)
	r := t.records[ref.key]
	s.count(l, t, -r.res.Size())
	r.state, r.res = StateRunDropped, nil
	t.records[ref.key] = r
}
