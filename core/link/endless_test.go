package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endlessTarget is a target that sends prefix and then repeats a text until the
// connection ends.
type endlessTarget struct {
	prefix, repeat string
	written        atomic.Int64
	ended          chan struct{}
}

func (f *endlessTarget) dial(context.Context, string, string) (net.Conn, error) {
	daemonSide, targetSide := net.Pipe()
	go f.run(targetSide)
	return daemonSide, nil
}

func (f *endlessTarget) run(c net.Conn) {
	defer close(f.ended)
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	n, err := io.WriteString(c, f.prefix)
	for f.written.Add(int64(n)); err == nil; f.written.Add(int64(n)) {
		n, err = io.WriteString(c, f.repeat)
	}
}

// Guards against a target that sends a response without end and so uses the whole
// network bandwidth and processor of the VM until the deadline of the request.
func TestEndlessResponseIsAborted(t *testing.T) {
	piece := strings.Repeat("a", 4<<10)
	const other = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
	cases := map[string]*endlessTarget{
		"head":                             {prefix: "HTTP/1.1 200 OK\r\nX: ", repeat: piece},
		"no HTTP":                          {prefix: "", repeat: piece},
		"interim responses":                {prefix: "", repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"responses to other requests":      {prefix: "", repeat: other + "Content-Length: 0\r\n\r\n"},
		"body of another response":         {prefix: other + "Content-Length: 99999999999\r\n\r\n", repeat: piece},
		"chunks of another response":       {prefix: other + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1000\r\n" + piece + "\r\n"},
		"another response without framing": {prefix: other + "\r\n", repeat: piece},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f.ended = make(chan struct{})
			p := NewPool("target", WithDial(f.dial))
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			m := &RawRequest{Method: http.MethodGet, RequestURI: "/", Host: "h", Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Request-Id") == "own" }}
			_, err := p.Forward(ctx, m, time.Minute)
			g.Expect(err).To(HaveOccurred())
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the exchange lasts until the deadline")
			<-f.ended
			g.Expect(f.written.Load()).To(BeNumerically("<", 2*maxUnmatchedBytes))
			g.Expect(p.Stats().Open).To(BeZero())
		})
	}
}

// Guards against a request that fails because a late second copy of a large response to
// an earlier request arrives before its own response.
func TestLateCopyOfLargeResponseIsSkipped(t *testing.T) {
	g := NewWithT(t)
	lateCopy := "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("a", 600000)
	own := "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 2\r\n\r\nok"
	s := newScriptedTarget(false, lateCopy+own)
	p := NewPool("target", WithDial(s.dial))
	m := &RawRequest{Method: http.MethodGet, RequestURI: "/", Host: "h", Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Request-Id") == "own" }}
	resp, err := p.Forward(t.Context(), m, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("ok"))
	g.Expect(p.Stats().Idle).To(BeZero(), "the connection of a target that sent an extra response is not reused")
}
