package relay

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers are the names of the header fields that the relay reads and sets.
type Headers struct {
	// RequestID identifies one request as sent by a caller; targets echo it.
	RequestID string
	// Deadline holds the number of milliseconds that the sender will wait.
	Deadline string
	// ResponseSeal marks a response as produced by a target.
	ResponseSeal string
	// ExpectInstance holds the id of the target that a request is meant for.
	ExpectInstance string
	// NotRun marks a refusal by a target that did not start to run the request.
	NotRun string
	// Leaving marks each response of a target that leaves; see leavingValue.
	Leaving string
	// APIKey holds the key by which a caller authenticates; targets never receive it.
	APIKey string
	// Workspace tells targets the name of the workspace that the request belongs to.
	Workspace string
}

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length
// is among them because package link and package caller set it themselves.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// withoutHopByHop returns a copy of the header without hop-by-hop fields, including
// those that the Connection field lists.
func withoutHopByHop(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

// timeLeft returns how long the caller will wait, from its Deadline header; ok is
// false if the header is missing or invalid.
func (n *Headers) timeLeft(h http.Header) (left time.Duration, ok bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(h.Get(n.Deadline)), 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	ms = min(ms, math.MaxInt64/int64(time.Millisecond))
	return time.Duration(ms) * time.Millisecond, true
}
