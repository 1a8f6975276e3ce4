package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
)

// benchTarget responds at once with a body of a fixed size.
type benchTarget struct{ body []byte }

func (t benchTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(t.body)))
	_, _ = w.Write(t.body)
}

// startBenchServer serves h on a loopback address, which it returns.
func startBenchServer(b *testing.B, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go (&benchServer{s, l}).run()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

type benchServer struct {
	server   *http.Server
	listener net.Listener
}

func (s *benchServer) run() { _ = s.server.Serve(s.listener) }

// startBenchRelay starts a Relay for 10 targets that all have the given address, and
// returns its own.
func startBenchRelay(b *testing.B, target string) string {
	const targets = 10
	service := &fleet.Service{ID: "disponible", Routes: []fleet.Route{lookupRoute()}}
	service.Policy = fleet.Policy{RetryBudget: 0.1, QueueLength: 4096}
	var states []limit.Target
	for i := range targets {
		id := fleet.TargetID(fmt.Sprintf("t%d", i))
		service.Targets = append(service.Targets, fleet.Target{ID: id, Address: target, Slots: 200})
		states = append(states, limit.Target{ID: id, Slots: 200, State: choose.Ready, Weight: 1, SameDataCentre: true})
	}
	carrier := NewUpstream(fleet.VM{ID: "vm1"}, service)
	carrier.Update(service, states, nil)
	relay := NewRelay(fleet.VM{ID: "vm1"}, FleetView{
		Upstream:     func(fleet.ServiceID) (*Upstream, bool) { return carrier, true },
		Service:      func(fleet.ServiceID) (*fleet.Service, bool) { return service, true },
		HasWorkspace: func(id fleet.WorkspaceID) bool { return id != "nowhere" },
		Ready:        func() bool { return true },
		Leaving:      func() bool { return false },
	}, nil)
	return startBenchServer(b, relay)
}

// benchCaller sends requests one after the other over its own connection.
type benchCaller struct {
	client  *http.Client
	url     string
	count   int
	pause   time.Duration
	elapsed []time.Duration
	err     error
}

func (c *benchCaller) run(running *sync.WaitGroup) {
	defer running.Done()
	for range c.count {
		time.Sleep(c.pause)
		started := time.Now()
		if c.err = c.sendRequest(); c.err != nil {
			return
		}
		c.elapsed = append(c.elapsed, time.Since(started))
	}
}

func (c *benchCaller) sendRequest() error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, c.url, nil)
	if err != nil {
		return err
	}
	req.Header.Set(HeaderService, "disponible")
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// runCallers sends the requests of all callers to the address and returns their
// latencies in ascending order.
func runCallers(b *testing.B, address string, callers, requestsPerCaller int, pause time.Duration) []time.Duration {
	var running sync.WaitGroup
	all := make([]*benchCaller, callers)
	for i := range all {
		transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}
		defer transport.CloseIdleConnections()
		all[i] = &benchCaller{client: &http.Client{Transport: transport}, url: "http://" + address + "/stock", count: requestsPerCaller, pause: pause}
		running.Add(1)
		go all[i].run(&running)
	}
	running.Wait()
	var elapsed []time.Duration
	for _, c := range all {
		if c.err != nil {
			b.Fatal(c.err)
		}
		elapsed = append(elapsed, c.elapsed...)
	}
	slices.Sort(elapsed)
	return elapsed
}

// quantile returns the q-quantile of the sorted durations in microseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// BenchmarkAddedLatency measures the latency that the daemon adds: it compares
// requests through the daemon with the same requests sent directly to the target,
// in one run. The metric "ratio-p50" is the median latency through the daemon
// divided by the direct one.
func BenchmarkAddedLatency(b *testing.B) {
	for _, size := range []int{200, 1 << 20} {
		for _, callers := range []int{1, 100, 1000} {
			b.Run(fmt.Sprintf("body=%d/callers=%d", size, callers), func(b *testing.B) {
				target := startBenchServer(b, benchTarget{body: make([]byte, size)})
				relay := startBenchRelay(b, target)
				requestsPerCaller := max(b.N/callers, 3)
				runCallers(b, target, callers, 2, 0)
				runCallers(b, relay, callers, 2, 0)
				reportLatencies(b, runCallers(b, target, callers, requestsPerCaller, 0), runCallers(b, relay, callers, requestsPerCaller, 0))
			})
		}
	}
}

// reportLatencies reports the latencies of requests sent directly to the target and
// through the daemon.
func reportLatencies(b *testing.B, direct, through []time.Duration) {
	b.ReportMetric(quantile(direct, 0.5), "direct-p50-us")
	b.ReportMetric(quantile(through, 0.5), "relay-p50-us")
	b.ReportMetric(quantile(direct, 0.99), "direct-p99-us")
	b.ReportMetric(quantile(through, 0.99), "relay-p99-us")
	b.ReportMetric(quantile(through, 0.5)/quantile(direct, 0.5), "ratio-p50")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPlannedRate makes the same comparison as BenchmarkAddedLatency with 100
// callers, at the peak rate planned for one daemon, 97 requests/s, and at ten
// times that rate.
func BenchmarkPlannedRate(b *testing.B) {
	const callers = 100
	for _, rate := range []int{97, 970} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			target := startBenchServer(b, benchTarget{body: make([]byte, 200)})
			relay := startBenchRelay(b, target)
			pause := time.Second * callers / time.Duration(rate)
			requestsPerCaller := max(b.N/callers, 3)
			reportLatencies(b, runCallers(b, target, callers, requestsPerCaller, pause), runCallers(b, relay, callers, requestsPerCaller, pause))
		})
	}
}

// BenchmarkRelayAllocs measures the allocations of a Relay for one request. It
// calls the handler directly, so that no HTTP client of a caller is included; the
// target's server runs in the same process and is.
func BenchmarkRelayAllocs(b *testing.B) {
	target := startBenchServer(b, benchTarget{body: make([]byte, 200)})
	service := &fleet.Service{ID: "disponible", Routes: []fleet.Route{lookupRoute()}}
	service.Targets = []fleet.Target{{ID: "t1", Address: target, Slots: 2}}
	carrier := NewUpstream(fleet.VM{ID: "vm1"}, service)
	carrier.Update(service, []limit.Target{{ID: "t1", Slots: 2, State: choose.Ready, Weight: 1}}, nil)
	relay := NewRelay(fleet.VM{ID: "vm1"}, FleetView{
		Upstream:     func(fleet.ServiceID) (*Upstream, bool) { return carrier, true },
		HasWorkspace: func(id fleet.WorkspaceID) bool { return id != "nowhere" },
		Ready:        func() bool { return true },
		Leaving:      func() bool { return false },
	}, nil)
	b.ReportAllocs()
	for b.Loop() {
		r := benchRequest()
		relay.ServeHTTP(&discardWriter{header: http.Header{}}, r)
	}
}

func benchRequest() *http.Request {
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://x/stock", nil)
	r.Header.Set(HeaderService, "disponible")
	r.RemoteAddr = "10.0.0.1:999"
	return r
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}
