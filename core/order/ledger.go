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
	// shardCount spreads the lock of the ledger; a power of two.
	shardCount = 16
	// defaultRecords and defaultKept keep the ledger under a quarter of the
	// 256 MB of a daemon: up to 130 B a record (BenchmarkOwnToken), 17 MB, and
	// 32 MiB of responses.
	defaultRecords = 131072
	defaultKept    = 32 << 20
	// defaultResponse is the largest response that is kept.
	defaultResponse = 64 << 10
	defaultEpoch    = 10 * time.Minute
	defaultKeep     = time.Hour
	// defaultLeastKeep is the time after which a full ledger forgets a closed
	// epoch early; a repeat is then answered with unknown, which is always safe.
	defaultLeastKeep = 10 * time.Minute
	tickEvery        = time.Second
)

// Ledger holds, in memory, what became of the keys whose right to run lies or
// lay with this incarnation.
type Ledger struct {
	self                       fleet.Incarnation
	maxRecords                 int64
	maxKept                    int64
	maxResponse                int64
	epochTime, keep, leastKeep time.Duration

	records atomic.Int64
	kept    atomic.Int64
	// current is the number of the open epoch, 0 once the ledger is sealed.
	current atomic.Uint32

	mu     sync.Mutex
	epochs []epoch
	shards [shardCount]shard
}

// epoch is one remembered epoch; the last one is open unless the ledger is sealed.
type epoch struct {
	number           uint32
	openedAt, closed time.Time
}

// LedgerOption changes a Ledger.
type LedgerOption func(*Ledger)

// WithRecords sets the largest number of records.
func WithRecords(n int) LedgerOption {
	return func(l *Ledger) { l.maxRecords = int64(n) }
}

// WithKept sets the bytes of kept responses, of all and of one.
func WithKept(all, one int64) LedgerOption {
	return func(l *Ledger) { l.maxKept, l.maxResponse = all, one }
}

// WithEpoch sets how long an epoch stays open, how long its records are kept
// after that, and how long at the least when the ledger is full.
func WithEpoch(open, keep, leastKeep time.Duration) LedgerOption {
	return func(l *Ledger) { l.epochTime, l.keep, l.leastKeep = open, keep, leastKeep }
}

// NewLedger returns the empty ledger of an incarnation, with epoch 1 open.
func NewLedger(self fleet.Incarnation, opts ...LedgerOption) *Ledger {
	l := &Ledger{
		self:       self,
		maxRecords: defaultRecords, maxKept: defaultKept, maxResponse: defaultResponse,
		epochTime: defaultEpoch, keep: defaultKeep, leastKeep: defaultLeastKeep,
	}
	for _, o := range opts {
		o(l)
	}
	l.rollLocked(time.Now())
	return l
}

// run closes and forgets epochs on time until ctx ends.
func (l *Ledger) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
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
	if last := l.epochs[len(l.epochs)-1]; last.closed.IsZero() && now.Sub(last.openedAt) >= l.epochTime {
		l.rollLocked(now)
	}
	l.forgetLocked(now, l.keep)
}

// rollLocked closes the open epoch and opens the next one; a new ledger opens epoch 1.
func (l *Ledger) rollLocked(now time.Time) {
	number := l.current.Load() + 1
	if number > 1 {
		l.epochs[len(l.epochs)-1].closed = now
	}
	l.epochs = append(l.epochs, epoch{number: number, openedAt: now})
	for i := range l.shards {
		l.shards[i].roll(number)
	}
	l.current.Store(number)
}

// forgetLocked drops the closed epochs that are older than keep.
func (l *Ledger) forgetLocked(now time.Time, keep time.Duration) {
	for len(l.epochs) > 1 && !l.epochs[0].closed.IsZero() && now.Sub(l.epochs[0].closed) >= keep {
		l.forgetOldestLocked()
	}
}

func (l *Ledger) forgetOldestLocked() {
	for i := range l.shards {
		records, kept := l.shards[i].forgetOldest()
		l.records.Add(-int64(records))
		l.kept.Add(-kept)
	}
	l.epochs = l.epochs[1:]
}

func (l *Ledger) full() bool {
	return l.records.Load() >= l.maxRecords
}

// makeRoom is called when the ledger is full. It forgets closed epochs that
// were kept for the least time. If that isn't enough and the numbered epoch is
// open, it closes it, so that an unseen key of it is known to be not run.
func (l *Ledger) makeRoom(number uint32) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.full() && len(l.epochs) > 1 && now.Sub(l.epochs[0].closed) >= l.leastKeep {
		l.forgetOldestLocked()
	}
	if l.full() && number != 0 && number == l.current.Load() {
		l.rollLocked(now)
	}
}

// issueEpoch returns the epoch for a new token. It fails with NotReady once
// the ledger is sealed and with QueueFull while it is full.
func (l *Ledger) issueEpoch() (uint32, error) {
	if l.full() {
		l.makeRoom(0)
	}
	if l.full() {
		return 0, fault.New(fault.QueueFull, "the ledger holds %d orders", l.records.Load()).WithRetryAfter(tickEvery)
	}
	number := l.current.Load()
	if number == 0 {
		return 0, fault.New(fault.NotReady, "this daemon is leaving")
	}
	return number, nil
}

func (l *Ledger) shard(key Hash) *shard {
	return &l.shards[key[0]%shardCount]
}

// begin admits a key under a token of this incarnation, or returns its record.
// StateRunning with admitted means that the caller alone may run it. A key
// that isn't to be run is closed instead.
func (l *Ledger) begin(number uint32, key, digest Hash, run bool) (r record, admitted bool) {
	s := l.shard(key)
	for {
		full := l.full()
		s.mu.Lock()
		r, ok := s.find(number, key, digest)
		if ok || !full {
			r, admitted = s.admit(l, ok, r, key, digest, run)
			s.mu.Unlock()
			return r, admitted
		}
		s.mu.Unlock()
		l.makeRoom(number)
	}
}

// reserve records that a copy of another home's key, or of a caller's own key,
// asks for the right to run here. It returns the open epoch of the reservation,
// or the record that a remembered epoch already holds. Without a record and
// with epoch 0 the ledger can't take the key.
func (l *Ledger) reserve(key, digest Hash) (r record, known bool, number uint32) {
	if l.full() {
		l.makeRoom(0)
	}
	full := l.full()
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.tables) - 1; i >= 0; i-- {
		if r, ok := s.tables[i].records[key]; ok {
			return r.checked(digest), true, 0
		}
	}
	t := s.last()
	if t.closed || full {
		return record{}, false, 0
	}
	s.insert(l, t, key, record{state: StateAsking, digest: digest})
	return record{}, false, t.number
}

// drop removes a reservation that came to nothing.
func (l *Ledger) drop(number uint32, key Hash) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table(number)
	if t == nil || t.records[key].state != StateAsking {
		return
	}
	delete(t.records, key)
	l.records.Add(-1)
}

// take uses the right to run that was granted to this incarnation in an epoch.
// The reservation is either of that epoch and becomes the running record, or
// of a later one and is dropped: the grant then dates from an earlier ask whose
// reply was lost, and the granted epoch decides.
func (l *Ledger) take(reserved, granted uint32, key, digest Hash) (r record, admitted bool) {
	if reserved != granted {
		l.drop(reserved, key)
	}
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.find(granted, key, digest)
	if ok && r.state == StateAsking && reserved == granted {
		r.state = StateRunning
		s.table(granted).records[key] = r
		return r, true
	}
	if !ok {
		// The granted epoch is open but holds no reservation. No sequence of
		// calls leads here; unknown is safe.
		r = record{state: StateUnknown}
	}
	return r, false
}

// finish records the first outcome of an admitted key.
func (l *Ledger) finish(number uint32, key Hash, outcome fault.Outcome, res *Response) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.table(number)
	if t == nil {
		return
	}
	r, ok := t.records[key]
	if !ok || r.state != StateRunning {
		return
	}
	switch outcome {
	case fault.Run:
		r.state = StateRunDropped
		if res != nil && res.Size() <= l.maxResponse {
			r.state, r.res = StateRun, res
		}
	case fault.NotRun:
		r.state = StateNotRun
	default:
		r.state = StateUnknown
	}
	t.records[key] = r
	if r.res != nil {
		s.keep(l, t, key, res.Size())
	}
}

// answer replies to an ask about this ledger.
func (l *Ledger) answer(a OrderAsk) OrderReply {
	s := l.shard(a.Key)
	for {
		full := l.full()
		s.mu.Lock()
		r, ok := s.find(a.Epoch, a.Key, a.Digest)
		if ok || !full || a.Want == WantLook {
			r = s.settle(l, ok, r, a)
			s.mu.Unlock()
			return r.reply(a.Digest)
		}
		s.mu.Unlock()
		l.makeRoom(a.Epoch)
	}
}
