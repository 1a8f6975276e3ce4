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

// flood is a target that answers with a start and then repeats a text until the
// connection ends.
type flood struct {
	start, repeat string
	written       atomic.Int64
	ended         chan struct{}
}

func (f *flood) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go f.run(far)
	return near, nil
}

func (f *flood) run(c net.Conn) {
	defer close(f.ended)
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	n, err := io.WriteString(c, f.start)
	for f.written.Add(int64(n)); err == nil; f.written.Add(int64(n)) {
		n, err = io.WriteString(c, f.repeat)
	}
}

// Guards against a target that sends bytes without end and so takes the whole link
// and processor of the VM until the deadline of the request.
func TestEndlessBytesCostLittle(t *testing.T) {
	piece := strings.Repeat("a", 4<<10)
	const other = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
	cases := map[string]*flood{
		"head":                          {start: "HTTP/1.1 200 OK\r\nX: ", repeat: piece},
		"no HTTP":                       {start: "", repeat: piece},
		"interim answers":               {start: "", repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"answers to others":             {start: "", repeat: other + "Content-Length: 0\r\n\r\n"},
		"body of another's answer":      {start: other + "Content-Length: 99999999999\r\n\r\n", repeat: piece},
		"chunks of another's answer":    {start: other + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1000\r\n" + piece + "\r\n"},
		"another's answer until closed": {start: other + "\r\n", repeat: piece},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f.ended = make(chan struct{})
			p := NewPool("target", WithDial(f.dial))
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			m := &Message{Method: http.MethodGet, Target: "/", Host: "h", Owns: func(r *http.Response) bool { return r.Header.Get("Request-Id") == "own" }}
			_, err := p.Forward(ctx, m, time.Minute)
			g.Expect(err).To(HaveOccurred())
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "it does not go on until the deadline")
			<-f.ended
			g.Expect(f.written.Load()).To(BeNumerically("<", 2*maxForeignBytes))
			g.Expect(p.Counts().Open).To(BeZero())
		})
	}
}

// Guards against an answer that is given up because a second copy of a large one
// comes before it.
func TestLateCopyOfALargeAnswerIsSkipped(t *testing.T) {
	g := NewWithT(t)
	copyOf := "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("a", 600000)
	own := "HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 2\r\n\r\nok"
	s := newScript(false, copyOf+own)
	p := NewPool("target", WithDial(s.dial))
	m := &Message{Method: http.MethodGet, Target: "/", Host: "h", Owns: func(r *http.Response) bool { return r.Header.Get("Request-Id") == "own" }}
	resp, err := p.Forward(t.Context(), m, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("ok"))
	g.Expect(p.Counts().Idle).To(BeZero(), "a target out of step is not used again")
}
