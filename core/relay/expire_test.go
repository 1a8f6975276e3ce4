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

// lateAttempt returns an exchange at its deadline with one attempt whose grant
// has not been seen, as after a pause of the process.
func lateAttempt(notRun bool) *exchange {
	x := &exchange{
		relay:      New("a", Headers{}),
		request:    &caller.Request{Received: time.Now()},
		route:      &route.Route{Attempts: 1},
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

// Guards against an order that is said not to have run although it was sent just
// before the process was paused.
func TestNoPromiseForAnAttemptNotHeardOf(t *testing.T) {
	g := NewWithT(t)
	g.Expect(lateAttempt(false).expire().Status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(lateAttempt(true).expire().Status).To(Equal(http.StatusServiceUnavailable))
}
