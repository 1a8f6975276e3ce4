package caller

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// Request is one request of a caller with its body read whole.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target   string
	Host     string
	Header   http.Header
	Body     []byte
	Received time.Time
	// Remote is the address of the caller.
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
	// Rest continues Body with bytes that were not read yet; it may be nil.
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes; below 0 if it is not known.
	Length int64
	// Done, if set, frees what the answer holds; it is called once, when the answer
	// has been written or dropped.
	Done func()
}

// Text returns an answer with a short plain text as its body.
func Text(status int, text string) *Answer {
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	return &Answer{Status: status, Header: h, Body: []byte(text), Length: int64(len(text))}
}
