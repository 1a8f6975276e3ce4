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

// Phase is where an entry of the ejection list stands.
type Phase string

// The phases of an entry. By hand means that only an operator ends it.
const (
	PhaseEjected Phase = "ejected"
	PhaseTrial   Phase = "trial"
	PhaseByHand  Phase = "by-hand"
)

// Ejection is one target that is out of service.
type Ejection struct {
	Target fleet.TargetID `json:"target"`
	Phase  Phase          `json:"phase"`
	Since  time.Time      `json:"since"`
	// Until is the earliest time of the trial; by-hand entries have none.
	Until time.Time `json:"until,omitzero"`
	// PeriodMS is the ejection period in milliseconds.
	PeriodMS int64 `json:"period-ms,omitempty"`
	// Severity is that of the verdict.
	Severity float64 `json:"severity"`
	// By names the daemon or the operator.
	By     string `json:"by"`
	Reason string `json:"reason"`
}

// Period returns the ejection period.
func (e Ejection) Period() time.Duration {
	return time.Duration(e.PeriodMS) * time.Millisecond
}

// Past is one target that came back; it sets the next period and slow start.
type Past struct {
	Target   fleet.TargetID `json:"target"`
	Returned time.Time      `json:"returned"`
	PeriodMS int64          `json:"period-ms"`
	By       string         `json:"by"`
	Reason   string         `json:"reason"`
}

// Ejections is the ejection list of one service as it stands in the table row.
// Values are immutable; each transition returns a new one.
type Ejections struct {
	Service fleet.ServiceID `json:"service"`
	// Sequence rises by one with each transition.
	Sequence uint64 `json:"sequence"`
	// Targets and Floor are those under which the last transition was made;
	// they let a reader check the bound of the list without other settings.
	Targets int        `json:"targets"`
	Floor   int        `json:"floor"`
	Entries []Ejection `json:"entries"`
	Past    []Past     `json:"past,omitempty"`
	// Changes holds the ids of the newest writes, the newest last, by which a
	// writer recognises its own write after its reply was lost.
	Changes []string `json:"changes,omitempty"`
}

const (
	// maxRowBytes bounds the row; 27 targets need about 6 KB.
	maxRowBytes = 1 << 20
	// maxChanges is the number of write ids kept.
	maxChanges = 16
	// maxReason bounds the reason and the author in bytes.
	maxReason = 512
	// maxPeriodMS bounds a period to a day, far above any sensible ejection-max.
	maxPeriodMS = 24 * 60 * 60 * 1000
)

// NewEjections returns the empty list of the service.
func NewEjections(id fleet.ServiceID) Ejections {
	return Ejections{Service: id}
}

// Validate checks the row against its own statements: no target twice, no more
// entries than targets less floor, and sensible phases and periods.
func (j Ejections) Validate() error {
	bad := func(format string, args ...any) error {
		return fault.New(fault.MessageInvalid, "ejection list of "+string(j.Service)+": "+format, args...)
	}
	if j.Service == "" {
		return fault.New(fault.MessageInvalid, "ejection list without a service")
	}
	if j.Targets < 0 || j.Floor < 0 || j.Floor > j.Targets {
		return bad("floor %d of %d targets", j.Floor, j.Targets)
	}
	if len(j.Entries) > j.Targets-j.Floor {
		return bad("%d entries with floor %d of %d targets", len(j.Entries), j.Floor, j.Targets)
	}
	if len(j.Changes) > maxChanges {
		return bad("%d write ids", len(j.Changes))
	}
	seen := map[fleet.TargetID]bool{}
	for _, e := range j.Entries {
		if seen[e.Target] {
			return bad("target %q is listed twice", e.Target)
		}
		seen[e.Target] = true
		if why := e.problem(); why != "" {
			return bad("entry %q: %s", e.Target, why)
		}
	}
	past := map[fleet.TargetID]bool{}
	for _, p := range j.Past {
		if p.Target == "" || past[p.Target] || p.PeriodMS < 0 || p.PeriodMS > maxPeriodMS {
			return bad("past entry %q", p.Target)
		}
		past[p.Target] = true
	}
	return nil
}

func (e Ejection) problem() string {
	switch {
	case e.Target == "":
		return "no target"
	case e.Since.IsZero():
		return "no start"
	case e.PeriodMS < 0 || e.PeriodMS > maxPeriodMS:
		return "period out of bounds"
	case len(e.Reason) > maxReason || len(e.By) > maxReason:
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

// Encode returns the row value. It reads the value back, so that no row is
// written that the readers would reject.
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

// DecodeEjections reads and checks the row value of the service.
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

// FindPast returns the past entry of the target.
func (j Ejections) FindPast(id fleet.TargetID) (Past, bool) {
	for _, p := range j.Past {
		if p.Target == id {
			return p, true
		}
	}
	return Past{}, false
}

// Has reports whether the write id is among the newest writes.
func (j Ejections) Has(change string) bool {
	return slices.Contains(j.Changes, change)
}

// ranked returns the entries in the order in which they apply while the floor
// leaves room: those by hand, then the oldest, then the worst. The order is the
// same at every daemon.
func (j Ejections) ranked() []Ejection {
	out := slices.Clone(j.Entries)
	slices.SortFunc(out, func(a, b Ejection) int {
		return cmp.Or(
			cmp.Compare(handRank(a), handRank(b)),
			a.Since.Compare(b.Since),
			cmp.Compare(b.Severity, a.Severity),
			cmp.Compare(a.Target, b.Target),
		)
	})
	return out
}

func handRank(e Ejection) int {
	if e.Phase == PhaseByHand {
		return 0
	}
	return 1
}
