package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// The header fields that the daemon exchanges with callers and targets.
const (
	HeaderService    = "Wisteria-Service"
	HeaderWorkspace  = "Wisteria-Workspace"
	HeaderDeadline   = "Wisteria-Deadline-Ms"
	HeaderOutcome    = "Wisteria-Outcome"
	HeaderOrderToken = "Wisteria-Order-Token"
	HeaderLeaving    = "Wisteria-Leaving"
	HeaderRequestID  = "X-Request-Id"
	HeaderOrderKey   = "Idempotency-Key"
)

const headerForwarded = "Forwarded"

// hopByHop lists the fields that apply to a single connection (RFC 9110,
// section 7.6.1). Trailer fields are not forwarded, so Trailer, which announces
// them, is removed as well.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// daemonRequestFields lists the fields that a caller sends to the daemon itself.
// The caller's values are not forwarded to targets.
var daemonRequestFields = []string{HeaderService, HeaderWorkspace, HeaderDeadline, HeaderOrderToken, "Expect"}

// daemonResponseFields lists the fields that only the daemon sets in a response.
// They are removed from the responses of targets, because callers would take
// them for statements of the daemon.
var daemonResponseFields = []string{HeaderOutcome, HeaderOrderToken, HeaderLeaving}

// removeHopByHop deletes the hop-by-hop fields and the fields named in Connection.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			if name := textproto.TrimString(token); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// targetHeader returns the header of the request to a target.
func (in *inboundRequest) targetHeader(deadline time.Time) http.Header {
	h := in.request.Header.Clone()
	removeHopByHop(h)
	for _, name := range daemonRequestFields {
		delete(h, name)
	}
	// One slice backs the values of all fields, which saves allocations.
	values := []string{in.requestID, strconv.FormatInt(remainingMillis(deadline), 10), forwarded(h, in.request), ""}
	h[HeaderRequestID] = values[0:1:1]
	h[HeaderDeadline] = values[1:2:2]
	h[headerForwarded] = values[2:3:3]
	if _, ok := h["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its own User-Agent.
		h["User-Agent"] = values[3:4:4]
	}
	return h
}

// remainingMillis returns the milliseconds until the deadline, at least 1. It
// rounds down, so that a target is not told more time than is left.
func remainingMillis(deadline time.Time) int64 {
	return max(1, time.Until(deadline).Milliseconds())
}

// forwarded returns the value of the Forwarded field, with an element for this hop
// added (RFC 7239).
func forwarded(h http.Header, r *http.Request) string {
	proto := "http"
	if r.TLS != nil {
		proto = "https"
	}
	element := "for=" + forwardedNode(r.RemoteAddr) + ";proto=" + proto
	if r.Host != "" {
		element += ";host=" + strconv.Quote(r.Host)
	}
	if prior := strings.Join(h[headerForwarded], ", "); prior != "" {
		element = prior + ", " + element
	}
	return element
}

// forwardedNode returns the address of the caller in the form for the "for"
// parameter: without the port, and with IPv6 in brackets and quotes.
func forwardedNode(remote string) string {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return "unknown"
	}
	if a.Addr().Unmap().Is4() {
		return a.Addr().Unmap().String()
	}
	return `"[` + a.Addr().String() + `]"`
}

const (
	requestIDBytes  = 12
	maxRequestIDLen = 128
)

// requestID returns the request id sent by the caller if it has at most
// maxRequestIDLen printable characters, and a new random one otherwise.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= maxRequestIDLen && printable(id) {
		return id
	}
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// printable reports whether s consists of printable ASCII characters without spaces.
func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// copyResponseHeader copies the end-to-end fields of a target's response, without
// daemonResponseFields. It modifies from.
func copyResponseHeader(to, from http.Header) {
	removeHopByHop(from)
	for _, name := range daemonResponseFields {
		delete(from, name)
	}
	for name, values := range from {
		to[name] = values
	}
}

// serviceFromHost returns the service in a host name of the form
// <service>.<domain>, or "" if the host name has another form.
func serviceFromHost(host, domain string) string {
	if domain == "" {
		return ""
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	service, ok := strings.CutSuffix(strings.ToLower(host), "."+domain)
	if !ok || strings.Contains(service, ".") {
		return ""
	}
	return service
}

// requestDeadline returns the deadline of a request that arrived at now: it may
// take the limit of its route or the time that the caller requested, whichever is
// shorter. requested is 0 if the caller states no time. An earlier deadline of ctx
// takes precedence.
func requestDeadline(ctx context.Context, now time.Time, limit, requested time.Duration) time.Time {
	if requested > 0 {
		limit = min(limit, requested)
	}
	deadline := now.Add(limit)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}
