package inner

import "wisteriarelay.example/core/settle"

// The messages about revisions are types of package settle, which validates them.
// MaxReplyBytes limits their size.
type (
	// RevisionRequestMsg asks a peer for the changes of the settings after a revision.
	RevisionRequestMsg = settle.RevisionRequestMsg
	// RevisionReplyMsg returns these changes, or a snapshot of the settings.
	RevisionReplyMsg = settle.RevisionReplyMsg
)
