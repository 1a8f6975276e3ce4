package caller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is one request of a caller with its whole body.
type Request struct {
	Method string
	// RequestURI is the request target of the request line as the caller sent it, that is,
	// usually path and query.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// ReceivedAt is when the request was read completely.
	ReceivedAt time.Time
	// RemoteAddr is the network address of the caller.
	RemoteAddr string

	sent atomic.Bool
}

// MarkSent records that the request is being sent to a target.
func (r *Request) MarkSent() {
	r.sent.Store(true)
}

// Path returns the path of the request target, without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// Response is the response to one request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// UnreadBody is the rest of the body after Body, as a stream; it may be nil.
	UnreadBody io.ReadCloser
	// Abort, if set, makes reads of UnreadBody fail. It is called when the caller
	// disconnects, and may be called at any time.
	Abort func()
	// ContentLength is the length of the whole body in bytes; below 0 if it is unknown.
	ContentLength int64
	// Release, if set, releases the resources of the response. It is called once, when the
	// response has been written or discarded.
	Release func()
}

// TextResponse returns a response with a plain text body.
func TextResponse(status int, text string) *Response {
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &Response{Status: status, Header: h, Body: []byte(text), ContentLength: int64(len(text))}
}

// FormatSeconds returns a duration in seconds, with milliseconds, for a header value.
func FormatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
