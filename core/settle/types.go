package settle

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/tree"
)

// Revision numbers the accepted states of the settings tree from 1; 0 stands
// for no settings.
type Revision uint64

// State is the state of a change.
type State string

// The states of a change. All but Proposed are final.
const (
	Proposed  State = "proposed"
	Committed State = "committed"
	Rejected  State = "rejected"
	Withdrawn State = "withdrawn"
)

// Approval is the consent of one owner to a change.
type Approval struct {
	Owner string    `json:"owner"`
	At    time.Time `json:"at"`
}

// Change is a proposal against a base revision, as its row holds it.
type Change struct {
	ID        string     `json:"id"`
	Base      Revision   `json:"base"`
	Ops       []tree.Op  `json:"ops"`
	Author    string     `json:"author"`
	Note      string     `json:"note,omitempty"`
	Proposed  time.Time  `json:"proposed"`
	Approvals []Approval `json:"approvals,omitempty"`
	State     State      `json:"state"`
	// Revision is the revision that the change became.
	Revision Revision `json:"revision,omitempty"`
	// DecidedBy and Reason are set by a rejection or withdrawal.
	DecidedBy string `json:"decided-by,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// Fence counts how often Resolve wrote the row to void earlier commits.
	Fence uint64 `json:"fence,omitempty"`
}

// plainChange has the fields of Change without its methods.
type plainChange Change

// UnmarshalJSON decodes a change and checks it.
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
	case Proposed, Committed, Rejected, Withdrawn:
		return nil
	default:
		return fault.New(fault.SettingsInvalid, "change %s has the unknown state %q", c.ID, c.State)
	}
}

// Bounds of the texts of a change.
const (
	maxID     = 64
	maxAuthor = 128
	maxNote   = 4096
)

func checkChange(id, author string, ops []tree.Op) error {
	if id == "" || len(id) > maxID || !plainText(id) {
		return fault.New(fault.SettingsInvalid, "change id %q; allowed: 1 to %d letters, digits or '-'", id, maxID)
	}
	if author == "" || len(author) > maxAuthor {
		return fault.New(fault.SettingsInvalid, "change %s: author of %d bytes; allowed: 1 to %d", id, len(author), maxAuthor)
	}
	if len(ops) == 0 {
		return fault.New(fault.SettingsInvalid, "change %s has no ops", id)
	}
	return nil
}

func plainText(s string) bool {
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// Delta is one accepted revision: the ops that lead to it from its
// predecessor. It is immutable.
type Delta struct {
	Revision Revision `json:"revision" cbor:"1,keyasint"`
	// Change is the id of the change that became the revision.
	Change string `json:"change" cbor:"2,keyasint"`
	Author string `json:"author" cbor:"3,keyasint"`
	// Approvals names the owners whose consent counted.
	Approvals []string `json:"approvals,omitempty" cbor:"4,keyasint,omitempty"`
	Note      string   `json:"note,omitempty" cbor:"5,keyasint,omitempty"`
	// At has a resolution of one second.
	At  time.Time `json:"at" cbor:"6,keyasint"`
	Ops []tree.Op `json:"ops" cbor:"7,keyasint"`
}

// plainDelta has the fields of Delta without its methods.
type plainDelta Delta

func (d *Delta) check() error {
	if d.Revision == 0 {
		return fault.New(fault.SettingsInvalid, "delta %s has no revision", d.Change)
	}
	d.At = d.At.UTC()
	return checkChange(d.Change, d.Author, d.Ops)
}

// UnmarshalJSON decodes a delta and checks it.
func (d *Delta) UnmarshalJSON(data []byte) error {
	var p plainDelta
	if err := json.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "delta")
	}
	*d = Delta(p)
	return d.check()
}

// UnmarshalCBOR decodes a delta and checks it.
func (d *Delta) UnmarshalCBOR(data []byte) error {
	var p plainDelta
	if err := cbor.Unmarshal(data, &p); err != nil {
		return fault.Wrap(err, fault.SettingsInvalid, "delta")
	}
	*d = Delta(p)
	return d.check()
}

// Head is the value of the head row.
type Head struct {
	Revision Revision `json:"revision"`
	// Change is the id of the change that became the revision.
	Change string `json:"change"`
}

// plainHead has the fields of Head without its methods.
type plainHead Head

// UnmarshalJSON decodes a head and checks it.
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

// Conflict says what was accepted since the base of a change that lost.
type Conflict struct {
	Change string   `json:"change"`
	Base   Revision `json:"base"`
	Head   Revision `json:"head"`
	// Since lists the revisions after the base, oldest first; it is cut off
	// behind 64 and empty if the store could not be read.
	Since []*Delta `json:"since,omitempty"`
	// Overlaps lists those of their ops that touch what the change touches.
	Overlaps []tree.Op `json:"overlaps,omitempty"`
}

// Error returns base and head and names the overlapping paths.
func (c *Conflict) Error() string {
	text := "change " + c.Change + " was proposed against an earlier revision"
	for _, o := range c.Overlaps {
		text += "; also changed: " + string(o.Path) + " " + o.Key
	}
	return text
}

// overlaps returns the ops of the deltas that touch what the ops touch.
func overlaps(since []*Delta, ops []tree.Op) []tree.Op {
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
