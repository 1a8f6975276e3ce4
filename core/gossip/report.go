package gossip

import (
	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

// maxReport is the largest report in bytes; it fits in one packet.
const maxReport = 1400

// Report is one message between daemons. One without a data centre only carries
// events, and leaves out what heartbeats tell of the sender.
type Report struct {
	VM         string      `cbor:"1,keyasint"`
	Born       int64       `cbor:"2,keyasint"`
	DataCentre string      `cbor:"3,keyasint,omitempty"`
	Callers    string      `cbor:"4,keyasint,omitempty"`
	Ready      bool        `cbor:"5,keyasint,omitempty"`
	Leaving    bool        `cbor:"6,keyasint,omitempty"`
	Carries    []string    `cbor:"7,keyasint,omitempty"`
	List       *watch.Part `cbor:"9,keyasint,omitempty"`
	// Beliefs tell a daemon that begins to carry a service, or asks, what is known of
	// its targets. Field 11 held them in another form.
	Beliefs []Beliefs `cbor:"18,keyasint,omitempty"`
	// Asks are the services of whose targets the sender asks for beliefs.
	Asks []string `cbor:"17,keyasint,omitempty"`
	// Groups tell the own data centre who carries what in others.
	Groups []Group `cbor:"12,keyasint,omitempty"`
	// Forward asks the receiver to pass the events on in its data centre.
	Forward bool `cbor:"13,keyasint,omitempty"`
	// Config is the version of the configuration that the sender has in force.
	Config int64 `cbor:"10,keyasint,omitempty"`
	// Quiet says that the sender beats less often, because it is not watched.
	Quiet bool `cbor:"16,keyasint,omitempty"`
	// Piece is a part of the operators' configuration.
	Piece *Piece `cbor:"15,keyasint,omitempty"`
	// Results are events of targets. Field 8 held them in another form.
	Results *Results `cbor:"23,keyasint,omitempty"`
	// Targets is the version of the store up to which the sender knows the targets;
	// 0 if it knows none.
	Targets int64 `cbor:"19,keyasint,omitempty"`
	// Snapshot is a part of the whole target list, Members are daemons of the
	// receiver's data centre. Both are for daemons that have just started.
	Snapshot *Piece          `cbor:"20,keyasint,omitempty"`
	Members  []roster.Member `cbor:"21,keyasint,omitempty"`
	// Seeks asks the receiver for daemons of the sender's data centre.
	Seeks bool `cbor:"22,keyasint,omitempty"`
	// Cores is the capacity of the sender, as in roster.Member.
	Cores float64 `cbor:"14,keyasint,omitempty"`
}

// Group is the carriers of a group of services in other data centres.
type Group struct {
	Name    string          `cbor:"1,keyasint"`
	Members []roster.Member `cbor:"2,keyasint"`
}

// Member returns the sender; inner is the address that the report came from.
func (r *Report) Member(inner string) roster.Member {
	return roster.Member{VM: r.VM, DataCentre: r.DataCentre, Inner: inner, Callers: r.Callers, Born: r.Born, Cores: r.Cores}
}

// Check fails with fault.MessageInvalid if the report names no sender.
func (r *Report) Check() error {
	if r.VM == "" || r.Beat() && r.Callers == "" {
		return fault.New(fault.MessageInvalid, "report names no sender")
	}
	return nil
}

// Beat reports whether the report is a heartbeat that describes its sender.
func (r *Report) Beat() bool {
	return r.DataCentre != ""
}

// Decode reads a report.
func Decode(data []byte) (*Report, error) {
	var r Report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "report cannot be decoded")
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	return &r, nil
}

// Encode returns the report in its binary form; it fails with
// fault.MessageInvalid if that does not fit in a datagram.
func (r *Report) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "report cannot be encoded")
	}
	if len(data) > maxReport {
		return nil, fault.New(fault.MessageInvalid, "report of %d bytes exceeds %d", len(data), maxReport)
	}
	return data, nil
}
