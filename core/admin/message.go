package admin

import (
	"encoding/json"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/tree"
)

// HeadReply contains the newest accepted revision of the settings.
type HeadReply struct {
	Revision settle.Revision `json:"revision"`
	// Applied is the revision that the replying daemon has applied.
	Applied settle.Revision `json:"in-force"`
	// Source is SourceStore, or SourceDaemon while the store is unavailable.
	Source string `json:"source"`
}

// The places from which a daemon reads the settings document of a reply: the
// platform's store, or its own copy of the revision that it has applied.
const (
	SourceStore  = "store"
	SourceDaemon = "daemon"
)

// ValueReply contains the effective value of a settings key and its origin: the
// path, preset or default that the value comes from.
type ValueReply struct {
	Revision settle.Revision `json:"revision"`
	Source   string          `json:"source"`
	Path     tree.Path       `json:"path"`
	Key      string          `json:"key"`
	Target   fleet.TargetID  `json:"target,omitempty"`
	Value    json.RawMessage `json:"value"`
	Origin   tree.Origin     `json:"origin"`
}

// DocumentReply contains a whole settings document.
type DocumentReply struct {
	Revision settle.Revision `json:"revision"`
	Source   string          `json:"source"`
	Document *tree.Document  `json:"document"`
}

// BootstrapReply is the reply to a bootstrap, which creates the first revision.
type BootstrapReply struct {
	Revision settle.Revision `json:"revision"`
	// Written reports whether the document was written by this request or by an
	// earlier attempt whose reply was lost.
	Written bool `json:"written"`
}

// ProposeBody is the body of a request that proposes a change. A Base of 0 stands
// for the head, and the daemon generates an empty ID.
type ProposeBody struct {
	ID   string          `json:"id,omitempty"`
	Base settle.Revision `json:"base,omitempty"`
	Ops  []tree.Op       `json:"ops"`
	Note string          `json:"note,omitempty"`
}

// RollbackBody is the body of a request that proposes to go back to revision To.
type RollbackBody struct {
	To   settle.Revision `json:"to"`
	Note string          `json:"note,omitempty"`
}

// ReasonBody is the body of requests that take a reason.
type ReasonBody struct {
	Reason string `json:"reason,omitempty"`
}

// CommitReply contains the outcome of a commit.
type CommitReply struct {
	Change   string          `json:"change"`
	Outcome  settle.Outcome  `json:"outcome"`
	Revision settle.Revision `json:"revision,omitempty"`
	// FollowUp is the method and path of the request that returns the outcome if it
	// is not yet known.
	FollowUp string `json:"ask-again,omitempty"`
	// Detail explains why the commit is not final.
	Detail string `json:"detail,omitempty"`
}

// AwaitsApproval is the outcome of a drain that the other owner still has to approve.
const AwaitsApproval settle.Outcome = "awaits-approval"

// Unchanged is the outcome of a drain or undrain that had no effect because the
// target was already in the requested state.
const Unchanged settle.Outcome = "unchanged"

// ChangesReply is one page of the list of changes.
type ChangesReply struct {
	Changes []settle.Change `json:"changes"`
	// Next is the value of query parameter "after" that requests the next page. It
	// is empty on the last page.
	Next string `json:"next,omitempty"`
}

// HistoryReply is a list of revisions, newest first.
type HistoryReply struct {
	Revisions []*settle.Delta `json:"revisions"`
}

// DiffReply lists the differences between two revisions.
type DiffReply struct {
	From        settle.Revision   `json:"from"`
	To          settle.Revision   `json:"to"`
	Differences []tree.Difference `json:"differences"`
}

// Target is the state of a target from the point of view of one daemon.
type Target struct {
	Target     fleet.TargetID   `json:"target"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	// Health is HealthGood, HealthSuspect or HealthUnknown. It is derived from the
	// request results that all carriers of the service have observed.
	Health   string    `json:"health"`
	State    string    `json:"state"`
	Weight   float64   `json:"weight"`
	InFlight int       `json:"in-flight"`
	Reason   string    `json:"reason,omitempty"`
	Since    time.Time `json:"since,omitzero"`
}

// The values of Target.Health. HealthUnknown applies to targets that are ejected or
// leaving: they get no requests whose results could be assessed.
const (
	HealthGood    = "good"
	HealthSuspect = "suspect"
	HealthUnknown = "unknown"
)

// TargetsReply lists the targets of a service.
type TargetsReply struct {
	Service fleet.ServiceID `json:"service"`
	VM      fleet.VMID      `json:"vm"`
	Targets []Target        `json:"targets"`
}

// Carrier is a daemon that carries a service.
type Carrier struct {
	VM    fleet.VMID `json:"vm"`
	Admin string     `json:"admin"`
}

// TargetActionReply confirms that a target was ejected or returned to service by
// an operator.
type TargetActionReply struct {
	Service  fleet.ServiceID `json:"service"`
	Target   fleet.TargetID  `json:"target"`
	Action   string          `json:"action"`
	Operator string          `json:"operator"`
}

// RolloutReply contains the settings revision that each daemon has applied.
type RolloutReply struct {
	Head    settle.Revision `json:"head"`
	Source  string          `json:"source"`
	Daemons []DaemonState   `json:"daemons"`
}

// DaemonState is the state of one daemon during a roll-out.
type DaemonState struct {
	VM         fleet.VMID       `json:"vm"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	Revision   settle.Revision  `json:"revision"`
	Ready      bool             `json:"ready"`
	Leaving    bool             `json:"leaving"`
	// State is "current", "behind" (an older revision than the head), "not-ready"
	// or "unreachable".
	State  string `json:"state"`
	Detail string `json:"detail,omitempty"`
}
