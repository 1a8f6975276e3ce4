package settle

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/tree"
)

// Revision is the sequence number of a committed state of the settings tree.
// The first revision is 1; 0 means that there are no settings.
type Revision uint64

// ChangeState is the state of a change.
type ChangeState string

// The states of a change. All but StateProposed are final.
const (
	StateProposed  ChangeState = "proposed"
	StateCommitted ChangeState = "committed"
	StateRejected  ChangeState = "rejected"
	StateWithdrawn ChangeState = "withdrawn"
)

// Approval records that an owner approved a change.
type Approval struct {
	Owner string    `json:"owner"`
	At    time.Time `json:"at"`
}

// Change is a proposed change to the settings, as stored in its table row. Its
// ops apply to the document of the base revision.
type Change struct {
	ID         string      `json:"id"`
	Base       Revision    `json:"base"`
	Ops        []tree.Op   `json:"ops"`
	Author     string      `json:"author"`
	Note       string      `json:"note,omitempty"`
	ProposedAt time.Time   `json:"proposed"`
	Approvals  []Approval  `json:"approvals,omitempty"`
	State      ChangeState `json:"state"`
	// Revision is the revision that the commit of the change created.
	Revision Revision `json:"revision,omitempty"`
	// DecidedBy and Reason are set when the change is rejected or withdrawn.
	DecidedBy string `json:"decided-by,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// Fence counts the writes by which Resolve raised the version of the row, so
	// that commits which are still in flight fail on their condition.
	Fence uint64 `json:"fence,omitempty"`
}

// plainChange is Change without its methods, so that decoding does not recurse.
type plainChange Change

// UnmarshalJSON decodes and validates a change.
func (c *Change) UnmarshalJSON(data []byte) error {
	var p plainChange
	if err := json.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "change")
	}
	*c = Change(p)
	if err := checkChange(c.ID, c.Author, c.Ops); err != nil {
		return err
	}
	switch c.State {
	case StateProposed, StateCommitted, StateRejected, StateWithdrawn:
		return nil
	default:
		return fault.New(fault.SettingsInvalid, "change %s has the unknown state %q", c.ID, c.State)
	}
}

// Limits for the texts of a change, in bytes.
const (
	maxIDBytes     = 64
	maxAuthorBytes = 128
	maxNoteBytes   = 4096
)

// checkChange validates the fields that a change and its delta have in common.
func checkChange(id, author string, ops []tree.Op) error {
	if id == "" || len(id) > maxIDBytes || !validIDText(id) {
		return fault.New(fault.SettingsInvalid, "change id %q; allowed: 1 to %d letters, digits or '-'", id, maxIDBytes)
	}
	if author == "" || len(author) > maxAuthorBytes {
		return fault.New(fault.SettingsInvalid, "change %s: author of %d bytes; allowed: 1 to %d", id, len(author), maxAuthorBytes)
	}
	if len(ops) == 0 {
		return fault.New(fault.SettingsInvalid, "change %s has no ops", id)
	}
	return nil
}

// validIDText reports whether s consists of letters, digits and hyphens only.
func validIDText(s string) bool {
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// Delta is one committed revision: the ops that produce it from the revision
// before it. It is immutable.
type Delta struct {
	Revision Revision `json:"revision" cbor:"1,keyasint"`
	// Change is the id of the committed change.
	Change string `json:"change" cbor:"2,keyasint"`
	Author string `json:"author" cbor:"3,keyasint"`
	// Approvals lists the owners who approved the change, including its author
	// if the author is an owner.
	Approvals []string `json:"approvals,omitempty" cbor:"4,keyasint,omitempty"`
	Note      string   `json:"note,omitempty" cbor:"5,keyasint,omitempty"`
	// At is the time of the commit, in whole seconds.
	At  time.Time `json:"at" cbor:"6,keyasint"`
	Ops []tree.Op `json:"ops" cbor:"7,keyasint"`
}

// plainDelta is Delta without its methods, so that decoding does not recurse.
type plainDelta Delta

// check validates the delta and converts its time to UTC.
func (d *Delta) check() error {
	if d.Revision == 0 {
		return fault.New(fault.SettingsInvalid, "delta %s has no revision", d.Change)
	}
	d.At = d.At.UTC()
	return checkChange(d.Change, d.Author, d.Ops)
}

// UnmarshalJSON decodes and validates a delta.
func (d *Delta) UnmarshalJSON(data []byte) error {
	var p plainDelta
	if err := json.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "delta")
	}
	*d = Delta(p)
	return d.check()
}

// UnmarshalCBOR decodes and validates a delta.
func (d *Delta) UnmarshalCBOR(data []byte) error {
	var p plainDelta
	if err := cbor.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "delta")
	}
	*d = Delta(p)
	return d.check()
}

// Head is the value of the head row, which names the newest revision.
type Head struct {
	Revision Revision `json:"revision"`
	// Change is the id of the change that created the revision.
	Change string `json:"change"`
}

// plainHead is Head without its methods, so that decoding does not recurse.
type plainHead Head

// UnmarshalJSON decodes and validates a head.
func (h *Head) UnmarshalJSON(data []byte) error {
	var p plainHead
	if err := json.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "head")
	}
	*h = Head(p)
	if h.Revision == 0 || h.Change == "" {
		return fault.New(fault.SettingsInvalid, "head without revision or change")
	}
	return nil
}

// Conflict is the error for a change that cannot be committed because other
// changes were committed after its base revision.
type Conflict struct {
	Change string   `json:"change"`
	Base   Revision `json:"base"`
	Head   Revision `json:"head"`
	// DeltasSinceBase lists the first revisions after the base, at most 64, oldest first.
	// It is incomplete or empty if the store could not be read.
	DeltasSinceBase []*Delta `json:"since,omitempty"`
	// OverlappingOps lists the ops of these revisions that overlap with the change.
	OverlappingOps []tree.Op `json:"overlaps,omitempty"`
}

// Error names the change and the overlapping paths and keys.
func (c *Conflict) Error() string {
	text := "change " + c.Change + " was proposed against an earlier revision"
	for _, o := range c.OverlappingOps {
		text += "; also changed: " + string(o.Path) + " " + o.Key
	}
	return text
}

// overlappingOps returns the ops of the deltas that overlap with one of ops.
func overlappingOps(since []*Delta, ops []tree.Op) []tree.Op {
	var out []tree.Op
	for _, d := range since {
		for _, theirs := range d.Ops {
			for _, ours := range ops {
				if theirs.Overlaps(ours) {
					out = append(out, theirs)
					break
				}
			}
		}
	}
	return out
}
