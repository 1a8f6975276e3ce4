package stand_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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

// insertTx returns a transaction that creates a row.
func insertTx(key, value string) store.Tx {
	return store.Tx{ID: key, Conds: []store.Cond{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte(value)}}}
}

func beOfKind(k fault.Kind) OmegaMatcher {
	return WithTransform(func(err error) fault.Kind { return fault.From(err).Kind }, Equal(k))
}

var _ = Describe("Platform", func() {
	ctx := context.Background()
	var p *stand.Platform
	var t store.Table
	BeforeEach(func() {
		p = stand.NewPlatform(stand.WithVMLogLength(4))
		t = p.Table()
	})

	It("applies a transaction as a whole or not at all", func() {
		Expect(t.Apply(ctx, insertTx("a", "1"))).To(Succeed())
		tx := insertTx("b", "1")
		tx.Conds = append(tx.Conds, store.Cond{Key: "a", Version: 99})
		Expect(t.Apply(ctx, tx)).To(beOfKind(fault.StoreConflict))
		_, err := t.Get(ctx, "b")
		Expect(err).To(beOfKind(fault.RowMissing))
	})

	// Guards against a DownAfterLoss that leaves the table readable, so that the
	// outcome of the write whose reply is lost can be read back.
	It("accepts faults over HTTP and fails requests after the last lost reply", func() {
		server := httptest.NewServer(p)
		defer server.Close()
		put := func(body string) int {
			req, err := http.NewRequest(http.MethodPut, server.URL+"/v1/faults", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			return resp.StatusCode
		}
		Expect(put(`{"lose-replies": 1, "down-after-loss": true}`)).To(Equal(http.StatusOK))
		Expect(t.Apply(ctx, insertTx("a", "1"))).To(beOfKind(fault.StoreAmbiguous))
		_, err := t.Get(ctx, "a")
		Expect(err).To(beOfKind(fault.StoreUnavailable))
		Expect(put(`{}`)).To(Equal(http.StatusOK))
		_, err = t.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(put(`{"lose-replies": "x"}`)).To(Equal(http.StatusBadRequest))
	})

	It("never reuses a version after a row was deleted", func() {
		Expect(t.Apply(ctx, insertTx("a", "1"))).To(Succeed())
		first, _ := t.Get(ctx, "a")
		Expect(t.Apply(ctx, store.Tx{Puts: []store.Put{{Key: "a", Delete: true}}})).To(Succeed())
		Expect(t.Apply(ctx, insertTx("a", "1"))).To(Succeed())
		second, _ := t.Get(ctx, "a")
		Expect(second.Version).To(BeNumerically(">", first.Version))
	})

	It("scans by prefix in key order, starting after a key", func() {
		for _, k := range []string{"x/2", "x/1", "x/3", "y/1", "w"} {
			Expect(t.Apply(ctx, insertTx(k, k))).To(Succeed())
		}
		rows, err := t.Scan(ctx, "x/", "x/1", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(rows).To(HaveLen(2))
		Expect(rows[0].Key).To(Equal("x/2"))
		rows, _ = t.Scan(ctx, "x/", "", 1)
		Expect(rows).To(HaveLen(1))
		Expect(rows[0].Key).To(Equal("x/1"))
	})

	DescribeTable("injects faults into writes",
		func(f stand.PlatformFaults, kind fault.Kind, applied bool) {
			p.SetFaults(f)
			Expect(t.Apply(ctx, insertTx("a", "1"))).To(beOfKind(kind))
			p.SetFaults(stand.PlatformFaults{})
			_, err := t.Get(ctx, "a")
			Expect(err == nil).To(Equal(applied))
		},
		Entry("outage", stand.PlatformFaults{TableDown: true}, fault.StoreUnavailable, false),
		Entry("refused writes", stand.PlatformFaults{RefuseWrites: true}, fault.StoreUnavailable, false),
		Entry("lost reply", stand.PlatformFaults{LoseReplies: 1}, fault.StoreAmbiguous, true),
		Entry("lost reply by chance", stand.PlatformFaults{LoseReplyRate: 1}, fault.StoreAmbiguous, true),
		Entry("lost request", stand.PlatformFaults{LoseRequests: 1}, fault.StoreAmbiguous, false),
		Entry("one way", stand.PlatformFaults{OneWay: true}, fault.StoreAmbiguous, true),
	)

	It("lets a VM register itself over HTTP, under its own id only", func() {
		send := func(method, path, body string) int {
			w := httptest.NewRecorder()
			p.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
			return w.Code
		}
		Expect(send("PUT", "/v1/vms/a", `{"id":"a","caller":"127.0.0.1:80"}`)).To(Equal(200))
		Expect(send("PUT", "/v1/vms/b", `{"id":"a"}`)).To(Equal(400))
		Expect(send("GET", "/v1/vms?since=x", "")).To(Equal(400))
		list, _ := p.VMList().ChangesSince(ctx, 0)
		Expect(list.Live).To(ConsistOf(HaveField("CallerAddress", "127.0.0.1:80")))
		Expect(send("DELETE", "/v1/vms/a", "")).To(Equal(200))
		list, _ = p.VMList().ChangesSince(ctx, 0)
		Expect(list.Live).To(BeEmpty())
	})

	It("lists the VMs that changed, and all of them for a version that is too old", func() {
		for i := range 3 {
			Expect(p.PutVM(ctx, fleet.VM{ID: fleet.VMID(fmt.Sprint(i))})).To(Succeed())
		}
		all, err := p.VMList().ChangesSince(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(all.Full).To(BeTrue())
		Expect(all.Live).To(HaveLen(3))
		Expect(p.RemoveVM(ctx, "1")).To(Succeed())
		changed, _ := p.VMList().ChangesSince(ctx, all.Version)
		Expect(changed).To(Equal(store.VMChanges{Version: 4, Live: []fleet.VM{}, Removed: []fleet.VMID{"1"}}))
		for range 4 {
			Expect(p.PutVM(ctx, fleet.VM{ID: "9"})).To(Succeed())
		}
		full, _ := p.VMList().ChangesSince(ctx, all.Version)
		Expect(full.Full).To(BeTrue())
		Expect(full.Live).To(HaveLen(3))
	})
})

// TestPlatformTimedFaults guards against a VMLag that hides changes for ever and a
// LateBy that lets a write take effect at once.
func TestPlatformTimedFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := context.Background()
		p := stand.NewPlatform()
		p.SetFaults(stand.PlatformFaults{VMLag: time.Minute, LoseReplies: 1, LateBy: time.Second})
		g.Expect(p.Table().Apply(ctx, insertTx("a", "1"))).To(beOfKind(fault.StoreAmbiguous))
		_, err := p.Table().Get(ctx, "a")
		g.Expect(err).To(beOfKind(fault.RowMissing))
		g.Expect(p.PutVM(ctx, fleet.VM{ID: "v"})).To(Succeed())
		out, _ := p.VMList().ChangesSince(ctx, 0)
		g.Expect(out.Live).To(BeEmpty())
		time.Sleep(2 * time.Minute)
		_, err = p.Table().Get(ctx, "a")
		g.Expect(err).NotTo(HaveOccurred())
		out, _ = p.VMList().ChangesSince(ctx, 0)
		g.Expect(out.Live).To(HaveLen(1))
	})
}
