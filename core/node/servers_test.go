package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// pipeListener is a listener for in-memory connections, which work with the virtual clock
// of a synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

// Accept returns the next connection.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (p *pipeListener) Close() error {
	close(p.done)
	return nil
}

// Addr returns the address of a pipe.
func (p *pipeListener) Addr() net.Addr {
	callerSide, serverSide := net.Pipe()
	_ = serverSide.Close()
	return callerSide.LocalAddr()
}

// auxResponseBytes is the size of the responses of the auxiliary server under test.
const auxResponseBytes = 1 << 20

// connectToAuxServer starts an auxiliary server and returns a connection to it.
func connectToAuxServer(t *testing.T) net.Conn {
	p := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	s := &auxServer{listener: p, server: newAuxServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("a", auxResponseBytes))
	}))}
	go s.run()
	callerSide, serverSide := net.Pipe()
	p.conns <- serverSide
	t.Cleanup(func() {
		_ = s.server.Close()
		_ = callerSide.Close()
	})
	return callerSide
}

// sentBytes writes prefix and then repeat, each time after the pause, until the connection
// is closed or the limit is reached. It returns the number of bytes.
func sentBytes(c net.Conn, prefix, repeat string, pause time.Duration, limit int) int {
	sent, err := io.WriteString(c, prefix)
	for err == nil && sent < limit {
		time.Sleep(pause)
		var n int
		n, err = io.WriteString(c, repeat)
		sent += n
	}
	return sent
}

// responseReader reads what the server sends until the connection is closed.
type responseReader struct {
	conn net.Conn
}

func (r *responseReader) run() {
	_, _ = io.Copy(io.Discard, bufio.NewReader(r.conn))
}

// Guards against callers of addresses, readiness and metrics that exhaust the memory with
// heads without end.
func TestHeadWithoutEndIsRejectedByAuxServers(t *testing.T) {
	const maxBytes, limit = 32 << 10, 4 << 20
	cases := map[string][2]string{
		"path":   {"GET /", strings.Repeat("a", 1<<10)},
		"field":  {"GET / HTTP/1.1\r\nHost: h\r\nX: ", strings.Repeat("a", 1<<10)},
		"fields": {"GET / HTTP/1.1\r\nHost: h\r\n", strings.Repeat("X: y\r\n", 100)},
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := connectToAuxServer(t)
				r := &responseReader{conn: c}
				go r.run()
				sent := sentBytes(c, text[0], text[1], 0, limit)
				t.Logf("%d KiB sent", sent>>10)
				g.Expect(sent).To(BeNumerically("<", maxBytes))
			})
		})
	}
}

// Guards against callers of addresses, readiness and metrics that keep connections by
// sending a request one byte at a time.
func TestDrippedRequestIsEndedByAuxServers(t *testing.T) {
	const limit = 200
	cases := map[string][2]string{
		"head":                {"GET / HTTP/1.1\r\nHost: h\r\nX: ", "a"},
		"body with a length":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n", "a"},
		"body in chunks":      {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"chunk size":          {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":             {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "a"},
		"start of a request":  {"G", "E"},
		"lines before a head": {"\r\n", "\r\n"},
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := connectToAuxServer(t)
				r := &responseReader{conn: c}
				go r.run()
				begin := time.Now()
				sentBytes(c, text[0], text[1], time.Second, limit)
				t.Logf("open for %s", time.Since(begin))
				g.Expect(time.Since(begin)).To(BeNumerically("<", 10*time.Second))
			})
		})
	}
}

// Guards against callers of addresses, readiness and metrics that keep connections, and
// the responses to them in memory, by not reading them.
func TestUnreadResponseIsAbandonedByAuxServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := connectToAuxServer(t)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
		_ = c.SetReadDeadline(time.Now().Add(time.Minute))
		n, _ := io.Copy(io.Discard, c)
		g.Expect(n).To(BeNumerically("<", auxResponseBytes))
	})
}
