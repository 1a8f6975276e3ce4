package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
)

const (
	// minRetryAfter is the minimum Retry-After of a refused request. Within this time
	// a target usually frees a slot, and a failing target is detected.
	minRetryAfter = 200 * time.Millisecond
	// retryAfterJitter bounds the random time added to minRetryAfter, so that callers
	// refused at the same moment do not all retry at the same moment. For a longer wait,
	// the bound is half of it.
	retryAfterJitter = 200 * time.Millisecond
)

// errorResponse returns the response for a failure that the relay itself reports,
// as opposed to a failure response of a target. A 503 has a Retry-After header, which
// is not before availableIn, the time until a target may get requests again. That of a 429
// is availableIn, the time until the quota has a token for the caller.
func errorResponse(kind fault.Kind, availableIn time.Duration) *caller.Response {
	info := kind.Response()
	status := info.Status
	if http.StatusText(status) == "" {
		status = http.StatusBadGateway
	}
	resp := caller.TextResponse(status, info.Name+"\n")
	if status == http.StatusUnauthorized {
		resp.Header.Set("WWW-Authenticate", authScheme)
	}
	if status == http.StatusServiceUnavailable {
		wait := max(minRetryAfter, availableIn)
		wait += rand.N(max(retryAfterJitter, wait/2))
		resp.Header.Set("Retry-After", caller.FormatSeconds(wait))
	}
	if status == http.StatusTooManyRequests {
		resp.Header.Set("Retry-After", caller.FormatSeconds(max(availableIn, time.Millisecond)))
	}
	return resp
}
