package proxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// problemType prefixes the names of error kinds to form the "type" member (RFC 9457).
const problemType = "urn:wisteriarelay:problem:"

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
	// Addresses lists the carriers of the service if this daemon is none of them.
	Addresses *AddressList `json:"addresses,omitempty"`
}

// defaultRetryAfter is advised where a later retry helps and nothing better is known.
const defaultRetryAfter = time.Second

func newProblem(e *fault.Error, id string) *Problem {
	answer := e.Kind.Answer()
	p := &Problem{
		Type:      problemType + answer.Name,
		Title:     answer.Title,
		Status:    answer.Status,
		Detail:    e.Detail,
		Kind:      answer.Name,
		Outcome:   e.Outcome,
		Retry:     answer.Retry,
		RequestID: id,
	}
	if e.Retry != "" {
		p.Retry = e.Retry
	}
	if p.Retry == fault.RetryNever {
		return p
	}
	wait := e.RetryAfter
	if wait == 0 && p.Retry == fault.RetryLater {
		wait = defaultRetryAfter
	}
	p.RetryAfterMs = wait.Milliseconds()
	return p
}

func (p *Problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfterMs > 0 {
		seconds := math.Ceil(float64(p.RetryAfterMs) / float64(time.Second.Milliseconds()))
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// AddressList is the response to a caller that asks which addresses to use.
type AddressList struct {
	Service    fleet.ServiceID `json:"service"`
	TTLSeconds int             `json:"ttl-seconds"`
	// Addresses are in the order in which to try them.
	Addresses []Address `json:"addresses"`
}

// Address is one daemon that carries the service.
type Address struct {
	VM         fleet.VMID       `json:"vm"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	Address    string           `json:"address"`
}
