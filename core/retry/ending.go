package retry

import (
	"wisteriarelay.example/core/fault"
)

// Ending is the way in which an attempt ended.
type Ending uint8

// The endings of an attempt. Each attempt ends in one of these.
const (
	// OK: a complete response arrived that is not a failure.
	OK Ending = iota
	// NotDialled: no byte of the request was sent, for a reason other than the next
	// two, for example because the target was removed.
	NotDialled
	// DialRefused: the target's address refused the connection.
	DialRefused
	// DialTimeout: no connection was established in time.
	DialTimeout
	// WriteFailed: the connection failed while the request was being written.
	WriteFailed
	// NoResponse: the connection was closed before a response header arrived.
	NoResponse
	// TimedOut: the attempt timed out before the response was complete.
	TimedOut
	// Truncated: the response ended before its declared length.
	Truncated
	// FailedStatus: a complete response whose status is a failure.
	FailedStatus
	// BodyFailure: a complete response that the route's body-failure rule matches.
	BodyFailure
	// RefusedBeforeStart: a response that the route's refusal rule matches.
	RefusedBeforeStart
	// CallerGone: the caller disconnected or cancelled its request.
	CallerGone
	endingCount
)

// EndingInfo describes what an ending means for its request.
type EndingInfo struct {
	Name string
	// Kind is the error kind of a request that ends in this way; it has no meaning for OK.
	Kind fault.Kind
	// Outcome says whether the target ran the request, given this attempt alone.
	Outcome fault.Outcome
	// RetryIdempotent is set if an idempotent request may be sent to another target.
	RetryIdempotent bool
	// RetryNonIdempotent is set if a non-idempotent request may be sent to another
	// target as well, because this one certainly did not process any of it.
	RetryNonIdempotent bool
}

// endingInfos describes each ending. After a dial timeout the request certainly did
// not run, but a non-idempotent one has already waited so long that it is reported as
// not run instead of being sent to another target.
var endingInfos = [endingCount]EndingInfo{
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

// Info returns the description of the ending. A value that is not listed is treated as
// NoResponse, whose outcome is unknown.
func (e Ending) Info() EndingInfo {
	if e >= endingCount {
		return endingInfos[NoResponse]
	}
	return endingInfos[e]
}

// String returns the kebab-case name of the ending.
func (e Ending) String() string {
	return e.Info().Name
}

// Endings returns all endings in order.
func Endings() []Ending {
	list := make([]Ending, 0, endingCount)
	for e := range endingCount {
		list = append(list, e)
	}
	return list
}

// MergeOutcomes returns the outcome of a request from those of two of its attempts: Run
// if one ran, else Unknown if one may have run, else NotRun.
func MergeOutcomes(a, b fault.Outcome) fault.Outcome {
	switch {
	case a == fault.Run || b == fault.Run:
		return fault.Run
	case a == fault.Unknown || b == fault.Unknown:
		return fault.Unknown
	default:
		return fault.NotRun
	}
}
