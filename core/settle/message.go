package settle

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// RevisionAskMsg asks a peer for the revisions above the one held.
type RevisionAskMsg struct {
	Have Revision `json:"have" cbor:"1,keyasint"`
}

// RevisionReplyMsg is a peer's answer: deltas that follow the asked revision,
// or a snapshot if the peer does not keep all of them, or neither if the peer
// holds nothing newer.
type RevisionReplyMsg struct {
	// Revision is the revision that the peer holds; 0 stands for none.
	Revision Revision `json:"revision" cbor:"1,keyasint"`
	// Ready says that the peer serves with the revision. A peer that is itself
	// booting proves nothing about how recent its revision is.
	Ready bool `json:"ready" cbor:"2,keyasint"`
	// HeadRead says that the peer has read the head row, HeadAge how long ago.
	HeadRead bool          `json:"head-read" cbor:"3,keyasint"`
	HeadAge  time.Duration `json:"head-age" cbor:"4,keyasint"`
	Deltas   []*Delta      `json:"deltas,omitempty" cbor:"5,keyasint,omitempty"`
	// Snapshot has the format of a snapshot object.
	Snapshot []byte `json:"snapshot,omitempty" cbor:"6,keyasint,omitempty"`
}

// plainReply has the fields of RevisionReplyMsg without its methods.
type plainReply RevisionReplyMsg

// UnmarshalCBOR decodes a reply and checks it.
func (m *RevisionReplyMsg) UnmarshalCBOR(data []byte) error {
	var p plainReply
	if err := cbor.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.MessageInvalid, "revision reply")
	}
	*m = RevisionReplyMsg(p)
	return m.Check()
}

// Check reports whether the deltas follow one another up to the revision and
// the other fields agree with each other.
func (m *RevisionReplyMsg) Check() error {
	if m.HeadAge < 0 {
		return fault.New(fault.MessageInvalid, "revision reply with head age %s", m.HeadAge)
	}
	if len(m.Deltas) > 0 && len(m.Snapshot) > 0 {
		return fault.New(fault.MessageInvalid, "revision reply with both deltas and a snapshot")
	}
	if len(m.Snapshot) > maxSnapshot {
		return fault.New(fault.MessageInvalid, "revision reply with a snapshot of %d bytes", len(m.Snapshot))
	}
	want := m.Revision - min(m.Revision, Revision(len(m.Deltas)))
	for _, d := range m.Deltas {
		want++
		if d == nil || d.Revision != want {
			return fault.New(fault.MessageInvalid, "revision reply up to %d lacks delta %d", m.Revision, want)
		}
	}
	return nil
}

// PeerReply is the answer of one peer with what the transport knows about it.
type PeerReply struct {
	From       fleet.VMID
	DataCentre fleet.DataCentre
	// Seed says that the peer was asked at a seed address of the process settings.
	Seed bool
	Msg  RevisionReplyMsg
}
