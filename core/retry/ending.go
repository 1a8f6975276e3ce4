package retry

import (
	"wisteriarelay.example/core/fault"
)

// Ending is the way in which one attempt ended; the list is closed.
type Ending uint8

// The endings of an attempt.
const (
	// OK: a complete response arrived and no rule calls it a failure.
	OK Ending = iota
	// NotDialled: no connection was tried, for example for lack of one.
	NotDialled
	// DialRefused: the target's address refused the connection.
	DialRefused
	// DialTimeout: no connection was established in time.
	DialTimeout
	// WriteFailed: the connection failed while the request was being written.
	WriteFailed
	// NoResponse: the connection ended before a response head.
	NoResponse
	// TimedOut: the attempt's time passed before a complete response.
	TimedOut
	// Truncated: the response ended before its announced length.
	Truncated
	// FailedStatus: a complete response with a failure status.
	FailedStatus
	// BodyFailure: a complete response that the route's body-failure rule matches.
	BodyFailure
	// RefusedBeforeStart: a response that the route's refusal rule matches.
	RefusedBeforeStart
	// CallerGone: the caller closed its request.
	CallerGone
	endingCount
)

// Row is the row of the table that belongs to one ending.
type Row struct {
	Name string
	// Kind is the error kind of a request that ends in this way; it has no meaning for OK.
	Kind fault.Kind
	// Outcome is what is certain about the target after this ending alone.
	Outcome fault.Outcome
	// RetryIdempotent says that another target may be tried for an idempotent request.
	RetryIdempotent bool
	// RetryNonIdempotent says that no byte was acted on, so that a non-idempotent request may be sent elsewhere too.
	RetryNonIdempotent bool
}

// A dial timeout leaves nothing done, but an order that has already waited that
// long is reported as not run and not sent to another target.
var endingRows = [endingCount]Row{
	OK:                 {"ok", fault.Internal, fault.Run, false, false},
	NotDialled:         {"not-dialled", fault.TargetUnreachable, fault.NotRun, true, true},
	DialRefused:        {"dial-refused", fault.TargetUnreachable, fault.NotRun, true, true},
	DialTimeout:        {"dial-timeout", fault.TargetUnreachable, fault.NotRun, true, false},
	WriteFailed:        {"write-failed", fault.TargetProtocol, fault.Unknown, true, false},
	NoResponse:         {"no-response", fault.TargetProtocol, fault.Unknown, true, false},
	TimedOut:           {"timed-out", fault.TargetTimeout, fault.Unknown, true, false},
	Truncated:          {"truncated", fault.TargetShort, fault.Unknown, true, false},
	FailedStatus:       {"failed-status", fault.TargetFailed, fault.Unknown, true, false},
	BodyFailure:        {"body-failure", fault.TargetBodyFailure, fault.Unknown, true, false},
	RefusedBeforeStart: {"refused-before-start", fault.TargetShed, fault.NotRun, true, true},
	CallerGone:         {"caller-gone", fault.CallerGone, fault.Unknown, false, false},
}

// Row returns the row of the table for the ending; an unlisted ending gets the
// row of NoResponse, which promises nothing.
func (e Ending) Row() Row {
	if e >= endingCount {
		return endingRows[NoResponse]
	}
	return endingRows[e]
}

// String returns the kebab-case name of the ending.
func (e Ending) String() string {
	return e.Row().Name
}

// Endings returns every ending of the closed list, in order.
func Endings() []Ending {
	list := make([]Ending, 0, endingCount)
	for e := range endingCount {
		list = append(list, e)
	}
	return list
}

// Merge returns the outcome of a request after several attempts: one that ran
// makes it run, and one that may have run makes it unknown.
func Merge(a, b fault.Outcome) fault.Outcome {
	switch {
	case a == fault.Run || b == fault.Run:
		return fault.Run
	case a == fault.Unknown || b == fault.Unknown:
		return fault.Unknown
	default:
		return fault.NotRun
	}
}
