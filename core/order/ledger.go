package order

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

const (
	// shardCount is the number of shards, each with its own lock to reduce
	// contention; a power of two.
	shardCount = 16
	// defaultMaxRecords and defaultMaxKeptBytes keep the ledger below a quarter
	// of a daemon's 256 MB of memory: 17 MB for records of up to 130 B
	// (BenchmarkOwnToken) and 32 MiB for responses.
	defaultMaxRecords   = 131072
	defaultMaxKeptBytes = 32 << 20
	// defaultMaxResponseBytes is the size of the largest response that is kept.
	defaultMaxResponseBytes = 64 << 10
	defaultEpochDuration    = 10 * time.Minute
	defaultRetention        = time.Hour
	// defaultMinRetention is the time after which a full ledger discards a closed
	// epoch early. A repeat of an order in it then gets the outcome unknown,
	// which is always safe.
	defaultMinRetention = 10 * time.Minute
	tickInterval        = time.Second
)

// Ledger records in memory the state of the keys on which this incarnation decides:
// keys under the tokens that it issued, and keys of which it was granted or has
// claimed the permission to run.
//
// Time is divided into numbered epochs. A key under a token belongs to the epoch
// in which the token was issued. Only the newest epoch is open for new keys. A
// closed epoch keeps its records for the retention time and is then discarded.
type Ledger struct {
	self             fleet.Incarnation
	maxRecords       int64
	maxKeptBytes     int64
	maxResponseBytes int64

	epochDuration, retention, minRetention time.Duration

	records   atomic.Int64
	keptBytes atomic.Int64
	// openEpoch is the number of the open epoch, 0 once the ledger is sealed.
	openEpoch atomic.Uint32

	mu     sync.Mutex
	epochs []epochTimes
	shards [shardCount]shard
}

// epochTimes states when a retained epoch was opened and closed. The newest
// epoch is open, with a zero closedAt, unless the ledger is sealed.
type epochTimes struct {
	number             uint32
	openedAt, closedAt time.Time
}

// LedgerOption configures a Ledger.
type LedgerOption func(*Ledger)

// WithMaxRecords limits the number of records.
func WithMaxRecords(n int) LedgerOption {
	return func(l *Ledger) { l.maxRecords = int64(n) }
}

// WithMaxKeptBytes limits the size of the kept responses in bytes: of all of
// them together and of each one.
func WithMaxKeptBytes(total, each int64) LedgerOption {
	return func(l *Ledger) { l.maxKeptBytes, l.maxResponseBytes = total, each }
}

// WithEpochDurations sets how long an epoch stays open, how long its records are
// retained after that, and how long they are retained at least when the ledger
// is full.
func WithEpochDurations(open, retention, minRetention time.Duration) LedgerOption {
	return func(l *Ledger) { l.epochDuration, l.retention, l.minRetention = open, retention, minRetention }
}

// NewLedger returns the empty ledger of an incarnation, with epoch 1 open.
func NewLedger(self fleet.Incarnation, opts ...LedgerOption) *Ledger {
	l := &Ledger{
		self:       self,
		maxRecords: defaultMaxRecords, maxKeptBytes: defaultMaxKeptBytes, maxResponseBytes: defaultMaxResponseBytes,
		epochDuration: defaultEpochDuration, retention: defaultRetention, minRetention: defaultMinRetention,
	}
	for _, o := range opts {
		o(l)
	}
	l.openNextEpochLocked(time.Now())
	return l
}

// run closes epochs and discards expired ones until ctx ends.
func (l *Ledger) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick(time.Now())
		}
	}
}

func (l *Ledger) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last := l.epochs[len(l.epochs)-1]; last.closedAt.IsZero() && now.Sub(last.openedAt) >= l.epochDuration {
		l.openNextEpochLocked(now)
	}
	l.discardExpiredLocked(now, l.retention)
}

// openNextEpochLocked closes the open epoch, if there is one, and opens the next
// one. The first epoch of a ledger is 1.
func (l *Ledger) openNextEpochLocked(now time.Time) {
	number := l.openEpoch.Load() + 1
	if number > 1 {
		l.epochs[len(l.epochs)-1].closedAt = now
	}
	l.epochs = append(l.epochs, epochTimes{number: number, openedAt: now})
	for i := range l.shards {
		l.shards[i].openNextEpoch(number)
	}
	l.openEpoch.Store(number)
}

// discardExpiredLocked discards the epochs that were closed at least the
// retention time ago.
func (l *Ledger) discardExpiredLocked(now time.Time, retention time.Duration) {
	for len(l.epochs) > 1 && !l.epochs[0].closedAt.IsZero() && now.Sub(l.epochs[0].closedAt) >= retention {
		l.discardOldestEpochLocked()
	}
}

func (l *Ledger) discardOldestEpochLocked() {
	for i := range l.shards {
		records, keptBytes := l.shards[i].discardOldestEpoch()
		l.records.Add(-int64(records))
		l.keptBytes.Add(-keptBytes)
	}
	l.epochs = l.epochs[1:]
}

func (l *Ledger) full() bool {
	return l.records.Load() >= l.maxRecords
}

// reclaimSpace is called when the ledger is full. It discards closed epochs that
// were retained for minRetention. If that isn't enough and the given epoch is
// open, it closes that epoch, so that a key without a record in it is known to
// be not run.
func (l *Ledger) reclaimSpace(epoch uint32) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.full() && len(l.epochs) > 1 && now.Sub(l.epochs[0].closedAt) >= l.minRetention {
		l.discardOldestEpochLocked()
	}
	if l.full() && epoch != 0 && epoch == l.openEpoch.Load() {
		l.openNextEpochLocked(now)
	}
}

// epochForToken returns the epoch for a new token. It returns NotReady once the
// ledger is sealed and QueueFull while it is full.
func (l *Ledger) epochForToken() (uint32, error) {
	if l.full() {
		l.reclaimSpace(0)
	}
	if l.full() {
		return 0, fault.New(fault.QueueFull, "the ledger holds %d orders", l.records.Load()).WithRetryAfter(tickInterval)
	}
	epoch := l.openEpoch.Load()
	if epoch == 0 {
		return 0, fault.New(fault.NotReady, "this daemon is leaving")
	}
	return epoch, nil
}

func (l *Ledger) shard(key Hash) *shard {
	return &l.shards[key[0]%shardCount]
}

// begin admits a key under a token of this incarnation, or returns its record.
// If admitted is true, the caller, and nobody else, may run the order. With
// mayRun false, an unseen key is closed instead.
func (l *Ledger) begin(epoch uint32, key, digest Hash, mayRun bool) (r record, admitted bool) {
	s := l.shard(key)
	for {
		full := l.full()
		s.mu.Lock()
		r, ok := s.find(epoch, key, digest)
		if ok || !full {
			r, admitted = s.admit(l, ok, r, key, digest, mayRun)
			s.mu.Unlock()
			return r, admitted
		}
		s.mu.Unlock()
		l.reclaimSpace(epoch)
	}
}

// reserve records that a copy of an order waits for the permission to run here.
// This ledger does not decide on the key: another incarnation issued the token,
// or the key is claimed in the table service. reserve returns the open epoch,
// which holds the reservation, or the record that a retained epoch already has
// for the key. With known false and epoch 0 there is neither, since the ledger is
// full or sealed.
func (l *Ledger) reserve(key, digest Hash) (r record, known bool, epoch uint32) {
	if l.full() {
		l.reclaimSpace(0)
	}
	full := l.full()
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.epochs) - 1; i >= 0; i-- {
		if r, ok := s.epochs[i].records[key]; ok {
			return r.forDigest(digest), true, 0
		}
	}
	e := s.newest()
	if e.closed || full {
		return record{}, false, 0
	}
	s.insert(l, e, key, record{state: StateAsking, digest: digest})
	return record{}, false, e.number
}

// cancelReservation removes the reservation of a copy that did not get the
// permission to run.
func (l *Ledger) cancelReservation(epoch uint32, key Hash) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.epochRecords(epoch)
	if e == nil || e.records[key].state != StateAsking {
		return
	}
	delete(e.records, key)
	l.records.Add(-1)
}

// useGrant starts an order under a grant to this incarnation for the epoch
// granted. If the reservation is in that epoch, it becomes the running record.
// If it is in a later epoch, the grant comes from an earlier query whose reply
// was lost; the reservation is then cancelled, and the record of the granted
// epoch decides.
func (l *Ledger) useGrant(reserved, granted uint32, key, digest Hash) (r record, admitted bool) {
	if reserved != granted {
		l.cancelReservation(reserved, key)
	}
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.find(granted, key, digest)
	if ok && r.state == StateAsking && reserved == granted {
		r.state = StateRunning
		s.epochRecords(granted).records[key] = r
		return r, true
	}
	if !ok {
		// The granted epoch is open but has no reservation. No sequence of
		// calls leads here; StateUnknown is the safe result.
		r = record{state: StateUnknown}
	}
	return r, false
}

// finish records the outcome of a running order. It has no effect if the order
// already has an outcome or its epoch was discarded.
func (l *Ledger) finish(epoch uint32, key Hash, outcome fault.Outcome, res *Response) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.epochRecords(epoch)
	if e == nil {
		return
	}
	r, ok := e.records[key]
	if !ok || r.state != StateRunning {
		return
	}
	switch outcome {
	case fault.Run:
		r.state = StateRunDropped
		if res != nil && res.Size() <= l.maxResponseBytes {
			r.state, r.response = StateRun, res
		}
	case fault.NotRun:
		r.state = StateNotRun
	default:
		r.state = StateUnknown
	}
	e.records[key] = r
	if r.response != nil {
		s.keepResponse(l, e, key, res.Size())
	}
}

// answer replies to a query about this ledger.
func (l *Ledger) answer(q KeyQuery) KeyReply {
	s := l.shard(q.Key)
	for {
		full := l.full()
		s.mu.Lock()
		r, ok := s.find(q.Epoch, q.Key, q.Digest)
		if ok || !full || q.OnUnseen == UnseenKeep {
			r = s.applyQuery(l, ok, r, q)
			s.mu.Unlock()
			return r.reply(q.Digest)
		}
		s.mu.Unlock()
		l.reclaimSpace(q.Epoch)
	}
}
