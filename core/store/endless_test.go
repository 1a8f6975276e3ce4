package store_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/store"
)

// endlessPlatform responds to each call with prefix and then repeats a text until the
// connection ends. With a pause it waits before each repetition.
type endlessPlatform struct {
	prefix, repeat string
	pause          time.Duration
	listener       net.Listener
	written        atomic.Int64
	open           atomic.Int64
}

// endlessConn is a connection to an endlessPlatform.
type endlessConn struct {
	platform *endlessPlatform
	conn     net.Conn
}

// sendBuffer is the size in bytes of the send buffer of a connection.
const sendBuffer = 64 << 10

// start starts the platform and returns its URL.
func (e *endlessPlatform) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.listener = l
	t.Cleanup(func() { _ = l.Close() })
	go e.run()
	return "http://" + l.Addr().String()
}

func (e *endlessPlatform) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		_ = c.(*net.TCPConn).SetWriteBuffer(sendBuffer)
		e.open.Add(1)
		ec := &endlessConn{e, c}
		go ec.run()
	}
}

func (c *endlessConn) run() {
	e := c.platform
	defer e.open.Add(-1)
	defer c.conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c.conn)); err != nil {
		return
	}
	n, err := io.WriteString(c.conn, e.prefix)
	for e.written.Add(int64(n)); err == nil; e.written.Add(int64(n)) {
		time.Sleep(e.pause)
		n, err = io.WriteString(c.conn, e.repeat)
	}
}

// Guards against a reply without end that is kept in memory, keeps a call beyond its
// timeout, or is repeated in an error.
func TestEndlessReplyIsAborted(t *testing.T) {
	const (
		// socketBytes is what the buffers of a connection may hold beside what was read.
		socketBytes  = 6 << 20
		maxHeadBytes = 64<<10 + socketBytes
		maxBodyBytes = 16<<20 + 1<<20 + socketBytes
		maxTextBytes = 4 << 10
		waitTimeout  = 20 * time.Second
	)
	const head = "HTTP/1.1 200 OK\r\n"
	piece := strings.Repeat("a", 64<<10)
	cases := map[string]struct {
		platform *endlessPlatform
		maxBytes int64
	}{
		"no HTTP":           {&endlessPlatform{repeat: piece}, maxHeadBytes},
		"head field":        {&endlessPlatform{prefix: head + "X: ", repeat: piece}, maxHeadBytes},
		"interim responses": {&endlessPlatform{repeat: strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 1<<10)}, maxHeadBytes},
		"body":              {&endlessPlatform{prefix: head + "\r\n", repeat: piece}, maxBodyBytes},
		"conflict":          {&endlessPlatform{prefix: "HTTP/1.1 409 Conflict\r\n\r\n", repeat: piece}, maxBodyBytes},
		"bad request":       {&endlessPlatform{prefix: "HTTP/1.1 400 Bad Request\r\n\r\n", repeat: piece}, maxBodyBytes},
		"unavailable":       {&endlessPlatform{prefix: "HTTP/1.1 503 Service Unavailable\r\n\r\n", repeat: piece}, maxBodyBytes},
		"dripped body":      {&endlessPlatform{prefix: head + "\r\n", repeat: "a", pause: 20 * time.Millisecond}, maxHeadBytes},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client := store.NewClient(c.platform.start(t))
			defer client.Close()
			begin := time.Now()
			_, err := client.Table().Get(t.Context(), "key")
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(begin)).To(BeNumerically("<", waitTimeout))
			t.Logf("error of %d bytes", len(err.Error()))
			g.Expect(len(err.Error())).To(BeNumerically("<", maxTextBytes))
			g.Eventually(c.platform.open.Load).WithTimeout(waitTimeout).Should(BeZero())
			t.Logf("%d KiB sent", c.platform.written.Load()>>10)
			g.Expect(c.platform.written.Load()).To(BeNumerically("<", c.maxBytes))
		})
	}
}
