package main

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/fault"
)

// The exit codes.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

// usage is an error in the command line.
type usage struct{ text string }

// Error returns what is wrong.
func (e *usage) Error() string { return e.text }

func wrongUsage(format string, args ...any) error {
	return &usage{text: fmt.Sprintf(format, args...)}
}

// unknown is the result of a request whose outcome is not yet known.
type unknown struct{ detail string }

// Error returns the detail.
func (e *unknown) Error() string { return "not yet known: " + e.detail }

// refused is a reply that says that the change is not in force.
type refused struct{ detail string }

// Error returns the detail.
func (e *refused) Error() string { return "refused: " + e.detail }

func exitCode(err error) int {
	var wrong *usage
	var doubt *unknown
	var p *admin.Problem
	switch {
	case errors.As(err, &wrong):
		return exitUsage
	case errors.As(err, &doubt):
		return exitUnknown
	case errors.As(err, &p) && p.Outcome == fault.Unknown:
		return exitUnknown
	}
	return exitRefused
}

// printError prints an error with what the operator can do next.
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
			fmt.Fprintf(w, "   revision %d by %s is change %s: %s\n", d.Revision, d.Author, d.Change, opsText(d.Ops))
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
