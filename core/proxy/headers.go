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

// The header fields of wisteriarelay's own protocol towards callers and targets.
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

// hopByHop lists the fields that concern one connection only (RFC 9110,
// section 7.6.1). Trailers are dropped with their announcement.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownRequestFields are fields for the daemon itself; a target never sees the
// caller's values.
var ownRequestFields = []string{HeaderService, HeaderWorkspace, HeaderDeadline, HeaderOrderToken, "Expect"}

// ownResponseFields are fields that only the daemon may set; a target's values
// would be taken for statements of the daemon.
var ownResponseFields = []string{HeaderOutcome, HeaderOrderToken, HeaderLeaving}

// removeHopByHop deletes the hop-by-hop fields and those that Connection names.
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
func (in *inbound) targetHeader(deadline time.Time) http.Header {
	h := in.request.Header.Clone()
	removeHopByHop(h)
	for _, name := range ownRequestFields {
		delete(h, name)
	}
	// One array holds the values of all fields that are set.
	values := []string{in.requestID, strconv.FormatInt(remainingMillis(deadline), 10), forwarded(h, in.request), ""}
	h[HeaderRequestID] = values[0:1:1]
	h[HeaderDeadline] = values[1:2:2]
	h[headerForwarded] = values[2:3:3]
	if _, ok := h["User-Agent"]; !ok {
		// An explicit empty value keeps net/http from adding its own.
		h["User-Agent"] = values[3:4:4]
	}
	return h
}

// remainingMillis rounds down, so that a target never gets more time than is left.
func remainingMillis(deadline time.Time) int64 {
	return max(1, time.Until(deadline).Milliseconds())
}

// forwarded returns the Forwarded field with this hop added (RFC 7239).
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

// requestID returns the caller's request id if it is short and printable, and
// a new one otherwise.
func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= maxRequestIDLen && printable(id) {
		return id
	}
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// copyResponseHeader copies the end-to-end fields of a target's response.
func copyResponseHeader(to, from http.Header) {
	removeHopByHop(from)
	for _, name := range ownResponseFields {
		delete(from, name)
	}
	for name, values := range from {
		to[name] = values
	}
}

// serviceFromHost returns the service of a host name of the form <service>.<domain>.
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

// deadlineFrom returns the earlier of the caller's deadline and the route's limit.
func deadlineFrom(ctx context.Context, now time.Time, limit, asked time.Duration) time.Time {
	if asked > 0 {
		limit = min(limit, asked)
	}
	deadline := now.Add(limit)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}
