package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/tree"
)

// maxBody bounds a request body; the settings of 24,000 workspaces take less.
const maxBody = 8 << 20

// Problem is the body of a failure response on the administration port.
type Problem struct {
	fault.Problem
	// Change is the id of the change that the request concerns.
	Change string `json:"change,omitempty"`
	// AskAgain is the request that tells the outcome if it is unknown.
	AskAgain string `json:"ask-again,omitempty"`
	// Problems lists what is wrong with settings.
	Problems []tree.Problem `json:"problems,omitempty"`
	// Conflict says what was accepted since the base of a change.
	Conflict *settle.Conflict `json:"conflict,omitempty"`
	// Carriers lists the daemons that carry the service if this one does not.
	Carriers []Carrier `json:"carriers,omitempty"`
}

// Error returns kind and detail.
func (p *Problem) Error() string {
	return p.Kind + ": " + p.Detail
}

// about adds to an error what the operator needs to continue.
type about struct {
	cause    error
	change   string
	askAgain string
	carriers []Carrier
}

// Error returns the text of the cause.
func (e *about) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *about) Unwrap() error { return e.cause }

func newProblem(err error, id string) *Problem {
	e := fault.From(err)
	p := &Problem{Problem: e.Problem(id)}
	if e.Cause != nil {
		p.Detail += ": " + strings.TrimSpace(e.Cause.Error())
	}
	var invalid *tree.ValidationError
	if errors.As(err, &invalid) {
		p.Problems = invalid.Problems
	}
	errors.As(err, &p.Conflict)
	var more *about
	if errors.As(err, &more) {
		p.Change, p.Carriers = more.change, more.carriers
		if e.Outcome == fault.Unknown {
			p.AskAgain = more.askAgain
		}
	}
	return p
}

func (p *Problem) write(w http.ResponseWriter) {
	fault.WriteProblem(w, p.Problem, p)
}

// writeReply writes a reply; one whose outcome is not yet known has status 202.
func writeReply(w http.ResponseWriter, reply any) {
	status := http.StatusOK
	if c, ok := reply.(CommitReply); ok && c.Outcome == settle.OutcomeNotYetKnown {
		status = http.StatusAccepted
	}
	data, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// readBody decodes the body of a request; an empty one leaves into as it is.
func readBody(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	var known *fault.Error
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return nil
	case errors.As(err, &tooLarge):
		return fault.New(fault.RequestTooLarge, "body above %d bytes", maxBody)
	case errors.As(err, &known):
		return err
	}
	return fault.Wrap(err, fault.BadRequest, "request body")
}

// number reads a query parameter; an absent one is 0.
func number(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "parameter %s %q; allowed: a count", name, text)
	}
	return n, nil
}
