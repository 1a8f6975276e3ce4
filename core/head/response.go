package head

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// minStatus and maxStatus bound the valid status codes (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckResponse returns an error if the head of the response is not valid, so that neither
// its status nor the end of its body can be relied on.
func CheckResponse(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return errors.Newf("response status %03d is not within %d to %d", r.StatusCode, minStatus, maxStatus)
	}
	return nil
}
