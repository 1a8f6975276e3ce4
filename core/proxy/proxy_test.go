package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/limit"
	"wisteriarelay.example/core/order"
	"wisteriarelay.example/core/stand"
)

func TestProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proxy")
}

// testRelay is a Relay with stand-in targets on the loopback interface.
type testRelay struct {
	service *fleet.Service
	carrier *Upstream
	targets []*stand.Target
	relay   *Relay
	server  *httptest.Server
}

func lookupRoute() fleet.Route {
	return fleet.Route{Name: "stock", Methods: []string{"GET", "HEAD"}, PathPrefix: "/stock", Kind: fleet.Lookup, Idempotent: true, Deadline: 5 * time.Second, Attempts: 3, MaxBody: 1 << 20}
}

// newTestRelay starts a testRelay with n targets of 2 slots each.
func newTestRelay(n int, routes ...fleet.Route) *testRelay {
	tr := &testRelay{service: &fleet.Service{ID: "disponible", Workspace: "cortavientos", Routes: routes}}
	tr.service.Policy = fleet.Policy{RetryBudget: 1, QueueLength: 16, AddressTTL: 30 * time.Second}
	var states []limit.Target
	for i := range n {
		t := stand.NewTarget(fmt.Sprintf("t%d", i+1), stand.WithWorkDuration(0))
		s := httptest.NewServer(t)
		DeferCleanup(s.Close)
		tr.targets = append(tr.targets, t)
		id := fleet.TargetID(fmt.Sprintf("t%d", i+1))
		tr.service.Targets = append(tr.service.Targets, fleet.Target{ID: id, Address: s.Listener.Addr().String(), Slots: 2})
		states = append(states, limit.Target{ID: id, Slots: 2, State: choose.Ready, Weight: 1, SameDataCentre: true})
	}
	tr.carrier = NewUpstream(fleet.VM{ID: "vm1"}, tr.service)
	tr.carrier.Update(tr.service, states, nil)
	tr.relay = NewRelay(fleet.VM{ID: "vm1"}, FleetView{
		Upstream: func(id fleet.ServiceID) (*Upstream, bool) { return tr.carrier, id == tr.service.ID },
		Service: func(id fleet.ServiceID) (*fleet.Service, bool) {
			return tr.service, id == tr.service.ID || id == "reservas"
		},
		Addresses: func(id fleet.ServiceID, dc fleet.DataCentre, _ string) AddressList {
			return AddressList{Service: id, TTLSeconds: 30, Addresses: []Address{{VM: "vm1", DataCentre: dc, Address: "127.0.0.1:1"}}}
		},
		HasWorkspace: func(id fleet.WorkspaceID) bool { return id != "nowhere" },
		Ready:        func() bool { return true },
		Leaving:      func() bool { return false },
	}, newOrderManager())
	tr.server = httptest.NewServer(tr.relay)
	DeferCleanup(tr.server.Close)
	return tr
}

// moveTarget replaces the targets by one that the server stands for.
func (tr *testRelay) moveTarget(s *httptest.Server) {
	moved := *tr.service
	moved.Targets = []fleet.Target{{ID: "t1", Address: s.Listener.Addr().String(), Slots: 2}}
	tr.carrier.Update(&moved, []limit.Target{{ID: "t1", Slots: 2, State: choose.Ready, Weight: 1}}, nil)
}

func newOrderManager() *order.Manager {
	signer, err := order.NewSigner([]byte("0123456789abcdef"))
	Expect(err).NotTo(HaveOccurred())
	return order.NewManager(fleet.NewIncarnation("vm1"), signer)
}

// do sends a request to the relay, by default for the service disponible.
func (tr *testRelay) do(method, path string, header http.Header, body io.Reader) *http.Response {
	req, err := http.NewRequestWithContext(context.Background(), method, tr.server.URL+path, body)
	Expect(err).NotTo(HaveOccurred())
	for k, v := range header {
		req.Header[k] = v
	}
	if header.Get(HeaderService) == "" {
		req.Header.Set(HeaderService, "disponible")
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(resp.Body.Close)
	return resp
}

// decodeProblem decodes the problem in a response and expects its outcome in the
// header as well.
func decodeProblem(resp *http.Response) Problem {
	var p Problem
	Expect(resp.Header.Get("Content-Type")).To(Equal("application/problem+json"))
	Expect(json.NewDecoder(resp.Body).Decode(&p)).To(Succeed())
	Expect(resp.Header.Get(HeaderOutcome)).To(Equal(string(p.Outcome)))
	return p
}

var _ = Describe("Relay", func() {
	It("gives each caller the whole response to its own request", func() {
		tr := newTestRelay(3, lookupRoute())
		for i := range 20 {
			id := fmt.Sprintf("caller-%d", i)
			resp := tr.do("GET", "/stock/azul", http.Header{HeaderRequestID: {id}}, nil)
			var a stand.WorkResponse
			Expect(json.NewDecoder(resp.Body).Decode(&a)).To(Succeed())
			Expect(a.RequestID).To(Equal(id))
			Expect(a.Path).To(Equal("/stock/azul"))
		}
	})

	DescribeTable("tries another target for an idempotent request, so that callers do not notice one faulty target",
		func(f stand.TargetFaults) {
			tr := newTestRelay(3, lookupRoute())
			tr.targets[0].SetFaults(f)
			for range 12 {
				Expect(tr.do("GET", "/stock", nil, nil).StatusCode).To(Equal(http.StatusOK))
			}
		},
		Entry("failing work", stand.TargetFaults{FailWork: true}),
		Entry("truncated responses", stand.TargetFaults{CutShort: true}),
		Entry("closed before a response", stand.TargetFaults{CutBefore: true}),
		Entry("closed after the work", stand.TargetFaults{CutAfter: true}),
		Entry("shedding", stand.TargetFaults{ShedAll: true}),
	)

	It("detects a failure in the body of a success response by the route's rule", func() {
		route := lookupRoute()
		route.BodyFailure = &fleet.BodyFailure{ContentType: "application/json", Contains: `"error":`, Within: 512}
		tr := newTestRelay(2, route)
		tr.targets[0].SetFaults(stand.TargetFaults{BodyFailure: true})
		for range 8 {
			resp := tr.do("GET", "/stock", nil, nil)
			Expect(io.ReadAll(resp.Body)).NotTo(ContainSubstring("error"))
		}
	})

	It("reports a truncated response as an error if there is no other target", func() {
		tr := newTestRelay(1, lookupRoute())
		tr.targets[0].SetFaults(stand.TargetFaults{CutShort: true})
		resp := tr.do("GET", "/stock", nil, nil)
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(decodeProblem(resp).Kind).To(Equal("target-short"))
	})

	DescribeTable("refuses an invalid request with the kind of the error and the outcome not-run",
		func(method, path string, header http.Header, status int, kind string) {
			tr := newTestRelay(1, lookupRoute())
			resp := tr.do(method, path, header, nil)
			Expect(resp.StatusCode).To(Equal(status))
			p := decodeProblem(resp)
			Expect(p.Kind).To(Equal(kind))
			Expect(p.Outcome).To(BeEquivalentTo("not-run"))
		},
		Entry("unknown path", "GET", "/stocks", nil, 404, "unknown-route"),
		Entry("method", "DELETE", "/stock", nil, 405, "method-not-allowed"),
		Entry("unknown service", "GET", "/stock", http.Header{HeaderService: {"nope"}}, 404, "unknown-service"),
		Entry("service carried by other daemons only", "GET", "/stock", http.Header{HeaderService: {"reservas"}}, 421, "not-carried"),
		Entry("unknown workspace", "GET", "/stock", http.Header{HeaderWorkspace: {"nowhere"}}, 400, "bad-request"),
		Entry("invalid deadline", "GET", "/stock", http.Header{HeaderDeadline: {"-5"}}, 400, "bad-request"),
	)

	It("forwards the deadline, the Forwarded field and trace headers, and removes hop-by-hop fields", func() {
		seen := make(chan *http.Request, 1)
		tr := newTestRelay(1, lookupRoute())
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen <- r
			w.Header().Set(HeaderOutcome, "not-run")
			w.Header().Set("Connection", "X-Hop")
			w.Header().Set("X-Hop", "1")
			fmt.Fprint(w, "ok")
		}))
		DeferCleanup(s.Close)
		tr.moveTarget(s)
		resp := tr.do("GET", "/stock?x=1%2F2", http.Header{
			"Connection": {"X-Private"}, "X-Private": {"1"}, HeaderDeadline: {"900"}, "Traceparent": {"00-a-b-01"},
			"Forwarded": {"for=10.0.0.9"},
		}, nil)
		r := <-seen
		Expect(r.Header).NotTo(HaveKey("X-Private"))
		Expect(r.Header).NotTo(HaveKey(HeaderService))
		Expect(r.Header.Get("Forwarded")).To(HavePrefix("for=10.0.0.9, for=127.0.0.1;proto=http;host="))
		Expect(r.Header.Get("Traceparent")).To(Equal("00-a-b-01"))
		Expect(r.URL.RawQuery).To(Equal("x=1%2F2"))
		var ms int
		_, err := fmt.Sscan(r.Header.Get(HeaderDeadline), &ms)
		Expect(err).NotTo(HaveOccurred())
		Expect(ms).To(And(BeNumerically("<=", 900), BeNumerically(">", 0)))
		Expect(resp.Header).NotTo(HaveKey("X-Hop"))
		Expect(resp.Header.Get(HeaderOutcome)).NotTo(Equal("not-run"))
	})

	It("does not process a request smuggled behind one with both Content-Length and chunked encoding", func() {
		tr := newTestRelay(1, fleet.Route{Name: "any", Methods: []string{"POST", "GET"}, PathPrefix: "/", Idempotent: true, Deadline: time.Second, Attempts: 1, MaxBody: 100})
		c, err := net.Dial("tcp", tr.server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		head := "POST /a HTTP/1.1\r\nHost: x\r\nWisteria-Service: disponible\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
		smuggled := "GET /hidden HTTP/1.1\r\nHost: x\r\nWisteria-Service: disponible\r\n\r\n"
		_, err = io.WriteString(c, head+"0\r\n\r\n"+smuggled)
		Expect(err).NotTo(HaveOccurred())
		all, err := io.ReadAll(bufio.NewReader(c))
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(all), "HTTP/1.1 ")).To(Equal(1))
		Expect(tr.targets[0].Served()).To(BeEquivalentTo(1))
	})

	It("aborts the response to the caller if a large response is truncated, so that it is not taken for a complete one", func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(1<<20))
			_, _ = w.Write(make([]byte, 1<<19))
			panic(http.ErrAbortHandler)
		}))
		DeferCleanup(s.Close)
		tr := newTestRelay(1, lookupRoute())
		tr.moveTarget(s)
		resp := tr.do("GET", "/stock", nil, nil)
		_, err := io.ReadAll(resp.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Eventually(func() int { return len(tr.carrier.Limiter().MeanLoads()) }).WithTimeout(10 * time.Second).Should(BeZero())
	})

	DescribeTable("refuses a response that ends with its connection, whether or not a reset cut it",
		func(head string, bytes int, end stand.ConnEnd) {
			s := httptest.NewServer(stand.EarlyHandler{Response: head + "partial", End: end})
			DeferCleanup(s.Close)
			tr := newTestRelay(1, fleet.Route{Name: "up", Methods: []string{"PUT"}, PathPrefix: "/", Idempotent: true, Deadline: 5 * time.Second, Attempts: 1, MaxBody: 16 << 20})
			tr.moveTarget(s)
			for range 10 {
				resp := tr.do("PUT", "/x", nil, strings.NewReader(strings.Repeat("a", bytes)))
				Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
				Expect(decodeProblem(resp).Outcome).To(BeEquivalentTo("unknown"))
			}
		},
		Entry("reset, long upload", "HTTP/1.1 200 OK\r\n\r\n", 8<<20, stand.ResetAfter(time.Millisecond)),
		Entry("reset, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", 8<<20, stand.ResetAfter(time.Millisecond)),
		Entry("reset, Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 8<<20, stand.ResetAfter(time.Millisecond)),
		Entry("closed in order, short upload", "HTTP/1.1 200 OK\r\n\r\n", 200, stand.ReadThenClose),
	)

	It("streams a large request body and refuses one that is too large", func() {
		route := fleet.Route{Name: "up", Methods: []string{"PUT"}, PathPrefix: "/", Idempotent: true, Deadline: 5 * time.Second, Attempts: 2, MaxBody: 1 << 20}
		tr := newTestRelay(1, route)
		Expect(tr.do("PUT", "/x", nil, strings.NewReader(strings.Repeat("a", 1<<19))).StatusCode).To(Equal(200))
		Expect(tr.do("PUT", "/x", nil, strings.NewReader(strings.Repeat("a", 2<<20))).StatusCode).To(Equal(413))
	})

	It("refuses a request whose body does not arrive before the deadline, so that slow callers do not hold slots", func() {
		route := fleet.Route{Name: "any", Methods: []string{"GET", "PUT"}, PathPrefix: "/", Idempotent: true, Deadline: 50 * time.Millisecond, Attempts: 1, MaxBody: 100}
		tr := newTestRelay(1, route)
		c, err := net.Dial("tcp", tr.server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "PUT /a HTTP/1.1\r\nHost: x\r\nWisteria-Service: disponible\r\nContent-Length: 4\r\n\r\nab")
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(tr.carrier.Limiter().MeanLoads()).To(BeEmpty())
	})

	It("hedges a slow request within the retry budget", func() {
		route := lookupRoute()
		route.HedgeAfter = 20 * time.Millisecond
		tr := newTestRelay(2, route)
		tr.targets[0].SetFaults(stand.TargetFaults{Hang: true})
		tr.targets[1].SetFaults(stand.TargetFaults{})
		for range 4 {
			resp := tr.do("GET", "/stock", nil, nil)
			Expect(resp.StatusCode).To(Equal(200))
		}
		Eventually(func() int { return len(tr.carrier.Limiter().MeanLoads()) }).WithTimeout(10 * time.Second).Should(BeZero())
	})

	It("responds with the addresses of a service", func() {
		tr := newTestRelay(1, lookupRoute())
		resp, err := http.Get(tr.server.URL + "/v1/addresses?service=disponible&data-centre=mdp")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		var list AddressList
		Expect(json.NewDecoder(resp.Body).Decode(&list)).To(Succeed())
		Expect(list.Addresses[0].DataCentre).To(BeEquivalentTo("mdp"))
		Expect(resp.Header.Get("Cache-Control")).To(Equal("max-age=30"))
	})
})
