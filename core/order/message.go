package order

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// State is the state of a key in a ledger or a claim row, and in replies to queries.
type State uint8

// The states, and what a caller may be told in each of them. docs/orders.md gives
// the reasons in full.
//
//   - StateUnseen: there is no record of the key and the order may still run
//     here. The only safe outcome is unknown.
//   - StateAsking: the key is reserved by a copy that waits for the permission to
//     run here. Repeats get in-progress.
//   - StateRunning: a copy has the permission to run and may have been sent to a
//     target. Repeats get in-progress. Only one copy gets the permission, since
//     the state is set under the lock of the shard and never goes back to
//     StateUnseen.
//   - StateRun, StateRunDropped: the complete response of the target was received.
//     Repeats get the outcome run, with the response while it is kept. Final.
//   - StateUnknown: the request may have been sent, and its outcome was never
//     learned. Repeats get unknown. Final, so that no further copy runs.
//   - StateNotRun: no copy ran, and none will, since every copy is checked against
//     this record. Repeats get not-run. Final.
//   - StateReleased: the permission to run was granted to one other incarnation,
//     once and irrevocably. Only that incarnation knows more.
//   - StateMismatch: the key belongs to another request, which the caller is told.
//   - StateNotHeld: the queried daemon doesn't have the ledger, so the reply says
//     nothing about the key.
const (
	StateUnseen State = iota
	StateAsking
	StateRunning
	StateRun
	StateRunDropped
	StateUnknown
	StateNotRun
	StateReleased
	StateMismatch
	StateNotHeld
	stateCount
)

var stateNames = [stateCount]string{
	"unseen", "asking", "running", "run", "run-dropped", "unknown", "not-run", "released", "mismatch", "not-held",
}

// String returns the kebab-case name of the state.
func (s State) String() string {
	if s >= stateCount {
		return "invalid"
	}
	return stateNames[s]
}

// UnseenAction says what a query does if the ledger has no record of the key.
type UnseenAction uint8

// The values of UnseenAction. UnseenKeep changes nothing, UnseenRelease grants the
// querier the permission to run, and UnseenClose closes the key as not run.
const (
	UnseenKeep UnseenAction = iota
	UnseenRelease
	UnseenClose
	unseenActionCount
)

// HeaderField is one header field of a Response.
type HeaderField struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Response is the complete response of a target, kept to be replayed to repeats.
// It must not be changed after it was passed to Permit.Finish.
type Response struct {
	Status int           `cbor:"1,keyasint"`
	Header []HeaderField `cbor:"2,keyasint,omitempty"`
	Body   []byte        `cbor:"3,keyasint,omitempty"`
}

const (
	minStatus, maxStatus = 100, 599
	// responseOverhead and fieldOverhead are the memory in bytes that a response
	// and each of its header fields take in addition to their strings.
	responseOverhead = 96
	fieldOverhead    = 32
)

// Size returns the approximate memory that the response takes in bytes.
func (r *Response) Size() int64 {
	n := responseOverhead + len(r.Body)
	for _, f := range r.Header {
		n += fieldOverhead + len(f.Name) + len(f.Value)
	}
	return int64(n)
}

// Validate returns a MessageInvalid error if the response is invalid.
func (r *Response) Validate() error {
	if r.Status < minStatus || r.Status > maxStatus {
		return fault.New(fault.MessageInvalid, "response with status %d", r.Status)
	}
	return nil
}

// Grant is the permission to run an order, given to one epoch of one incarnation.
type Grant struct {
	Grantee fleet.Incarnation `cbor:"1,keyasint"`
	Epoch   uint32            `cbor:"2,keyasint"`
}

// Validate returns a MessageInvalid error if the grant is invalid.
func (g *Grant) Validate() error {
	if g.Grantee.VM() == "" || g.Epoch == 0 {
		return fault.New(fault.MessageInvalid, "grant to incarnation %q, epoch %d", g.Grantee, g.Epoch)
	}
	return nil
}

// KeyQuery is a query about a key in the ledger of one incarnation.
type KeyQuery struct {
	// Ledger is the incarnation that owns the ledger, Epoch the epoch of the key in it.
	Ledger fleet.Incarnation `cbor:"1,keyasint"`
	Epoch  uint32            `cbor:"2,keyasint"`
	Key    Hash              `cbor:"3,keyasint"`
	// Digest is the digest of the request. Without it the reply has no response.
	Digest   Hash         `cbor:"4,keyasint"`
	OnUnseen UnseenAction `cbor:"5,keyasint"`
	// Grant is the grant that UnseenRelease records for the querier.
	Grant *Grant `cbor:"6,keyasint,omitempty"`
}

// Validate returns a MessageInvalid error if the query is invalid.
func (q *KeyQuery) Validate() error {
	if q.Ledger.VM() == "" || q.Epoch == 0 || q.Key.IsZero() || q.OnUnseen >= unseenActionCount {
		return fault.New(fault.MessageInvalid, "ask for ledger %q, epoch %d, want %d", q.Ledger, q.Epoch, q.OnUnseen)
	}
	if q.OnUnseen != UnseenRelease {
		return nil
	}
	if q.Grant == nil || q.Digest.IsZero() {
		return fault.New(fault.MessageInvalid, "ask for a release without asker or digest")
	}
	return q.Grant.Validate()
}

// UnmarshalCBOR decodes and validates a query.
func (q *KeyQuery) UnmarshalCBOR(data []byte) error {
	type plain KeyQuery
	return decode(data, (*plain)(q), q.Validate)
}

// KeyReply is the reply to a KeyQuery.
type KeyReply struct {
	State State `cbor:"1,keyasint"`
	// Response is set with StateRun only, Grant with StateReleased only.
	Response *Response `cbor:"2,keyasint,omitempty"`
	Grant    *Grant    `cbor:"3,keyasint,omitempty"`
}

// Validate returns a MessageInvalid error if the reply is invalid.
func (r *KeyReply) Validate() error {
	if r.State >= stateCount || r.State == StateAsking {
		return fault.New(fault.MessageInvalid, "reply with state %d", r.State)
	}
	return validatePayload(r.State, r.Response, r.Grant)
}

// UnmarshalCBOR decodes and validates a reply.
func (r *KeyReply) UnmarshalCBOR(data []byte) error {
	type plain KeyReply
	return decode(data, (*plain)(r), r.Validate)
}

// validatePayload validates the response and the grant. A response must be present
// with StateRun and only then, a grant with StateReleased and only then.
func validatePayload(s State, r *Response, g *Grant) error {
	if (s == StateRun) != (r != nil) || (s == StateReleased) != (g != nil) {
		return fault.New(fault.MessageInvalid, "state %s with response %t, grant %t", s, r != nil, g != nil)
	}
	if r != nil {
		return r.Validate()
	}
	if g != nil {
		return g.Validate()
	}
	return nil
}

// Record is one record of an exported ledger.
type Record struct {
	Epoch    uint32    `cbor:"1,keyasint"`
	Key      Hash      `cbor:"2,keyasint"`
	Digest   Hash      `cbor:"3,keyasint"`
	State    State     `cbor:"4,keyasint"`
	Response *Response `cbor:"5,keyasint,omitempty"`
	Grant    *Grant    `cbor:"6,keyasint,omitempty"`
}

// Validate returns a MessageInvalid error if the record is invalid. Only records
// with final states are exported.
func (r *Record) Validate() error {
	switch r.State {
	case StateRun, StateRunDropped, StateUnknown, StateNotRun, StateReleased:
	default:
		return fault.New(fault.MessageInvalid, "exported record with state %s", r.State)
	}
	if r.Epoch == 0 || r.Key.IsZero() {
		return fault.New(fault.MessageInvalid, "exported record without epoch or key")
	}
	return validatePayload(r.State, r.Response, r.Grant)
}

// LedgerPart is one part of the exported ledger of an incarnation that leaves.
type LedgerPart struct {
	Ledger fleet.Incarnation `cbor:"1,keyasint"`
	// Index is the index of the part, from 0 to Count-1.
	Index int `cbor:"2,keyasint"`
	Count int `cbor:"3,keyasint"`
	// FirstEpoch and LastEpoch are the oldest and the newest epoch in the ledger.
	// Epochs before FirstEpoch were discarded.
	FirstEpoch uint32 `cbor:"4,keyasint"`
	LastEpoch  uint32 `cbor:"5,keyasint"`
	// Retention is the time for which the importer retains the records.
	Retention time.Duration `cbor:"6,keyasint"`
	Records   []Record      `cbor:"7,keyasint"`
	// ExportID identifies the export; it is the same in all of its parts.
	ExportID uint64 `cbor:"8,keyasint"`
}

// maxParts limits the number of parts of one ledger.
const maxParts = 4096

// Validate returns a MessageInvalid error if the part or one of its records is invalid.
func (p *LedgerPart) Validate() error {
	if p.Ledger.VM() == "" || p.Index < 0 || p.Index >= p.Count || p.Count > maxParts {
		return fault.New(fault.MessageInvalid, "part %d of %d of ledger %q", p.Index, p.Count, p.Ledger)
	}
	if p.FirstEpoch == 0 || p.LastEpoch < p.FirstEpoch || p.Retention < 0 {
		return fault.New(fault.MessageInvalid, "ledger part with epochs %d to %d, keep %s", p.FirstEpoch, p.LastEpoch, p.Retention)
	}
	for i := range p.Records {
		r := &p.Records[i]
		if err := r.Validate(); err != nil {
			return err
		}
		if r.Epoch < p.FirstEpoch || r.Epoch > p.LastEpoch {
			return fault.New(fault.MessageInvalid, "record of epoch %d outside %d to %d", r.Epoch, p.FirstEpoch, p.LastEpoch)
		}
	}
	return nil
}

// UnmarshalCBOR decodes and validates a part.
func (p *LedgerPart) UnmarshalCBOR(data []byte) error {
	type plain LedgerPart
	return decode(data, (*plain)(p), p.Validate)
}

var decMode = newDecMode()

// maxElements limits the number of elements in each list of a message.
const maxElements = 1 << 17

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxElements, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // Impossible: the options are constant.
	}
	return m
}

func decode(data []byte, into any, validate func() error) error {
	if err := decMode.Unmarshal(data, into); err != nil {
		return fault.Wrap(err, fault.MessageInvalid, "order message")
	}
	return validate()
}
