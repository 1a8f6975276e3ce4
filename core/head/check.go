package head

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// minStatus and maxStatus bound the valid status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// maxQuotedBytes is the maximum length of the part of a field name that an error quotes.
const maxQuotedBytes = 64

// CheckResponse returns an error if the head of the response is not valid, so that neither
// its status nor the end of its body can be relied on.
func CheckResponse(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return errors.Newf("response status %03d is not within %d to %d", r.StatusCode, minStatus, maxStatus)
	}
	return checkNames(r.Header)
}

// CheckRequest returns an error if the head of the request is not valid, so that the end of
// its body cannot be relied on.
func CheckRequest(r *http.Request) error {
	return checkNames(r.Header)
}

// CheckTrailer returns an error if the trailer of the response is not valid. It applies
// once the body has been read to its end.
func CheckTrailer(r *http.Response) error {
	return checkNames(r.Trailer)
}

// checkNames returns an error if a field name is not a token (RFC 9110, section 5.1). The
// parser of net/http rejects all other bytes than blanks, and ignores a Content-Length or
// a Transfer-Encoding whose name has one.
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("invalid field name %q", name[:min(len(name), maxQuotedBytes)])
		}
	}
	return nil
}
