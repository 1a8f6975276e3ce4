package inner

import "wisteriarelay.example/core/settle"

// The messages about revisions are the types of package settle, which check
// themselves; MaxReply bounds them.
type (
	// RevisionAskMsg asks a peer for the settings behind a revision.
	RevisionAskMsg = settle.RevisionAskMsg
	// RevisionReplyMsg is the reply to RevisionAskMsg.
	RevisionReplyMsg = settle.RevisionReplyMsg
)
