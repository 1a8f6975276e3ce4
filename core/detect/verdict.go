package detect

import (
	"fmt"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Action is what a verdict asks for.
type Action uint8

// The actions. Avoid is this daemon's own view and local; Condemn is agreed by
// enough observers and asks for an ejection.
const (
	Avoid Action = iota
	Condemn
)

// String returns the kebab-case name of the action.
func (a Action) String() string {
	if a == Condemn {
		return "condemn"
	}
	return "avoid"
}

// Cause is the kind of evidence that weighs most in a verdict.
type Cause uint8

// The causes of a verdict.
const (
	CauseFailing Cause = iota
	CauseTimeouts
	CauseShort
	CauseBodyFailure
	CauseUnreachable
	CauseSlow
	CauseProbes
)

var causeNames = [...]string{"failing", "timeouts", "short-responses", "body-failures", "unreachable", "slow", "probes-failing"}

// String returns the kebab-case name of the cause.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "invalid"
	}
	return causeNames[c]
}

// Verdict is the judgement on one target.
type Verdict struct {
	Target fleet.TargetID
	Action Action
	Cause  Cause
	// Since is when this daemon first gave a verdict on the target without a break.
	Since time.Time
	// Observers and DataCentres count those that agree.
	Observers, DataCentres int
	// Severity orders verdicts, the worst first; failures weigh more than slowness.
	Severity float64
	// Reason explains the verdict to operators.
	Reason string
}

// causeOf returns the most frequent failure of the tally.
func causeOf(t tally) Cause {
	cause, most := CauseFailing, t.counts[Failed]
	for _, c := range [...]struct {
		r Result
		c Cause
	}{{TimedOut, CauseTimeouts}, {Short, CauseShort}, {BodyFailure, CauseBodyFailure}, {Unreachable, CauseUnreachable}} {
		if t.counts[c.r] > most {
			cause, most = c.c, t.counts[c.r]
		}
	}
	return cause
}

func failingReason(t tally, limit float64) string {
	return fmt.Sprintf("%d of %d requests failed, most as %s (limit %.0f%%)", t.failures(), t.requests(), causeOf(t), limit*percentWhole)
}

func slowReason(code, base float64) string {
	return fmt.Sprintf("mean latency %v against a median of %v at the other targets",
		latencyOf(code).Round(time.Millisecond/10), latencyOf(base).Round(time.Millisecond/10))
}

const percentWhole = 100
