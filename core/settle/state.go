package settle

import (
	"time"

	"wisteriarelay.example/core/tree"
)

// AppliedRevision is a revision with its document and the compiled catalog, as a
// daemon uses it. It is immutable.
type AppliedRevision struct {
	Revision Revision
	// Change is the id of the change that created the revision. It is empty if
	// the revision was loaded from a snapshot.
	Change  string
	Doc     *tree.Document
	Catalog *tree.Catalog
	// HeadReadAt is the start time of the last read of the head row after which
	// all revisions up to the head had been fetched. It is zero before that.
	HeadReadAt time.Time

	// recent holds the last deltas up to Revision, which are sent to peers on
	// request.
	recent []*Delta
}

// InvalidRevision describes a revision that the follower could not apply.
type InvalidRevision struct {
	Revision Revision `json:"revision"`
	Reason   string   `json:"reason"`
}

// FollowerState is the state of a Follower as shown in the state dump.
type FollowerState struct {
	Revision Revision `json:"revision"`
	// Head is the revision of the head row when it was last read.
	Head Revision `json:"head"`
	// PeerRevision is the highest revision that a peer reported.
	PeerRevision Revision  `json:"heard"`
	HeadReadAt   time.Time `json:"head-read-at"`
	Ready        bool      `json:"ready"`
	// Reason explains why the follower is ready or not.
	Reason string `json:"reason"`
	// Invalid is the newest revision that could not be decoded, applied or
	// compiled. It is nil once that revision or a later one is applied.
	Invalid *InvalidRevision `json:"refused,omitempty"`
	// StoreError is the error of the last poll of the store; it is empty after a
	// successful poll.
	StoreError string `json:"store-error,omitempty"`
	// PeerAnswers is the number of peers that answered the last request for
	// revisions.
	PeerAnswers int `json:"peer-answers"`
}
