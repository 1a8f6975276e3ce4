package admin

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/tree"
)

const (
	// problemType prefixes the names of error kinds to form the "type" member (RFC 9457).
	problemType = "urn:wisteriarelay:problem:"
	// maxBody bounds a request body; the settings of 24,000 workspaces take less.
	maxBody = 8 << 20
	// defaultRetryAfter is advised where a later retry helps and nothing better is known.
	defaultRetryAfter = time.Second
)

// Problem is the body of a failure response (RFC 9457, application/problem+json).
type Problem struct {
	Type         string        `json:"type"`
	Title        string        `json:"title"`
	Status       int           `json:"status"`
	Detail       string        `json:"detail"`
	Kind         string        `json:"kind"`
	Outcome      fault.Outcome `json:"outcome"`
	Retry        fault.Retry   `json:"retry"`
	RetryAfterMs int64         `json:"retry-after-ms,omitempty"`
	RequestID    string        `json:"request-id"`
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
	answer := e.Kind.Answer()
	p := &Problem{
		Type: problemType + answer.Name, Title: answer.Title, Status: answer.Status, Detail: e.Detail,
		Kind: answer.Name, Outcome: e.Outcome, Retry: answer.Retry, RequestID: id,
	}
	if e.Cause != nil {
		p.Detail += ": " + strings.TrimSpace(e.Cause.Error())
	}
	if e.Retry != "" {
		p.Retry = e.Retry
	}
	if p.Retry == fault.RetryLater {
		p.RetryAfterMs = max(e.RetryAfter, defaultRetryAfter).Milliseconds()
	}
	var invalid *tree.Invalid
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

func writeProblem(w http.ResponseWriter, p *Problem) {
	if p.RetryAfterMs > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMs) / float64(time.Second.Milliseconds()))
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	write(w, p.Status, "application/problem+json", p)
}

// writeReply writes a reply; one whose outcome is not yet known has status 202.
func writeReply(w http.ResponseWriter, reply any) {
	status := http.StatusOK
	if c, ok := reply.(CommitReply); ok && c.Outcome == settle.NotYetKnown {
		status = http.StatusAccepted
	}
	write(w, status, "application/json", reply)
}

func write(w http.ResponseWriter, status int, contentType string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
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
