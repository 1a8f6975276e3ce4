package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// endlessTarget is a target that sends prefix and then repeats a text until the
// connection ends. With a pause it sends single bytes, each after the pause.
type endlessTarget struct {
	prefix, repeat string
	pause          time.Duration
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
		n, err = f.writeNext(c)
	}
}

// writeNext writes the text once, or the next byte of it after the pause.
func (f *endlessTarget) writeNext(c net.Conn) (int, error) {
	if f.pause == 0 {
		return io.WriteString(c, f.repeat)
	}
	time.Sleep(f.pause)
	next := int(f.written.Load()-int64(len(f.prefix))) % len(f.repeat)
	return io.WriteString(c, f.repeat[next:next+1])
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

// ownHead begins the head of a response to the request of forwardOwn.
const ownHead = "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n"

// forwardOwn forwards a request and reads the response to its end.
func forwardOwn(ctx context.Context, p *Pool) error {
	m := &RawRequest{Method: http.MethodGet, RequestURI: "/", Host: "h", Matches: func(r *http.Response, _ bool) bool { return r.Header.Get("Request-Id") == "own" }}
	resp, err := p.Forward(ctx, m, time.Minute)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against a body whose framing has no end and is read until the deadline of the
// request, although it holds next to no data that a limit on the body would count.
func TestEndlessFramingIsAborted(t *testing.T) {
	const maxFramingBytes = 64 << 10
	const chunked = ownHead + "Transfer-Encoding: chunked\r\n\r\n"
	piece := strings.Repeat("a", 4<<10)
	cases := map[string]*endlessTarget{
		"chunk size":                    {prefix: chunked, repeat: strings.Repeat("0", 4<<10)},
		"chunk extension":               {prefix: chunked + "1;", repeat: piece},
		"extensions of many chunks":     {prefix: chunked, repeat: "1;" + strings.Repeat("e", 1<<10) + "\r\nb\r\n"},
		"size of many chunks":           {prefix: chunked, repeat: strings.Repeat("0", 1<<10) + "1\r\nb\r\n"},
		"chunk without its end of line": {prefix: chunked + "1\r\nb", repeat: piece},
		"trailer field":                 {prefix: chunked + "1\r\nb\r\n0\r\nX: ", repeat: piece},
		"trailer fields":                {prefix: chunked + "1\r\nb\r\n0\r\n", repeat: "X: y\r\n"},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f.ended = make(chan struct{})
				p := NewPool("target", WithDial(f.dial))
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				begin := time.Now()
				g.Expect(forwardOwn(ctx, p)).NotTo(Succeed())
				<-f.ended
				g.Expect(time.Since(begin)).To(BeZero())
				g.Expect(f.written.Load()).To(BeNumerically("<", maxFramingBytes))
				g.Expect(p.Stats().Open).To(BeZero())
			})
		})
	}
}

// Guards against a target that sends one byte at a time and so keeps a request and its
// connection beyond the deadline, because each byte counts as progress.
func TestDrippedResponseEndsAtDeadline(t *testing.T) {
	const pause, timeout = 100 * time.Millisecond, 2 * time.Second
	const other = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]*endlessTarget{
		"status line":                    {prefix: "HTTP/1.1 200 ", repeat: "a"},
		"head field":                     {prefix: ownHead + "X: ", repeat: "a"},
		"head fields":                    {prefix: ownHead, repeat: "X: y\r\n"},
		"empty lines":                    {repeat: "\r\n"},
		"interim responses":              {repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"responses to other requests":    {repeat: other + "Content-Length: 0\r\n\r\n"},
		"body of another response":       {prefix: other + "Content-Length: 1000\r\n\r\n", repeat: "a"},
		"chunk size of another response": {prefix: other + chunked, repeat: "0"},
		"body":                           {prefix: ownHead + "Content-Length: 1000\r\n\r\n", repeat: "a"},
		"body without length":            {prefix: ownHead + "Connection: close\r\n\r\n", repeat: "a"},
		"chunks":                         {prefix: ownHead + chunked, repeat: "1\r\na\r\n"},
		"chunk size":                     {prefix: ownHead + chunked, repeat: "0"},
		"chunk extension":                {prefix: ownHead + chunked + "1;", repeat: "a"},
		"trailer field":                  {prefix: ownHead + chunked + "0\r\nX: ", repeat: "a"},
		"trailer fields":                 {prefix: ownHead + chunked + "0\r\n", repeat: "X: y\r\n"},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f.pause = pause
				f.ended = make(chan struct{})
				p := NewPool("target", WithDial(f.dial))
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				begin := time.Now()
				g.Expect(forwardOwn(ctx, p)).NotTo(Succeed())
				g.Expect(time.Since(begin)).To(BeNumerically("<=", timeout))
				g.Expect(p.Stats().Open).To(BeZero())
				<-f.ended
				g.Expect(time.Since(begin)).To(BeNumerically("<=", timeout+pause))
			})
		})
	}
}

// Guards against bytes behind a whole response, or on an idle connection, that are kept
// for the next request, taken for its response, or read without end.
func TestBytesBehindResponseAreNotRead(t *testing.T) {
	cases := map[string]*endlessTarget{
		"length":  {prefix: ownHead + "Content-Length: 2\r\n\r\nok", repeat: strings.Repeat("a", 4<<10)},
		"chunked": {prefix: ownHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", repeat: strings.Repeat("a", 4<<10)},
		"no body": {prefix: "HTTP/1.1 204 No Content\r\nRequest-Id: own\r\n\r\n", repeat: strings.Repeat("a", 4<<10)},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f.ended = make(chan struct{})
				p := NewPool("target", WithDial(f.dial))
				g.Expect(forwardOwn(t.Context(), p)).To(Succeed())
				synctest.Wait()
				g.Expect(f.written.Load()).To(BeNumerically("<=", len(f.prefix)+bufferSize))
				p.Close()
				<-f.ended
				g.Expect(p.Stats().Open).To(BeZero())
			})
		})
	}
}

// unsolicitedTarget is a TCP listener that responds to the first request of each
// connection and then sends bytes without end.
type unsolicitedTarget struct {
	listener net.Listener
	written  atomic.Int64
	accepted atomic.Int64
	done     sync.WaitGroup
}

func (u *unsolicitedTarget) run() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.accepted.Add(1)
		s := &unsolicitedSender{target: u, conn: c}
		u.done.Add(1)
		go s.run()
	}
}

// unsolicitedSender serves one connection of an unsolicitedTarget.
type unsolicitedSender struct {
	target *unsolicitedTarget
	conn   net.Conn
}

func (s *unsolicitedSender) run() {
	defer s.target.done.Done()
	defer s.conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(s.conn)); err != nil {
		return
	}
	_, err := io.WriteString(s.conn, ownHead+"Content-Length: 2\r\n\r\nok")
	for piece := make([]byte, 4<<10); err == nil; {
		var n int
		n, err = s.conn.Write(piece)
		s.target.written.Add(int64(n))
	}
}

// Guards against a request that is sent on an idle connection on which bytes have arrived,
// and against reading these bytes without end.
func TestIdleConnectionWithBytesIsNotReused(t *testing.T) {
	const requests = 20
	const receiveBuffer = 4 << 10
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	target := &unsolicitedTarget{listener: l}
	go target.run()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			err = c.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		}
		return c, err
	}
	p := NewPool(l.Addr().String(), WithDial(dial))
	for n := range requests {
		g.Expect(forwardOwn(t.Context(), p)).To(Succeed(), "request %d", n)
		g.Eventually(p.firstIdleIsUsable).WithTimeout(10 * time.Second).Should(BeFalse())
	}
	g.Expect(target.accepted.Load()).To(BeEquivalentTo(requests))
	g.Expect(p.Stats().Open).To(BeNumerically("<=", 1))
	p.Close()
	_ = l.Close()
	target.done.Wait()
}

// firstIdleIsUsable reports whether there is an idle connection that could be reused.
func (p *Pool) firstIdleIsUsable() bool {
	c, ok := p.idle.pop()
	if !ok {
		return false
	}
	defer p.idle.push(c)
	return c.alive()
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
