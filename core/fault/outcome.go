package fault

// Outcome says whether a target ran a request.
type Outcome string

// The outcomes, with their names in responses. NotRun is used only if it is
// certain that no target ran the request; in doubt the outcome is Unknown.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Run     Outcome = "run"
)
