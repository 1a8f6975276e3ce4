package caller_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
)

// Guards against a key in the log: the parser's errors quote the lines of a malformed head.
func TestMalformedHeadIsNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var logs bytes.Buffer
		_, conn, reader := servePipe(t, echo, constantLimits, caller.WithLogger(log.NewLogfmtLogger(&logs)))
		_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\nApi-Key secret\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		g.Expect(logs.String()).To(ContainSubstring("malformed"))
		g.Expect(logs.String()).NotTo(ContainSubstring("secret"))
	})
}
