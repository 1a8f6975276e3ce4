package relay_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/link"
	"wisteriarelay.example/core/relay"
	"wisteriarelay.example/core/sched"
)

// Guards against a request that reaches a target after it has left: it was chosen
// before, and the connection takes time to open.
func TestRequestIsNotSentToTargetRemovedWhileDialling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		leaving, other := &largeTarget{}, &largeTarget{}
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == "10.0.0.1:80" {
				time.Sleep(200 * time.Millisecond)
				return leaving.dial(ctx, network, address)
			}
			return other.dial(ctx, network, address)
		}
		r := leaving.newRelay(relay.WithLinkOptions(link.WithDial(dial)))
		r.SetTargets(map[string][]sched.Target{"archive": {{Key: sched.Key{ID: "t0", StartMillis: 1}, Address: "10.0.0.1:80", DataCentre: "a", Slots: 6}}})
		removal := time.AfterFunc(100*time.Millisecond, func() {
			r.SetTargets(map[string][]sched.Target{"archive": {{Key: sched.Key{ID: "t1", StartMillis: 1}, Address: "10.0.0.2:80", DataCentre: "a", Slots: 6}}})
		})
		defer removal.Stop()
		resp := sendRequest(t.Context(), r)
		g.Expect(resp.Status).To(Equal(http.StatusOK))
		_, err := readAll(g, resp)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(leaving.requestCount()).To(BeZero())
		g.Expect(other.requestCount()).To(Equal(1))
		r.SetTargets(nil)
	})
}
