package inner

// StateRequestMsg asks a daemon for its state dump.
type StateRequestMsg struct {
	// Part names the part of the state to dump; empty means all of it.
	Part string `cbor:"1,keyasint,omitempty"`
}

// Validate returns fault.MessageInvalid if the message exceeds a size limit.
func (m *StateRequestMsg) Validate() error {
	v := validator{message: "state ask"}
	v.atMost("what", len(m.Part), MaxIDLen)
	return v.err
}

// StateReplyMsg returns a state dump.
type StateReplyMsg struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// Dump is the state in JSON.
	Dump []byte `cbor:"2,keyasint,omitempty"`
}

// Validate returns fault.MessageInvalid if the message exceeds a size limit.
func (m *StateReplyMsg) Validate() error {
	v := validator{message: "state reply"}
	v.atMost("dump", len(m.Dump), MaxDumpBytes)
	return v.err
}
