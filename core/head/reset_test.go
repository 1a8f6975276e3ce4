package head_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/head"
	"wisteriarelay.example/core/stand"
)

// earlyTries is how often a test lets a server answer while the request is being sent: the
// result may depend on which goroutine notices the end of the connection first.
const earlyTries = 40

// longUpload is a body that does not fit in the buffers of a connection.
var longUpload = make([]byte, 8<<20)

// upload sends a request with the body and reads the whole response.
func upload(ctx context.Context, client *http.Client, url string, body []byte) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// uploadTo sends a request with the body to a server on a real connection.
func uploadTo(t *testing.T, handler stand.EarlyHandler, body []byte) (string, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	client := &http.Client{Transport: head.NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	return upload(ctx, client, server.URL, body)
}

const unframed = "HTTP/1.1 200 OK\r\n\r\n"

// Guards against the part of a response that was sent before a reset and is taken for a
// whole one: if the goroutine that sends the request gets the error of the reset, the one
// that reads the response gets the end of the stream.
func TestResetDuringUploadTruncatesResponse(t *testing.T) {
	for name, endAfter := range stand.ResetEnds() {
		t.Run(name, func(t *testing.T) {
			whole := stand.CountWhole(earlyTries, unframed+"partial", endAfter, func(handler stand.EarlyHandler) error {
				_, err := uploadTo(t, handler, longUpload)
				return err
			})
			NewWithT(t).Expect(whole).To(BeZero(), "truncated responses taken for whole ones, of %d", earlyTries)
		})
	}
}

// Guards against an order of events that a real connection shows only now and then: the end
// of the response is read before or after the request fails to be sent.
func TestResponseIsTruncatedWhoeverSeesReset(t *testing.T) {
	for name, end := range map[string]stand.EarlyEnd{"write fails first": stand.ResetWriteFirst, "end is read first": stand.ResetReadFirst} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := stand.NewEarlyConn(unframed+"partial", end)
				dial := func(context.Context, string, string) (net.Conn, error) { return c, nil }
				client := &http.Client{Transport: head.NewTransport(&http.Transport{DialContext: dial})}
				_, err := upload(t.Context(), client, "http://h/", longUpload)
				<-c.WriteEnded
				g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "error %v", err)
			})
		})
	}
}

// Guards against a whole response that is rejected although the server reads the request
// to its end, or although it ended as framed before a reset.
func TestEarlyResponseIsWhole(t *testing.T) {
	const framed = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	cases := map[string]struct {
		head  string
		end   stand.ConnEnd
		bytes int
	}{
		"read, then close": {unframed, stand.ReadThenClose, len(longUpload)},
		"close, then read": {unframed, stand.CloseWriteThenRead, len(longUpload)},
		"no body":          {unframed, stand.ReadThenClose, 0},
		"short body":       {unframed, stand.ReadThenClose, 200},
		"length":           {framed, stand.ReadThenClose, 200},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for range earlyTries {
				body, err := uploadTo(t, stand.EarlyHandler{Response: c.head + "whole", End: c.end}, longUpload[:c.bytes])
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("whole"))
			}
		})
	}
}
