package order

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// ClaimRow is the value of the row orders/<workspace>/<key hash> in the table
// service. The incarnation that inserts it is its owner, and only the owner
// changes it later, once, to record the outcome. Nobody deletes it. A claim
// therefore permits a single run, like a grant from a token's issuer.
type ClaimRow struct {
	// ID is unique to the insert that created the row, so that its daemon
	// recognises the row after the reply to the insert was lost.
	ID string `cbor:"1,keyasint"`
	// Grant names the owner, and the epoch of its ledger that has the key.
	Grant  Grant `cbor:"2,keyasint"`
	Digest Hash  `cbor:"3,keyasint"`
	// State is StateRunning from the claim to the outcome, then StateRun,
	// StateRunDropped, StateUnknown or StateNotRun. A row that is inserted with
	// StateNotRun is a tombstone: it closes a key that no copy has claimed.
	State State `cbor:"4,keyasint"`
	// Response is set with StateRun; a larger response leads to StateRunDropped.
	Response *Response `cbor:"5,keyasint,omitempty"`
}

// Validate returns a MessageInvalid error if the row is inconsistent.
func (c *ClaimRow) Validate() error {
	switch c.State {
	case StateRunning, StateRun, StateRunDropped, StateUnknown, StateNotRun:
	default:
		return fault.New(fault.MessageInvalid, "claim with state %s", c.State)
	}
	if c.ID == "" || c.Digest.IsZero() && c.State != StateNotRun {
		return fault.New(fault.MessageInvalid, "claim without id or digest")
	}
	if err := validatePayload(c.State, c.Response, nil); err != nil {
		return err
	}
	return c.Grant.Validate()
}

// UnmarshalCBOR decodes and validates a row.
func (c *ClaimRow) UnmarshalCBOR(data []byte) error {
	type plain ClaimRow
	return decode(data, (*plain)(c), c.Validate)
}

const (
	// defaultMaxRowResponse is the size up to which a response is kept in its
	// claim row, where it is still available after its daemon has ended.
	defaultMaxRowResponse = 2 << 10
	// maxWaitingOutcomes limits the outcomes that wait for the store. If an
	// outcome is dropped, its row stays in StateRunning. Repeats of the order are
	// then decided by the ledger of the row's owner, and get the outcome unknown
	// once that ledger is gone.
	maxWaitingOutcomes = 8192
	outcomeTimeout     = 5 * time.Second
	claimIDBytes       = 8
)

// Claims stores claims as rows of the table service, for caller-chosen keys and
// for tokens with ModeClaim.
type Claims struct {
	table          store.Table
	maxRowResponse int64
	wake           chan struct{}
	// random fills claim ids; the property test replaces it to be reproducible.
	random func([]byte) (int, error)

	mu sync.Mutex
	// waiting is the queue of outcomes, oldest first.
	waiting []outcomeWrite
	dropped uint64
	written uint64
}

// outcomeWrite is a claim row with its outcome, waiting to be written to the store.
type outcomeWrite struct {
	rowKey string
	row    ClaimRow
}

func newClaims(table store.Table, maxRowResponse int64) *Claims {
	return &Claims{table: table, maxRowResponse: maxRowResponse, wake: make(chan struct{}, 1), random: rand.Read}
}

func claimRowKey(workspace fleet.WorkspaceID, key Hash) string {
	return "orders/" + string(workspace) + "/" + hex.EncodeToString(key[:])
}

func (c *Claims) newID() string {
	var b [claimIDBytes]byte
	_, _ = c.random(b[:])
	return hex.EncodeToString(b[:])
}

// insert writes a new row. It returns nil if the row was inserted, and StoreConflict
// if another row already exists under its key. After an error of any other kind it
// is unknown which of the two is the case.
func (c *Claims) insert(ctx context.Context, rowKey string, row ClaimRow) error {
	value, err := cbor.Marshal(row)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode a claim")
	}
	tx := store.Tx{ID: row.ID, Conds: []store.Cond{{Key: rowKey}}, Puts: []store.Put{{Key: rowKey, Value: value}}}
	return store.ApplyOnce(ctx, c.table, tx, store.Marker{Key: rowKey, WrittenByTx: row.hasSameID})
}

// hasSameID reports whether value is an encoded row with the same ID.
func (c *ClaimRow) hasSameID(value []byte) bool {
	var other ClaimRow
	return cbor.Unmarshal(value, &other) == nil && other.ID == c.ID
}

func (c *Claims) read(ctx context.Context, rowKey string) (ClaimRow, error) {
	var claim ClaimRow
	row, err := c.table.Get(ctx, rowKey)
	if err != nil {
		return claim, err
	}
	if err := cbor.Unmarshal(row.Value, &claim); err != nil {
		return claim, fault.Wrap(err, fault.MessageInvalid, "claim %q", rowKey)
	}
	return claim, nil
}

// enqueueOutcome queues an outcome for the run loop. Until it is written, the
// ledger of the row's owner answers queries about the key.
func (c *Claims) enqueueOutcome(rowKey string, row ClaimRow, outcome fault.Outcome, res *Response) {
	switch {
	case outcome == fault.Run && res != nil && res.Size() <= c.maxRowResponse:
		row.State, row.Response = StateRun, res
	case outcome == fault.Run:
		row.State = StateRunDropped
	case outcome == fault.NotRun:
		row.State = StateNotRun
	default:
		row.State = StateUnknown
	}
	c.mu.Lock()
	c.waiting = append(c.waiting, outcomeWrite{rowKey, row})
	if len(c.waiting) > maxWaitingOutcomes {
		c.waiting = c.waiting[1:]
		c.dropped++
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run writes queued outcomes until ctx ends.
func (c *Claims) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			_ = c.flush(ctx)
		}
	}
}

// flush writes the queued outcomes until none is left or ctx ends. It retries
// with backoff while the store is unavailable.
func (c *Claims) flush(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		o, ok := c.firstWaiting()
		if !ok {
			return nil
		}
		if err := c.write(ctx, o); err == nil {
			c.remove(o)
			attempt = -1
			continue
		}
		timer := time.NewTimer(store.RetryWait(o.row.ID, attempt))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fault.Wrap(ctx.Err(), fault.StoreUnavailable, "queued outcomes of orders not written to the store")
		}
	}
}

// write puts an outcome without a condition. Only the owner of a claim writes its
// outcome, only after the insert has succeeded, and always the same outcome, so
// that a write that takes effect late changes nothing.
func (c *Claims) write(ctx context.Context, o outcomeWrite) error {
	value, err := cbor.Marshal(o.row)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode an outcome")
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	return c.table.Apply(ctx, store.Tx{ID: o.row.ID + "/outcome", Puts: []store.Put{{Key: o.rowKey, Value: value}}})
}

// firstWaiting returns the oldest queued outcome, or false if the queue is empty.
func (c *Claims) firstWaiting() (outcomeWrite, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == 0 {
		return outcomeWrite{}, false
	}
	return c.waiting[0], true
}

// remove removes a written outcome from the queue, unless it was dropped meanwhile.
func (c *Claims) remove(o outcomeWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written++
	if len(c.waiting) > 0 && c.waiting[0].row.ID == o.row.ID {
		c.waiting = c.waiting[1:]
	}
}
