package link

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
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
		"folded":  "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: a\r\n b\r\nContent-Length: 12\r\n\r\nfirst second",
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

// Guards against a response that ends with its connection and whose head ends early: no
// part of the head may be taken for the end of the head.
func TestHeadThatEndsEarlyHasNoBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n"
	for length := range len(head) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			target := newScriptedTarget(true, head[:length])
			p := NewPool("target:80", WithDial(target.dial))
			defer p.Close()
			_, _, err := forwardAndRead(t, p, "r1")
			g.Expect(err).To(HaveOccurred(), "cut after %q", head[:length])
		})
	}
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
