package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/proxy"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/tree"
	"wisteriarelay.example/platform/fake"
)

// waitTimeout limits the wait for an event in another process.
const waitTimeout = 20 * time.Second

// program is the path of the program under test.
var program string

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wisteriad")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "wisteriad")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running daemon.
type process struct {
	cmd *exec.Cmd
	// output is the end of the pipe from which the daemon's log is read.
	output *os.File
	ended  chan struct{}
	// paused is held while the output is not read.
	paused sync.Mutex

	mu    sync.Mutex
	lines strings.Builder
}

// startProcess starts the program with its standard output and error as one pipe.
func startProcess(g *WithT, args ...string) *process {
	r, w, err := os.Pipe()
	g.Expect(err).NotTo(HaveOccurred())
	p := &process{cmd: exec.Command(program, args...), output: r, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	g.Expect(p.cmd.Start()).To(Succeed())
	_ = w.Close()
	go (&outputReader{p}).run()
	go (&processWaiter{p}).run()
	return p
}

// outputReader collects the output of a process.
type outputReader struct{ *process }

func (r *outputReader) run() {
	s := bufio.NewScanner(r.output)
	for s.Scan() {
		r.paused.Lock()
		r.addLine(s.Text())
		r.paused.Unlock()
	}
}

func (r *outputReader) addLine(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines.WriteString(line + "\n")
}

// processWaiter waits for the end of a process.
type processWaiter struct{ *process }

func (w *processWaiter) run() {
	defer close(w.ended)
	_ = w.cmd.Wait()
}

func (p *process) signal(g *WithT, s syscall.Signal) {
	g.Expect(p.cmd.Process.Signal(s)).To(Succeed())
}

// log returns the output of the process so far.
func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lines.String()
}

// pauseOutput lets nobody read the output any more, and keeps it open.
func (p *process) pauseOutput() {
	p.paused.Lock()
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// exitState waits for the end of the process and describes it, for example as "exit
// status 0" or "signal: hangup".
func (p *process) exitState(g *WithT) string {
	g.Eventually(p.ended).WithTimeout(waitTimeout).Should(BeClosed(), "the process ends; its log:\n%s", p.log())
	return p.cmd.ProcessState.String()
}

// kill ends the process if it still runs.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
	_ = p.output.Close()
}

// freeAddress returns a loopback address whose port is not in use.
func freeAddress(g *WithT) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// startAttempts limits the attempts to start a daemon: another process may take a free
// port before the daemon listens on it.
const startAttempts = 5

// testDaemon is a daemon with the platform and the targets that it needs.
type testDaemon struct {
	*process
	g *WithT
	// settings is the path of the settings file.
	settings string
	// address is where callers connect.
	address string
	// readyURL answers with status 200 while the daemon is ready.
	readyURL string
	// newRequest returns a request that a target runs at most once.
	newRequest func(id string) *http.Request
	// newRefused returns a request that the daemon refuses with a log line.
	newRefused func() *http.Request
	target     *holdingTarget
	// startedLine is in the log once the daemon serves requests.
	startedLine string
}

// waitUntilReady waits until the daemon is ready, and reports false if it ended because
// one of its ports was taken.
func (d *testDaemon) waitUntilReady() bool {
	started := func() bool { return d.ready() && strings.Contains(d.log(), d.startedLine) }
	d.g.Eventually(func() bool { return d.hasEnded() || started() }).WithTimeout(waitTimeout).Should(BeTrue())
	if !d.hasEnded() {
		return true
	}
	d.g.Expect(d.log()).To(ContainSubstring("address already in use"))
	return false
}

func (d *testDaemon) ready() bool {
	resp, err := http.Get(d.readyURL)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is what a caller receives; err is set if it receives no whole response.
type answer struct {
	status int
	body   string
	err    error
}

func send(req *http.Request) answer {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(data), err: err}
}

// pendingRequest is a request that is sent in the background.
type pendingRequest struct {
	request *http.Request
	answers chan answer
}

func (p *pendingRequest) run() { p.answers <- send(p.request) }

// startRequest sends a request and returns once a target has received it.
func (d *testDaemon) startRequest(id string) chan answer {
	p := &pendingRequest{d.newRequest(id), make(chan answer, 1)}
	go p.run()
	d.g.Eventually(func() bool { return d.target.arrived(id) }).WithTimeout(waitTimeout).Should(BeTrue(), "%s", d.log())
	return p.answers
}

// expectServed expects that the target answers a request, which it may do from now on.
func (d *testDaemon) expectServed(answers chan answer) {
	d.g.THelper()
	d.target.release()
	var a answer
	d.g.Eventually(answers).WithTimeout(waitTimeout).Should(Receive(&a))
	d.g.Expect(a.err).NotTo(HaveOccurred(), "the daemon's log:\n%s", d.log())
	d.g.Expect(a.status).To(Equal(http.StatusOK), a.body)
}

// holdingTarget is a target that has requests wait until it is released, so that they are
// in progress as long as a test needs.
type holdingTarget struct {
	handler http.Handler
	// idHeader is the name of the header with the id of a request. Requests without one,
	// such as health checks, do not wait.
	idHeader string
	released chan struct{}
	once     sync.Once

	mu  sync.Mutex
	ids map[string]bool
}

func newHoldingTarget(h http.Handler, idHeader string) *holdingTarget {
	return &holdingTarget{handler: h, idHeader: idHeader, released: make(chan struct{}), ids: map[string]bool{}}
}

// ServeHTTP passes the request on once the target is released.
func (h *holdingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(h.idHeader); id != "" {
		h.add(id)
		<-h.released
	}
	h.handler.ServeHTTP(w, r)
}

// release ends the wait of all requests, present and future ones.
func (h *holdingTarget) release() {
	h.once.Do(func() { close(h.released) })
}

func (h *holdingTarget) add(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ids[id] = true
}

// arrived reports whether the target has received the request with the id.
func (h *holdingTarget) arrived(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ids[id]
}

// serve returns the address at which the target listens until the test ends.
func (h *holdingTarget) serve(t *testing.T) string {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	t.Cleanup(h.release)
	return strings.TrimPrefix(server.URL, "http://")
}

// startRelay starts a daemon on the users' platform with one target.
func startRelay(t *testing.T) *testDaemon {
	return newRelayEnv(t).startReady()
}

// relayEnv holds the store and the target of a daemon on the users' platform.
type relayEnv struct {
	t      *testing.T
	g      *WithT
	store  string
	target *holdingTarget
	// addresses are those of the last settings.
	addresses [5]string
}

func newRelayEnv(t *testing.T) *relayEnv {
	g := NewWithT(t)
	store := fake.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	run, err := fake.NewTarget("t0", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(run.Close)
	e := &relayEnv{t: t, g: g, store: strings.TrimPrefix(server.URL, "http://"), target: newHoldingTarget(run, "Request-Id")}
	entry := run.Entry("stock", "a", "ready")
	entry["address"] = e.target.serve(t)
	store.Put("servers", run.ID, entry)
	store.Put("op", "config", relayConfig(1))
	return e
}

// routeTimeoutMillis leaves requests time to wait for a target that is at work.
const routeTimeoutMillis = 10_000

// relayConfig returns a configuration whose routes have a long timeout.
func relayConfig(version int) map[string]any {
	c := fake.Config(version, "orders")
	for _, p := range c["hosts"].([]any)[0].(map[string]any)["paths"].([]any) {
		p.(map[string]any)["timeout_ms"] = routeTimeoutMillis
	}
	return c
}

// newSettings returns process settings with new free addresses.
func (e *relayEnv) newSettings() map[string]any {
	for i := range e.addresses {
		e.addresses[i] = freeAddress(e.g)
	}
	return e.settingsWith(6)
}

// settingsWith returns process settings with the addresses of the last ones.
func (e *relayEnv) settingsWith(shutdownSeconds float64) map[string]any {
	a := e.addresses
	return map[string]any{
		"vm": "vm-1", "data-centre": "a", "caller-address": a[0], "address-address": a[1], "ready-address": a[2],
		"inner-address": a[3], "metrics-address": a[4], "store-address": e.store, "shutdown-s": shutdownSeconds,
		"retry-budget": map[string]any{"ratio": 0.2, "span-s": 10, "slack": 1000},
	}
}

// start starts the daemon with a settings file that has the addresses of newSettings.
func (e *relayEnv) start(settings string) *testDaemon {
	p := startProcess(e.g, "relay", "-s", settings)
	e.t.Cleanup(p.kill)
	d := &testDaemon{process: p, g: e.g, settings: settings, target: e.target, address: e.addresses[0], readyURL: "http://" + e.addresses[2] + "/readiness"}
	d.startedLine = "configuration in force"
	d.newRequest = func(id string) *http.Request { return e.newRequest(d.address, "/orders/1", id) }
	d.newRefused = func() *http.Request { return e.newRequest(d.address, "/unknown/", "refused") }
	return d
}

// startReady starts a daemon with new settings and waits until it is ready.
func (e *relayEnv) startReady() *testDaemon {
	for range startAttempts {
		d := e.start(writeFile(e.g, filepath.Join(e.t.TempDir(), "settings.json"), e.newSettings()))
		if d.waitUntilReady() {
			return d
		}
	}
	e.t.Fatal("no free ports")
	return nil
}

func (e *relayEnv) newRequest(address, path, id string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	e.g.Expect(err).NotTo(HaveOccurred())
	req.Host = fake.Host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "10000")
	return req
}

// writeFile writes v as JSON into a file and returns its path.
func writeFile(g *WithT, file string, v any) string {
	data, err := json.Marshal(v)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	return file
}

const proxySettings = `{
  "/": {"owners": ["marta", "hector"], "address-ttl": "1s"},
  "/region/ar-costa": {},
  "/data-centre/mdp": {},
  "/workspace/cortavientos": {"floor": 1},
  "/workspace/cortavientos/service/reservas": {
    "region": "ar-costa", "targets": [{"id": "reservas-1", "address": "%s", "data-centre": "mdp"}]
  },
  "/workspace/cortavientos/service/reservas/route/book": {
    "methods": ["POST"], "path-prefix": "/bookings", "kind": "order", "deadline": "10s"
  }
}`

// startProxy starts a daemon with the own interface and one target.
func startProxy(t *testing.T) *testDaemon {
	e := newProxyEnv(t)
	for range startAttempts {
		d := e.start(writeFile(e.g, filepath.Join(t.TempDir(), "settings.json"), e.newSettings()))
		if d.waitUntilReady() {
			return d
		}
	}
	t.Fatal("no free ports")
	return nil
}

// proxyEnv holds the platform and the target of a daemon with the project's own interface.
type proxyEnv struct {
	t        *testing.T
	g        *WithT
	platform *stand.Platform
	url      string
	target   *holdingTarget
	files    inner.IdentityPEM
	address  string
}

func newProxyEnv(t *testing.T) *proxyEnv {
	e := &proxyEnv{t: t, g: NewWithT(t), platform: stand.NewPlatform()}
	e.target = newHoldingTarget(stand.NewTarget("reservas-1"), stand.HeaderRequestID)
	address := e.target.serve(t)
	platformServer := httptest.NewServer(e.platform)
	t.Cleanup(platformServer.Close)
	e.url = platformServer.URL
	doc, err := tree.ParseFile(fmt.Appendf(nil, proxySettings, address))
	e.g.Expect(err).NotTo(HaveOccurred())
	_, _, err = settle.NewChangelog(e.platform.Table()).Bootstrap(context.Background(), doc, "marta")
	e.g.Expect(err).NotTo(HaveOccurred())
	authority, err := inner.NewAuthority()
	e.g.Expect(err).NotTo(HaveOccurred())
	e.files, err = authority.IssuePEM("mdp-1")
	e.g.Expect(err).NotTo(HaveOccurred())
	return e
}

// newSettings returns process settings with new free addresses, and adds the VM to the
// platform's list.
func (e *proxyEnv) newSettings() map[string]any {
	dir := e.t.TempDir()
	for name, data := range map[string][]byte{"vm.pem": e.files.Certificate, "vm.key": e.files.Key, "ca.pem": e.files.Authority} {
		e.g.Expect(os.WriteFile(filepath.Join(dir, name), data, 0o600)).To(Succeed())
	}
	e.address = freeAddress(e.g)
	innerAddress := freeAddress(e.g)
	vm := fleet.VM{ID: "mdp-1", Region: "ar-costa", DataCentre: "mdp", CallerAddress: e.address, PeerAddress: innerAddress}
	e.g.Expect(e.platform.PutVM(context.Background(), vm)).To(Succeed())
	return map[string]any{
		"vm": "mdp-1", "region": "ar-costa", "data-centre": "mdp", "caller-address": e.address, "inner-address": innerAddress,
		"admin-address": freeAddress(e.g), "platform-url": e.url, "fleet-secrets": []string{"00112233445566778899aabbccddeeff"},
		"inner-tls-certificate": filepath.Join(dir, "vm.pem"), "inner-tls-key": filepath.Join(dir, "vm.key"), "inner-tls-authority": filepath.Join(dir, "ca.pem"),
	}
}

// start starts the daemon with a settings file that has the addresses of newSettings.
func (e *proxyEnv) start(settings string) *testDaemon {
	p := startProcess(e.g, "-s", settings)
	e.t.Cleanup(p.kill)
	d := &testDaemon{process: p, g: e.g, settings: settings, target: e.target, address: e.address, readyURL: "http://" + e.address + "/v1/ready"}
	d.startedLine = "service carried"
	d.newRequest = func(id string) *http.Request { return e.newRequest(d.address, "/bookings", id) }
	d.newRefused = func() *http.Request { return e.newRequest(d.address, "/unknown", "refused") }
	return d
}

func (e *proxyEnv) newRequest(address, path, id string) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	e.g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(proxy.HeaderService, "reservas")
	req.Header.Set(proxy.HeaderRequestID, id)
	req.Header.Set("Idempotency-Key", `"`+id+`"`)
	return req
}
