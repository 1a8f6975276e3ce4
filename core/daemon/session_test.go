package daemon

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/tree"
)

var update = flag.Bool("update", false, "write the golden files of the sessions anew")

// memNet is a network in memory, on which the paused clock may advance.
type memNet struct {
	mu    sync.Mutex
	ports map[string]*memListener
}

func newMemNet() *memNet {
	return &memNet{ports: map[string]*memListener{}}
}

type memListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (a memAddr) Network() string { return "tcp" }
func (a memAddr) String() string  { return string(a) }

// memConn carries the address of its caller.
type memConn struct {
	net.Conn
	remote net.Addr
}

func (c memConn) RemoteAddr() net.Addr { return c.remote }

func (n *memNet) listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.ports[address] = l
	return l, nil
}

func (n *memNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.ports[address]
	n.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("connection to %s refused", address)
	}
	near, far := net.Pipe()
	select {
	case l.conns <- memConn{far, memAddr("10.9.0.1:4000")}:
		return near, nil
	case <-l.closed:
		return nil, fmt.Errorf("connection to %s refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// session is one golden session: a daemon, its targets and a caller on the
// paused clock, with a transcript of what passes between them.
type session struct {
	g        *WithT
	net      *memNet
	platform *stand.Platform
	targets  []*stand.Target
	servers  []*http.Server
	daemon   *Daemon
	started  time.Time
	// operators are those of the daemon's settings.
	operators []config.Operator

	mu    sync.Mutex
	lines []string
}

const sessionSettings = `{
  "/": {"owners": ["marta", "hector"], "address-ttl": "5s"},
  "/region/ar-costa": {},
  "/data-centre/mdp": {},
  "/workspace/cortavientos": {"floor": 1},
  "/workspace/cortavientos/service/reservas": {
    "region": "ar-costa",
    "targets": [
      {"id": "reservas-1", "address": "10.1.0.1:80", "data-centre": "mdp"},
      {"id": "reservas-2", "address": "10.1.0.2:80", "data-centre": "mdp"}
    ]
  },
  "/workspace/cortavientos/service/reservas/route/book": {
    "methods": ["POST"], "path-prefix": "/bookings", "kind": "order", "deadline": "2s",
    "refusal": {"status": 503, "header": "X-Shed"}
  },
  "/workspace/cortavientos/service/reservas/route/show": {
    "methods": ["GET"], "path-prefix": "/bookings", "kind": "lookup", "deadline": "2s"
  }
}`

func newSession(t *testing.T) *session {
	s := &session{g: NewWithT(t), net: newMemNet(), platform: stand.NewPlatform(), started: time.Now()}
	doc, err := tree.ParseFile([]byte(sessionSettings))
	s.g.Expect(err).NotTo(HaveOccurred())
	_, _, err = settle.NewBook(s.platform.Table()).Bootstrap(context.Background(), doc, "marta")
	s.g.Expect(err).NotTo(HaveOccurred())
	for i := range 2 {
		target := stand.NewTarget(fmt.Sprintf("reservas-%d", i+1), stand.WithWork(20*time.Millisecond))
		s.targets = append(s.targets, target)
		s.serveTarget(fmt.Sprintf("10.1.0.%d:80", i+1), fmt.Sprintf("reservas-%d", i+1), target)
	}
	return s
}

// memServer runs an HTTP server in memory.
type memServer struct {
	server   *http.Server
	listener net.Listener
}

func (m memServer) run() { _ = m.server.Serve(m.listener) }

func (s *session) serveTarget(address, id string, target *stand.Target) {
	l, _ := s.net.listen(address)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			s.note("target %s receives %s %s, key %s, deadline %s ms", id, r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), r.Header.Get("Wisteria-Deadline-Ms"))
		}
		target.ServeHTTP(w, r)
	})}
	s.servers = append(s.servers, server)
	go memServer{server, l}.run()
}

func (s *session) start() {
	settings := config.Defaults()
	settings.VM, settings.Region, settings.DataCentre = "mdp-1", "ar-costa", "mdp"
	settings.CallerAddress, settings.InnerAddress, settings.AdminAddress = "10.0.0.1:7000", "10.0.0.1:7100", "10.0.0.1:7200"
	settings.FleetSecrets = []config.Secret{config.Secret("0123456789abcdef")}
	settings.Operators = s.operators
	s.g.Expect(s.platform.PutVM(context.Background(), settings.Self())).To(Succeed())
	authority, err := inner.NewAuthority()
	s.g.Expect(err).NotTo(HaveOccurred())
	id, err := authority.Issue(settings.VM)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.daemon, err = New(settings, WithIdentity(id), WithListen(s.net.listen), WithDial(s.net.dial),
		WithLogger(log.NewLogfmtLogger(sessionLog{s})),
		WithPlatform(Platform{Table: s.platform.Table(), Objects: s.platform.Objects(), VMs: s.platform.VMList()}))
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(s.daemon.Start(context.Background())).To(Succeed())
}

func (s *session) startReady() {
	s.start()
	time.Sleep(time.Second)
	s.g.Expect(s.daemon.Ready()).To(BeTrue())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = nil
}

func (s *session) close() {
	s.daemon.Kill()
	for _, server := range s.servers {
		_ = server.Close()
	}
	synctest.Wait()
}

func (s *session) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := redact(fmt.Sprintf(format, args...))
	for line := range strings.Lines(text) {
		s.lines = append(s.lines, fmt.Sprintf("%8.3fs %s", time.Since(s.started).Seconds(), strings.TrimRight(line, "\r\n")))
	}
}

// redactions replace what differs from run to run.
var redactions = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`w[0-9]\.[A-Za-z0-9_-]{20,}|[A-Za-z0-9_-]{60,}`), "<token>"},
	{regexp.MustCompile(`(?m)^Date: .*$`), "Date: <date>"},
	// The load that a target reports depends on whether a probe is on its way.
	{regexp.MustCompile(`X-Load: [0-9.]+`), "X-Load: <load>"},
	{regexp.MustCompile(`mdp-1\.[0-9a-f]{16}`), "<incarnation>"},
	{regexp.MustCompile(`change [0-9a-f]{16}`), "change <id>"},
}

func redact(text string) string {
	for _, r := range redactions {
		text = r.pattern.ReplaceAllString(text, r.text)
	}
	return text
}

// sessionLog writes the daemon's log lines into the transcript.
type sessionLog struct{ s *session }

func (l sessionLog) Write(p []byte) (int, error) {
	l.s.note("log      %s", p)
	return len(p), nil
}

// call sends one request of a caller as bytes and notes the bytes that return.
func (s *session) call(head, body string) *http.Response {
	c, err := s.net.dial(context.Background(), "tcp", "10.0.0.1:7000")
	s.g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	raw := strings.ReplaceAll(strings.TrimSpace(head), "\n", "\r\n") + "\r\nHost: wisteria\r\nConnection: close\r\n"
	if body != "" {
		raw += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	raw += "\r\n" + body
	s.note("%s", prefixed("caller > ", raw))
	_, err = io.WriteString(c, raw)
	s.g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	data, err := httputil.DumpResponse(resp, true)
	s.note("%s", prefixed("caller < ", string(data)))
	if err != nil {
		s.note("caller   the response broke off: %v", err)
	}
	return resp
}

func prefixed(prefix, text string) string {
	var b strings.Builder
	for line := range strings.Lines(strings.TrimRight(redact(text), "\r\n")) {
		b.WriteString(strings.TrimRight(prefix+strings.TrimRight(line, "\r\n"), " ") + "\n")
	}
	return strings.TrimRight(b.String(), "\n")
}

func (s *session) token() string {
	resp := s.call("POST /v1/order-tokens?service=reservas HTTP/1.1\nX-Request-Id: t1", "")
	var reply tokenBody
	decode(s.g, resp, &reply)
	return reply.Token
}

type tokenBody struct {
	Token string `json:"token"`
}

func (s *session) book(key, id string) {
	s.call("POST /bookings HTTP/1.1\nWisteria-Service: reservas\nX-Request-Id: "+id+"\nIdempotency-Key: \""+key+"\"", `{"windbreak":7}`)
}

func (s *session) show(id string) {
	s.call("GET /bookings/7 HTTP/1.1\nWisteria-Service: reservas\nX-Request-Id: "+id, "")
}

// golden compares the transcript with the golden file.
func (s *session) golden(name string) {
	s.mu.Lock()
	got := []byte(strings.Join(s.lines, "\n") + "\n")
	s.mu.Unlock()
	file := filepath.Join("testdata", name+".golden")
	if *update {
		s.g.Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		s.g.Expect(os.WriteFile(file, got, 0o644)).To(Succeed())
		return
	}
	want, err := os.ReadFile(file)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(string(got)).To(Equal(string(bytes.TrimLeft(want, "\n"))), "session %s differs; run with -update and read the difference", name)
}
