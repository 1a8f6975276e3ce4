package detect

import (
	"math"
	"time"
)

// Result is the outcome of one request to a target, or of one probe.
type Result uint8

// The results of a request. Shed, Cancelled and a target's leaving do not count
// against its health. BodyFailure is a failure inside a success status, which a
// route's body-failure rule recognises: a server may answer 200 first and fail
// in the body, and layers that decide from the status line miss it (described
// in the change note "fix: retry CompleteMultipartUpload on transient backend
// errors", s3proxy-python PR #138). docs/policy.md has the figures with and
// without the rule.
const (
	OK Result = iota
	Failed
	TimedOut
	Short
	BodyFailure
	Shed
	Unreachable
	Cancelled
	resultCount
)

var resultNames = [resultCount]string{"ok", "failed", "timed-out", "short", "body-failure", "shed", "unreachable", "cancelled"}

// String returns the kebab-case name of the result.
func (r Result) String() string {
	if r >= resultCount {
		return "invalid"
	}
	return resultNames[r]
}

// IsFailure reports whether the result counts against the target.
func (r Result) IsFailure() bool {
	switch r {
	case Failed, TimedOut, Short, BodyFailure, Unreachable:
		return true
	default:
		return false
	}
}

// LatencyCode is a latency on a log scale from 16 µs with 8 steps for each doubling,
// that is 9% a step.
type LatencyCode uint8

const (
	codeUnit       = 16 * time.Microsecond
	codesPerOctave = 8
)

// LatencyCodeOf returns the code nearest to the latency.
func LatencyCodeOf(d time.Duration) LatencyCode {
	if d <= codeUnit {
		return 0
	}
	c := math.Round(codesPerOctave * math.Log2(float64(d)/float64(codeUnit)))
	return LatencyCode(min(c, math.MaxUint8))
}

// Latency returns the latency that the code stands for.
func (c LatencyCode) Latency() time.Duration {
	return latencyOf(float64(c))
}

func latencyOf(code float64) time.Duration {
	return time.Duration(float64(codeUnit) * math.Exp2(code/codesPerOctave))
}
