package detect

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// RowKey returns the key of a service's ejection list in the table service.
func RowKey(id fleet.ServiceID) string {
	return "ejections/" + string(id)
}

// Phase is the phase of an entry of the ejection list.
type Phase string

// The phases of an entry. An entry in PhaseByHand is ended only by an operator.
const (
	PhaseEjected Phase = "ejected"
	PhaseTrial   Phase = "trial"
	PhaseByHand  Phase = "by-hand"
)

// Ejection is the entry of one target that is out of service.
type Ejection struct {
	Target fleet.TargetID `json:"target"`
	Phase  Phase          `json:"phase"`
	Since  time.Time      `json:"since"`
	// Until is the earliest time at which a trial begins; by-hand entries have
	// none.
	Until time.Time `json:"until,omitzero"`
	// PeriodMS is the ejection period in milliseconds.
	PeriodMS int64 `json:"period-ms,omitempty"`
	// Severity is the severity of the verdict.
	Severity float64 `json:"severity"`
	// By names the daemon or the operator.
	By     string `json:"by"`
	Reason string `json:"reason"`
}

// Period returns the ejection period.
func (e Ejection) Period() time.Duration {
	return time.Duration(e.PeriodMS) * time.Millisecond
}

// PastEjection is an ejection that has ended. It determines the next ejection
// period of the target and its slow start.
type PastEjection struct {
	Target   fleet.TargetID `json:"target"`
	Returned time.Time      `json:"returned"`
	PeriodMS int64          `json:"period-ms"`
	By       string         `json:"by"`
	Reason   string         `json:"reason"`
}

// Ejections is the ejection list of one service as stored in the table row.
// Values are immutable; each transition returns a new one.
type Ejections struct {
	Service fleet.ServiceID `json:"service"`
	// Sequence rises by one with each transition.
	Sequence uint64 `json:"sequence"`
	// Targets and Floor are the number of targets and the floor in force at the
	// last transition. With them a reader can check the length of the list
	// without the settings of that time.
	Targets int            `json:"targets"`
	Floor   int            `json:"floor"`
	Entries []Ejection     `json:"entries"`
	Past    []PastEjection `json:"past,omitempty"`
	// WriteIDs holds the ids of the newest writes, the newest last, by which a
	// writer recognises its own write after its reply was lost.
	WriteIDs []string `json:"changes,omitempty"`
}

const (
	// maxRowBytes bounds the row; 27 targets need about 6 KB.
	maxRowBytes = 1 << 20
	// maxWriteIDs is the number of write ids kept in the row.
	maxWriteIDs = 16
	// maxTextBytes bounds the reason and the author, each in bytes.
	maxTextBytes = 512
	// maxPeriodMS bounds a period to a day, far above any sensible value of
	// ejection-max.
	maxPeriodMS = 24 * 60 * 60 * 1000
)

// NewEjections returns the empty list of the service.
func NewEjections(id fleet.ServiceID) Ejections {
	return Ejections{Service: id}
}

// Validate checks that the list is consistent: no target occurs twice, there
// are no more entries than the number of targets less the floor, and phases,
// periods and texts are within bounds.
func (j Ejections) Validate() error {
	invalid := func(format string, args ...any) error {
		return fault.New(fault.MessageInvalid, "ejection list of "+string(j.Service)+": "+format, args...)
	}
	if j.Service == "" {
		return fault.New(fault.MessageInvalid, "ejection list without a service")
	}
	if j.Targets < 0 || j.Floor < 0 || j.Floor > j.Targets {
		return invalid("floor %d of %d targets", j.Floor, j.Targets)
	}
	if len(j.Entries) > j.Targets-j.Floor {
		return invalid("%d entries with floor %d of %d targets", len(j.Entries), j.Floor, j.Targets)
	}
	if len(j.WriteIDs) > maxWriteIDs {
		return invalid("%d write ids", len(j.WriteIDs))
	}
	seen := map[fleet.TargetID]bool{}
	for _, e := range j.Entries {
		if seen[e.Target] {
			return invalid("target %q is listed twice", e.Target)
		}
		seen[e.Target] = true
		if why := e.problem(); why != "" {
			return invalid("entry %q: %s", e.Target, why)
		}
	}
	past := map[fleet.TargetID]bool{}
	for _, p := range j.Past {
		if p.Target == "" || past[p.Target] || p.PeriodMS < 0 || p.PeriodMS > maxPeriodMS {
			return invalid("past entry %q", p.Target)
		}
		past[p.Target] = true
	}
	return nil
}

// problem describes what is invalid about the entry, or returns "".
func (e Ejection) problem() string {
	switch {
	case e.Target == "":
		return "no target"
	case e.Since.IsZero():
		return "no start"
	case e.PeriodMS < 0 || e.PeriodMS > maxPeriodMS:
		return "period out of bounds"
	case len(e.Reason) > maxTextBytes || len(e.By) > maxTextBytes:
		return "text too long"
	case e.By == "":
		return "no author"
	case e.Phase == PhaseByHand:
		return ""
	case e.Phase != PhaseEjected && e.Phase != PhaseTrial:
		return "unknown phase"
	case e.Until.IsZero() || e.PeriodMS == 0:
		return "no period"
	default:
		return ""
	}
}

// Encode returns the row value. It decodes the value again, so that no row is
// written that readers would reject.
func (j Ejections) Encode() ([]byte, error) {
	data, err := json.Marshal(j)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode ejection list of %s", j.Service)
	}
	if _, err := DecodeEjections(j.Service, data); err != nil {
		return nil, err
	}
	return data, nil
}

// DecodeEjections decodes and validates the row value of the service.
func DecodeEjections(id fleet.ServiceID, data []byte) (Ejections, error) {
	if len(data) > maxRowBytes {
		return Ejections{}, fault.New(fault.MessageInvalid, "ejection list of %s has %d bytes", id, len(data))
	}
	var j Ejections
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		return Ejections{}, fault.Wrap(err, fault.MessageInvalid, "ejection list of %s", id)
	}
	if d.More() {
		return Ejections{}, fault.New(fault.MessageInvalid, "ejection list of %s: bytes left over", id)
	}
	if j.Service != id {
		return Ejections{}, fault.New(fault.MessageInvalid, "ejection list of %s names %q", id, j.Service)
	}
	if err := j.Validate(); err != nil {
		return Ejections{}, err
	}
	return j, nil
}

// Find returns the entry of the target.
func (j Ejections) Find(id fleet.TargetID) (Ejection, bool) {
	for _, e := range j.Entries {
		if e.Target == id {
			return e, true
		}
	}
	return Ejection{}, false
}

// FindPast returns the past ejection of the target.
func (j Ejections) FindPast(id fleet.TargetID) (PastEjection, bool) {
	for _, p := range j.Past {
		if p.Target == id {
			return p, true
		}
	}
	return PastEjection{}, false
}

// HasWrite reports whether the write id is among the newest writes.
func (j Ejections) HasWrite(writeID string) bool {
	return slices.Contains(j.WriteIDs, writeID)
}

// byPriority returns the entries in the order in which they apply while the
// floor permits: entries by hand, then the oldest, then the most severe. The
// order is the same at every daemon.
func (j Ejections) byPriority() []Ejection {
	out := slices.Clone(j.Entries)
	slices.SortFunc(out, func(a, b Ejection) int {
		return cmp.Or(
			cmp.Compare(phasePriority(a), phasePriority(b)),
			a.Since.Compare(b.Since),
			cmp.Compare(b.Severity, a.Severity),
			cmp.Compare(a.Target, b.Target),
		)
	})
	return out
}

func phasePriority(e Ejection) int {
	if e.Phase == PhaseByHand {
		return 0
	}
	return 1
}
