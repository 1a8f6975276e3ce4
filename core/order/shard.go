package order

import "sync"

// record is the entry of a ledger for one key.
type record struct {
	digest   Hash
	state    State
	response *Response
	grant    *Grant
}

// forDigest returns the record for a request with the given digest. If the key
// belongs to another request, it returns a record with StateMismatch.
func (r record) forDigest(digest Hash) record {
	if !digest.IsZero() && !r.digest.IsZero() && digest != r.digest {
		return record{state: StateMismatch}
	}
	return r
}

// reply returns the reply to a query. It contains the response only if the
// digest shows that the querier has the same request.
func (r record) reply(digest Hash) KeyReply {
	switch r.state {
	case StateAsking:
		return KeyReply{State: StateRunning}
	case StateRun:
		if digest.IsZero() || digest != r.digest {
			return KeyReply{State: StateRunDropped}
		}
	}
	return KeyReply{State: r.state, Response: r.response, Grant: r.grant}
}

// epochRecords holds the records of one epoch in one shard.
type epochRecords struct {
	number    uint32
	closed    bool
	records   map[Hash]record
	keptBytes int64
}

// responseRef identifies a record whose response is kept.
type responseRef struct {
	key   Hash
	epoch uint32
}

// shard holds the records of a part of the keys. The caller of a method must
// hold mu, except for openNextEpoch, closeEpoch, discardOldestEpoch,
// removeReservations, export and countStates, which lock it themselves.
type shard struct {
	mu sync.Mutex
	// epochs lists the retained epochs, oldest first, with consecutive numbers.
	epochs []*epochRecords
	// keptResponses lists the records whose responses are kept, oldest first;
	// keptBytes is the sum of their sizes.
	keptResponses []responseRef
	keptBytes     int64
}

// openNextEpoch closes the open epoch and opens the next one under a single
// lock, so that no copy of an order finds the shard without an open epoch.
func (s *shard) openNextEpoch(number uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.epochs) > 0 {
		s.newest().closed = true
	}
	s.epochs = append(s.epochs, &epochRecords{number: number, records: map[Hash]record{}})
}

func (s *shard) closeEpoch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest().closed = true
}

// discardOldestEpoch removes the oldest epoch. It returns the number of its
// records and the size of its kept responses in bytes.
func (s *shard) discardOldestEpoch() (records int, keptBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.epochs[0]
	s.epochs = append([]*epochRecords(nil), s.epochs[1:]...)
	s.keptBytes -= e.keptBytes
	remaining := make([]responseRef, 0, len(s.keptResponses))
	for _, ref := range s.keptResponses {
		if ref.epoch != e.number {
			remaining = append(remaining, ref)
		}
	}
	s.keptResponses = remaining
	return len(e.records), e.keptBytes
}

// newest returns the newest epoch; it is open unless the ledger is sealed.
func (s *shard) newest() *epochRecords {
	return s.epochs[len(s.epochs)-1]
}

// epochRecords returns the records of an epoch, or nil if the epoch is not retained.
func (s *shard) epochRecords(epoch uint32) *epochRecords {
	first := s.epochs[0].number
	if epoch < first || epoch > s.newest().number {
		return nil
	}
	return s.epochs[epoch-first]
}

// find returns the record of a key as it applies to a request with the digest.
// For a key without a record the state of the epoch decides: StateUnknown if
// the epoch was discarded, since a copy may have run in it; StateNotRun if it
// is closed, since no copy was admitted and none will be. It returns false for
// a key without a record in the open epoch.
func (s *shard) find(epoch uint32, key, digest Hash) (record, bool) {
	e := s.epochRecords(epoch)
	if e == nil {
		return record{state: StateUnknown}, true
	}
	if r, ok := e.records[key]; ok {
		return r.forDigest(digest), true
	}
	if e.closed {
		return record{state: StateNotRun}, true
	}
	return record{}, false
}

func (s *shard) insert(l *Ledger, e *epochRecords, key Hash, r record) {
	e.records[key] = r
	l.records.Add(1)
}

// admit records the first copy of an order in the ledger of the token's issuer.
// The returned bool reports whether the caller may run the order.
func (s *shard) admit(l *Ledger, known bool, r record, key, digest Hash, mayRun bool) (record, bool) {
	if known {
		return r, false
	}
	r = record{state: StateNotRun, digest: digest}
	if mayRun {
		r.state = StateRunning
	}
	s.insert(l, s.newest(), key, r)
	return r, mayRun
}

// applyQuery does what OnUnseen says for a key without a record: it grants the
// permission to run to the querier, closes the key, or changes nothing. A known
// key keeps its record.
func (s *shard) applyQuery(l *Ledger, known bool, r record, q KeyQuery) record {
	if known {
		return r
	}
	switch q.OnUnseen {
	case UnseenRelease:
		r = record{state: StateReleased, digest: q.Digest, grant: q.Grant}
	case UnseenClose:
		r = record{state: StateNotRun, digest: q.Digest}
	default:
		return record{state: StateUnseen}
	}
	s.insert(l, s.newest(), q.Key, r)
	return r
}

// keepResponse adds a response to the kept ones. It drops the oldest of them
// while the shard exceeds its share of the ledger's limit.
func (s *shard) keepResponse(l *Ledger, e *epochRecords, key Hash, size int64) {
	s.keptResponses = append(s.keptResponses, responseRef{key, e.number})
	s.addKeptBytes(l, e, size)
	for s.keptBytes > l.maxKeptBytes/shardCount && len(s.keptResponses) > 0 {
		s.dropOldestResponse(l)
	}
}

func (s *shard) addKeptBytes(l *Ledger, e *epochRecords, size int64) {
	e.keptBytes += size
	s.keptBytes += size
	l.keptBytes.Add(size)
}

func (s *shard) dropOldestResponse(l *Ledger) {
	ref := s.keptResponses[0]
	s.keptResponses = s.keptResponses[1:]
	e := s.epochRecords(ref.epoch)
	r := e.records[ref.key]
	s.addKeptBytes(l, e, -r.response.Size())
	r.state, r.response = StateRunDropped, nil
	e.records[ref.key] = r
}
