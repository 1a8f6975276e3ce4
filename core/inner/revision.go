package inner

// RevisionAskMsg asks a peer for settings behind a revision.
type RevisionAskMsg struct {
	// Have is the asker's revision; 0 if it has none.
	Have uint64 `cbor:"1,keyasint,omitempty"`
	// HeadOnly asks for the number and age of the head without content.
	HeadOnly bool `cbor:"2,keyasint,omitempty"`
}

// Check returns nil, because every value of the message is valid.
func (m *RevisionAskMsg) Check() error {
	return nil
}

// Delta is one revision of the settings.
type Delta struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Data holds the row's value in the format of package settle.
	Data []byte `cbor:"2,keyasint"`
}

// RevisionReplyMsg is the reply to RevisionAskMsg.
type RevisionReplyMsg struct {
	// Revision is the highest revision that the peer holds; 0 if none.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// HeadRead says that the peer has read the head of the settings since its start.
	HeadRead bool `cbor:"2,keyasint,omitempty"`
	// HeadAge is the time since that read in milliseconds.
	HeadAge uint64 `cbor:"3,keyasint,omitempty"`
	// Snapshot holds the settings at SnapshotRevision in the format of package settle.
	Snapshot         []byte `cbor:"4,keyasint,omitempty"`
	SnapshotRevision uint64 `cbor:"5,keyasint,omitempty"`
	// Deltas holds the revisions behind the snapshot or behind Have, in order.
	Deltas []Delta `cbor:"6,keyasint,omitempty"`
}

// Check returns fault.MessageInvalid if the message exceeds a bound or its
// deltas are not in order.
func (m *RevisionReplyMsg) Check() error {
	c := checker{message: "revision reply"}
	c.size("snapshot", len(m.Snapshot), MaxSnapshot)
	c.demand(len(m.Snapshot) == 0 || m.SnapshotRevision != 0, "revision of the snapshot is missing")
	c.size("deltas", len(m.Deltas), MaxDeltas)
	last := m.SnapshotRevision
	for i := range m.Deltas {
		d := &m.Deltas[i]
		c.size("delta", len(d.Data), MaxDelta)
		c.demand(d.Revision > last, "revision %d follows %d", d.Revision, last)
		last = d.Revision
	}
	return c.err
}
