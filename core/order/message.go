package order

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// State is the state of a key in a ledger, as it is also stated in replies.
type State uint8

// The states. docs/orders.md states what each allows to tell a caller, and
// why it is certain; in short:
//
//   - StateUnseen: the key may still run here; nothing may be told but unknown.
//   - StateAsking: a copy waits for the right to run here; told in-progress.
//   - StateRunning: a copy has the right to run and may be at a target; told
//     in-progress. Only one copy gets there, since the state is set under the
//     lock of the shard and never left for StateUnseen.
//   - StateRun, StateRunDropped: the target's complete response was seen; told
//     run, with the response while it is kept. Final.
//   - StateUnknown: the request was sent and its outcome was never learned; told
//     unknown. Final, so that no copy runs.
//   - StateNotRun: no copy ran, and none will, since every copy has to pass this
//     record; told not-run. Final.
//   - StateReleased: the right to run went, once and for good, to one other
//     incarnation, which alone may say more.
//   - StateMismatch: the key belongs to another request. Told as a mismatch.
//   - StateNotHeld: the asked daemon doesn't hold the ledger; no statement.
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

// Want is what an ask does with a key that the asked ledger has not seen.
type Want uint8

// The wants. WantLook changes nothing, WantRelease gives the right to run to
// the asker, WantClose closes the key as not run.
const (
	WantLook Want = iota
	WantRelease
	WantClose
	wantCount
)

// Field is one header field of a kept response.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Response is the complete response of a target, kept for repeats. It is not
// changed once it is handed to Finish.
type Response struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
}

const (
	minStatus, maxStatus = 100, 599
	// responseOverhead is the memory of a kept response besides its texts.
	responseOverhead = 96
	fieldOverhead    = 32
)

// Size returns the memory that the response takes, in bytes.
func (r *Response) Size() int64 {
	n := responseOverhead + len(r.Body)
	for _, f := range r.Header {
		n += fieldOverhead + len(f.Name) + len(f.Value)
	}
	return int64(n)
}

// Validate checks the response.
func (r *Response) Validate() error {
	if r.Status < minStatus || r.Status > maxStatus {
		return fault.New(fault.MessageInvalid, "response with status %d", r.Status)
	}
	return nil
}

// Grant is the right to run a key, given to one epoch of one incarnation.
type Grant struct {
	Holder fleet.Incarnation `cbor:"1,keyasint"`
	Epoch  uint32            `cbor:"2,keyasint"`
}

// Validate checks the grant.
func (g *Grant) Validate() error {
	if g.Holder.VM() == "" || g.Epoch == 0 {
		return fault.New(fault.MessageInvalid, "grant to incarnation %q, epoch %d", g.Holder, g.Epoch)
	}
	return nil
}

// OrderAsk asks about a key in the ledger of one incarnation.
type OrderAsk struct {
	// Ledger and Epoch name the ledger's owner and the epoch that holds the key.
	Ledger fleet.Incarnation `cbor:"1,keyasint"`
	Epoch  uint32            `cbor:"2,keyasint"`
	Key    Hash              `cbor:"3,keyasint"`
	// Digest is the request's; without it no response is returned.
	Digest Hash `cbor:"4,keyasint"`
	Want   Want `cbor:"5,keyasint"`
	// Asker receives the right to run with WantRelease.
	Asker *Grant `cbor:"6,keyasint,omitempty"`
}

// Validate checks the ask.
func (a *OrderAsk) Validate() error {
	if a.Ledger.VM() == "" || a.Epoch == 0 || a.Key.IsZero() || a.Want >= wantCount {
		return fault.New(fault.MessageInvalid, "ask for ledger %q, epoch %d, want %d", a.Ledger, a.Epoch, a.Want)
	}
	if a.Want != WantRelease {
		return nil
	}
	if a.Asker == nil || a.Digest.IsZero() {
		return fault.New(fault.MessageInvalid, "ask for a release without asker or digest")
	}
	return a.Asker.Validate()
}

// UnmarshalCBOR decodes and checks an ask.
func (a *OrderAsk) UnmarshalCBOR(data []byte) error {
	type plain OrderAsk
	return decode(data, (*plain)(a), a.Validate)
}

// OrderReply answers an OrderAsk.
type OrderReply struct {
	State State `cbor:"1,keyasint"`
	// Response comes with StateRun, Grant with StateReleased.
	Response *Response `cbor:"2,keyasint,omitempty"`
	Grant    *Grant    `cbor:"3,keyasint,omitempty"`
}

// Validate checks the reply.
func (r *OrderReply) Validate() error {
	if r.State >= stateCount || r.State == StateAsking {
		return fault.New(fault.MessageInvalid, "reply with state %d", r.State)
	}
	return validParts(r.State, r.Response, r.Grant)
}

// UnmarshalCBOR decodes and checks a reply.
func (r *OrderReply) UnmarshalCBOR(data []byte) error {
	type plain OrderReply
	return decode(data, (*plain)(r), r.Validate)
}

// validParts checks that a response and a grant stand exactly with their states.
func validParts(s State, r *Response, g *Grant) error {
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

// Record is one exported record of a ledger.
type Record struct {
	Epoch    uint32    `cbor:"1,keyasint"`
	Key      Hash      `cbor:"2,keyasint"`
	Digest   Hash      `cbor:"3,keyasint"`
	State    State     `cbor:"4,keyasint"`
	Response *Response `cbor:"5,keyasint,omitempty"`
	Grant    *Grant    `cbor:"6,keyasint,omitempty"`
}

// Validate checks the record; only final states are exported.
func (r *Record) Validate() error {
	switch r.State {
	case StateRun, StateRunDropped, StateUnknown, StateNotRun, StateReleased:
	default:
		return fault.New(fault.MessageInvalid, "exported record with state %s", r.State)
	}
	if r.Epoch == 0 || r.Key.IsZero() {
		return fault.New(fault.MessageInvalid, "exported record without epoch or key")
	}
	return validParts(r.State, r.Response, r.Grant)
}

// LedgerPart is one part of the closed ledger of an incarnation that leaves.
type LedgerPart struct {
	Ledger fleet.Incarnation `cbor:"1,keyasint"`
	// Part counts from 0 to Parts-1.
	Part  int `cbor:"2,keyasint"`
	Parts int `cbor:"3,keyasint"`
	// First and Last are the remembered epochs; earlier ones are forgotten.
	First uint32 `cbor:"4,keyasint"`
	Last  uint32 `cbor:"5,keyasint"`
	// Keep is the time for which the records are to be kept.
	Keep    time.Duration `cbor:"6,keyasint"`
	Records []Record      `cbor:"7,keyasint"`
	// Export is the same in all parts of one export.
	Export uint64 `cbor:"8,keyasint"`
}

// maxParts bounds the parts of one ledger.
const maxParts = 4096

// Validate checks the part and its records.
func (p *LedgerPart) Validate() error {
	if p.Ledger.VM() == "" || p.Part < 0 || p.Part >= p.Parts || p.Parts > maxParts {
		return fault.New(fault.MessageInvalid, "part %d of %d of ledger %q", p.Part, p.Parts, p.Ledger)
	}
	if p.First == 0 || p.Last < p.First || p.Keep < 0 {
		return fault.New(fault.MessageInvalid, "ledger part with epochs %d to %d, keep %s", p.First, p.Last, p.Keep)
	}
	for i := range p.Records {
		r := &p.Records[i]
		if err := r.Validate(); err != nil {
			return err
		}
		if r.Epoch < p.First || r.Epoch > p.Last {
			return fault.New(fault.MessageInvalid, "record of epoch %d outside %d to %d", r.Epoch, p.First, p.Last)
		}
	}
	return nil
}

// UnmarshalCBOR decodes and checks a part.
func (p *LedgerPart) UnmarshalCBOR(data []byte) error {
	type plain LedgerPart
	return decode(data, (*plain)(p), p.Validate)
}

var decoding = newDecoding()

// maxElements bounds the lists of one message.
const maxElements = 1 << 17

func newDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: maxElements, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return m
}

func decode(data []byte, into any, validate func() error) error {
	if err := decoding.Unmarshal(data, into); err != nil {
		return fault.Wrap(err, fault.MessageInvalid, "order message")
	}
	return validate()
}
