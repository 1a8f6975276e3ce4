package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
)

const orderWithExpect = "POST /order HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"

// pausedBody is a body whose second half comes once it is released.
type pausedBody struct {
	first, second *strings.Reader
	release       chan struct{}
}

// Read reads the first half, and then waits for the second.
func (b *pausedBody) Read(p []byte) (int, error) {
	if b.first.Len() > 0 {
		return b.first.Read(p)
	}
	<-b.release
	return b.second.Read(p)
}

// Close does nothing.
func (b *pausedBody) Close() error {
	return nil
}

// Guards against an interim response that is written into the body of the response to an
// earlier request, so that the caller gets other bytes than the target sent.
func TestInterimResponseWaitsForEarlierResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const half = "0123456789"
		release := make(chan struct{})
		handle := func(_ context.Context, r *caller.Request) *caller.Response {
			if r.Method == http.MethodPost {
				return caller.TextResponse(http.StatusOK, string(r.Body))
			}
			body := &pausedBody{strings.NewReader(half), strings.NewReader(half), release}
			return &caller.Response{Status: http.StatusOK, Header: http.Header{}, UnreadBody: body, ContentLength: 2 * int64(len(half))}
		}
		_, callerSide, reader := servePipe(t, handle, constantLimits)
		sendGet(callerSide, "/list")
		_, _ = fmt.Fprint(callerSide, orderWithExpect)
		r := &releaser{release}
		go r.run()
		resp, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal(half + half))
		interim, _ := readResponse(g, reader)
		g.Expect(interim.StatusCode).To(Equal(http.StatusContinue))
		_, _ = fmt.Fprint(callerSide, "abc")
		resp, text := readResponse(g, reader)
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		g.Expect(text).To(Equal("abc"))
	})
}

// releaser lets a pausedBody go on once all else waits.
type releaser struct{ release chan struct{} }

func (r *releaser) run() {
	synctest.Wait()
	close(r.release)
}

// Guards against bytes behind a response that closes the connection: an interim response
// for a request that is not handled any more.
func TestNoInterimResponseFollowsFinalResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		release := make(chan struct{})
		handle := func(context.Context, *caller.Request) *caller.Response {
			<-release
			return caller.TextResponse(http.StatusOK, "last")
		}
		server, callerSide, reader := servePipe(t, handle, constantLimits)
		sendGet(callerSide, "/1")
		_, _ = fmt.Fprint(callerSide, orderWithExpect)
		synctest.Wait()
		server.Drain()
		close(release)
		resp, body := readResponse(g, reader)
		g.Expect(body).To(Equal("last"))
		g.Expect(resp.Close).To(BeTrue())
		rest, err := io.ReadAll(reader)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(rest)).To(BeEmpty())
	})
}

// Guards against a caller that is asked for a body that is then refused.
func TestTooLargeBodyIsRefusedBeforeItIsSent(t *testing.T) {
	g := NewWithT(t)
	_, dial := serve(t, echo)
	conn, r := dial()
	_, _ = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 101\r\n\r\n")
	resp, _ := readResponse(g, r)
	g.Expect(resp.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
}
