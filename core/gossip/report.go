package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/quota"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

// maxReportBytes is the largest size of an encoded report. It fits in one packet
// without IP fragmentation.
const maxReportBytes = 1400

// Report is one message between daemons. A report with a data centre is a heartbeat
// and describes its sender; others only identify the sender and leave out the fields
// of heartbeats.
type Report struct {
	VM string `cbor:"1,keyasint"`
	// StartMillis is the start time of the sender, as in roster.Member.
	StartMillis   int64  `cbor:"2,keyasint"`
	DataCentre    string `cbor:"3,keyasint,omitempty"`
	CallerAddress string `cbor:"4,keyasint,omitempty"`
	Ready         bool   `cbor:"5,keyasint,omitempty"`
	Leaving       bool   `cbor:"6,keyasint,omitempty"`
	// Carries lists the names of the groups that the sender carries.
	Carries []string `cbor:"7,keyasint,omitempty"`
	// ListPart is a part of a change of the target list.
	ListPart *watch.Part `cbor:"9,keyasint,omitempty"`
	// Estimates are sent to a daemon that starts to carry a service, or requests them.
	// Field 11 held them in another encoding.
	Estimates []ServiceEstimates `cbor:"18,keyasint,omitempty"`
	// EstimateRequests are the services for which the sender requests health estimates.
	EstimateRequests []string `cbor:"17,keyasint,omitempty"`
	// RemoteCarriers inform the local data centre of carriers in others.
	RemoteCarriers []GroupCarriers `cbor:"12,keyasint,omitempty"`
	// Forward asks the receiver to forward the events in its data centre.
	Forward bool `cbor:"13,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration that the sender has in force.
	ConfigVersion int64 `cbor:"10,keyasint,omitempty"`
	// ConfigAge is the time since the sender's configuration was last known to be the
	// newest, or that of ConfigFragment; 0 if it is not known.
	ConfigAge time.Duration `cbor:"24,keyasint,omitempty"`
	// WantsConfig asks the receiver for its configuration if that is newer than
	// ConfigVersion.
	WantsConfig bool `cbor:"25,keyasint,omitempty"`
	// WantsListSince asks the receiver for the changes of the target list since the version
	// in the era WantsListEra; 0 if the sender does not ask.
	WantsListSince int64     `cbor:"26,keyasint,omitempty"`
	WantsListEra   watch.Era `cbor:"29,keyasint,omitempty"`
	// ReducedRate is true if the sender sends heartbeats at a reduced rate, because it is
	// not monitored.
	ReducedRate bool `cbor:"16,keyasint,omitempty"`
	// ConfigFragment is a fragment of the operators' configuration.
	ConfigFragment *Fragment `cbor:"15,keyasint,omitempty"`
	// EventBatch holds events of targets. Field 8 held them in another encoding.
	EventBatch *EventBatch `cbor:"23,keyasint,omitempty"`
	// ListVersion is the store version of the sender's target list; 0 if it has none. It is
	// not compared with other versions, so the report does not name its era.
	ListVersion int64 `cbor:"19,keyasint,omitempty"`
	// SnapshotFragment is a fragment of the whole target list, which is sent to daemons that
	// have just started and at the beginning of an era of the store. Members are members of
	// the fleet, sent only to daemons that have just started.
	SnapshotFragment *Fragment       `cbor:"20,keyasint,omitempty"`
	Members          []roster.Member `cbor:"21,keyasint,omitempty"`
	// WantsMembers asks the receiver for members of the sender's data centre.
	WantsMembers bool `cbor:"22,keyasint,omitempty"`
	// Cores is the capacity of the sender, as in roster.Member.
	Cores float64 `cbor:"14,keyasint,omitempty"`
	// QuotaRequest and QuotaReply are the messages of the quotas.
	QuotaRequest *quota.RequestMsg `cbor:"27,keyasint,omitempty"`
	QuotaReply   *quota.ReplyMsg   `cbor:"28,keyasint,omitempty"`
}

// GroupCarriers holds carriers of a group of services in other data centres.
type GroupCarriers struct {
	Name    string          `cbor:"1,keyasint"`
	Members []roster.Member `cbor:"2,keyasint"`
}

// Sender returns the sender of a heartbeat; inner is the address that the report came
// from.
func (r *Report) Sender(inner string) roster.Member {
	return roster.Member{VM: r.VM, DataCentre: r.DataCentre, PeerAddress: inner, CallerAddress: r.CallerAddress, StartMillis: r.StartMillis, Cores: r.Cores}
}

// Validate fails with fault.MessageInvalid if the report does not identify its sender, or
// a message of the quotas in it is invalid.
func (r *Report) Validate() error {
	if r.VM == "" || r.IsHeartbeat() && r.CallerAddress == "" {
		return fault.New(fault.MessageInvalid, "report does not identify its sender")
	}
	if r.QuotaRequest != nil {
		if err := r.QuotaRequest.Validate(); err != nil {
			return err
		}
	}
	if r.QuotaReply != nil {
		return r.QuotaReply.Validate()
	}
	return nil
}

// IsHeartbeat reports whether the report is a heartbeat, which describes its sender.
func (r *Report) IsHeartbeat() bool {
	return r.DataCentre != ""
}

// Decode decodes and validates a report. It fails with fault.MessageInvalid.
func Decode(data []byte) (*Report, error) {
	var r Report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "report cannot be decoded")
	}
	if err := r.Validate(); err != nil {
		return nil, err
	}
	return &r, nil
}

// Encode encodes the report as CBOR. It fails with fault.MessageInvalid if the result
// does not fit in a datagram.
func (r *Report) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "report cannot be encoded")
	}
	if len(data) > maxReportBytes {
		return nil, fault.New(fault.MessageInvalid, "report of %d bytes exceeds %d", len(data), maxReportBytes)
	}
	return data, nil
}
