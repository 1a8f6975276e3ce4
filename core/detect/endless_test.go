package detect

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
)

// endlessTarget responds to a probe with prefix and then repeats a text until the
// connection ends. With a pause it waits before each repetition.
type endlessTarget struct {
	prefix, repeat string
	pause          time.Duration
	written        atomic.Int64
	ended          chan struct{}
}

func (e *endlessTarget) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go e.run(server)
	return client, nil
}

func (e *endlessTarget) run(c net.Conn) {
	defer close(e.ended)
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	n, err := io.WriteString(c, e.prefix)
	for e.written.Add(int64(n)); err == nil; e.written.Add(int64(n)) {
		time.Sleep(e.pause)
		n, err = io.WriteString(c, e.repeat)
	}
}

// Guards against probes that read a response without end into memory, or last longer than
// their timeout.
func TestEndlessProbeResponseIsAborted(t *testing.T) {
	const maxBytes, timeout = 128 << 10, 2 * time.Second
	const head = "HTTP/1.1 200 OK\r\n"
	piece := strings.Repeat("a", 4<<10)
	cases := map[string]*endlessTarget{
		"head field":        {prefix: head + "X: ", repeat: piece},
		"head fields":       {prefix: head, repeat: strings.Repeat("X: y\r\n", 100)},
		"no HTTP":           {repeat: piece},
		"interim responses": {repeat: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)},
		"body":              {prefix: head + "Content-Length: 9999999999\r\n\r\n", repeat: piece},
		"chunks":            {prefix: head + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1000\r\n" + piece + "\r\n"},
		"chunk extension":   {prefix: head + "Transfer-Encoding: chunked\r\n\r\n1;", repeat: piece},
		"no length":         {prefix: head + "\r\n", repeat: piece},
		"dripped head":      {prefix: head + "X: ", repeat: "a", pause: 100 * time.Millisecond},
		"dripped body":      {prefix: head + "\r\n", repeat: "a", pause: 100 * time.Millisecond},
		"dripped chunk":     {prefix: head + "Transfer-Encoding: chunked\r\n\r\n", repeat: "0", pause: 100 * time.Millisecond},
	}
	for name, e := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				e.ended = make(chan struct{})
				client := NewProbeClient(e.dial)
				defer client.CloseIdleConnections()
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				begin := time.Now()
				HTTPProbe(client)(ctx, fleet.Target{Address: "target:80"}, fleet.Probe{Path: "/health"})
				g.Expect(time.Since(begin)).To(gomega.BeNumerically("<=", timeout))
				<-e.ended
				t.Logf("%d KiB sent", e.written.Load()>>10)
				g.Expect(e.written.Load()).To(gomega.BeNumerically("<", maxBytes))
			})
		})
	}
}
