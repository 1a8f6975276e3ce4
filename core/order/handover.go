package order

import (
	"bytes"
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// partBytes is the size at which a part of an exported ledger ends.
const partBytes = 256 << 10

// exportKept bounds the responses in one export. A daemon is replaced 4.5 times
// a day (3,100 of 690); two copies of 4 MiB each time are 0.44 KB/s on average,
// of 5 KB/s for control.
const exportKept = 4 << 20

// recordBytes is the size of an encoded record without its response, roughly.
const recordBytes = 64

// seal closes the open epoch for good. Reservations are removed, so that no
// grant to this incarnation is used any more.
func (l *Ledger) seal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.Load() == 0 {
		return
	}
	l.current.Store(0)
	l.epochs[len(l.epochs)-1].closed = time.Now()
	for i := range l.shards {
		l.shards[i].close()
		l.records.Add(-l.shards[i].removeAsking())
	}
}

func (s *shard) removeAsking() (removed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		for key, r := range t.records {
			if r.state == StateAsking {
				delete(t.records, key)
				removed++
			}
		}
	}
	return removed
}

// export seals the ledger and returns its records. A record that is still
// running is exported as unknown, because its outcome will not reach the holders.
func (l *Ledger) export() []LedgerPart {
	l.seal()
	l.mu.Lock()
	first, last := l.epochs[0].number, l.epochs[len(l.epochs)-1].number
	l.mu.Unlock()
	var records []Record
	for i := range l.shards {
		records = l.shards[i].export(records)
	}
	return LedgerPart{Ledger: l.self, First: first, Last: last, Keep: l.keep}.cut(records)
}

func (s *shard) export(into []Record) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		for key, r := range t.records {
			out := Record{Epoch: t.number, Key: key, Digest: r.digest, State: r.state, Response: r.res, Grant: r.grant}
			if r.state == StateRunning {
				out.State = StateUnknown
			}
			into = append(into, out)
		}
	}
	return into
}

// cut returns the records of one ledger in parts, in order.
func (p LedgerPart) cut(records []Record) []LedgerPart {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), bytes.Compare(a.Key[:], b.Key[:]))
	})
	dropOlder(records)
	var id [8]byte
	_, _ = rand.Read(id[:])
	p.Export = binary.LittleEndian.Uint64(id[:])
	var list []LedgerPart
	for len(records) > 0 || len(list) == 0 {
		n := partLength(records)
		p.Records, records = records[:n:n], records[n:]
		list = append(list, p)
	}
	for i := range list {
		list[i].Part, list[i].Parts = i, len(list)
	}
	return list
}

// dropOlder removes the responses of the older epochs above exportKept.
func dropOlder(records []Record) {
	kept := int64(0)
	for i := len(records) - 1; i >= 0; i-- {
		r := &records[i]
		if r.Response == nil {
			continue
		}
		if kept += r.Response.Size(); kept > exportKept {
			r.State, r.Response = StateRunDropped, nil
		}
	}
}

// partLength returns how many of the records go into the next part.
func partLength(records []Record) int {
	size := int64(0)
	for i, r := range records {
		size += recordBytes
		if r.Response != nil {
			size += r.Response.Size()
		}
		if size > partBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// holdings are the closed ledgers that other incarnations handed over.
type holdings struct {
	maxRecords, maxKept int64

	mu      sync.Mutex
	ledgers map[fleet.Incarnation]*held
	records int64
	kept    int64
}

// held is one ledger that was handed over, or the parts of it that arrived.
type held struct {
	export      uint64
	first, last uint32
	until       time.Time
	missing     map[int]bool
	records     map[heldKey]record
	kept        int64
}

type heldKey struct {
	epoch uint32
	key   Hash
}

// add takes over one part. Parts of another export of the same ledger replace
// an incomplete one, since they are cut in another way; a complete one stays.
func (h *holdings) add(p LedgerPart, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.ledgers[p.Ledger]
	if l != nil && l.export != p.Export && len(l.missing) > 0 {
		h.removeLocked(p.Ledger)
		l = nil
	}
	if l == nil {
		l = newHeld(p, now)
		h.ledgers[p.Ledger] = l
	}
	if l.export != p.Export || !l.missing[p.Part] {
		return nil
	}
	if h.records+int64(len(p.Records)) > h.maxRecords {
		return fault.New(fault.QueueFull, "no room for %d records of %q", len(p.Records), p.Ledger)
	}
	delete(l.missing, p.Part)
	for _, r := range p.Records {
		h.addRecord(l, r)
	}
	return nil
}

func newHeld(p LedgerPart, now time.Time) *held {
	l := &held{export: p.Export, first: p.First, last: p.Last, until: now.Add(p.Keep), missing: map[int]bool{}, records: map[heldKey]record{}}
	for i := range p.Parts {
		l.missing[i] = true
	}
	return l
}

func (h *holdings) addRecord(l *held, r Record) {
	in := record{digest: r.Digest, state: r.State, res: r.Response, grant: r.Grant}
	if in.res != nil && h.kept+in.res.Size() > h.maxKept {
		in.state, in.res = StateRunDropped, nil
	}
	if in.res != nil {
		h.kept += in.res.Size()
		l.kept += in.res.Size()
	}
	l.records[heldKey{r.Epoch, r.Key}] = in
	h.records++
}

// answer replies for a ledger that was handed over. An unseen key was not run
// only if all parts arrived and the epoch is one of the closed ones.
func (h *holdings) answer(a OrderAsk) OrderReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.ledgers[a.Ledger]
	if l == nil {
		return OrderReply{State: StateNotHeld}
	}
	if r, ok := l.records[heldKey{a.Epoch, a.Key}]; ok {
		return r.checked(a.Digest).reply(a.Digest)
	}
	switch {
	case len(l.missing) > 0:
		return OrderReply{State: StateNotHeld}
	case a.Epoch < l.first || a.Epoch > l.last:
		return OrderReply{State: StateUnknown}
	default:
		return OrderReply{State: StateNotRun}
	}
}

// expire drops the ledgers whose time is over.
func (h *holdings) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for inc, l := range h.ledgers {
		if now.After(l.until) {
			h.removeLocked(inc)
		}
	}
}

func (h *holdings) removeLocked(inc fleet.Incarnation) {
	l := h.ledgers[inc]
	delete(h.ledgers, inc)
	h.records -= int64(len(l.records))
	h.kept -= l.kept
}

// export returns the complete ledgers, for a holder that leaves itself.
func (h *holdings) export(now time.Time) []LedgerPart {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []LedgerPart
	for _, inc := range slices.Sorted(maps.Keys(h.ledgers)) {
		l := h.ledgers[inc]
		if len(l.missing) > 0 || !now.Before(l.until) {
			continue
		}
		var records []Record
		for k, r := range l.records {
			records = append(records, Record{Epoch: k.epoch, Key: k.key, Digest: r.digest, State: r.state, Response: r.res, Grant: r.grant})
		}
		all = append(all, LedgerPart{Ledger: inc, First: l.first, Last: l.last, Keep: l.until.Sub(now)}.cut(records)...)
	}
	return all
}
