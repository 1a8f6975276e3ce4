package order

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
)

// TestEpochs guards against a ledger that grows without limit, and against a
// definite outcome for keys whose records were discarded.
func TestEpochs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		RegisterTestingT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		m := newTestFleet().addManager("home")
		m.Start(ctx)
		ran, unseen := request(tokenKey(m, "1"), "a"), request(tokenKey(m, "2"), "a")
		m.Begin(ctx, ran).Permit.Finish(fault.Run, response("booked"))
		time.Sleep(defaultEpochDuration + time.Minute)
		g.Expect(m.Begin(ctx, unseen)).To(verdict(VerdictNotRun))
		g.Expect(m.Begin(ctx, ran)).To(replay("booked"))
		g.Expect(m.Dump().Epoch).To(BeEquivalentTo(2))
		time.Sleep(defaultRetention)
		g.Expect(m.Begin(ctx, ran)).To(verdict(VerdictUnknown))
		g.Expect(m.Begin(ctx, unseen)).To(verdict(VerdictUnknown))
		g.Expect(m.Dump().Records).To(BeZero())
		g.Expect(m.Dump().KeptBytes).To(BeZero())
	})
}

// TestFullLedger guards against a ledger that exceeds its limits, that runs an
// order without a record, or that stays full although it may discard an epoch.
func TestFullLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		RegisterTestingT(t)
		ctx := context.Background()
		m := newTestFleet().addManager("home", WithMaxRecords(10), WithMaxKeptBytes(shardCount*1000, 500))
		key := tokenKey(m, "")
		suffixed := func(i int) Request { return request(strings.Replace(key, `."`, fmt.Sprint(".", i, `"`), 1), "a") }
		for i := range 10 {
			g.Expect(m.Begin(ctx, suffixed(i))).To(verdict(VerdictRun))
		}
		g.Expect(m.Begin(ctx, suffixed(10))).To(verdict(VerdictNotRun))
		g.Expect(m.Begin(ctx, request("own", "a"))).To(verdict(VerdictNotRun))
		_, err := m.IssueToken("reservas", ModeLedger)
		g.Expect(fault.Is(err, fault.QueueFull)).To(BeTrue())
		time.Sleep(defaultMinRetention)
		g.Expect(m.Begin(ctx, request(tokenKey(m, "1"), "a"))).To(verdict(VerdictRun))
		g.Expect(m.Begin(ctx, suffixed(10))).To(verdict(VerdictUnknown))
		g.Expect(m.Dump().Records).To(BeEquivalentTo(1))
	})
}

// TestKeptBytes guards against kept responses that exceed the limit, and against a
// record that is dropped together with its response.
func TestKeptBytes(t *testing.T) {
	g := NewWithT(t)
	RegisterTestingT(t)
	ctx := context.Background()
	const bound = shardCount * 1000
	m := newTestFleet().addManager("home", WithMaxKeptBytes(bound, 500))
	var all []Request
	for range 300 {
		r := request(tokenKey(m, "1"), "a")
		all = append(all, r)
		m.Begin(ctx, r).Permit.Finish(fault.Run, response(strings.Repeat("x", 200)))
		g.Expect(m.Dump().KeptBytes).To(BeNumerically("<=", bound))
	}
	big := request(tokenKey(m, "1"), "a")
	m.Begin(ctx, big).Permit.Finish(fault.Run, response(strings.Repeat("x", 600)))
	for _, r := range append(all, big) {
		g.Expect(m.Begin(ctx, r)).To(verdict(VerdictReplay))
	}
	g.Expect(m.Begin(ctx, big).Fault.Kind).To(Equal(fault.OrderAnswerDropped))
	g.Expect(m.Dump().States).To(HaveKeyWithValue("run", BeNumerically(">", 20)))
}

// TestExportBound guards against a handover that exceeds its share of the network
// bandwidth, and against a record that is dropped together with its response.
func TestExportBound(t *testing.T) {
	g := NewWithT(t)
	RegisterTestingT(t)
	m := newTestFleet().addManager("home")
	for range 100 {
		m.Begin(context.Background(), request(tokenKey(m, "1"), "a")).Permit.Finish(fault.Run, response(strings.Repeat("x", 60<<10)))
	}
	size, records, replays := 0, 0, 0
	for _, p := range m.ExportLedgers() {
		g.Expect(p.Validate()).To(Succeed())
		records += len(p.Records)
		for _, r := range p.Records {
			if r.Response != nil {
				size += len(r.Response.Body)
				replays++
			}
		}
	}
	g.Expect(records).To(Equal(100))
	g.Expect(size).To(BeNumerically("<=", 4<<20))
	g.Expect(replays).To(BeNumerically(">", 60))
}

// TestOutcomeRetry guards against an outcome that is lost during an outage of the
// table service. Once it is over, the claim row must have the response, also after
// the owner of the claim has gone.
func TestOutcomeRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		f := newTestFleet()
		owner, other := f.addManager("home"), f.addManager("other")
		owner.Start(ctx)
		d := owner.Begin(ctx, request("own", "a"))
		f.platform.SetFaults(stand.PlatformFaults{TableDown: true})
		d.Permit.Finish(fault.Run, response("booked"))
		time.Sleep(time.Hour)
		g.Expect(owner.Dump().OutcomesWaiting).To(Equal(1))
		f.platform.SetFaults(stand.PlatformFaults{})
		time.Sleep(5 * time.Second)
		g.Expect(owner.Dump().OutcomesWaiting).To(BeZero())
		f.removeManager(owner)
		g.Expect(other.Begin(ctx, request("own", "a"))).To(replay("booked"))
	})
}

// TestSecrets guards against a rotation of the secrets that rejects tokens in use,
// and against the outcome not-run for a signature that this daemon can't verify
// but another may.
func TestSecrets(t *testing.T) {
	g := NewWithT(t)
	next := []byte("fedcba9876543210")
	issuer, _ := NewSigner(testSecret)
	key, err := issuer.Issue(Token{Service: "reservas", Issuer: "vm.0123456789abcdef", Epoch: 1 << 30, Mode: ModeLedger})
	g.Expect(err).NotTo(HaveOccurred())
	other, _ := NewSigner(next, testSecret)
	k, err := other.ParseKey(key + ".1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(k.Token.Issuer).To(BeEquivalentTo("vm.0123456789abcdef"))
	g.Expect(other.Rotate(next)).To(Succeed())
	_, err = other.ParseKey(key + ".1")
	g.Expect(fault.From(err).Outcome).To(Equal(fault.Unknown))
	g.Expect(other.Rotate([]byte("short"))).NotTo(Succeed())
	// Ids of 72 bytes together are the longest for a token of 150 characters.
	id := strings.Repeat("x", 36)
	text, err := issuer.Issue(Token{Service: fleet.ServiceID(id), Issuer: fleet.Incarnation(id + ".0123456789abcdef"), Epoch: 1, Mode: ModeLedger})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(text)).To(BeNumerically("<=", 150))
}
