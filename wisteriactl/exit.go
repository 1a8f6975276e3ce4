package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/fault"
)

// The exit codes, which scripts rely on. exitUnknown means that a request may or
// may not have taken effect.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

// usageError is an error in the command line.
type usageError struct{ text string }

// Error returns the description of the error.
func (e *usageError) Error() string { return e.text }

func newUsageError(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// outcomeUnknownError reports a request that may or may not have taken effect.
type outcomeUnknownError struct{ detail string }

// Error returns the detail with a prefix.
func (e *outcomeUnknownError) Error() string { return "not yet known: " + e.detail }

// refusedError reports a successful request whose reply says that the change has not
// taken effect.
type refusedError struct{ detail string }

// Error returns the detail with a prefix.
func (e *refusedError) Error() string { return "refused: " + e.detail }

// exitCode returns the exit code for an error. An error that is neither a usage
// error nor leaves the outcome unknown counts as a refusal.
func exitCode(err error) int {
	var usage *usageError
	var unknown *outcomeUnknownError
	var p *admin.Problem
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &p) && p.Outcome == fault.Unknown:
		return exitUnknown
	}
	return exitRefused
}

// printError prints an error and, if it is a problem document of the API, the
// details and the commands that help the operator to proceed.
func printError(w io.Writer, err error) {
	fmt.Fprintln(w, "wisteriactl:", err)
	var p *admin.Problem
	if !errors.As(err, &p) {
		return
	}
	for _, problem := range p.Problems {
		fmt.Fprintln(w, "  ", problem)
	}
	if p.Conflict != nil {
		for _, d := range p.Conflict.DeltasSinceBase {
			fmt.Fprintf(w, "   revision %d by %s is change %s: %s\n", d.Revision, d.Author, d.Change, formatOps(d.Ops))
		}
		fmt.Fprintf(w, "   the change is kept; move it to the head with: wisteriactl rebase %s\n", p.Conflict.Change)
	}
	for _, c := range p.Carriers {
		fmt.Fprintf(w, "   carried by %s; ask with: --admin http://%s\n", c.VM, c.Admin)
	}
	if p.FollowUp != "" {
		fmt.Fprintf(w, "   the outcome is not yet known; ask with %s\n", p.FollowUp)
	}
}
