package settle

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// RevisionRequestMsg requests the revisions above Have from a peer.
type RevisionRequestMsg struct {
	// Have is the newest revision that the sender holds; 0 stands for none.
	Have Revision `json:"have" cbor:"1,keyasint"`
}

// RevisionReplyMsg is the reply to a RevisionRequestMsg. It contains the deltas after
// the requested revision, or a snapshot if the peer no longer has all of them, or
// neither if the peer has nothing newer.
type RevisionReplyMsg struct {
	// Revision is the revision that the peer holds; 0 stands for none.
	Revision Revision `json:"revision" cbor:"1,keyasint"`
	// Ready reports whether the peer uses the revision. The revision of a peer
	// that is itself starting may be arbitrarily old.
	Ready bool `json:"ready" cbor:"2,keyasint"`
	// HeadRead reports whether the peer has read the head row and fetched all
	// revisions up to it; HeadAge is the time since that read.
	HeadRead bool          `json:"head-read" cbor:"3,keyasint"`
	HeadAge  time.Duration `json:"head-age" cbor:"4,keyasint"`
	Deltas   []*Delta      `json:"deltas,omitempty" cbor:"5,keyasint,omitempty"`
	// Snapshot has the format of a snapshot object: gzip-compressed JSON.
	Snapshot []byte `json:"snapshot,omitempty" cbor:"6,keyasint,omitempty"`
}

// plainRevisionReply is RevisionReplyMsg without its methods, so that decoding
// does not recurse.
type plainRevisionReply RevisionReplyMsg

// UnmarshalCBOR decodes and validates a reply.
func (m *RevisionReplyMsg) UnmarshalCBOR(data []byte) error {
	var p plainRevisionReply
	if err := cbor.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.MessageInvalid, "revision reply")
	}
	*m = RevisionReplyMsg(p)
	return m.Validate()
}

// Validate returns an error unless the deltas are consecutive and end at Revision,
// and the other fields are consistent and within their limits.
func (m *RevisionReplyMsg) Validate() error {
	if m.HeadAge < 0 {
		return fault.New(fault.MessageInvalid, "revision reply with head age %s", m.HeadAge)
	}
	if len(m.Deltas) > 0 && len(m.Snapshot) > 0 {
		return fault.New(fault.MessageInvalid, "revision reply with both deltas and a snapshot")
	}
	if len(m.Snapshot) > maxSnapshotBytes {
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

// PeerReply is the reply of one peer, with what the caller knows about the peer.
type PeerReply struct {
	From       fleet.VMID
	DataCentre fleet.DataCentre
	// Seed is set if the request was sent to a seed address of the process settings.
	Seed bool
	Msg  RevisionReplyMsg
}
