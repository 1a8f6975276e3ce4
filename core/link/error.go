package link

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Stage is the point at which an exchange failed.
type Stage uint8

// The stages of an exchange.
const (
	// StageDial means that no connection was made; no byte was sent.
	StageDial Stage = iota
	// StageUnsent means that a connection was made but no byte of the request was sent.
	StageUnsent
	// StageWrite means that a part of the request was sent.
	StageWrite
	// StageHead means that the request was sent and no whole response head came back.
	StageHead
	// StageBody means that the connection failed while the response body was read.
	StageBody
)

// String returns the kebab-case name of the stage.
func (s Stage) String() string {
	return [...]string{"dial", "unsent", "write", "head", "body"}[s]
}

// Error is the error of a failed exchange.
type Error struct {
	Stage Stage
	// Refused is set if the target's host refused the connection.
	Refused bool
	// TimedOut is set if the deadline passed.
	TimedOut bool
	// Cancelled is set if the context was cancelled.
	Cancelled bool
	// Protocol is set if the target violated HTTP/1.1.
	Protocol bool
	Cause    error
}

// Error returns the stage and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange failed at %s: %v", e.Stage, e.Cause)
}

// maxCauseBytes is the maximum length of the text of a cause. The errors of net/http quote
// what the target sent, which takes four times the size of the head if no byte is printable.
const maxCauseBytes = 480

// shorten returns the error, or one with the start of its text if that is too long.
func shorten(err error) error {
	text := err.Error()
	if len(text) <= maxCauseBytes {
		return err
	}
	return errors.Newf("%s... (%d bytes)", strings.Clone(text[:maxCauseBytes]), len(text))
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Unsent reports whether it is certain that no byte of the request was sent, so that
// the request can be retried even if it is not idempotent.
func (e *Error) Unsent() bool {
	return e.Stage == StageDial || e.Stage == StageUnsent
}

func newError(ctx context.Context, stage Stage, cause error) *Error {
	e := &Error{Stage: stage, Cause: shorten(cause)}
	e.Refused = errors.Is(cause, syscall.ECONNREFUSED)
	var netErr net.Error
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.TimedOut = true
	case ctx.Err() != nil:
		e.Cancelled = true
	case errors.As(cause, &netErr) && netErr.Timeout():
		e.TimedOut = true
	}
	return e
}

func newProtocolError(cause error) *Error {
	return &Error{Stage: StageHead, Protocol: true, Cause: cause}
}
