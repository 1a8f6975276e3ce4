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

// ClaimRow is the value of the row orders/<workspace>/<key hash>. A claim is
// inserted by its holder, who alone changes it later, once, and nobody
// deletes it. It is therefore a grant like a release by a home daemon.
type ClaimRow struct {
	// ID is unique to the attempt that inserted the row.
	ID     string `cbor:"1,keyasint"`
	Holder Grant  `cbor:"2,keyasint"`
	Digest Hash   `cbor:"3,keyasint"`
	// State is StateRunning from the claim to the outcome, then StateRun,
	// StateRunDropped, StateUnknown or StateNotRun. A tombstone is inserted
	// with StateNotRun.
	State State `cbor:"4,keyasint"`
	// Response is kept with StateRun if it is small.
	Response *Response `cbor:"5,keyasint,omitempty"`
}

// Validate checks the row.
func (c *ClaimRow) Validate() error {
	switch c.State {
	case StateRunning, StateRun, StateRunDropped, StateUnknown, StateNotRun:
	default:
		return fault.New(fault.MessageInvalid, "claim with state %s", c.State)
	}
	if c.ID == "" || c.Digest.IsZero() && c.State != StateNotRun {
		return fault.New(fault.MessageInvalid, "claim without id or digest")
	}
	if err := validParts(c.State, c.Response, nil); err != nil {
		return err
	}
	return c.Holder.Validate()
}

// UnmarshalCBOR decodes and checks a row.
func (c *ClaimRow) UnmarshalCBOR(data []byte) error {
	type plain ClaimRow
	return decode(data, (*plain)(c), c.Validate)
}

const (
	// defaultRowResponse is the size up to which a response is kept in the
	// claim row, where it outlives its daemon.
	defaultRowResponse = 2 << 10
	// maxOutcomes bounds the outcomes that wait for the store. An outcome that
	// is dropped leaves its row as a claim, which is answered by the holder's
	// ledger and with unknown after that.
	maxOutcomes    = 8192
	outcomeTimeout = 5 * time.Second
	claimIDBytes   = 8
)

// Claims holds callers' own keys as rows of the table service.
type Claims struct {
	table       store.Table
	rowResponse int64
	wake        chan struct{}
	// random fills claim ids; the property test replaces it.
	random func([]byte) (int, error)

	mu      sync.Mutex
	waiting []outcomeWrite
	dropped uint64
	written uint64
}

// outcomeWrite is an outcome that waits for the store.
type outcomeWrite struct {
	key string
	row ClaimRow
}

func newClaims(table store.Table, rowResponse int64) *Claims {
	return &Claims{table: table, rowResponse: rowResponse, wake: make(chan struct{}, 1), random: rand.Read}
}

func claimKey(workspace fleet.WorkspaceID, key Hash) string {
	return "orders/" + string(workspace) + "/" + hex.EncodeToString(key[:])
}

func (c *Claims) newID() string {
	var b [claimIDBytes]byte
	_, _ = c.random(b[:])
	return hex.EncodeToString(b[:])
}

// insert writes a new row. It returns nil if the row stands, StoreConflict if
// another row stands in its place for good, and any other kind if that isn't known.
func (c *Claims) insert(ctx context.Context, key string, row ClaimRow) error {
	value, err := cbor.Marshal(row)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode a claim")
	}
	tx := store.Tx{ID: row.ID, Conds: []store.Cond{{Key: key}}, Puts: []store.Put{{Key: key, Value: value}}}
	return store.ApplyOnce(ctx, c.table, tx, store.Marker{Key: key, Mine: row.sameID})
}

func (c *ClaimRow) sameID(value []byte) bool {
	var other ClaimRow
	return cbor.Unmarshal(value, &other) == nil && other.ID == c.ID
}

func (c *Claims) read(ctx context.Context, key string) (ClaimRow, error) {
	var claim ClaimRow
	row, err := c.table.Get(ctx, key)
	if err != nil {
		return claim, err
	}
	if err := cbor.Unmarshal(row.Value, &claim); err != nil {
		return claim, fault.Wrap(err, fault.MessageInvalid, "claim %q", key)
	}
	return claim, nil
}

// settle hands an outcome to the run loop. The holder's ledger answers for the
// key until the outcome is written.
func (c *Claims) settle(key string, row ClaimRow, outcome fault.Outcome, res *Response) {
	switch {
	case outcome == fault.Run && res != nil && res.Size() <= c.rowResponse:
		row.State, row.Response = StateRun, res
	case outcome == fault.Run:
		row.State = StateRunDropped
	case outcome == fault.NotRun:
		row.State = StateNotRun
	default:
		row.State = StateUnknown
	}
	c.mu.Lock()
	c.waiting = append(c.waiting, outcomeWrite{key, row})
	if len(c.waiting) > maxOutcomes {
		c.waiting = c.waiting[1:]
		c.dropped++
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run writes outcomes until ctx ends.
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

// flush writes the waiting outcomes, with growing waits while the store is
// away, until none is left or ctx ends.
func (c *Claims) flush(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		o, ok := c.next()
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
			return fault.Wrap(ctx.Err(), fault.StoreUnavailable, "outcomes of orders not written")
		}
	}
}

// write puts an outcome without a condition: only the holder of a claim writes
// its outcome, after its insert is known to stand, and always the same one, so
// that a late repeat changes nothing.
func (c *Claims) write(ctx context.Context, o outcomeWrite) error {
	value, err := cbor.Marshal(o.row)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode an outcome")
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	return c.table.Apply(ctx, store.Tx{ID: o.row.ID + "/outcome", Puts: []store.Put{{Key: o.key, Value: value}}})
}

func (c *Claims) next() (outcomeWrite, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == 0 {
		return outcomeWrite{}, false
	}
	return c.waiting[0], true
}

// remove takes a written outcome off the queue; it may have been dropped meanwhile.
func (c *Claims) remove(o outcomeWrite) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written++
	if len(c.waiting) > 0 && c.waiting[0].row.ID == o.row.ID {
		c.waiting = c.waiting[1:]
	}
}
