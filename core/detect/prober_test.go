package detect

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
)

// Guards against overlapping probes of one target, probes of targets that other
// daemons probe, and a probe rate other than the policy's.
func TestProberKeepsProbeRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		svc := testService(3)
		rec, leaving := NewRecorder(svc), NewLeavingTracker()
		var inFlight, maxInFlight, probes, unassignedProbes atomic.Int64
		var suspect, assigned atomic.Bool
		assigned.Store(true)
		probe := func(ctx context.Context, target fleet.Target, _ fleet.Probe) ProbeAnswer {
			maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
			defer inFlight.Add(-1)
			if target.ID == "c" {
				unassignedProbes.Add(1)
			}
			probes.Add(1)
			<-ctx.Done()
			return ProbeAnswer{Result: TimedOut}
		}
		p := NewProber(svc, probe,
			WithAssigned(func(id fleet.TargetID) bool { return id == "b" && assigned.Load() }),
			WithSuspect(func(fleet.TargetID) bool { return suspect.Load() }),
			WithReport(NewReportFunc(rec, leaving, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		p.Start(ctx)
		time.Sleep(60 * time.Second)
		g.Expect(probes.Load()).To(gomega.BeNumerically("~", 11, 2))
		g.Expect(rec.Collect()[0].ProbesFailed).To(gomega.BeNumerically(">=", 9))
		suspect.Store(true)
		before := probes.Load()
		time.Sleep(60 * time.Second)
		g.Expect(probes.Load()-before).To(gomega.BeNumerically("~", 30, 3), "1 s of timeout and 1 s of wait")
		for range 20 {
			assigned.Store(!assigned.Load())
			time.Sleep(500 * time.Millisecond)
		}
		g.Expect(maxInFlight.Load()).To(gomega.Equal(int64(1)))
		g.Expect(unassignedProbes.Load()).To(gomega.BeZero())
		cancel()
		p.Wait()
	})
}

var _ = Describe("HTTPProbe", func() {
	DescribeTable("reads status and leaving header",
		func(status int, leaving string, want ProbeAnswer) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Location", "/elsewhere")
				w.Header().Set(LeavingHeader, leaving)
				w.WriteHeader(status)
			}))
			defer s.Close()
			target := fleet.Target{Address: strings.TrimPrefix(s.URL, "http://")}
			got := HTTPProbe(s.Client())(context.Background(), target, fleet.Probe{Path: "/health"})
			gomega.Expect(got).To(gomega.Equal(want))
		},
		Entry("good", 200, "", ProbeAnswer{Result: OK, Answered: true}),
		Entry("leaving", 503, "true", ProbeAnswer{Result: Failed, Leaving: true, Answered: true}),
		Entry("shed", 429, "", ProbeAnswer{Result: Shed, Answered: true}),
		Entry("redirect", 302, "", ProbeAnswer{Result: Failed, Answered: true}),
	)

	DescribeTable("does not take a broken response for an answer, so that its target is not healthy",
		func(response string) {
			s := httptest.NewServer(stand.RawHandler(response))
			defer s.Close()
			client := NewProbeClient((&net.Dialer{}).DialContext)
			defer client.CloseIdleConnections()
			target := fleet.Target{Address: strings.TrimPrefix(s.URL, "http://")}
			got := HTTPProbe(client)(context.Background(), target, fleet.Probe{Path: "/health"})
			gomega.Expect(got).To(gomega.Equal(ProbeAnswer{Result: Unreachable}))
		},
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok"),
		Entry("blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\nok"),
		Entry("blank before a name", "HTTP/1.1 200 OK\r\nX: z\r\n Y: z\r\nContent-Length: 2\r\n\r\nok"),
		Entry("NUL in a name", "HTTP/1.1 200 OK\r\nX\x00Y: z\r\nContent-Length: 2\r\n\r\nok"),
		Entry("status 000", "HTTP/1.1 000 None\r\nWisteria-Leaving: true\r\nContent-Length: 2\r\n\r\nok"),
		Entry("status 600", "HTTP/1.1 600 None\r\nWisteria-Leaving: true\r\nContent-Length: 2\r\n\r\nok"),
	)

	DescribeTable("does not take a truncated response for an answer, so that its target is not healthy",
		func(response string, end stand.ConnEnd, want ProbeAnswer) {
			s := httptest.NewServer(stand.EarlyHandler{Response: response, End: end})
			defer s.Close()
			client := NewProbeClient((&net.Dialer{}).DialContext)
			defer client.CloseIdleConnections()
			target := fleet.Target{Address: strings.TrimPrefix(s.URL, "http://")}
			got := HTTPProbe(client)(context.Background(), target, fleet.Probe{Path: "/health"})
			gomega.Expect(got).To(gomega.Equal(want))
		},
		Entry("shorter than its length", "HTTP/1.1 200 OK\r\nWisteria-Leaving: true\r\nContent-Length: 9\r\n\r\nok", stand.ReadThenClose, ProbeAnswer{Result: Unreachable}),
		Entry("without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", stand.ReadThenClose, ProbeAnswer{Result: Unreachable}),
		Entry("reset before its end", "HTTP/1.1 200 OK\r\n\r\nok", stand.ResetAfter(0), ProbeAnswer{Result: Unreachable}),
		Entry("whole, ends with the connection", "HTTP/1.1 200 OK\r\n\r\nok", stand.ReadThenClose, ProbeAnswer{Result: OK, Answered: true}),
		Entry("longer than what is read", "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n"+strings.Repeat("a", maxProbeBody), stand.ReadThenClose, ProbeAnswer{Result: OK, Answered: true}),
	)

	It("reports unreachable targets", func() {
		got := HTTPProbe(http.DefaultClient)(context.Background(), fleet.Target{Address: "127.0.0.1:1"}, fleet.Probe{Path: "/"})
		gomega.Expect(got).To(gomega.Equal(ProbeAnswer{Result: Unreachable}))
	})
})

var _ = Describe("LeavingTracker", func() {
	var l *LeavingTracker
	BeforeEach(func() { l = NewLeavingTracker() })

	It("keeps a probe's signal until the target answers without it", func() {
		l.RecordResponse("a", true, epoch)
		l.RecordProbe("a", true, epoch)
		l.Expire(epoch.Add(time.Hour))
		gomega.Expect(l.IsLeaving("a")).To(gomega.BeTrue())
		l.RecordProbe("a", false, epoch.Add(time.Hour))
		gomega.Expect(l.IsLeaving("a")).To(gomega.BeFalse())
	})

	It("does not report a peer's signal as first-hand, so that it expires", func() {
		l.RecordPeerSignals([]fleet.TargetID{"a"}, epoch)
		gomega.Expect(l.IsLeaving("a")).To(gomega.BeTrue())
		gomega.Expect(l.LocallyObserved(epoch)).To(gomega.BeEmpty())
		l.Expire(epoch.Add(peerSignalTTL))
		gomega.Expect(l.IsLeaving("a")).To(gomega.BeFalse())
	})

	It("notifies of a change of a first-hand signal once", func() {
		c := l.Changed()
		l.SetDrained([]fleet.TargetID{"b"}, epoch)
		l.RecordProbe("a", false, epoch)
		gomega.Expect(c).NotTo(gomega.BeClosed())
		l.RecordResponse("a", true, epoch)
		gomega.Expect(c).To(gomega.BeClosed())
		c = l.Changed()
		l.RecordResponse("a", true, epoch)
		l.SetDrained(nil, epoch)
		gomega.Expect(c).NotTo(gomega.BeClosed())
		gomega.Expect(l.IsLeaving("b")).To(gomega.BeFalse())
	})
})
