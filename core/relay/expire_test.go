package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
)

// expiredExchange returns an exchange at its deadline whose only attempt has a result,
// but whose grant was not received, as after a pause of the process.
func expiredExchange(notRun bool) *exchange {
	x := &exchange{
		relay:      New("a", Headers{}),
		request:    &caller.Request{ReceivedAt: time.Now()},
		route:      &route.Route{MaxAttempts: 1},
		targetPool: sched.NewPool("orders", "a"),
		results:    make(chan *result, 1),
		running:    map[*attempt]bool{},
		inFlight:   map[*attempt]bool{},
		deadline:   time.Now(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &attempt{exchange: x, ctx: ctx, cancel: cancel}
	x.running[t] = true
	x.results <- &result{attempt: t, notRun: notRun, kind: fault.TargetTimeout}
	return x
}

// Guards against a response that says that a request did not run although it was sent
// just before the process was paused.
func TestExpireWaitsForUnseenAttempts(t *testing.T) {
	g := NewWithT(t)
	g.Expect(expiredExchange(false).expire().Status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(expiredExchange(true).expire().Status).To(Equal(http.StatusServiceUnavailable))
}
