package inner

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fleet"
)

// ReportMsg is the heartbeat that a carrier sends to a co-carrier, a daemon that
// carries one of the same services. It holds the sender's state and, for each
// service that both carry, its requests in flight and its evidence about targets.
// The sender's VM id is not part of the message: the receiver takes it from the
// certificate of the connection.
type ReportMsg struct {
	// Run is the run number of the sender's incarnation.
	Run uint64 `cbor:"1,keyasint"`
	// Started is the start time of the sender's process in milliseconds since 1970.
	// It orders the incarnations of one VM id.
	Started uint64 `cbor:"2,keyasint"`
	// Sequence starts at 1 and increases with each report of an incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
	// Revision is the highest settings revision that the sender knows.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	Ready    bool   `cbor:"5,keyasint,omitempty"`
	Leaving  bool   `cbor:"6,keyasint,omitempty"`
	// Heard is the heard list: the IncarnationHash of each daemon whose reports the
	// sender has received recently, among the receiver and the co-carriers of the
	// services below.
	Heard []uint32 `cbor:"7,keyasint,omitempty"`
	// Self describes the sender. It is set until the receiver has confirmed that it
	// hears the sender, so that a VM can be reached before the VM list contains it.
	Self     *fleet.VM       `cbor:"8,keyasint,omitempty"`
	Services []ServiceReport `cbor:"9,keyasint,omitempty"`
}

// ServiceReport is the part of a report about one service.
type ServiceReport struct {
	Service fleet.ServiceID `cbor:"1,keyasint"`
	// InFlight holds the targets at which the sender has requests in flight.
	InFlight []TargetLoad `cbor:"2,keyasint,omitempty"`
	// Evidence holds the evidence rows in the format of package detect.
	Evidence []byte           `cbor:"3,keyasint,omitempty"`
	Leaving  []fleet.TargetID `cbor:"4,keyasint,omitempty"`
	// EjectionVersion is the version of the ejection list, a row of the table
	// service, that the sender knows.
	EjectionVersion uint64 `cbor:"5,keyasint,omitempty"`
	// Ejections holds the ejection list in the format of package detect. It is set
	// after a change of the list.
	Ejections []byte `cbor:"6,keyasint,omitempty"`
}

// TargetLoad is the mean number of requests that a daemon has in flight at one target.
type TargetLoad struct {
	_ struct{} `cbor:",toarray"`
	// Target is the hash that stands for the target id.
	Target uint32
	// Quarters is the mean in quarters of a request. The receiver adds up the means
	// of several peers, and with whole numbers most of the load of short requests
	// would be rounded away.
	Quarters uint32
}

// quartersPerRequest converts between requests and TargetLoad.Quarters.
const quartersPerRequest = 4

// NewTargetLoad returns the TargetLoad for a mean number of requests in flight. ok is
// false if the mean rounds to 0; reports omit such a target.
func NewTargetLoad(target fleet.TargetID, inFlight float64) (l TargetLoad, ok bool) {
	q := math.Round(min(max(inFlight, 0)*quartersPerRequest, math.MaxUint32))
	return TargetLoad{Target: TargetHash(target), Quarters: uint32(q)}, q > 0
}

// InFlight returns the mean number of requests in flight.
func (l TargetLoad) InFlight() float64 {
	return float64(l.Quarters) / quartersPerRequest
}

// TargetHash returns the hash that stands for a target id in reports. Two targets of
// a service with 40 targets collide with a probability of 2 in 10 million. The
// only effect is that both appear to have the same requests in flight.
func TargetHash(id fleet.TargetID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// IncarnationHash returns the hash that stands for an incarnation in heard lists.
func IncarnationHash(i fleet.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(string(i)))
}

// Validate returns fault.MessageInvalid if the message exceeds a size limit or lacks
// a field.
func (m *ReportMsg) Validate() error {
	v := validator{message: "report"}
	v.require(m.Run != 0, "run is missing")
	v.require(m.Started != 0, "start time is missing")
	v.require(m.Sequence != 0, "sequence is missing")
	v.atMost("heard list", len(m.Heard), MaxHeard)
	v.atMost("services", len(m.Services), MaxServices)
	if m.Self != nil {
		v.validateVM("self", m.Self)
	}
	if v.err != nil {
		return v.err
	}
	for i := range m.Services {
		m.Services[i].validate(&v)
		for j := range i {
			v.require(m.Services[j].Service != m.Services[i].Service, "service %s occurs twice", m.Services[i].Service)
		}
	}
	return v.err
}

func (s *ServiceReport) validate(v *validator) {
	v.requireID("service", len(s.Service))
	v.atMost("work in flight", len(s.InFlight), MaxTargets)
	v.atMost("evidence", len(s.Evidence), MaxEvidenceBytes)
	v.atMost("leaving targets", len(s.Leaving), MaxTargets)
	v.atMost("ejections", len(s.Ejections), MaxEjectionsBytes)
	for _, id := range s.Leaving {
		v.requireID("leaving target", len(id))
	}
}

// ReportStatus says what the receiver did with a report.
type ReportStatus uint8

// Values of ReportStatus.
const (
	// ReportAccepted means that the receiver hears the sender.
	ReportAccepted ReportStatus = iota
	// ReportOutdated means that the receiver knows a newer incarnation of the sender.
	ReportOutdated
	// ReportFromUnknownVM means that the receiver does not know the sender's VM. The
	// sender sets Self in its next report.
	ReportFromUnknownVM
	reportStatusCount
)

// ReportReplyMsg is the reply to ReportMsg.
type ReportReplyMsg struct {
	// Run is the run number of the receiver's incarnation.
	Run      uint64       `cbor:"1,keyasint"`
	Revision uint64       `cbor:"2,keyasint,omitempty"`
	Status   ReportStatus `cbor:"3,keyasint,omitempty"`
}

// Validate returns fault.MessageInvalid if a field is missing or out of range.
func (m *ReportReplyMsg) Validate() error {
	v := validator{message: "report reply"}
	v.require(m.Run != 0, "run is missing")
	v.require(m.Status < reportStatusCount, "standing %d is not known", m.Status)
	return v.err
}
