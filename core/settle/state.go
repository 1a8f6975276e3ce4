package settle

import (
	"time"

	"wisteriarelay.example/core/tree"
)

// Applied is the revision in force at a daemon; it is immutable.
type Applied struct {
	Revision Revision
	// Change is the id of the change that became the revision; it is empty if
	// the revision came in a snapshot.
	Change  string
	Doc     *tree.Doc
	Catalog *tree.Catalog
	// HeadReadAt is the start of the last read of the head row after which
	// every revision up to the head was at hand; zero if there was none.
	HeadReadAt time.Time

	// recent holds the last deltas up to Revision, for peers.
	recent []*Delta
}

// Refused is a revision that stays out.
type Refused struct {
	Revision Revision `json:"revision"`
	Reason   string   `json:"reason"`
}

// FollowerState is what a Follower reports about itself.
type FollowerState struct {
	Revision Revision `json:"revision"`
	// Head is the last head read from the table.
	Head Revision `json:"head"`
	// Heard is the highest revision that a peer reported.
	Heard      Revision  `json:"heard"`
	HeadReadAt time.Time `json:"head-read-at"`
	Ready      bool      `json:"ready"`
	// Reason says why the follower is or is not ready.
	Reason string `json:"reason"`
	// Refused is the newest revision that could not be decoded or compiled.
	Refused *Refused `json:"refused,omitempty"`
	// StoreError is the last error of the platform; empty after a success.
	StoreError string `json:"store-error,omitempty"`
	// PeerAnswers is the number of peers that answered the last ask.
	PeerAnswers int `json:"peer-answers"`
}
