package inner

import "wisteriarelay.example/core/order"

// The messages about orders are the types of package order, which bound and
// check themselves.
type (
	// OrderAskMsg asks the holder of a ledger about an order key.
	OrderAskMsg = order.OrderAsk
	// OrderReplyMsg is the reply to OrderAskMsg.
	OrderReplyMsg = order.OrderReply
	// LedgerMsg hands a part of a ledger to another carrier.
	LedgerMsg = order.LedgerPart
)

// LedgerReplyMsg confirms a part of a ledger.
type LedgerReplyMsg struct {
	// Kept is the number of records that the receiver keeps from this part.
	Kept uint32 `cbor:"1,keyasint"`
}

// Check returns fault.MessageInvalid if the count is impossible.
func (m *LedgerReplyMsg) Check() error {
	c := checker{message: "ledger reply"}
	c.size("kept records", int(m.Kept), MaxLedgerRecords)
	return c.err
}
