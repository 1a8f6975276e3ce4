package fleet

// VM is one entry VM as the VM list and the peers know it.
type VM struct {
	ID         VMID       `json:"id" cbor:"1,keyasint"`
	Region     Region     `json:"region" cbor:"2,keyasint"`
	DataCentre DataCentre `json:"data-centre" cbor:"3,keyasint"`
	Caller     string     `json:"caller" cbor:"4,keyasint"`
	Inner      string     `json:"inner" cbor:"5,keyasint"`
	Admin      string     `json:"admin" cbor:"6,keyasint"`
	Leaving    bool       `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
}
