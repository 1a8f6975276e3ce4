package inner

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"wisteriarelay.example/core/fleet"
)

// ReportMsg is the heartbeat of a carrier to a co-carrier with its state, work
// and evidence of the services that both carry. The sender's VM id is not in
// the message: it stands in the certificate of the connection.
type ReportMsg struct {
	// Run is the run number of the sender's incarnation.
	Run uint64 `cbor:"1,keyasint"`
	// Started is the start of the sender's process in milliseconds since 1970.
	// It orders the incarnations of one VM id.
	Started uint64 `cbor:"2,keyasint"`
	// Sequence rises with each report of an incarnation and starts at 1.
	Sequence uint64 `cbor:"3,keyasint"`
	// Revision is the highest settings revision that the sender knows.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
	Ready    bool   `cbor:"5,keyasint,omitempty"`
	Leaving  bool   `cbor:"6,keyasint,omitempty"`
	// Heard holds the HeardKey of the receiver and of the co-carriers of the
	// services below whose reports the sender has received recently.
	Heard []uint32 `cbor:"7,keyasint,omitempty"`
	// Self describes the sender. It is set until the receiver is known to hear
	// the sender, so that a VM that the VM list does not show yet can be reached.
	Self     *fleet.VM       `cbor:"8,keyasint,omitempty"`
	Services []ServiceReport `cbor:"9,keyasint,omitempty"`
}

// ServiceReport is the part of a report about one service.
type ServiceReport struct {
	Service fleet.ServiceID `cbor:"1,keyasint"`
	// InFlight holds the targets on which the sender has work in progress.
	InFlight []TargetLoad `cbor:"2,keyasint,omitempty"`
	// Evidence holds the evidence rows in the format of package detect.
	Evidence []byte           `cbor:"3,keyasint,omitempty"`
	Leaving  []fleet.TargetID `cbor:"4,keyasint,omitempty"`
	// EjectionVersion is the version of the ejection list's row that the sender knows.
	EjectionVersion uint64 `cbor:"5,keyasint,omitempty"`
	// Ejections holds the ejection list in the format of package detect; it is
	// set after a change of the list.
	Ejections []byte `cbor:"6,keyasint,omitempty"`
}

// TargetLoad is the work that a daemon has in progress on one target.
type TargetLoad struct {
	_ struct{} `cbor:",toarray"`
	// Target is the TargetKey of the target.
	Target uint32
	// Quarters is the mean work in quarters of a request. The work of several
	// peers adds up, so that whole numbers would lose most of short requests.
	Quarters uint32
}

// quartersPerRequest is the resolution of TargetLoad.
const quartersPerRequest = 4

// LoadOf returns the report of the mean work in flight; ok is false if it
// rounds to nothing and is left out.
func LoadOf(target fleet.TargetID, inFlight float64) (l TargetLoad, ok bool) {
	q := math.Round(min(max(inFlight, 0)*quartersPerRequest, math.MaxUint32))
	return TargetLoad{Target: TargetKey(target), Quarters: uint32(q)}, q > 0
}

// InFlight returns the mean work in requests.
func (l TargetLoad) InFlight() float64 {
	return float64(l.Quarters) / quartersPerRequest
}

// TargetKey returns the short form of a target id in reports. A collision
// within a service of 40 targets has a probability of 2 in 10 million; it only
// makes the work of two targets look alike.
func TargetKey(id fleet.TargetID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// HeardKey returns the short form of an incarnation in heard lists.
func HeardKey(i fleet.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(string(i)))
}

// Check returns fault.MessageInvalid if the message exceeds a bound or lacks a field.
func (m *ReportMsg) Check() error {
	c := checker{message: "report"}
	c.demand(m.Run != 0, "run is missing")
	c.demand(m.Started != 0, "start time is missing")
	c.demand(m.Sequence != 0, "sequence is missing")
	c.size("heard list", len(m.Heard), MaxHeard)
	c.size("services", len(m.Services), MaxServices)
	if m.Self != nil {
		c.vm("self", m.Self)
	}
	if c.err != nil {
		return c.err
	}
	for i := range m.Services {
		m.Services[i].check(&c)
		for j := range i {
			c.demand(m.Services[j].Service != m.Services[i].Service, "service %s occurs twice", m.Services[i].Service)
		}
	}
	return c.err
}

func (s *ServiceReport) check(c *checker) {
	c.id("service", len(s.Service))
	c.size("work in flight", len(s.InFlight), MaxTargets)
	c.size("evidence", len(s.Evidence), MaxEvidence)
	c.size("leaving targets", len(s.Leaving), MaxTargets)
	c.size("ejections", len(s.Ejections), MaxEjections)
	for _, id := range s.Leaving {
		c.id("leaving target", len(id))
	}
}

// Standing says how the receiver of a report treated it.
type Standing uint8

// The standings of a report.
const (
	// Accepted means that the receiver hears the sender.
	Accepted Standing = iota
	// Outdated means that the receiver has a newer report or incarnation of the sender.
	Outdated
	// Unlisted means that the receiver does not know the sender's VM; the
	// sender states itself in its next report.
	Unlisted
	standingCount
)

// ReportReplyMsg is the reply to ReportMsg.
type ReportReplyMsg struct {
	// Run is the run number of the replying incarnation.
	Run      uint64   `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint,omitempty"`
	Standing Standing `cbor:"3,keyasint,omitempty"`
}

// Check returns fault.MessageInvalid if a field is missing or out of range.
func (m *ReportReplyMsg) Check() error {
	c := checker{message: "report reply"}
	c.demand(m.Run != 0, "run is missing")
	c.demand(m.Standing < standingCount, "standing %d is not known", m.Standing)
	return c.err
}
