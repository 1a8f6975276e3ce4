package inner

// StateAskMsg asks a daemon for a state dump.
type StateAskMsg struct {
	// What names the part of the state; empty asks for all.
	What string `cbor:"1,keyasint,omitempty"`
}

// Check returns fault.MessageInvalid if the message exceeds a bound.
func (m *StateAskMsg) Check() error {
	c := checker{message: "state ask"}
	c.size("what", len(m.What), MaxID)
	return c.err
}

// StateReplyMsg is the reply to StateAskMsg.
type StateReplyMsg struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Dump is the state as JSON.
	Dump []byte `cbor:"2,keyasint,omitempty"`
}

// Check returns fault.MessageInvalid if the message exceeds a bound.
func (m *StateReplyMsg) Check() error {
	c := checker{message: "state reply"}
	c.size("dump", len(m.Dump), MaxDump)
	return c.err
}
