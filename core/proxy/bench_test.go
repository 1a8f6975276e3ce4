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

// benchTarget answers with a body of a fixed size and no delay of its own.
type benchTarget struct{ body []byte }

func (t benchTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(t.body)))
	_, _ = w.Write(t.body)
}

func benchServe(b *testing.B, h http.Handler) string {
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

func benchRelay(b *testing.B, target string) string {
	const targets = 10
	service := &fleet.Service{ID: "disponible", Routes: []fleet.Route{lookupRoute()}}
	service.Policy = fleet.Policy{RetryBudget: 0.1, QueueLength: 4096}
	var states []limit.Target
	for i := range targets {
		id := fleet.TargetID(fmt.Sprintf("t%d", i))
		service.Targets = append(service.Targets, fleet.Target{ID: id, Address: target, Slots: 200})
		states = append(states, limit.Target{ID: id, Slots: 200, State: choose.Ready, Weight: 1, SameDataCentre: true})
	}
	carrier := NewCarrier(fleet.VM{ID: "vm1"}, service)
	carrier.Update(service, states, nil)
	relay := NewRelay(fleet.VM{ID: "vm1"}, Fleet{
		Carrier:      func(fleet.ServiceID) (*Carrier, bool) { return carrier, true },
		Service:      func(fleet.ServiceID) (*fleet.Service, bool) { return service, true },
		HasWorkspace: func(id fleet.WorkspaceID) bool { return id != "nowhere" },
		Ready:        func() bool { return true },
		Leaving:      func() bool { return false },
	}, nil)
	return benchServe(b, relay)
}

// benchCaller sends requests over one connection of its own.
type benchCaller struct {
	client  *http.Client
	url     string
	count   int
	pause   time.Duration
	elapsed []time.Duration
	err     error
}

func (c *benchCaller) run(done *sync.WaitGroup) {
	defer done.Done()
	for range c.count {
		time.Sleep(c.pause)
		started := time.Now()
		if c.err = c.once(); c.err != nil {
			return
		}
		c.elapsed = append(c.elapsed, time.Since(started))
	}
}

func (c *benchCaller) once() error {
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

func load(b *testing.B, address string, callers, each int, pause time.Duration) []time.Duration {
	var done sync.WaitGroup
	all := make([]*benchCaller, callers)
	for i := range all {
		transport := &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}
		defer transport.CloseIdleConnections()
		all[i] = &benchCaller{client: &http.Client{Transport: transport}, url: "http://" + address + "/stock", count: each, pause: pause}
		done.Add(1)
		go all[i].run(&done)
	}
	done.Wait()
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

func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// BenchmarkAddedLatency compares a request through the daemon with the same
// request straight to the target, in one run. The difference is what the
// daemon adds; "ratio" is the median through the daemon over the direct one.
func BenchmarkAddedLatency(b *testing.B) {
	for _, size := range []int{200, 1 << 20} {
		for _, callers := range []int{1, 100, 1000} {
			b.Run(fmt.Sprintf("body=%d/callers=%d", size, callers), func(b *testing.B) {
				target := benchServe(b, benchTarget{body: make([]byte, size)})
				relay := benchRelay(b, target)
				each := max(b.N/callers, 3)
				load(b, target, callers, 2, 0)
				load(b, relay, callers, 2, 0)
				compare(b, load(b, target, callers, each, 0), load(b, relay, callers, each, 0))
			})
		}
	}
}

func compare(b *testing.B, direct, through []time.Duration) {
	b.ReportMetric(quantile(direct, 0.5), "direct-p50-us")
	b.ReportMetric(quantile(through, 0.5), "relay-p50-us")
	b.ReportMetric(quantile(direct, 0.99), "direct-p99-us")
	b.ReportMetric(quantile(through, 0.99), "relay-p99-us")
	b.ReportMetric(quantile(through, 0.5)/quantile(direct, 0.5), "ratio-p50")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPlannedRate compares at the rate planned for one daemon at the peak,
// 97 requests/s, and at ten times that rate, from 100 callers.
func BenchmarkPlannedRate(b *testing.B) {
	const callers = 100
	for _, rate := range []int{97, 970} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			target := benchServe(b, benchTarget{body: make([]byte, 200)})
			relay := benchRelay(b, target)
			pause := time.Second * callers / time.Duration(rate)
			each := max(b.N/callers, 3)
			compare(b, load(b, target, callers, each, pause), load(b, relay, callers, each, pause))
		})
	}
}

// BenchmarkRelayAllocs counts the allocations of the daemon for one request,
// without a caller's and a target's own.
func BenchmarkRelayAllocs(b *testing.B) {
	target := benchServe(b, benchTarget{body: make([]byte, 200)})
	service := &fleet.Service{ID: "disponible", Routes: []fleet.Route{lookupRoute()}}
	service.Targets = []fleet.Target{{ID: "t1", Address: target, Slots: 2}}
	carrier := NewCarrier(fleet.VM{ID: "vm1"}, service)
	carrier.Update(service, []limit.Target{{ID: "t1", Slots: 2, State: choose.Ready, Weight: 1}}, nil)
	relay := NewRelay(fleet.VM{ID: "vm1"}, Fleet{
		Carrier:      func(fleet.ServiceID) (*Carrier, bool) { return carrier, true },
		HasWorkspace: func(id fleet.WorkspaceID) bool { return id != "nowhere" },
		Ready:        func() bool { return true },
		Leaving:      func() bool { return false },
	}, nil)
	b.ReportAllocs()
	for b.Loop() {
		r := benchRequest()
		relay.ServeHTTP(&nullWriter{header: http.Header{}}, r)
	}
}

func benchRequest() *http.Request {
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://x/stock", nil)
	r.Header.Set(HeaderService, "disponible")
	r.RemoteAddr = "10.0.0.1:999"
	return r
}

type nullWriter struct{ header http.Header }

func (w *nullWriter) Header() http.Header         { return w.header }
func (w *nullWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *nullWriter) WriteHeader(int)             {}
