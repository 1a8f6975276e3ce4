package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is an error with a kind, an outcome and a detail for the caller.
type Error struct {
	Kind    Kind
	Outcome Outcome
	// Detail describes the error to the caller.
	Detail string
	// RetryAfter is the wait to advise before a retry. If it is 0, RetryLater
	// advises a default wait and other advice none.
	RetryAfter time.Duration
	// Retry replaces the retry advice of the kind if it is set.
	Retry RetryAdvice
	// Cause is the wrapped error; it may be nil.
	Cause error
}

// New returns an error of the kind with the kind's default outcome.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Outcome: k.Response().Outcome, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind that wraps cause.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.Cause = cause
	return e
}

// Error returns kind, detail and cause on one line.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
	}
	return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// WithOutcome returns a copy of the error with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of the error that advises a wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRetry returns a copy of the error with other retry advice.
func (e *Error) WithRetry(r RetryAdvice) *Error {
	c := *e
	c.Retry = r
	return &c
}

// From returns the first Error in the chain of err. Without one, it wraps err as
// an Error of kind Internal, whose outcome is unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error")
}

// Is reports whether the first Error in the chain of err is of the kind.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
