package relay_test

import (
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/route"
)

// Guards against a route whose requests are refused at once because its timeout is so long
// that the time until the deadline overflows.
func TestLongestTimeoutIsUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		target := &workingTarget{work: 10 * time.Millisecond}
		r := target.newRelay()
		defer r.SetTargets(nil)
		c := &route.Config{
			Version:  2,
			Services: []route.Service{{Name: "archive"}},
			Hosts: []route.Host{{Name: host, Routes: []route.Route{{
				Name: "pull", Prefix: "/", Idempotency: route.Idempotent, Timeout: math.MaxInt64 / time.Millisecond * time.Millisecond, Objective: time.Second, MaxAttempts: 3,
				Split: []route.WeightedService{{Service: "archive", Weight: 1}},
			}}}},
		}
		r.SetTable(route.Compile(c))
		resp := sendRequest(t.Context(), r)
		// A target that got the request ends it before the bubble does.
		time.Sleep(time.Second)
		g.Expect(resp.Status).To(Equal(http.StatusOK))
	})
}
