package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
)

const (
	// workTime is how long a workTarget works on a request.
	workTime = time.Second
	// streamedBytes is the size of a response that is not buffered as a whole.
	streamedBytes = 3 << 20
)

// workTargets are targets of several addresses that take workTime for each request. They
// send the first half of a large response at once and the second one after workTime.
type workTargets struct {
	// dialTime is how long it takes to open a connection.
	dialTime time.Duration
	// lines returns status and further header lines of a response.
	lines func(address, id string) (status int, lines string)

	mu   sync.Mutex
	runs map[string][]run
}

// run is one request at a target.
type run struct {
	address string
	at      time.Time
}

func newWorkTargets() *workTargets {
	return &workTargets{runs: map[string][]run{}, lines: func(string, string) (int, string) { return http.StatusOK, "" }}
}

func (a *workTargets) dial(_ context.Context, _, address string) (net.Conn, error) {
	time.Sleep(a.dialTime)
	client, server := net.Pipe()
	c := &workConn{a, address, server}
	go c.run()
	return client, nil
}

// finish lets the relay close its connections, and waits for the ends of requests that
// were sent to two targets.
func (a *workTargets) finish(r *relay.Relay) {
	r.SetTargets(nil)
	time.Sleep(3 * workTime)
}

// expectRuns expects that a target has run the request, and an order only once.
func (a *workTargets) expectRuns(g *WithT, id string) {
	g.THelper()
	runs := a.runsOf(id)
	if strings.HasPrefix(id, "/order/") {
		g.Expect(runs).To(HaveLen(1), id)
	}
	g.Expect(runs).NotTo(BeEmpty(), id)
	for _, r := range runs {
		g.Expect(r.address).To(HavePrefix("10.0.0."), "a target of the service of the request")
	}
}

func (a *workTargets) add(id, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[id] = append(a.runs[id], run{address, time.Now()})
}

// runsOf returns the runs of a request.
func (a *workTargets) runsOf(id string) []run {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[id]
}

// workConn is one connection to a workTarget.
type workConn struct {
	targets *workTargets
	address string
	conn    net.Conn
}

func (c *workConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		c.targets.add(id, c.address)
		status, lines := c.targets.lines(c.address, id)
		head := fmt.Sprintf("HTTP/1.1 %d Status\r\nId: %s\r\nReceipt: r\r\n%s", status, id, lines)
		if strings.HasPrefix(req.URL.Path, "/large/") {
			half := strings.Repeat("a", streamedBytes/2)
			_, _ = fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n%s", head, streamedBytes, half)
			time.Sleep(workTime)
			_, _ = io.WriteString(c.conn, half)
			continue
		}
		if status == http.StatusOK {
			time.Sleep(workTime)
		}
		_, _ = fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n%s", head, len(c.address), c.address)
	}
}

// plannedTable returns a configuration whose routes lead to a service.
func plannedTable(version route.Version, service string, change func(c *route.Config)) *route.Table {
	split := []route.WeightedService{{Service: service, Weight: 1}}
	routes := []route.Route{
		{Name: "order", Prefix: "/order/", Idempotency: route.NotIdempotent},
		{Name: "lookup", Prefix: "/lookup/", Idempotency: route.Idempotent},
		{Name: "large", Prefix: "/large/", Idempotency: route.NotIdempotent},
	}
	for i := range routes {
		routes[i].Timeout, routes[i].MaxAttempts, routes[i].Split = 20*time.Second, 2, split
	}
	c := &route.Config{
		Version:  version,
		Services: []route.Service{{Name: "archive"}, {Name: "other"}},
		Hosts:    []route.Host{{Name: host, Routes: routes}},
		Limits:   route.DefaultLimits,
	}
	change(c)
	return route.Compile(c)
}

func unchanged(*route.Config) {}

// plannedTarget returns a target with 2 slots, to which a daemon sends 4 requests at once.
func plannedTarget(id, address string) sched.Target {
	return sched.Target{Key: sched.Key{ID: id, StartMillis: 1}, Address: address, DataCentre: "a", Slots: 2}
}

// plannedTargets returns the targets of both services.
func plannedTargets(archive ...sched.Target) map[string][]sched.Target {
	return map[string][]sched.Target{"archive": archive, "other": {plannedTarget("o0", "10.0.1.1:80")}}
}

func (a *workTargets) newRelay() *relay.Relay {
	r := relay.New("a", headerNames, relay.WithLinkOptions(link.WithDial(a.dial)), relay.WithRetryBudget(relay.RetryBudget{Span: 10 * time.Second, Ratio: 6}))
	r.SetTable(plannedTable(1, "archive", unchanged))
	r.SetTargets(plannedTargets(plannedTarget("t0", firstAddress), plannedTarget("t1", secondAddress)))
	return r
}

// plannedRequest is a request that is sent in the background.
type plannedRequest struct {
	relay    *relay.Relay
	path, id string
	done     chan plannedAnswer
}

// plannedAnswer is the response to a request and its length.
type plannedAnswer struct {
	id     string
	status int
	length int
	err    error
}

func (p *plannedRequest) run() {
	p.done <- handlePlanned(p.relay, p.path, p.id)
}

func handlePlanned(r *relay.Relay, path, id string) plannedAnswer {
	resp := r.Handle(context.Background(), &caller.Request{Method: http.MethodPost, RequestURI: path, Host: host, ReceivedAt: time.Now(), Header: http.Header{"Id": {id}}})
	out := plannedAnswer{id: id, status: resp.Status, length: len(resp.Body)}
	if resp.UnreadBody != nil {
		n, err := io.Copy(io.Discard, resp.UnreadBody)
		out.length, out.err = out.length+int(n), err
		_ = resp.UnreadBody.Close()
	}
	if resp.Release != nil {
		resp.Release()
	}
	return out
}

// sendPlanned sends requests in the background, orders and lookups in turn.
func sendPlanned(r *relay.Relay, count int) chan plannedAnswer {
	done := make(chan plannedAnswer, count)
	for i := range count {
		path := []string{"/order/1", "/lookup/1"}[i%2]
		p := &plannedRequest{r, path, fmt.Sprintf("%s#%d", path, i), done}
		go p.run()
	}
	return done
}

// plannedWork holds what the system, its operator or a target plans, and that a daemon
// learns of while it has requests in progress.
var plannedWork = map[string]func(r *relay.Relay){
	"route removed": func(r *relay.Relay) {
		r.SetTable(plannedTable(2, "archive", func(c *route.Config) { c.Hosts = nil }))
	},
	"route moved to another service": func(r *relay.Relay) { r.SetTable(plannedTable(2, "other", unchanged)) },
	"service removed": func(r *relay.Relay) {
		r.SetTable(plannedTable(2, "other", func(c *route.Config) { c.Services = c.Services[1:] }))
	},
	"service and its targets removed, but for one": func(r *relay.Relay) {
		r.SetTable(plannedTable(2, "other", func(c *route.Config) { c.Services = c.Services[1:] }))
		r.SetTargets(plannedTargets(plannedTarget("t1", secondAddress)))
	},
	"timeout shortened": func(r *relay.Relay) {
		r.SetTable(plannedTable(2, "archive", func(c *route.Config) {
			for i := range c.Hosts[0].Routes {
				c.Hosts[0].Routes[i].Timeout = 10 * time.Millisecond
			}
		}))
	},
	"fewer attempts": func(r *relay.Relay) {
		r.SetTable(plannedTable(2, "archive", func(c *route.Config) {
			for i := range c.Hosts[0].Routes {
				c.Hosts[0].Routes[i].MaxAttempts = 1
			}
		}))
	},
	"limits lowered": func(r *relay.Relay) {
		r.SetTable(plannedTable(2, "archive", func(c *route.Config) {
			c.Limits = route.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond}
		}))
	},
	"idempotency changed": func(r *relay.Relay) {
		r.SetTable(plannedTable(2, "archive", func(c *route.Config) {
			for i := range c.Hosts[0].Routes {
				c.Hosts[0].Routes[i].Idempotency = route.NotIdempotent
			}
		}))
	},
	"retry budget lowered": func(r *relay.Relay) { r.SetRetryBudget(relay.RetryBudget{Span: 10 * time.Second}) },
	"target drains or its entry is removed": func(r *relay.Relay) {
		r.SetTargets(plannedTargets(plannedTarget("t1", secondAddress)))
	},
	"target started again": func(r *relay.Relay) {
		t0 := plannedTarget("t0", firstAddress)
		t0.StartMillis = 2
		r.SetTargets(plannedTargets(t0, plannedTarget("t1", secondAddress)))
	},
	"target has another address": func(r *relay.Relay) {
		r.SetTargets(plannedTargets(plannedTarget("t0", "10.0.0.3:80"), plannedTarget("t1", secondAddress)))
	},
	"target moved to another service": func(r *relay.Relay) {
		r.SetTargets(map[string][]sched.Target{"archive": {plannedTarget("t1", secondAddress)}, "other": {plannedTarget("t0", firstAddress)}})
	},
	"target has fewer slots": func(r *relay.Relay) {
		t0 := plannedTarget("t0", firstAddress)
		t0.Slots = 1
		r.SetTargets(plannedTargets(t0, plannedTarget("t1", secondAddress)))
	},
	"target withdrawn": func(r *relay.Relay) { r.TargetPool("archive").Withdraw(plannedTarget("t0", firstAddress).Key) },
	"target asks for a pause": func(r *relay.Relay) {
		r.TargetPool("archive").Backoff(plannedTarget("t0", firstAddress).Key, time.Minute)
	},
	"peer reported its load and ended": func(r *relay.Relay) {
		for _, id := range []string{"t0", "t1"} {
			r.TargetPool("archive").ApplyPeerEvent("peer", sched.Event{Service: "archive", Target: sched.Key{ID: id, StartMillis: 1}, InFlight: 100})
		}
	},
	"events of peers no longer arrive": func(r *relay.Relay) { r.TargetPool("archive").SetReceivesPeerEvents(false) },
}

// Guards against planned work that ends requests at a target, or those that wait for one:
// each is answered by a target of the service that it was for, and an order runs once.
func TestPlannedWorkKeepsRequestsInProgress(t *testing.T) {
	const count = 14 // 8 at the two targets, 6 that wait.
	for name, plan := range plannedWork {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				targets := newWorkTargets()
				r := targets.newRelay()
				defer targets.finish(r)
				done := sendPlanned(r, count)
				time.Sleep(workTime / 2)
				plan(r)
				for range count {
					a := <-done
					g.Expect(a.status).To(Equal(http.StatusOK), a.id)
					g.Expect(a.err).NotTo(HaveOccurred())
					g.Expect(a.length).To(Equal(len(firstAddress)))
					targets.expectRuns(g, a.id)
				}
			})
		})
	}
}

// Guards against planned work that cuts a response while its body is streamed.
func TestPlannedWorkKeepsStreamedResponses(t *testing.T) {
	for name, plan := range plannedWork {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				targets := newWorkTargets()
				r := targets.newRelay()
				defer targets.finish(r)
				const count = 4
				done := make(chan plannedAnswer, count)
				for i := range count {
					p := &plannedRequest{r, "/large/1", fmt.Sprint("large", i), done}
					go p.run()
				}
				time.Sleep(workTime / 2)
				plan(r)
				for range count {
					a := <-done
					g.Expect(a.err).NotTo(HaveOccurred())
					g.Expect(a.status).To(Equal(http.StatusOK))
					g.Expect(a.length).To(Equal(streamedBytes))
				}
			})
		})
	}
}

// Guards against planned work that ends a request whose connection is being opened, or
// that lets it reach a target which has left meanwhile.
func TestPlannedWorkKeepsRequestsThatConnect(t *testing.T) {
	for name, plan := range plannedWork {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				targets := newWorkTargets()
				targets.dialTime = 200 * time.Millisecond
				r := targets.newRelay()
				defer targets.finish(r)
				const count = 8
				done := sendPlanned(r, count)
				time.Sleep(targets.dialTime / 2)
				plan(r)
				for range count {
					a := <-done
					g.Expect(a.status).To(Equal(http.StatusOK), a.id)
					targets.expectRuns(g, a.id)
				}
			})
		})
	}
}

// Guards against planned work after which a request is not sent again: its first target
// fails it after the change, when a second attempt is due.
func TestPlannedWorkKeepsSecondAttempts(t *testing.T) {
	for name, plan := range plannedWork {
		if name == "retry budget lowered" {
			continue // Without a budget there is no second attempt.
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				targets := newWorkTargets()
				targets.lines = func(_, id string) (int, string) {
					if len(targets.runsOf(id)) == 1 {
						time.Sleep(workTime)
						return http.StatusInternalServerError, ""
					}
					return http.StatusOK, ""
				}
				r := targets.newRelay()
				defer targets.finish(r)
				p := &plannedRequest{r, "/lookup/1", "lookup", make(chan plannedAnswer, 1)}
				go p.run()
				time.Sleep(workTime / 2)
				plan(r)
				g.Expect((<-p.done).status).To(Equal(http.StatusOK))
				g.Expect(targets.runsOf("lookup")).To(HaveLen(2))
			})
		})
	}
}

// Guards against a request at a target that loses its answer because all targets of its
// service left the list, and against one that waits and gets no answer: it is told at the
// latest when no target could answer in time any more that it did not run.
func TestRequestsInProgressWhenAllTargetsLeave(t *testing.T) {
	const count = 12
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		targets := newWorkTargets()
		r := targets.newRelay()
		defer targets.finish(r)
		done := sendPlanned(r, count)
		time.Sleep(workTime / 2)
		r.SetTargets(nil)
		served, refused := 0, 0
		for range count {
			a := <-done
			switch len(targets.runsOf(a.id)) {
			case 1:
				g.Expect(a.status).To(Equal(http.StatusOK), a.id)
				served++
			case 0:
				g.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.id)
				refused++
			}
		}
		g.Expect([]int{served, refused}).To(Equal([]int{8, 4}))
	})
}

// Guards against a request that loses its answer because the target says in the answer
// to another one that it leaves or wants a pause, and against one that waits meanwhile.
func TestAnnouncementKeepsRequestsInProgress(t *testing.T) {
	announcements := map[string]func() (int, string){
		"leaving":            func() (int, string) { return http.StatusOK, "Leaving: 1\r\n" },
		"leaving, refused":   func() (int, string) { return http.StatusServiceUnavailable, "Not-Run: 1\r\nLeaving: 1\r\n" },
		"pause":              func() (int, string) { return http.StatusServiceUnavailable, "Not-Run: 1\r\nRetry-After: 30\r\n" },
		"address used again": func() (int, string) { return http.StatusMisdirectedRequest, "Not-Run: 1\r\n" },
	}
	for name, announce := range announcements {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 12
				g := NewWithT(t)
				targets := newWorkTargets()
				var announced atomic.Bool
				targets.lines = func(address, _ string) (int, string) {
					if address != firstAddress || announced.Swap(true) {
						return http.StatusOK, ""
					}
					time.Sleep(workTime / 2)
					return announce()
				}
				r := targets.newRelay()
				defer targets.finish(r)
				done := sendPlanned(r, count)
				statuses := map[int]int{}
				for range count {
					statuses[(<-done).status]++
				}
				refused := count - statuses[http.StatusOK]
				g.Expect(refused).To(BeNumerically("<=", 1), "only an order that the target itself refused: %v", statuses)
			})
		})
	}
}
