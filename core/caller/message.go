package caller

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Request is one request of a caller with its whole body.
type Request struct {
	Method string
	// Target is the request target of the request line as the caller sent it, that is,
	// usually path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Received is when the request was read completely.
	Received time.Time
	// Remote is the network address of the caller.
	Remote string
}

// Path returns the path of the request target, without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Answer is the response to one request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is the rest of the body after Body, as a stream; it may be nil.
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes; below 0 if it is unknown.
	Length int64
	// Done, if set, releases the resources of the response. It is called once, when the
	// response has been written or discarded.
	Done func()
}

// Text returns a response with a plain text body.
func Text(status int, text string) *Answer {
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &Answer{Status: status, Header: h, Body: []byte(text), Length: int64(len(text))}
}
