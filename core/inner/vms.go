package inner

import "wisteriarelay.example/core/fleet"

// VMsAskMsg asks a peer for the VMs that it knows, for a daemon that starts
// while the platform's VM list is away.
type VMsAskMsg struct{}

// Check returns nil, because the message is empty.
func (m *VMsAskMsg) Check() error {
	return nil
}

// VMsReplyMsg is the reply to VMsAskMsg.
type VMsReplyMsg struct {
	VMs []fleet.VM `cbor:"1,keyasint,omitempty"`
}

// Check returns fault.MessageInvalid if the message exceeds a bound or lacks a field.
func (m *VMsReplyMsg) Check() error {
	c := checker{message: "VMs reply"}
	c.size("VMs", len(m.VMs), MaxVMs)
	for i := range m.VMs {
		c.vm("VM", &m.VMs[i])
	}
	return c.err
}
