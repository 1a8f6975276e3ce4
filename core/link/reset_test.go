package link

import (
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

	"wisteriarelay.example/core/stand"
)

// earlyTries is how often a test lets a target answer while the request is being sent: the
// result may depend on which goroutine notices the end of the connection first.
const earlyTries = 40

// longUpload is a body that does not fit in the buffers of a connection.
var longUpload = make([]byte, 8<<20)

// upload forwards an order with the body and reads the whole response.
func upload(ctx context.Context, p *Pool, body []byte) (string, error) {
	m := &RawRequest{Method: http.MethodPost, RequestURI: "/orders", Host: "h", Body: body}
	resp, err := p.Forward(ctx, m, time.Minute)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// uploadTo sends an order with the body to a target on a real connection.
func uploadTo(t *testing.T, target stand.EarlyHandler, body []byte) (string, error) {
	t.Helper()
	server := httptest.NewServer(target)
	defer server.Close()
	p := NewPool(server.Listener.Addr().String())
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	return upload(ctx, p, body)
}

// unframedHeads are heads of responses that end with the connection.
var unframedHeads = map[string]string{
	"version 1.1":       "HTTP/1.1 200 OK\r\n\r\n",
	"version 1.0":       "HTTP/1.0 200 OK\r\n\r\n",
	"Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}

// Guards against the part of a response that was sent before a reset and is taken for a
// whole one: if the goroutine that sends the request gets the error of the reset, the one
// that reads the response gets the end of the stream.
func TestResetDuringUploadTruncatesResponse(t *testing.T) {
	for name, head := range unframedHeads {
		for end, endAfter := range stand.ResetEnds() {
			t.Run(name+"/"+end, func(t *testing.T) {
				whole := stand.CountWhole(earlyTries, head+"partial", endAfter, func(target stand.EarlyHandler) error {
					_, err := uploadTo(t, target, longUpload)
					return err
				})
				NewWithT(t).Expect(whole).To(BeZero(), "truncated responses taken for whole ones, of %d", earlyTries)
			})
		}
	}
}

// Guards against a whole response without a length that is rejected although the target
// reads the request to its end.
func TestEarlyResponseWithoutLengthIsWhole(t *testing.T) {
	const maxBody = 7 << 20
	ends := map[string]stand.ConnEnd{"read, then close": stand.ReadThenClose, "close, then read": stand.CloseWriteThenRead}
	for name, head := range unframedHeads {
		for end, endConn := range ends {
			for _, length := range []int{0, 200, maxBody} {
				t.Run(name+"/"+end, func(t *testing.T) {
					g := NewWithT(t)
					for range earlyTries {
						body, err := uploadTo(t, stand.EarlyHandler{Response: head + "whole", End: endConn}, longUpload[:length])
						g.Expect(err).NotTo(HaveOccurred(), "body of %d bytes", length)
						g.Expect(body).To(Equal("whole"))
					}
				})
			}
		}
	}
}

// Guards against a response that is lost although it ended as framed before the reset.
func TestResetAfterFramedResponseCostsNothing(t *testing.T) {
	for name, response := range map[string]string{"length": okReply, "chunks": chunkReply} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for i := range earlyTries {
				target := stand.EarlyHandler{Response: response, End: stand.ResetAfter(time.Duration(i%10) * time.Millisecond)}
				body, err := uploadTo(t, target, longUpload)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("ok"))
			}
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
				c := stand.NewEarlyConn(unframedHeads["version 1.1"]+"partial", end)
				p := NewPool("target", WithDial(func(context.Context, string, string) (net.Conn, error) { return c, nil }))
				_, err := upload(t.Context(), p, longUpload)
				<-c.WriteEnded
				var f *Error
				g.Expect(errors.As(err, &f)).To(BeTrue(), "error %v", err)
				g.Expect(f.Stage).To(Equal(StageBody))
				g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
				g.Expect(p.Stats()).To(Equal(Stats{Dials: 1, Discards: 1}))
			})
		})
	}
}

// Guards against an exchange that waits for its request to be sent beyond the deadline: the
// target answers and closes its sending side, but never reads the request.
func TestUnreadUploadWaitsUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := stand.NewEarlyConn(unframedHeads["version 1.1"]+"whole", stand.Unread)
		p := NewPool("target", WithDial(func(context.Context, string, string) (net.Conn, error) { return c, nil }))
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := upload(ctx, p, longUpload)
		var f *Error
		g.Expect(errors.As(err, &f)).To(BeTrue(), "error %v", err)
		g.Expect(f.Stage).To(Equal(StageBody))
		g.Expect(f.TimedOut).To(BeTrue())
		g.Expect(time.Since(start)).To(Equal(time.Minute))
		g.Expect(p.Stats()).To(Equal(Stats{Dials: 1, Discards: 1}))
	})
}
