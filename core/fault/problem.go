package fault

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

const (
	// problemTypePrefix and the name of an error kind form the "type" member (RFC 9457).
	problemTypePrefix = "urn:wisteriarelay:problem:"
	// defaultRetryAfter is the wait advised with RetryLater if the error has none.
	defaultRetryAfter = time.Second
)

// Problem is the body of a failure response (RFC 9457, application/problem+json).
type Problem struct {
	Type         string      `json:"type"`
	Title        string      `json:"title"`
	Status       int         `json:"status"`
	Detail       string      `json:"detail"`
	Kind         string      `json:"kind"`
	Outcome      Outcome     `json:"outcome"`
	Retry        RetryAdvice `json:"retry"`
	RetryAfterMs int64       `json:"retry-after-ms,omitempty"`
	RequestID    string      `json:"request-id"`
}

// Problem returns the problem details for the response to a failed request.
func (e *Error) Problem(requestID string) Problem {
	response := e.Kind.Response()
	p := Problem{
		Type:      problemTypePrefix + response.Name,
		Title:     response.Title,
		Status:    response.Status,
		Detail:    e.Detail,
		Kind:      response.Name,
		Outcome:   e.Outcome,
		Retry:     response.Retry,
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

// WriteProblem sends body as the response, with the status and the Retry-After
// header that p states. The body is p itself or a struct that embeds p.
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
