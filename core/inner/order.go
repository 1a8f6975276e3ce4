package inner

import "wisteriarelay.example/core/order"

// The messages about orders are types of package order, which validates them and
// limits their size.
type (
	// OrderRequestMsg asks the daemon that holds a ledger for the state of an order, or
	// for the right to run it.
	OrderRequestMsg = order.KeyQuery
	// OrderReplyMsg returns the state of an order.
	OrderReplyMsg = order.KeyReply
	// LedgerMsg transfers a part of a ledger to another carrier.
	LedgerMsg = order.LedgerPart
)

// LedgerReplyMsg confirms the receipt of a part of a ledger.
type LedgerReplyMsg struct {
	// Kept is the number of records of this part that the receiver keeps.
	Kept uint32 `cbor:"1,keyasint"`
}

// Validate returns fault.MessageInvalid if the count exceeds the records of a part.
func (m *LedgerReplyMsg) Validate() error {
	v := validator{message: "ledger reply"}
	v.atMost("kept records", int(m.Kept), MaxLedgerRecords)
	return v.err
}
