package detect

import (
	"fmt"
	"time"

	"wisteriarelay.example/core/fleet"
)

// Action is the action that a verdict asks for.
type Action uint8

// The actions. Avoid is decided by this daemon alone and takes effect only
// there; Condemn is agreed by enough observers and asks for an ejection.
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

// Cause is the main kind of evidence behind a verdict.
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

// Verdict is the result of the assessment of one target.
type Verdict struct {
	Target fleet.TargetID
	Action Action
	Cause  Cause
	// Since is the time of this daemon's first verdict on the target in an
	// unbroken series.
	Since time.Time
	// Observers and DataCentres count the observers that agree, and their data
	// centres.
	Observers, DataCentres int
	// Severity orders verdicts; failures rate higher than slowness.
	Severity float64
	// Reason explains the verdict to operators.
	Reason string
}

// mainCause returns the cause that stands for the most frequent kind of
// failure.
func mainCause(t totals) Cause {
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

func failingReason(t totals, limit float64) string {
	return fmt.Sprintf("%d of %d requests failed, most as %s (limit %.0f%%)", t.failures(), t.requests(), mainCause(t), limit*percent)
}

func slowReason(code, medianCode float64) string {
	return fmt.Sprintf("mean latency %v against a median of %v at the other targets",
		latencyOf(code).Round(time.Millisecond/10), latencyOf(medianCode).Round(time.Millisecond/10))
}

const percent = 100
