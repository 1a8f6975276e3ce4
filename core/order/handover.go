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

// maxPartBytes limits the estimated size of the records in one part of an
// exported ledger; a part with a single record may exceed it.
const maxPartBytes = 256 << 10

// maxExportedResponseBytes limits the size of the responses in one export. A
// daemon is replaced 4.5 times a day (3,100 replacements of 690 daemons), and
// each time two copies of up to 4 MiB are sent. That is 0.44 KB/s on average, of
// the 5 KB/s that are available for control traffic.
const maxExportedResponseBytes = 4 << 20

// estimatedRecordBytes is the approximate encoded size of a record without its response.
const estimatedRecordBytes = 64

// seal closes the open epoch and opens no other. It removes the reservations, so
// that no grant to this incarnation can be used any more.
func (l *Ledger) seal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openEpoch.Load() == 0 {
		return
	}
	l.openEpoch.Store(0)
	l.epochs[len(l.epochs)-1].closedAt = time.Now()
	for i := range l.shards {
		l.shards[i].closeEpoch()
		l.records.Add(-l.shards[i].removeReservations())
	}
}

func (s *shard) removeReservations() (removed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.epochs {
		for key, r := range e.records {
			if r.state == StateAsking {
				delete(e.records, key)
				removed++
			}
		}
	}
	return removed
}

// export seals the ledger and returns its records in parts. A running order is
// exported with StateUnknown, because its outcome will not reach the importers.
func (l *Ledger) export() []LedgerPart {
	l.seal()
	l.mu.Lock()
	first, last := l.epochs[0].number, l.epochs[len(l.epochs)-1].number
	l.mu.Unlock()
	var records []Record
	for i := range l.shards {
		records = l.shards[i].export(records)
	}
	return LedgerPart{Ledger: l.self, FirstEpoch: first, LastEpoch: last, Retention: l.retention}.split(records)
}

func (s *shard) export(into []Record) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.epochs {
		for key, r := range e.records {
			out := Record{Epoch: e.number, Key: key, Digest: r.digest, State: r.state, Response: r.response, Grant: r.grant}
			if r.state == StateRunning {
				out.State = StateUnknown
			}
			into = append(into, out)
		}
	}
	return into
}

// split distributes the records of one ledger over parts, ordered by epoch and
// key. The parts are copies of p with consecutive values of Index.
func (p LedgerPart) split(records []Record) []LedgerPart {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), bytes.Compare(a.Key[:], b.Key[:]))
	})
	dropOldResponses(records)
	var id [8]byte
	_, _ = rand.Read(id[:])
	p.ExportID = binary.LittleEndian.Uint64(id[:])
	var list []LedgerPart
	for len(records) > 0 || len(list) == 0 {
		n := nextPartLength(records)
		p.Records, records = records[:n:n], records[n:]
		list = append(list, p)
	}
	for i := range list {
		list[i].Index, list[i].Count = i, len(list)
	}
	return list
}

// dropOldResponses keeps responses of the newest epochs up to a total of
// maxExportedResponseBytes and removes the others.
func dropOldResponses(records []Record) {
	keptBytes := int64(0)
	for i := len(records) - 1; i >= 0; i-- {
		r := &records[i]
		if r.Response == nil {
			continue
		}
		if keptBytes += r.Response.Size(); keptBytes > maxExportedResponseBytes {
			r.State, r.Response = StateRunDropped, nil
		}
	}
}

// nextPartLength returns how many records the next part takes.
func nextPartLength(records []Record) int {
	size := int64(0)
	for i, r := range records {
		size += estimatedRecordBytes
		if r.Response != nil {
			size += r.Response.Size()
		}
		if size > maxPartBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// importedLedgers holds the sealed ledgers that other incarnations handed over
// before they left.
type importedLedgers struct {
	maxRecords, maxKeptBytes int64

	mu        sync.Mutex
	ledgers   map[fleet.Incarnation]*importedLedger
	records   int64
	keptBytes int64
}

// importedLedger is a ledger that was handed over, with the parts that have
// arrived so far.
type importedLedger struct {
	exportID              uint64
	firstEpoch, lastEpoch uint32
	expiresAt             time.Time
	missingParts          map[int]bool
	records               map[recordKey]record
	keptBytes             int64
}

type recordKey struct {
	epoch uint32
	key   Hash
}

// add stores one part of a ledger. Two exports of a ledger may distribute its
// records differently, so a part of another export replaces an incomplete
// ledger. A complete ledger stays as it is.
func (il *importedLedgers) add(p LedgerPart, now time.Time) error {
	il.mu.Lock()
	defer il.mu.Unlock()
	l := il.ledgers[p.Ledger]
	if l != nil && l.exportID != p.ExportID && len(l.missingParts) > 0 {
		il.removeLocked(p.Ledger)
		l = nil
	}
	if l == nil {
		l = newImportedLedger(p, now)
		il.ledgers[p.Ledger] = l
	}
	if l.exportID != p.ExportID || !l.missingParts[p.Index] {
		return nil
	}
	if il.records+int64(len(p.Records)) > il.maxRecords {
		return fault.New(fault.QueueFull, "no room for %d records of %q", len(p.Records), p.Ledger)
	}
	delete(l.missingParts, p.Index)
	for _, r := range p.Records {
		il.addRecord(l, r)
	}
	return nil
}

func newImportedLedger(p LedgerPart, now time.Time) *importedLedger {
	l := &importedLedger{exportID: p.ExportID, firstEpoch: p.FirstEpoch, lastEpoch: p.LastEpoch, expiresAt: now.Add(p.Retention), missingParts: map[int]bool{}, records: map[recordKey]record{}}
	for i := range p.Count {
		l.missingParts[i] = true
	}
	return l
}

func (il *importedLedgers) addRecord(l *importedLedger, r Record) {
	in := record{digest: r.Digest, state: r.State, response: r.Response, grant: r.Grant}
	if in.response != nil && il.keptBytes+in.response.Size() > il.maxKeptBytes {
		in.state, in.response = StateRunDropped, nil
	}
	if in.response != nil {
		il.keptBytes += in.response.Size()
		l.keptBytes += in.response.Size()
	}
	l.records[recordKey{r.Epoch, r.Key}] = in
	il.records++
}

// answer replies to a query about a ledger that was handed over. A key without a
// record is known to be not run only if all parts have arrived and its epoch is
// one of those that the ledger covers.
func (il *importedLedgers) answer(q KeyQuery) KeyReply {
	il.mu.Lock()
	defer il.mu.Unlock()
	l := il.ledgers[q.Ledger]
	if l == nil {
		return KeyReply{State: StateNotHeld}
	}
	if r, ok := l.records[recordKey{q.Epoch, q.Key}]; ok {
		return r.forDigest(q.Digest).reply(q.Digest)
	}
	switch {
	case len(l.missingParts) > 0:
		return KeyReply{State: StateNotHeld}
	case q.Epoch < l.firstEpoch || q.Epoch > l.lastEpoch:
		return KeyReply{State: StateUnknown}
	default:
		return KeyReply{State: StateNotRun}
	}
}

// expire removes the ledgers whose retention time is over.
func (il *importedLedgers) expire(now time.Time) {
	il.mu.Lock()
	defer il.mu.Unlock()
	for inc, l := range il.ledgers {
		if now.After(l.expiresAt) {
			il.removeLocked(inc)
		}
	}
}

func (il *importedLedgers) removeLocked(inc fleet.Incarnation) {
	l := il.ledgers[inc]
	delete(il.ledgers, inc)
	il.records -= int64(len(l.records))
	il.keptBytes -= l.keptBytes
}

// export returns the complete ledgers in parts. A daemon that leaves hands them
// over together with its own ledger.
func (il *importedLedgers) export(now time.Time) []LedgerPart {
	il.mu.Lock()
	defer il.mu.Unlock()
	var all []LedgerPart
	for _, inc := range slices.Sorted(maps.Keys(il.ledgers)) {
		l := il.ledgers[inc]
		if len(l.missingParts) > 0 || !now.Before(l.expiresAt) {
			continue
		}
		var records []Record
		for k, r := range l.records {
			records = append(records, Record{Epoch: k.epoch, Key: k.key, Digest: r.digest, State: r.state, Response: r.response, Grant: r.grant})
		}
		all = append(all, LedgerPart{Ledger: inc, FirstEpoch: l.firstEpoch, LastEpoch: l.lastEpoch, Retention: l.expiresAt.Sub(now)}.split(records)...)
	}
	return all
}
