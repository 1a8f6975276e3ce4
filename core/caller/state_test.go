package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
)

// Guards against requests that are cut without a line in the log that tells their id and
// how far they had come.
func TestCutRequestsAreLoggedWithTheirState(t *testing.T) {
	g := NewWithT(t)
	logs := &lineLog{}
	handle := func(ctx context.Context, r *caller.Request) *caller.Response {
		if r.RequestURI == "/sent" {
			r.MarkSent()
		}
		<-ctx.Done()
		return caller.TextResponse(http.StatusOK, "")
	}
	s, dial := serve(t, handle, caller.WithLogger(log.NewLogfmtLogger(logs)), caller.WithRequestIDHeader("Request-Id"))
	for _, path := range []string{"/waiting", "/sent"} {
		conn, _ := dial()
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: id-of%s\r\n\r\n", path, path)
	}
	conn, _ := dial()
	_, _ = fmt.Fprint(conn, "POST /half HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na")
	counts := func() caller.Counts { return caller.Count(s.OpenRequests()) }
	g.Eventually(counts).WithTimeout(waitTimeout).Should(Equal(caller.Counts{Reading: 1, Waiting: 1, Sent: 1}))
	s.Close()
	g.Expect(logs.String()).To(ContainSubstring(`msg="request cut" id=id-of/waiting state=waiting age=`))
	g.Expect(logs.String()).To(ContainSubstring(`msg="request cut" id=id-of/sent state=sent age=`))
	g.Expect(logs.String()).To(ContainSubstring(`msg="request cut" id= state=reading age=`))
}

// lineLog keeps what is written to it.
type lineLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends p.
func (l *lineLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all that was written.
func (l *lineLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
