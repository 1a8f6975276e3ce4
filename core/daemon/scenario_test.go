package daemon

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

var update = flag.Bool("update", false, "write the golden files of the sessions anew")

// session is daemons, their targets and a caller on the paused clock, with a
// transcript of what passes between them.
type session struct {
	g         *WithT
	net       *memNet
	platform  *stand.Platform
	targets   []*stand.Target
	servers   []*http.Server
	authority *inner.Authority
	clients   []*store.Client
	daemons   []*Daemon
	loads     []*load
	seeds     []string
	// quiet keeps no transcript.
	quiet bool
	// wrap changes what a daemon sees of the platform.
	wrap []func(i int, p Platform) Platform
	// operators are those of the daemons' settings.
	operators []config.Operator
	started   time.Time

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

func newSession(t *testing.T, settings string) *session {
	s := &session{g: NewWithT(t), net: newMemNet(), platform: stand.NewPlatform(), started: time.Now()}
	doc, err := tree.ParseFile([]byte(settings))
	s.g.Expect(err).NotTo(HaveOccurred())
	_, _, err = s.operator().Bootstrap(context.Background(), doc, "marta")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.authority, err = inner.NewAuthority()
	s.g.Expect(err).NotTo(HaveOccurred())
	catalog, err := doc.Compile()
	s.g.Expect(err).NotTo(HaveOccurred())
	service, _ := catalog.Service("reservas")
	for _, t := range service.Targets {
		target := stand.NewTarget(string(t.ID), stand.WithWork(20*time.Millisecond))
		s.targets = append(s.targets, target)
		s.serve(t.Address, s.noting(string(t.ID), target))
	}
	s.serve(platformHost+":80", s.platform)
	return s
}

// operator returns an operator's view of the settings.
func (s *session) operator() *settle.Changelog { return settle.NewChangelog(s.platform.Table()) }

// memServer runs an HTTP server in memory.
type memServer struct {
	server   *http.Server
	listener net.Listener
}

func (m memServer) run() { _ = m.server.Serve(m.listener) }

func (s *session) serve(address string, h http.Handler) {
	l, _ := s.net.listen(address)
	server := &http.Server{Handler: h, ErrorLog: stdlog.New(io.Discard, "", 0)}
	s.servers = append(s.servers, server)
	go memServer{server, l}.run()
}

// noting writes the work that reaches a target into the transcript.
func (s *session) noting(id string, target *stand.Target) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			s.note("target %s receives %s %s, key %s, deadline %s ms", id, r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), r.Header.Get("Wisteria-Deadline-Ms"))
		}
		target.ServeHTTP(w, r)
	})
}

const (
	platformHost = "10.3.0.1"
	callerHost   = "10.9.0.1"
	mostDaemons  = 6
)

var centres = []string{"mdp", "pinamar", "necochea"}

// host returns the host of a daemon by its index.
func host(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// vmSettings returns the process settings of a daemon. The data centres take turns.
func (s *session) vmSettings(i int) *config.Settings {
	settings := config.Defaults()
	dc := centres[i%len(centres)]
	settings.VM, settings.Region, settings.DataCentre = fleet.VMID(fmt.Sprintf("%s-%d", dc, i/len(centres)+1)), "ar-costa", fleet.DataCentre(dc)
	settings.CallerAddress, settings.InnerAddress, settings.AdminAddress = host(i)+":7000", host(i)+":7100", host(i)+":7200"
	settings.FleetSecrets = []config.Secret{config.Secret("0123456789abcdef")}
	settings.Seeds = s.seeds
	settings.Operators = s.operators
	return settings
}

// start runs one more daemon, which reaches the platform over the network.
func (s *session) start() {
	i := len(s.daemons)
	settings := s.vmSettings(i)
	_ = s.platform.PutVM(context.Background(), settings.Self())
	id, err := s.authority.Issue(settings.VM)
	s.g.Expect(err).NotTo(HaveOccurred())
	dial := s.net.dialFrom(host(i))
	client := store.NewClient("http://"+platformHost+":80", store.WithTransport(&http.Transport{DialContext: dial}),
		store.WithDaemons(func() int { return mostDaemons }))
	s.clients = append(s.clients, client)
	platform := Platform{Table: client.Table(), Objects: client.Objects(), VMs: client.VMList()}
	for _, wrap := range s.wrap {
		platform = wrap(i, platform)
	}
	d, err := New(settings, WithIdentity(id), WithListen(s.net.listen), WithDial(dial), WithLogger(log.NewLogfmtLogger(sessionLog{s})),
		WithPlatform(platform))
	s.g.Expect(err).NotTo(HaveOccurred())
	s.daemons = append(s.daemons, d)
	s.g.Expect(d.Start(context.Background())).To(Succeed())
}

func (s *session) startReady() {
	s.start()
	time.Sleep(time.Second)
	s.g.Expect(s.daemons[0].Ready()).To(BeTrue())
	s.forget()
}

// forget empties the transcript.
func (s *session) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = nil
}

// forgetLogs drops the log lines, for sessions in which their times are random.
func (s *session) forgetLogs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = slices.DeleteFunc(s.lines, func(line string) bool { return strings.Contains(line, "s log  ") })
}

func (s *session) close() {
	s.net.mendAll()
	s.endLoad()
	for i, d := range s.daemons {
		d.Kill()
		s.clients[i].Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	synctest.Wait()
}

func (s *session) note(format string, args ...any) {
	if s.quiet {
		return
	}
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
	{regexp.MustCompile(`[a-z]+-[0-9]\.[0-9a-f]{16}`), "<incarnation>"},
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
	if bytes.Contains(p, []byte("connection ended")) {
		// Peers notice the end of a daemon in random order.
		return len(p), nil
	}
	l.s.note("log      %s", p)
	return len(p), nil
}

func (s *session) call(head, body string) *http.Response {
	return s.callAt(0, head, body)
}

// callAt sends one request to a daemon as bytes and notes the bytes that return.
func (s *session) callAt(i int, head, body string) *http.Response {
	c, err := s.net.dialFrom(callerHost)(context.Background(), "tcp", host(i)+":7000")
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
	s.call(lookup(id), "")
}

func lookup(id string) string {
	return "GET /bookings/7 HTTP/1.1\nWisteria-Service: reservas\nX-Request-Id: " + id
}

func (s *session) transcript() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []byte(strings.Join(s.lines, "\n") + "\n")
}

// golden compares the transcript with the golden file.
func (s *session) golden(name string, got []byte) {
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
