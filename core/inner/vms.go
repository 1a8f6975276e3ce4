package inner

import "wisteriarelay.example/core/fleet"

// VMsRequestMsg asks a peer for the VMs that it knows. A daemon sends it if it starts
// while the platform's VM list is unavailable.
type VMsRequestMsg struct{}

// Validate returns nil, because the message is empty.
func (m *VMsRequestMsg) Validate() error {
	return nil
}

// VMsReplyMsg lists the VMs that a peer knows.
type VMsReplyMsg struct {
	VMs []fleet.VM `cbor:"1,keyasint,omitempty"`
}

// Validate returns fault.MessageInvalid if the message exceeds a size limit or lacks
// a field.
func (m *VMsReplyMsg) Validate() error {
	v := validator{message: "VMs reply"}
	v.atMost("VMs", len(m.VMs), MaxVMs)
	for i := range m.VMs {
		v.validateVM("VM", &m.VMs[i])
	}
	return v.err
}
