package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/proxy"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/tree"
)

// TestMain runs the package's tests on one processor. Under -race, Go 1.26.8 runs
// the timers of a synctest bubble in one race detector context without a lock. If two
// threads do so at once in a large bubble, the process crashes (SIGSEGV in
// runtime.(*timer).maybeRunChan, seen in both of two runs with -count=15).
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// fleetSettings defines a service with six targets in three data centres. Its floor
// allows three of them to be ejected.
var fleetSettings = func() string {
	var targets []string
	for i := range 6 {
		targets = append(targets, fmt.Sprintf(`{"id": "reservas-%d", "address": "%s:80", "data-centre": "%s"}`, i+1, targetHost(i), testDataCentres[i%len(testDataCentres)]))
	}
	a, rest, _ := strings.Cut(scenarioSettings, `"targets": [`)
	_, b, _ := strings.Cut(rest, "]")
	text := a + `"targets": [` + strings.Join(targets, ",") + "]" + b
	text = strings.Replace(text, `"/data-centre/mdp": {}`, `"/data-centre/mdp": {}, "/data-centre/pinamar": {}, "/data-centre/necochea": {}`, 1)
	return strings.Replace(text, `"floor": 1`, `"floor": 3`, 1)
}()

func targetHost(i int) string { return fmt.Sprintf("10.1.0.%d", i+1) }

func targetID(i int) fleet.TargetID { return fleet.TargetID(fmt.Sprintf("reservas-%d", i+1)) }

// runFleet starts n daemons in a synctest bubble, waits until they know each other
// and then runs the steps. The wrap functions may change each daemon's client of the
// platform.
func runFleet(t *testing.T, n int, steps func(s *scenario), wrap ...func(i int, p Platform) Platform) {
	synctest.Test(t, func(t *testing.T) {
		s := newScenario(t, fleetSettings)
		defer s.close()
		s.wrapPlatform, s.noTranscript = wrap, true
		for range n {
			s.startDaemon()
		}
		time.Sleep(10 * time.Second)
		for _, d := range s.daemons {
			s.g.Expect(d.Ready()).To(BeTrue())
		}
		steps(s)
	})
}

// isolate blocks the network of a host in both directions, as if its VM were paused
// or lost.
func (s *scenario) isolate(host string) {
	s.net.block(host, anyHost)
	s.net.block(anyHost, host)
}

func (s *scenario) reconnect(host string) {
	s.net.unblock(host, anyHost)
	s.net.unblock(anyHost, host)
}

// response is what a caller receives; err is set if it receives no response.
type response struct {
	Token     string
	TTL       int `json:"ttl-seconds"`
	Addresses []proxy.Address
	status    int
	outcome   string
	replayed  bool
	body      string
	err       error
}

// send sends one request to a daemon; key is set for orders.
func (s *scenario) send(i int, method, path, key string) (r response) {
	req, err := http.NewRequest(method, "http://"+daemonHost(i)+":7000"+path, nil)
	s.g.Expect(err).NotTo(HaveOccurred())
	if !strings.HasPrefix(path, "/v1/") {
		req.Header.Set(proxy.HeaderService, "reservas")
	}
	if key != "" {
		req.Header.Set(proxy.HeaderOrderKey, `"`+key+`"`)
	}
	client := http.Client{Transport: &http.Transport{DialContext: s.net.dialFrom(callerHost), DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	_ = json.Unmarshal(data, &r)
	r.status, r.body, r.err = resp.StatusCode, string(data), err
	r.outcome, r.replayed = resp.Header.Get(proxy.HeaderOutcome), resp.Header.Get(proxy.HeaderReplayed) != ""
	return r
}

func (s *scenario) sendLookup(i int) response { return s.send(i, http.MethodGet, "/bookings/7", "") }

func (s *scenario) sendOrder(i int, key string) response {
	return s.send(i, http.MethodPost, "/bookings", key)
}

// addresses returns the VMs that a daemon lists for the service.
func (s *scenario) addresses(i int) (ids []fleet.VMID) {
	for _, a := range s.send(i, http.MethodGet, "/v1/addresses?service=reservas", "").Addresses {
		ids = append(ids, a.VM)
	}
	return ids
}

// newTokenFrom returns a new order token of a daemon, without writing the request into
// the transcript.
func (s *scenario) newTokenFrom(i int) string {
	r := s.send(i, http.MethodPost, "/v1/order-tokens?service=reservas", "")
	s.g.Expect(r.Token).NotTo(BeEmpty(), "%+v", r)
	return r.Token
}

// asyncOrder sends an order in the background.
type asyncOrder struct {
	scenario *scenario
	daemon   int
	key      string
	response chan response
}

func (o asyncOrder) run() { o.response <- o.scenario.sendOrder(o.daemon, o.key) }

func (s *scenario) sendOrderAsync(i int, key string) chan response {
	o := asyncOrder{s, i, key, make(chan response, 1)}
	go o.run()
	return o.response
}

// asyncStop stops a daemon gracefully in the background.
type asyncStop struct {
	scenario *scenario
	daemon   int
	done     chan struct{}
}

func (p asyncStop) run() {
	defer close(p.done)
	if err := p.scenario.daemons[p.daemon].Stop(context.Background()); err != nil {
		p.scenario.transcribe("stop failed: %v", err)
	}
}

func (s *scenario) stopAsync(i int) chan struct{} {
	p := asyncStop{s, i, make(chan struct{})}
	go p.run()
	return p.done
}

// runs returns how often the targets ran the order with the key.
func (s *scenario) runs(key string) (n int) {
	for _, t := range s.targets {
		for _, r := range t.Executions() {
			if strings.Contains(r.Key, key) {
				n++
			}
		}
	}
	return n
}

// loadGenerator sends lookups, or orders with keys chosen by the caller, to one daemon
// until it is stopped.
type loadGenerator struct {
	scenario *scenario
	daemon   int
	orders   bool
	stop     chan struct{}
	done     chan struct{}
	failures atomic.Int64
}

const (
	// loadInterval and generatorsPerDaemon make each daemon use both targets of its
	// data centre: of two concurrent requests, each target receives one.
	loadInterval        = 200 * time.Millisecond
	generatorsPerDaemon = 2
)

func (l *loadGenerator) run() {
	defer close(l.done)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			if l.orders {
				l.scenario.sendOrder(l.daemon, fmt.Sprintf("counter-%d-%d", l.daemon, time.Now().UnixNano()))
			} else if r := l.scenario.sendLookup(l.daemon); r.status != http.StatusOK {
				l.failures.Add(1)
			}
		}
	}
}

// startLoad sends lookups to all daemons until stopLoad or close.
func (s *scenario) startLoad() {
	for i := range generatorsPerDaemon * len(s.daemons) {
		s.startGenerator(&loadGenerator{daemon: i / generatorsPerDaemon})
	}
}

func (s *scenario) startGenerator(l *loadGenerator) {
	l.scenario, l.stop, l.done = s, make(chan struct{}), make(chan struct{})
	s.loadGenerators = append(s.loadGenerators, l)
	go l.run()
}

// stopLoad stops the load generators and returns the number of failed lookups.
func (s *scenario) stopLoad() (failures int64) {
	for _, l := range s.loadGenerators {
		close(l.stop)
		<-l.done
		failures += l.failures.Load()
	}
	s.loadGenerators = nil
	return failures
}

// states returns the state of a target at each daemon.
func (s *scenario) states(target int) []string {
	var out []string
	for _, d := range s.daemons {
		state, _, _ := d.TargetState(targetID(target))
		out = append(out, state)
	}
	return out
}

// inState returns the number of targets that are in a state at a daemon.
func (s *scenario) inState(i int, want string) (n int) {
	for t := range s.targets {
		if s.states(t)[i] == want {
			n++
		}
	}
	return n
}

// pollInterval is the time between two checks of the fleet's state.
const pollInterval = 250 * time.Millisecond

// eventually polls until check holds. The test fails if it does not hold within limit.
func (s *scenario) eventually(limit time.Duration, what string, check func() bool) {
	began := time.Now()
	for !check() {
		s.g.Expect(time.Since(began)).To(BeNumerically("<", limit), what)
		time.Sleep(pollInterval)
	}
}

// consistently runs check at each poll for the whole duration.
func (s *scenario) consistently(d time.Duration, check func()) {
	for began := time.Now(); time.Since(began) < d; time.Sleep(pollInterval) {
		check()
	}
}

// commitChange commits a change of the settings and returns its revision.
func (s *scenario) commitChange(ops ...tree.Op) settle.Revision {
	changelog := s.newChangelog()
	r, err := changelog.Commit(context.Background(), s.propose(changelog, "marta", ops))
	s.g.Expect(err).NotTo(HaveOccurred())
	return r
}

// setFloor returns the op that sets the floor of the workspace.
func setFloor(n int) tree.Op {
	return tree.Op{Path: "/workspace/cortavientos", Key: "floor", Value: json.RawMessage(fmt.Sprint(n))}
}

// failTargets makes targets fail their requests, while their probes succeed.
func (s *scenario) failTargets(targets ...int) {
	for _, t := range targets {
		s.targets[t].SetFaults(stand.TargetFaults{FailWork: true})
	}
}

// failPlatform makes the platform refuse every request.
func (s *scenario) failPlatform() {
	s.platform.SetFaults(stand.PlatformFaults{TableDown: true, ObjectsDown: true, VMsDown: true})
}
