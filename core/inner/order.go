package inner

import "wisteriarelay.example/core/fleet"

// Want is what a daemon asks of the home of an order key.
type Want uint8

// The wants of an OrderAskMsg.
const (
	// Look asks for the state of the key and changes nothing.
	Look Want = iota
	// Release asks for the sole right to run the order.
	Release
	// Close asks that the order is never run.
	Close
	wantCount
)

// OrderAskMsg asks the home of an order key for its state.
type OrderAskMsg struct {
	// Home is the incarnation that issued the token; another run on the same
	// VM must not answer for it unless it took over its ledger.
	Home    fleet.Incarnation `cbor:"1,keyasint"`
	Service fleet.ServiceID   `cbor:"2,keyasint"`
	Key     string            `cbor:"3,keyasint"`
	// Digest is the digest of the request under the key.
	Digest []byte `cbor:"4,keyasint,omitempty"`
	Want   Want   `cbor:"5,keyasint,omitempty"`
	// Run is the run number of the asking incarnation.
	Run uint64 `cbor:"6,keyasint"`
}

// Check returns fault.MessageInvalid if the message exceeds a bound or lacks a field.
func (m *OrderAskMsg) Check() error {
	c := checker{message: "order ask"}
	c.incarnation("home", m.Home)
	c.id("service", len(m.Service))
	c.demand(m.Key != "", "key is missing")
	c.size("key", len(m.Key), MaxOrderKey)
	c.size("digest", len(m.Digest), MaxDigest)
	c.demand(m.Want < wantCount, "want %d is not known", m.Want)
	c.demand(m.Run != 0, "run is missing")
	return c.err
}

// OrderReplyMsg is the reply to OrderAskMsg.
type OrderReplyMsg struct {
	// State is the state of the key, numbered by package order.
	State uint8 `cbor:"1,keyasint"`
	// Record holds state details and the answer in the format of package order.
	Record []byte `cbor:"2,keyasint,omitempty"`
}

// Check returns fault.MessageInvalid if the message exceeds a bound.
func (m *OrderReplyMsg) Check() error {
	c := checker{message: "order reply"}
	c.size("record", len(m.Record), MaxOrderRecord)
	return c.err
}

// LedgerMsg hands a part of a ledger to another carrier. The sender splits the
// ledger so that each encoded part stays below MaxAsk.
type LedgerMsg struct {
	// Home is the incarnation whose ledger this is.
	Home fleet.Incarnation `cbor:"1,keyasint"`
	// Part counts from 0 to Parts-1.
	Part  uint32 `cbor:"2,keyasint,omitempty"`
	Parts uint32 `cbor:"3,keyasint"`
	// Records holds order records in the format of package order.
	Records [][]byte `cbor:"4,keyasint,omitempty"`
}

// Check returns fault.MessageInvalid if the message exceeds a bound or lacks a field.
func (m *LedgerMsg) Check() error {
	c := checker{message: "ledger"}
	c.incarnation("home", m.Home)
	c.demand(m.Part < m.Parts, "part %d of %d does not exist", m.Part, m.Parts)
	c.size("parts", int(m.Parts), MaxLedgerParts)
	c.size("records", len(m.Records), MaxLedgerRecords)
	for _, r := range m.Records {
		c.size("record", len(r), MaxOrderRecord)
	}
	return c.err
}

// LedgerReplyMsg confirms a part of a ledger.
type LedgerReplyMsg struct {
	// Kept is the number of records that the receiver keeps from this part.
	Kept uint32 `cbor:"1,keyasint"`
}

// Check returns fault.MessageInvalid if the count is impossible.
func (m *LedgerReplyMsg) Check() error {
	c := checker{message: "ledger reply"}
	c.size("records kept", int(m.Kept), MaxLedgerRecords)
	return c.err
}
