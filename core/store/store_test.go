package store_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

// insert returns a transaction that creates a row.
func insert(key, value string) store.Tx {
	return store.Tx{ID: key, Conds: []store.Cond{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte(value)}}}
}

// valueMarker returns a marker that recognises the row by its value.
func valueMarker(key, value string) store.Marker {
	return store.Marker{Key: key, WrittenByTx: func(v []byte) bool { return string(v) == value }}
}

func beKind(k fault.Kind) OmegaMatcher {
	return WithTransform(func(err error) fault.Kind { return fault.From(err).Kind }, Equal(k))
}

var _ = Describe("Client", func() {
	ctx := context.Background()
	var p *stand.Platform
	var server *httptest.Server
	var c *store.Client
	BeforeEach(func() {
		p = stand.NewPlatform()
		server = httptest.NewServer(p)
		c = store.NewClient(server.URL, store.WithTimeout(300*time.Millisecond))
		DeferCleanup(func() {
			c.Close()
			server.CloseClientConnections()
			server.Close()
		})
	})

	It("reads and writes rows, objects and VMs", func() {
		t := c.Table()
		Expect(t.Apply(ctx, insert("a b/ä", "1"))).To(Succeed())
		Expect(t.Apply(ctx, insert("a b/ä", "2"))).To(beKind(fault.StoreConflict))
		row, err := t.Get(ctx, "a b/ä")
		Expect(err).NotTo(HaveOccurred())
		Expect(row.Value).To(Equal([]byte("1")))
		_, err = t.Get(ctx, "none")
		Expect(err).To(beKind(fault.RowMissing))
		rows, err := t.Scan(ctx, "a b/", "", 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(Equal([]store.Row{row}))

		Expect(c.Objects().Put(ctx, "settings/a b", []byte{0, 1})).To(Succeed())
		Expect(p.ObjectNames()).To(Equal([]string{"settings/a b"}))
		Expect(c.Objects().Get(ctx, "settings/a b")).To(Equal([]byte{0, 1}))
		_, err = c.Objects().Get(ctx, "none")
		Expect(err).To(beKind(fault.NotFound))

		Expect(p.PutVM(ctx, fleet.VM{ID: "v"})).To(Succeed())
		changes, err := c.VMList().ChangesSince(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(changes.Live).To(HaveLen(1))
	})

	DescribeTable("returns the error kind that tells whether a write may have taken effect",
		func(faults stand.PlatformFaults, kind fault.Kind) {
			p.SetFaults(faults)
			Expect(c.Table().Apply(ctx, insert("a", "1"))).To(beKind(kind))
		},
		Entry("down", stand.PlatformFaults{TableDown: true}, fault.StoreUnavailable),
		Entry("lost reply", stand.PlatformFaults{LoseReplies: 1}, fault.StoreAmbiguous),
		Entry("lost request", stand.PlatformFaults{LoseRequests: 1}, fault.StoreAmbiguous),
		Entry("one way", stand.PlatformFaults{OneWay: true}, fault.StoreAmbiguous),
		Entry("slow", stand.PlatformFaults{Delay: time.Second}, fault.StoreAmbiguous),
	)

	It("reports a write as not sent only if no connection could be opened", func() {
		server.Close()
		Expect(c.Table().Apply(ctx, insert("a", "1"))).To(beKind(fault.StoreUnavailable))
	})

	It("does not take the status of an intermediary for a reply of the store", func() {
		gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
		defer gateway.Close()
		Expect(store.NewClient(gateway.URL).Table().Apply(ctx, insert("a", "1"))).To(beKind(fault.StoreAmbiguous))
	})

	DescribeTable("does not take a broken reply for one of the store",
		func(response string) {
			broken := httptest.NewServer(stand.RawHandler(response))
			defer broken.Close()
			client := store.NewClient(broken.URL, store.WithTimeout(time.Second))
			defer client.Close()
			Expect(client.Table().Apply(ctx, insert("a", "1"))).To(beKind(fault.StoreAmbiguous))
			_, err := client.Objects().Get(ctx, "o")
			Expect(err).To(beKind(fault.StoreUnavailable))
		},
		Entry("blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}"),
		Entry("blank after a name", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n2\r\n{}\r\n0\r\n\r\n"),
		Entry("blank before a name", "HTTP/1.1 200 OK\r\nX: z\r\n Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\n{}\r\n0\r\n\r\n"),
		Entry("status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}"),
	)

	It("does not take a write for done whose reply was cut by a reset", func() {
		for i := range resetTries {
			broken := httptest.NewServer(stand.EarlyHandler{Response: "HTTP/1.1 200 OK\r\n\r\n{", End: stand.ResetAfter(time.Duration(i%10) * time.Millisecond)})
			client := store.NewClient(broken.URL)
			Expect(client.Objects().Put(ctx, "o", make([]byte, 8<<20))).To(beKind(fault.StoreAmbiguous))
			client.Close()
			broken.Close()
		}
	})

	It("stops requests to a component that is down, and to no other component", func() {
		p.SetFaults(stand.PlatformFaults{TableDown: true})
		for range 20 {
			_, err := c.Table().Get(ctx, "a")
			Expect(err).To(beKind(fault.StoreUnavailable))
		}
		Expect(p.RequestCounts().TableReads).To(BeEquivalentTo(3))
		Expect(c.State().Table.OpenSince).NotTo(BeZero())
		Expect(c.Objects().Put(ctx, "o", nil)).To(Succeed())
	})
})

// resetTries is how often a reset during a long write is tried: the result may depend on
// which goroutine notices it first.
const resetTries = 20

// handlerTransport calls the handler in the caller's goroutine, because a synctest
// bubble cannot use the network.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// TestFleetRateLimit guards against a fleet that overloads the platform: during a long
// outage, right after it, and in normal operation.
func TestFleetRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const daemons, minutes = 40, 3
		p := stand.NewPlatform()
		p.SetFaults(stand.PlatformFaults{TableDown: true})
		writers := make([]writer, daemons)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(writePause)
		defer cancel()
		for i := range writers {
			writers[i] = writer{id: i, client: store.NewClient("http://platform", store.WithTransport(handlerTransport{p}),
				store.WithDaemons(func() int { return daemons }))}
			go writers[i].run(ctx)
		}
		time.Sleep(minutes * time.Minute)
		duringOutage := p.RequestCounts().TableWrites
		// Three failures, six trials while the wait doubles, then at most one trial
		// per 10 s.
		g.Expect(duringOutage).To(BeNumerically("<=", daemons*(3+6+minutes*6)))
		p.SetFaults(stand.PlatformFaults{})
		last := p.RequestCounts().TableWrites
		for range 45 {
			time.Sleep(time.Second)
			now := p.RequestCounts().TableWrites
			g.Expect(now-last).To(BeNumerically("<=", 400+daemons), "writes in one second")
			last = now
		}
		start := p.RequestCounts().TableWrites
		time.Sleep(10 * time.Second)
		g.Expect(p.RequestCounts().TableWrites - start).To(BeNumerically("~", 4000, 400))
	})
}

const writePause = 50 * time.Millisecond

// writer writes rows as fast as its client allows.
type writer struct {
	id     int
	client *store.Client
}

func (w *writer) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		_ = w.client.Table().Apply(ctx, insert(fmt.Sprint(w.id, "/", i), ""))
		time.Sleep(writePause)
	}
}

// TestApplyOnce guards against a write that is applied twice, or reported as not
// applied although a delayed request still takes effect.
func TestApplyOnce(t *testing.T) {
	cases := []struct {
		name   string
		faults stand.PlatformFaults
	}{
		{"reply lost", stand.PlatformFaults{LoseReplies: 3}},
		{"request lost", stand.PlatformFaults{LoseRequests: 3}},
		{"effect delayed", stand.PlatformFaults{LoseReplies: 1, LateBy: 30 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := stand.NewPlatform()
				p.SetFaults(c.faults)
				g.Expect(store.ApplyOnce(t.Context(), p.Table(), insert("a", "1"), valueMarker("a", "1"))).To(Succeed())
				g.Expect(store.ApplyOnce(t.Context(), p.Table(), insert("a", "1"), valueMarker("a", "1"))).To(Succeed())
				g.Expect(store.ApplyOnce(t.Context(), p.Table(), insert("a", "2"), valueMarker("a", "2"))).To(beKind(fault.StoreConflict))
				time.Sleep(time.Second)
				row, err := p.Table().Get(t.Context(), "a")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(row.Version).To(BeEquivalentTo(1))
			})
		})
	}
}

// TestApplyOnceUnresolved guards against a definite result while the store cannot be
// read.
func TestApplyOnceUnresolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := stand.NewPlatform()
		p.SetFaults(stand.PlatformFaults{OneWay: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(store.ApplyOnce(ctx, p.Table(), insert("a", "1"), valueMarker("a", "1"))).To(beKind(fault.StoreAmbiguous))
	})
}
