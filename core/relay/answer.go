package relay

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
)

const (
	// retryAfter is the shortest wait that a refused caller is asked for. A target
	// frees a slot and a spell of sickness is noticed within it.
	retryAfter = 200 * time.Millisecond
	// retrySpread is added at random, so that callers refused at the same moment do
	// not come back at the same moment.
	retrySpread = 200 * time.Millisecond
)

// ownAnswer returns the answer for a failure that the relay itself states.
func ownAnswer(kind fault.Kind) *caller.Answer {
	row := kind.Answer()
	status := row.Status
	if http.StatusText(status) == "" {
		status = http.StatusBadGateway
	}
	a := caller.Text(status, row.Name+"\n")
	if status == http.StatusServiceUnavailable {
		wait := retryAfter + rand.N(retrySpread)
		a.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	return a
}
