package link

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http/httpguts"
)

// forwardAndRead forwards a request with the id and reads the whole response.
func forwardAndRead(t *testing.T, p *Pool, id string) (status int, body string, err error) {
	t.Helper()
	resp, err := p.Forward(t.Context(), &RawRequest{
		Method: http.MethodGet, RequestURI: "/stock", Host: "target", Header: http.Header{"Request-Id": {id}},
		Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Request-Id") == id },
	}, p.idleTimeout)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Guards against a response whose head, interim response, chunk or trailer ends early
// and that is taken for a whole one with an empty or short body.
func TestResponseThatEndsEarlyIsNotComplete(t *testing.T) {
	whole := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 12\r\nServer-Load: 1,0,2\r\n\r\nfirst second",
		"chunked": "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n7\r\n second\r\n0\r\nX: y\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 12\r\n\r\nfirst second",
		"bare LF": "HTTP/1.1 200 OK\nRequest-Id: r1\nContent-Length: 12\n\nfirst second",
	}
	for name, response := range whole {
		t.Run(name, func(t *testing.T) {
			for length := range len(response) + 1 {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					target := newScriptedTarget(true, response[:length])
					p := NewPool("target:80", WithDial(target.dial))
					defer p.Close()
					status, body, err := forwardAndRead(t, p, "r1")
					if length == len(response) {
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(status).To(Equal(http.StatusOK))
						g.Expect(body).To(Equal("first second"))
						return
					}
					g.Expect(err).To(HaveOccurred(), "cut after %q", response[:length])
				})
			}
		})
	}
}

// expectCutsToFail expects an error for each start of the response of up to maxLength bytes.
func expectCutsToFail(t *testing.T, response string, maxLength int) {
	t.Helper()
	for length := range maxLength + 1 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			target := newScriptedTarget(true, response[:length])
			p := NewPool("target:80", WithDial(target.dial))
			defer p.Close()
			_, _, err := forwardAndRead(t, p, "r1")
			g.Expect(err).To(HaveOccurred(), "cut after %q", response[:length])
		})
	}
}

// Guards against a response with a folded line that is taken for a whole one, wherever it
// ends: the line may be a field with a broken name.
func TestFoldedResponseIsNotComplete(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: a\r\n b\r\nContent-Length: 12\r\n\r\nfirst second"
	expectCutsToFail(t, response, len(response))
}

// Guards against a folded line that is seen only if it arrives with the rest of its head,
// and against a body that is taken for a part of the head.
func TestFoldedLineIsSeenInEachHead(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	const folded = "HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\nContent-Length: 12\r\n\r\nfirst second"
	const valid = "HTTP/1.1 200 OK\nX: a b\nContent-Length: 10\n\nA: b\n C: d"
	for _, bytesPerWrite := range []int{1, 7, 1000} {
		for response, broken := range map[string]bool{folded: true, interim + folded: true, valid: false, interim + valid: false} {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				target := newScriptedTarget(true, response)
				target.bytesPerWrite = bytesPerWrite
				p := NewPool("target:80", WithDial(target.dial))
				defer p.Close()
				_, err := get(t.Context(), p, http.MethodGet)
				g.Expect(err != nil).To(Equal(broken), "%d bytes at a time of %q: %v", bytesPerWrite, response, err)
			})
		}
	}
}

// Guards against a response that ends with its connection and whose head ends early: no
// part of the head may be taken for the end of the head.
func TestHeadThatEndsEarlyHasNoBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n"
	expectCutsToFail(t, head, len(head)-1)
}

// Guards against a keep-alive time that overflows, so that no connection is reused.
func TestTooLongKeepAliveLetsConnectionBeReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const response = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nKeep-Alive: timeout=13835058055\r\nContent-Length: 2\r\n\r\nok"
		target := newScriptedTarget(false, response, response)
		p := NewPool("target:80", WithDial(target.dial))
		defer p.Close()
		for range 2 {
			_, _, err := forwardAndRead(t, p, "r1")
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(p.Stats().Dials).To(Equal(int64(1)))
	})
}

// brokenHeads returns responses whose heads net/http accepts although they are not valid.
func brokenHeads() map[string]string {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"
	return map[string]string{
		"status 000":                     "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nfake",
		"status 000, a response as body": "HTTP/1.1 000 None\r\nContent-Length: 42\r\n\r\n" + inner,
		"status 099":                     "HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n" + inner,
		"status with a sign":             "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n" + inner,
		"status 600":                     "HTTP/1.1 600 None\r\nContent-Length: 4\r\n\r\nfake",
		"status 999":                     "HTTP/1.1 999 None\r\nContent-Length: 4\r\n\r\nfake",
		"version 0.9":                    "HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nfake",
		"version 2.0":                    "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nfake",
		"blank in a name":                "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 4\r\n\r\nfake",
		"blank after a name":             "HTTP/1.1 200 OK\r\nX : z\r\nContent-Length: 4\r\n\r\nfake",
		"blank after the length":         "HTTP/1.1 200 OK\r\nContent-Length : 9\r\nConnection: close\r\n\r\nfake",
		"blank after the encoding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n4\r\nfake\r\n0\r\n\r\n",
		"encoding and length in 1.0":     "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nfake\r\n0\r\n\r\n",
		"blank in an interim response":   "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + inner,
	}
}

// exchangeKinds are the ways to send a GET request and to read the whole response.
var exchangeKinds = map[string]func(context.Context, *Pool) error{
	"forward": func(ctx context.Context, p *Pool) error {
		resp, err := p.Forward(ctx, &RawRequest{Method: http.MethodGet, RequestURI: "/", Host: "h"}, time.Minute)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		return err
	},
	"do": func(ctx context.Context, p *Pool) error {
		_, err := get(ctx, p, http.MethodGet)
		return err
	},
}

// expectError sends a request in each way to a target with the response, on a new
// connection and on a kept one, and expects an error of the stage and a closed connection.
func expectError(t *testing.T, response string, stage Stage) {
	t.Helper()
	for kind, send := range exchangeKinds {
		for connection, earlier := range map[string][]string{"new": nil, "kept": {okReply}} {
			t.Run(kind+"/"+connection, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					target := newScriptedTarget(false, append(earlier, response+okReply)...)
					p := NewPool("target:80", WithDial(target.dial))
					defer p.Close()
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					for range earlier {
						g.Expect(send(ctx, p)).To(Succeed())
					}
					var f *Error
					err := send(ctx, p)
					g.Expect(errors.As(err, &f)).To(BeTrue(), "error %v", err)
					g.Expect(f.Stage).To(Equal(stage))
					g.Expect(f.Protocol).To(Equal(stage == StageHead))
					g.Expect(f.TimedOut).To(BeFalse())
					g.Expect(p.Stats()).To(Equal(Stats{Dials: 1, Discards: 1}))
				})
			})
		}
	}
}

// Guards against a response that is passed on, or skipped like an interim one, although
// its head is broken, so that its body is taken for the next response.
func TestBrokenHeadIsAnError(t *testing.T) {
	for name, response := range brokenHeads() {
		t.Run(name, func(t *testing.T) { expectError(t, response, StageHead) })
	}
}

// Guards against a response that is taken for a whole one although its end is broken.
func TestBrokenTrailerIsAnError(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfake\r\n0\r\n"
	cases := map[string]string{
		"blank in a name":       chunked + "X Y: z\r\n\r\n",
		"blank after a name":    chunked + "X : z\r\n\r\n",
		"blank before a name":   chunked + " X: z\r\n\r\n",
		"NUL in a name":         chunked + "X\x00Y: z\r\n\r\n",
		"no name":               chunked + ": z\r\n\r\n",
		"response in its stead": chunked + "HTTP/1.1 200 OK\r\n\r\n",
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) { expectError(t, response, StageBody) })
	}
}

// Guards against a byte that no field name may hold and that is accepted at some place in
// the name of some field.
func TestInvalidByteInNameIsAnError(t *testing.T) {
	fields := map[string]string{"X-Y": "z", "Content-Length": "9", "Transfer-Encoding": "chunked"}
	for b := range 256 {
		char := string([]byte{byte(b)})
		if char == ":" || httpguts.ValidHeaderFieldName(char) {
			continue
		}
		for name, value := range fields {
			for _, at := range []int{0, 1, len(name)} {
				if char == "\n" && at == 0 {
					continue // This ends the head.
				}
				line := name[:at] + char + name[at:] + ": " + value + "\r\n"
				for _, head := range []string{line + "A: b\r\n", "A: b\r\n" + line} {
					expectRejected(t, "HTTP/1.1 200 OK\r\n"+head+"Connection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n")
				}
			}
		}
	}
}

// expectRejected forwards a request to a target with the response and expects an error.
func expectRejected(t *testing.T, response string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := NewPool("target:80", WithDial(newScriptedTarget(true, response).dial))
		defer p.Close()
		NewWithT(t).Expect(exchangeKinds["forward"](t.Context(), p)).NotTo(Succeed(), "%q", response)
	})
}
