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

var update = flag.Bool("update", false, "rewrite the golden files of the scenarios")

// scenario holds daemons, their targets, a platform and a caller, which run on virtual
// time, and a transcript of the messages between them.
type scenario struct {
	g              *WithT
	net            *memNet
	platform       *stand.Platform
	targets        []*stand.Target
	servers        []*http.Server
	authority      *inner.Authority
	clients        []*store.Client
	daemons        []*Daemon
	loadGenerators []*loadGenerator
	seeds          []string
	// noTranscript turns the transcript off.
	noTranscript bool
	// wrapPlatform functions change the client of the platform of daemon i.
	wrapPlatform []func(i int, p Platform) Platform
	// operators are the operators in the process settings of the daemons.
	operators []config.Operator
	started   time.Time

	mu              sync.Mutex
	transcriptLines []string
}

const scenarioSettings = `{
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

func newScenario(t *testing.T, settings string) *scenario {
	s := &scenario{g: NewWithT(t), net: newMemNet(), platform: stand.NewPlatform(), started: time.Now()}
	doc, err := tree.ParseFile([]byte(settings))
	s.g.Expect(err).NotTo(HaveOccurred())
	_, _, err = s.newChangelog().Bootstrap(context.Background(), doc, "marta")
	s.g.Expect(err).NotTo(HaveOccurred())
	s.authority, err = inner.NewAuthority()
	s.g.Expect(err).NotTo(HaveOccurred())
	catalog, err := doc.Catalog()
	s.g.Expect(err).NotTo(HaveOccurred())
	service, _ := catalog.Service("reservas")
	for _, t := range service.Targets {
		target := stand.NewTarget(string(t.ID), stand.WithWorkDuration(20*time.Millisecond))
		s.targets = append(s.targets, target)
		s.serveHTTP(t.Address, s.transcribeRequests(string(t.ID), target))
	}
	s.serveHTTP(platformHost+":80", s.platform)
	return s
}

// newChangelog returns the changelog of the settings as an operator uses it.
func (s *scenario) newChangelog() *settle.Changelog { return settle.NewChangelog(s.platform.Table()) }

// memServer runs an HTTP server on a listener.
type memServer struct {
	server   *http.Server
	listener net.Listener
}

func (m memServer) run() { _ = m.server.Serve(m.listener) }

func (s *scenario) serveHTTP(address string, h http.Handler) {
	l, _ := s.net.listen(address)
	server := &http.Server{Handler: h, ErrorLog: stdlog.New(io.Discard, "", 0)}
	s.servers = append(s.servers, server)
	go memServer{server, l}.run()
}

// transcribeRequests returns a handler that writes the requests to a target, except
// probes, into the transcript.
func (s *scenario) transcribeRequests(id string, target *stand.Target) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			s.transcribe("target %s receives %s %s, key %s, deadline %s ms", id, r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), r.Header.Get("Wisteria-Deadline-Ms"))
		}
		target.ServeHTTP(w, r)
	})
}

const (
	platformHost = "10.3.0.1"
	callerHost   = "10.9.0.1"
	maxDaemons   = 6
)

var testDataCentres = []string{"mdp", "pinamar", "necochea"}

// daemonHost returns the host of a daemon by its index.
func daemonHost(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// daemonSettings returns the process settings of a daemon. Daemons are assigned to the
// data centres in round-robin order.
func (s *scenario) daemonSettings(i int) *config.Settings {
	settings := config.Defaults()
	dc := testDataCentres[i%len(testDataCentres)]
	settings.VM, settings.Region, settings.DataCentre = fleet.VMID(fmt.Sprintf("%s-%d", dc, i/len(testDataCentres)+1)), "ar-costa", fleet.DataCentre(dc)
	settings.CallerAddress, settings.InnerAddress, settings.AdminAddress = daemonHost(i)+":7000", daemonHost(i)+":7100", daemonHost(i)+":7200"
	settings.FleetSecrets = []config.Secret{config.Secret("0123456789abcdef")}
	settings.Seeds = s.seeds
	settings.Operators = s.operators
	return settings
}

// startDaemon starts one more daemon, which reaches the platform over the in-memory
// network.
func (s *scenario) startDaemon() {
	i := len(s.daemons)
	settings := s.daemonSettings(i)
	_ = s.platform.PutVM(context.Background(), settings.Self())
	id, err := s.authority.Issue(settings.VM)
	s.g.Expect(err).NotTo(HaveOccurred())
	dial := s.net.dialFrom(daemonHost(i))
	client := store.NewClient("http://"+platformHost+":80", store.WithTransport(&http.Transport{DialContext: dial}),
		store.WithDaemons(func() int { return maxDaemons }))
	s.clients = append(s.clients, client)
	platform := Platform{Table: client.Table(), Objects: client.Objects(), VMs: client.VMList()}
	for _, wrap := range s.wrapPlatform {
		platform = wrap(i, platform)
	}
	d, err := New(settings, WithIdentity(id), WithListen(s.net.listen), WithDial(dial), WithLogger(log.NewLogfmtLogger(transcriptWriter{s})),
		WithPlatform(platform))
	s.g.Expect(err).NotTo(HaveOccurred())
	s.daemons = append(s.daemons, d)
	s.g.Expect(d.Start(context.Background())).To(Succeed())
}

func (s *scenario) startReadyDaemon() {
	s.startDaemon()
	time.Sleep(time.Second)
	s.g.Expect(s.daemons[0].Ready()).To(BeTrue())
	s.clearTranscript()
}

// clearTranscript empties the transcript.
func (s *scenario) clearTranscript() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transcriptLines = nil
}

// dropLogLines removes the log lines from the transcript, for scenarios in which their
// times are random.
func (s *scenario) dropLogLines() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transcriptLines = slices.DeleteFunc(s.transcriptLines, func(line string) bool { return strings.Contains(line, "s log  ") })
}

func (s *scenario) close() {
	s.net.unblockAll()
	s.stopLoad()
	for i, d := range s.daemons {
		d.Kill()
		s.clients[i].Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	synctest.Wait()
}

// transcribe adds lines to the transcript.
func (s *scenario) transcribe(format string, args ...any) {
	if s.noTranscript {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	text := redact(fmt.Sprintf(format, args...))
	for line := range strings.Lines(text) {
		s.transcriptLines = append(s.transcriptLines, fmt.Sprintf("%8.3fs %s", time.Since(s.started).Seconds(), strings.TrimRight(line, "\r\n")))
	}
}

// redactions replace texts that differ from run to run.
var redactions = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`w[0-9]\.[A-Za-z0-9_-]{20,}|[A-Za-z0-9_-]{60,}`), "<token>"},
	{regexp.MustCompile(`(?m)^Date: .*$`), "Date: <date>"},
	// The load that a target reports depends on whether a probe is in flight.
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

// transcriptWriter writes the daemon's log lines into the transcript.
type transcriptWriter struct{ scenario *scenario }

func (l transcriptWriter) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("connection ended")) {
		// Peers detect the end of a daemon in random order.
		return len(p), nil
	}
	l.scenario.transcribe("log      %s", p)
	return len(p), nil
}

// sendRaw calls sendRawTo for the first daemon.
func (s *scenario) sendRaw(header, body string) *http.Response {
	return s.sendRawTo(0, header, body)
}

// sendRawTo sends one request to a daemon as bytes, and writes the request and the
// response into the transcript.
func (s *scenario) sendRawTo(i int, header, body string) *http.Response {
	c, err := s.net.dialFrom(callerHost)(context.Background(), "tcp", daemonHost(i)+":7000")
	s.g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	raw := strings.ReplaceAll(strings.TrimSpace(header), "\n", "\r\n") + "\r\nHost: wisteria\r\nConnection: close\r\n"
	if body != "" {
		raw += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	raw += "\r\n" + body
	s.transcribe("%s", prefixLines("caller > ", raw))
	_, err = io.WriteString(c, raw)
	s.g.Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	data, err := httputil.DumpResponse(resp, true)
	s.transcribe("%s", prefixLines("caller < ", string(data)))
	if err != nil {
		s.transcribe("caller   the response broke off: %v", err)
	}
	return resp
}

func prefixLines(prefix, text string) string {
	var b strings.Builder
	for line := range strings.Lines(strings.TrimRight(redact(text), "\r\n")) {
		b.WriteString(strings.TrimRight(prefix+strings.TrimRight(line, "\r\n"), " ") + "\n")
	}
	return strings.TrimRight(b.String(), "\n")
}

// newToken returns a new order token of the first daemon.
func (s *scenario) newToken() string {
	resp := s.sendRaw("POST /v1/order-tokens?service=reservas HTTP/1.1\nX-Request-Id: t1", "")
	var reply tokenBody
	decodeJSON(s.g, resp, &reply)
	return reply.Token
}

type tokenBody struct {
	Token string `json:"token"`
}

func (s *scenario) sendRawOrder(key, id string) {
	s.sendRaw("POST /bookings HTTP/1.1\nWisteria-Service: reservas\nX-Request-Id: "+id+"\nIdempotency-Key: \""+key+"\"", `{"windbreak":7}`)
}

func (s *scenario) sendRawLookup(id string) {
	s.sendRaw(rawLookup(id), "")
}

// rawLookup returns the header of a lookup with the request id.
func rawLookup(id string) string {
	return "GET /bookings/7 HTTP/1.1\nWisteria-Service: reservas\nX-Request-Id: " + id
}

func (s *scenario) transcript() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []byte(strings.Join(s.transcriptLines, "\n") + "\n")
}

// compareGolden compares the transcript with the golden file.
func (s *scenario) compareGolden(name string, got []byte) {
	file := filepath.Join("testdata", name+".golden")
	if *update {
		s.g.Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		s.g.Expect(os.WriteFile(file, got, 0o644)).To(Succeed())
		return
	}
	want, err := os.ReadFile(file)
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Expect(string(got)).To(Equal(string(bytes.TrimLeft(want, "\n"))), "scenario %s differs; run with -update and review the difference", name)
}
