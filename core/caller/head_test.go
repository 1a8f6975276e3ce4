package caller_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// Guards against a caller that is told that its request is malformed because the end of a
// header line did not arrive in time.
func TestSlowHeadIsNotMalformed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, callerSide, reader := servePipe(t, echo, constantLimits)
		_, _ = fmt.Fprint(callerSide, "GET / HTTP/1.1\r\nHos")
		resp, _ := readResponse(g, reader)
		g.Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
	})
}
