package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/stats"
)

// newWorkspaceRelay returns a relay for the workspaces, each of which has its name as key,
// with two targets that are both served by a.
func newWorkspaceRelay(a *largeTarget, metrics *stats.Registry, workspaces ...route.Workspace) *relay.Relay {
	names := headerNames
	names.APIKey, names.Workspace = "Key", "Workspace"
	r := relay.New("a", names, relay.WithLinkOptions(link.WithDial(a.dial)), relay.WithStats(metrics))
	for i := range workspaces {
		workspaces[i].Keys = []string{workspaces[i].Name}
	}
	r.SetTable(route.Compile(&route.Config{
		Version:      1,
		Services:     []route.Service{{Name: "archive"}},
		RequiresKeys: true,
		Workspaces:   workspaces,
		Hosts: []route.Host{{Name: host, Routes: []route.Route{{
			Name: "pull", Prefix: "/", Idempotency: route.Idempotent, Timeout: 2 * time.Second, Priority: 1, MaxAttempts: 1,
			Split: []route.WeightedService{{Service: "archive", Weight: 1}},
		}}}},
	}))
	r.SetTargets(map[string][]sched.Target{"archive": {
		{Key: sched.Key{ID: "t0", StartMillis: 1}, Address: "10.0.0.1:80", DataCentre: "a", Slots: 2},
		{Key: sched.Key{ID: "t1", StartMillis: 1}, Address: "10.0.0.2:80", DataCentre: "a", Slots: 2},
	}})
	return r
}

// workspaceCall is a request of a workspace through a relay.
type workspaceCall struct {
	relay     *relay.Relay
	workspace string
	ended     chan workspaceResult
}

// workspaceResult is the response to a workspaceCall.
type workspaceResult struct {
	workspace  string
	status     int
	retryAfter string
}

func (c *workspaceCall) run(ctx context.Context) {
	resp := c.relay.Handle(ctx, &caller.Request{
		Method: http.MethodGet, RequestURI: "/1", Host: host, ReceivedAt: time.Now(),
		Header: http.Header{"Id": {"own"}, "Key": {c.workspace}},
	})
	if resp.Release != nil {
		resp.Release()
	}
	c.ended <- workspaceResult{c.workspace, resp.Status, resp.Header.Get("Retry-After")}
}

// Guards against a workspace that fills the queue of a daemon and makes the requests of
// others fail, against refused requests that reach a target all the same, and against
// refused callers that all return at the same time.
func TestHotWorkspaceIsRefusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &largeTarget{pause: 200 * time.Millisecond}
		metrics := stats.New()
		r := newWorkspaceRelay(a, metrics, route.Workspace{Name: "hot", Rate: 50}, route.Workspace{Name: "small", Rate: 5})
		defer r.SetTargets(nil)
		const hot, small = 300, 10
		ended := make(chan workspaceResult, hot+small)
		for range hot {
			c := &workspaceCall{r, "hot", ended}
			go c.run(t.Context())
		}
		for range small {
			time.Sleep(200 * time.Millisecond)
			c := &workspaceCall{r, "small", ended}
			go c.run(t.Context())
		}
		served, waits := map[string]int{}, map[string]bool{}
		for range hot + small {
			result := <-ended
			if result.status == http.StatusOK {
				served[result.workspace]++
				continue
			}
			g.Expect(result.status).To(Equal(http.StatusServiceUnavailable))
			seconds, err := strconv.ParseFloat(result.retryAfter, 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(seconds).To(BeNumerically(">=", 0.2))
			g.Expect(seconds).To(BeNumerically("<=", 6))
			waits[result.retryAfter] = true
		}
		g.Expect(served["small"]).To(Equal(small))
		g.Expect(served["hot"]).To(BeNumerically(">", 20))
		g.Expect(a.requestCount()).To(Equal(served["hot"] + small))
		g.Expect(len(waits)).To(BeNumerically(">", (hot-served["hot"])/2))
		text := httptest.NewRecorder()
		metrics.ServeHTTP(text, nil)
		g.Expect(text.Body.String()).To(ContainSubstring(fmt.Sprintf("relay_queue_refused_total{workspace=\"hot\"} %d", hot-served["hot"])))
		g.Expect(text.Body.String()).To(ContainSubstring("relay_queue_waiting{workspace=\"small\"} 0"))
	})
}

// Guards against the priority of a workspace that is ignored, or that a workspace without
// one has: there the priority of the route, 1, takes its place.
func TestPriorityOfWorkspaceComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := &largeTarget{pause: 200 * time.Millisecond}
		r := newWorkspaceRelay(a, stats.New(), route.Workspace{Name: "later", Priority: 2, HasPriority: true},
			route.Workspace{Name: "none"}, route.Workspace{Name: "urgent", HasPriority: true})
		defer r.SetTargets(nil)
		ended := make(chan workspaceResult, 100)
		for _, name := range []string{"later", "none", "urgent"} {
			for range 8 {
				c := &workspaceCall{r, name, ended}
				go c.run(t.Context())
			}
			synctest.Wait()
		}
		// Capacity is for eight requests at a time, which the first ones take.
		var order []string
		for range 24 {
			order = append(order, (<-ended).workspace)
		}
		g.Expect(order[8:16]).To(HaveEach("urgent"))
		g.Expect(order[16:]).To(HaveEach("none"))
	})
}

// Guards against metrics whose number grows with the number of workspaces.
func TestQueueMetricsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var workspaces []route.Workspace
		for i := range 200 {
			workspaces = append(workspaces, route.Workspace{Name: fmt.Sprint("w", i)})
		}
		metrics := stats.New()
		r := newWorkspaceRelay(&largeTarget{}, metrics, workspaces...)
		defer r.SetTargets(nil)
		ended := make(chan workspaceResult, 1)
		for _, w := range workspaces {
			(&workspaceCall{r, w.Name, ended}).run(t.Context())
			g.Expect((<-ended).status).To(Equal(http.StatusOK))
		}
		text := httptest.NewRecorder()
		metrics.ServeHTTP(text, nil)
		g.Expect(strings.Count(text.Body.String(), "relay_queue_waiting{")).To(Equal(65))
		g.Expect(text.Body.String()).To(ContainSubstring("relay_queue_waiting{workspace=\"all others\"} 0"))
	})
}
