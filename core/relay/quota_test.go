package relay_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
)

// quotaRelay is a relay with a limited and an unlimited workspace, and a target that
// refuses the first request on each connection.
type quotaRelay struct {
	*relay.Relay
	target repeatingTarget
	logs   bytes.Buffer
	// taken holds the workspaces for which a token was taken, err is the result.
	taken []string
	err   error
}

func newQuotaRelay() *quotaRelay {
	q := &quotaRelay{target: repeatingTarget{runs: map[string]int{}}}
	names := headerNames
	names.APIKey, names.Workspace = "Key", "Workspace"
	q.Relay = relay.New("a", names, relay.WithLogger(log.NewLogfmtLogger(&q.logs)), relay.WithQuota(q.take), relay.WithLinkOptions(link.WithDial(q.target.dial)))
	q.SetTable(route.Compile(&route.Config{
		Version: 1, RequiresKeys: true, Services: []route.Service{{Name: "archive"}},
		Workspaces: []route.Workspace{{Name: "limited", Keys: []string{"l"}, Rate: 1, Burst: 1}, {Name: "free", Keys: []string{"f"}}},
		Hosts: []route.Host{{Name: host, Routes: []route.Route{{
			Name: "pull", Prefix: "/", Idempotency: route.Idempotent, Timeout: 4 * time.Second, Objective: time.Second, MaxAttempts: 3,
			Split: []route.WeightedService{{Service: "archive", Weight: 1}},
		}}}},
	}))
	q.SetTargets(map[string][]sched.Target{"archive": {
		{Key: sched.Key{ID: "t0", StartMillis: 1}, Address: "10.0.0.1:80", DataCentre: "a", Slots: 6},
		{Key: sched.Key{ID: "t1", StartMillis: 1}, Address: "10.0.0.2:80", DataCentre: "a", Slots: 6},
	}})
	return q
}

func (q *quotaRelay) take(_ context.Context, workspace string, _ time.Time) error {
	q.taken = append(q.taken, workspace)
	return q.err
}

func (q *quotaRelay) send(ctx context.Context, key string) *caller.Response {
	return q.Handle(ctx, &caller.Request{
		Method: http.MethodGet, RequestURI: "/1", Host: host, ReceivedAt: time.Now(), Header: http.Header{"Id": {"one"}, "Key": {key}},
	})
}

// Guards against tokens that are taken for workspaces without a quota, or once more for
// each target of a request.
func TestRequestTakesOneToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := newQuotaRelay()
		defer q.SetTargets(nil)
		q.send(t.Context(), "f")
		g.Expect(q.taken).To(BeEmpty())
		q.send(t.Context(), "l")
		g.Expect(q.taken).To(Equal([]string{"limited"}))
	})
}

// Guards against a refusal that runs all the same, that does not say when to return, or
// that operators cannot find.
func TestRefusedQuotaIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		q := newQuotaRelay()
		defer q.SetTargets(nil)
		q.err = fault.New(fault.QuotaExceeded, "over the quota").WithRetryAfter(1234 * time.Millisecond)
		resp := q.send(t.Context(), "l")
		g.Expect(resp.Status).To(Equal(http.StatusTooManyRequests))
		g.Expect(resp.Header.Get("Retry-After")).To(Equal("1.234"))
		g.Expect(q.logs.String()).To(MatchRegexp(`id=one kind=quota-exceeded status=429 .*workspace=limited`))
		q.err = fault.New(fault.QuotaUnavailable, "no answer")
		resp = q.send(t.Context(), "l")
		g.Expect(resp.Status).To(Equal(http.StatusServiceUnavailable))
		g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		g.Expect(q.target.runs).To(BeEmpty())
		g.Expect(q.RecentRequests("archive")).To(BeZero())
	})
}
