package fleet

// VM describes a VM that runs a daemon, as listed by the platform and reported
// between peers.
type VM struct {
	ID         VMID       `json:"id" cbor:"1,keyasint"`
	Region     Region     `json:"region" cbor:"2,keyasint"`
	DataCentre DataCentre `json:"data-centre" cbor:"3,keyasint"`
	// CallerAddress, Inner and Admin are the daemon's addresses for callers, for peers
	// and for the admin API.
	CallerAddress string `json:"caller" cbor:"4,keyasint"`
	PeerAddress   string `json:"inner" cbor:"5,keyasint"`
	AdminAddress  string `json:"admin" cbor:"6,keyasint"`
	// Leaving says that the daemon shuts down or the VM is about to be removed.
	Leaving bool `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
}
