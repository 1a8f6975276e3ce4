package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is an error of the closed list with its detail.
type Error struct {
	Kind       Kind
	Outcome    Outcome
	Detail     string
	RetryAfter time.Duration
	// Retry replaces the advice of the table if it is set.
	Retry Retry
	Cause error
}

// New returns an error of the kind with the outcome that the table gives it.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Outcome: k.Answer().Outcome, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of the kind that keeps cause in its chain.
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

// WithOutcome returns a copy of the error that states another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRetryAfter returns a copy of the error that advises a wait.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRetry returns a copy of the error with other advice on trying again.
func (e *Error) WithRetry(r Retry) *Error {
	c := *e
	c.Retry = r
	return &c
}

// From returns the first Error in the chain of err; any other error becomes
// one of kind Internal with an unknown outcome.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error")
}

// Is reports whether the chain of err holds an Error of the kind.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
