package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

const (
	// problemType prefixes the names of error kinds to form the "type" member (RFC 9457).
	problemType = "urn:wisteriarelay:problem:"
	// defaultRetryAfter is advised where a later retry helps and nothing better is known.
	defaultRetryAfter = time.Second
)

// Problem is the body of a failure response (RFC 9457, application/problem+json).
type Problem struct {
	Type         string  `json:"type"`
	Title        string  `json:"title"`
	Status       int     `json:"status"`
	Detail       string  `json:"detail"`
	Kind         string  `json:"kind"`
	Outcome      Outcome `json:"outcome"`
	Retry        Retry   `json:"retry"`
	RetryAfterMs int64   `json:"retry-after-ms,omitempty"`
	RequestID    string  `json:"request-id"`
}

// Problem returns the problem details of the error for the request.
func (e *Error) Problem(requestID string) Problem {
	answer := e.Kind.Answer()
	p := Problem{
		Type:      problemType + answer.Name,
		Title:     answer.Title,
		Status:    answer.Status,
		Detail:    e.Detail,
		Kind:      answer.Name,
		Outcome:   e.Outcome,
		Retry:     answer.Retry,
		RequestID: requestID,
	}
	if e.Retry != "" {
		p.Retry = e.Retry
	}
	if p.Retry == RetryNever {
		return p
	}
	wait := e.RetryAfter
	if wait == 0 && p.Retry == RetryLater {
		wait = defaultRetryAfter
	}
	p.RetryAfterMs = wait.Milliseconds()
	return p
}

// WriteProblem sends body, which is a Problem or a struct that embeds it, with
// the status and the advice of p.
func WriteProblem(w http.ResponseWriter, p Problem, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set("Cache-Control", "no-store")
	if p.RetryAfterMs > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMs) / float64(time.Second.Milliseconds()))
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(data)
}
