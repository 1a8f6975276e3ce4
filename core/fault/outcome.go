package fault

// Outcome says whether a request was run by a target.
type Outcome string

// The outcomes as they stand in answers. NotRun is stated only where it is
// certain.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Run     Outcome = "run"
)
