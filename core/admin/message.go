package admin

import (
	"encoding/json"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/tree"
)

// HeadReply states the newest accepted revision.
type HeadReply struct {
	Revision settle.Revision `json:"revision"`
	// InForce is the revision at the daemon that replies.
	InForce settle.Revision `json:"in-force"`
	// Source is SourceStore, or SourceDaemon while the store does not reply.
	Source string `json:"source"`
}

// The sources of a document.
const (
	SourceStore  = "store"
	SourceDaemon = "daemon"
)

// ValueReply is an effective value with its origin.
type ValueReply struct {
	Revision settle.Revision `json:"revision"`
	Source   string          `json:"source"`
	Path     tree.Path       `json:"path"`
	Key      string          `json:"key"`
	Target   fleet.TargetID  `json:"target,omitempty"`
	Value    json.RawMessage `json:"value"`
	Origin   tree.Origin     `json:"origin"`
}

// DocumentReply is a whole document.
type DocumentReply struct {
	Revision settle.Revision `json:"revision"`
	Source   string          `json:"source"`
	Document *tree.Document  `json:"document"`
}

// BootstrapReply is the reply to a bootstrap.
type BootstrapReply struct {
	Revision settle.Revision `json:"revision"`
	// Written says that this request, or a lost one before it, wrote the document.
	Written bool `json:"written"`
}

// ProposeBody is the body of a proposal.
type ProposeBody struct {
	ID   string          `json:"id,omitempty"`
	Base settle.Revision `json:"base,omitempty"`
	Ops  []tree.Op       `json:"ops"`
	Note string          `json:"note,omitempty"`
}

// RollbackBody is the body of a rollback.
type RollbackBody struct {
	To   settle.Revision `json:"to"`
	Note string          `json:"note,omitempty"`
}

// ReasonBody is the body of requests that take a reason.
type ReasonBody struct {
	Reason string `json:"reason,omitempty"`
}

// CommitReply says what became of a commit.
type CommitReply struct {
	Change   string          `json:"change"`
	Outcome  settle.Outcome  `json:"outcome"`
	Revision settle.Revision `json:"revision,omitempty"`
	// AskAgain is the request that tells the outcome later.
	AskAgain string `json:"ask-again,omitempty"`
	// Detail says what is missing.
	Detail string `json:"detail,omitempty"`
}

// AwaitsApproval is the outcome of a drain that needs the other owner.
const AwaitsApproval settle.Outcome = "awaits-approval"

// Unchanged is the outcome of a drain that was in force before.
const Unchanged settle.Outcome = "unchanged"

// ChangesReply is a list of changes.
type ChangesReply struct {
	Changes []settle.Change `json:"changes"`
	// Next is the value of parameter "after" for the next page; empty at the end.
	Next string `json:"next,omitempty"`
}

// HistoryReply is a list of revisions, newest first.
type HistoryReply struct {
	Revisions []*settle.Delta `json:"revisions"`
}

// DiffReply is what differs between two revisions.
type DiffReply struct {
	From        settle.Revision   `json:"from"`
	To          settle.Revision   `json:"to"`
	Differences []tree.Difference `json:"differences"`
}

// Target is the state of a target as one daemon sees it.
type Target struct {
	Target     fleet.TargetID   `json:"target"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	// Health is HealthGood, HealthSuspect or HealthUnknown, by the evidence of the carriers.
	Health   string    `json:"health"`
	State    string    `json:"state"`
	Weight   float64   `json:"weight"`
	InFlight int       `json:"in-flight"`
	Reason   string    `json:"reason,omitempty"`
	Since    time.Time `json:"since,omitzero"`
}

// The values of Target.Health.
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

// HandReply confirms an ejection or return by hand.
type HandReply struct {
	Service  fleet.ServiceID `json:"service"`
	Target   fleet.TargetID  `json:"target"`
	Action   string          `json:"action"`
	Operator string          `json:"operator"`
}

// RolloutReply says which revision each daemon serves with.
type RolloutReply struct {
	Head    settle.Revision `json:"head"`
	Source  string          `json:"source"`
	Daemons []DaemonState   `json:"daemons"`
}

// DaemonState is one daemon in a roll-out.
type DaemonState struct {
	VM         fleet.VMID       `json:"vm"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	Revision   settle.Revision  `json:"revision"`
	Ready      bool             `json:"ready"`
	Leaving    bool             `json:"leaving"`
	// State is "current", "behind", "not-ready" or "unreachable".
	State  string `json:"state"`
	Detail string `json:"detail,omitempty"`
}
