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

// maxBodyBytes limits the size of a request body. The settings of 24,000
// workspaces fit.
const maxBodyBytes = 8 << 20

// Problem is the problem document that the administration API returns for a
// failed request.
type Problem struct {
	fault.Problem
	// Change is the id of the change that the request concerns.
	Change string `json:"change,omitempty"`
	// FollowUp is the method and path of the request that returns the outcome if it
	// is unknown.
	FollowUp string `json:"ask-again,omitempty"`
	// Problems lists all errors in invalid settings.
	Problems []tree.Problem `json:"problems,omitempty"`
	// Conflict describes the revisions that were accepted since the base of the
	// change.
	Conflict *settle.Conflict `json:"conflict,omitempty"`
	// Carriers lists the daemons that carry the service if this one does not.
	Carriers []Carrier `json:"carriers,omitempty"`
}

// Error returns the kind and the detail.
func (p *Problem) Error() string {
	return p.Kind + ": " + p.Detail
}

// annotatedError adds the fields of a Problem that tell the operator how to
// proceed: the change, the follow-up request or the carriers.
type annotatedError struct {
	cause    error
	change   string
	followUp string
	carriers []Carrier
}

// Error returns the text of the cause.
func (e *annotatedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *annotatedError) Unwrap() error { return e.cause }

func newProblem(err error, requestID string) *Problem {
	e := fault.From(err)
	p := &Problem{Problem: e.Problem(requestID)}
	if e.Cause != nil {
		p.Detail += ": " + strings.TrimSpace(e.Cause.Error())
	}
	var invalid *tree.ValidationError
	if errors.As(err, &invalid) {
		p.Problems = invalid.Problems
	}
	errors.As(err, &p.Conflict)
	var annotated *annotatedError
	if errors.As(err, &annotated) {
		p.Change, p.Carriers = annotated.change, annotated.carriers
		if e.Outcome == fault.Unknown {
			p.FollowUp = annotated.followUp
		}
	}
	return p
}

func (p *Problem) write(w http.ResponseWriter) {
	fault.WriteProblem(w, p.Problem, p)
}

// writeReply encodes a reply as JSON. The status is 202 if the outcome of a commit
// is not yet known, and 200 otherwise.
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

// readBody decodes the JSON body of a request. An empty request body leaves body
// unchanged.
func readBody(r *http.Request, body any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(body)
	var tooLarge *http.MaxBytesError
	var known *fault.Error
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return nil
	case errors.As(err, &tooLarge):
		return fault.New(fault.RequestTooLarge, "body above %d bytes", maxBodyBytes)
	case errors.As(err, &known):
		return err
	}
	return fault.Wrap(err, fault.BadRequest, "request body")
}

// countParam returns a numeric query parameter, or 0 if it is absent.
func countParam(r *http.Request, name string) (uint64, error) {
	value := r.URL.Query().Get(name)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "parameter %s %q; allowed: a count", name, value)
	}
	return n, nil
}
