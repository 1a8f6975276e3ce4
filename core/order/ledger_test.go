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

// TestEpochs guards against a ledger that grows for ever, and against a
// definite statement about keys that it has forgotten.
func TestEpochs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		RegisterTestingT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		d := newCrew().join("home")
		d.Start(ctx)
		ran, unseen := request(tokenKey(d, "1"), "a"), request(tokenKey(d, "2"), "a")
		d.Begin(ctx, ran).Ticket.Finish(fault.Run, response("booked"))
		time.Sleep(defaultEpochDuration + time.Minute)
		g.Expect(d.Begin(ctx, unseen)).To(verdict(VerdictNotRun))
		g.Expect(d.Begin(ctx, ran)).To(replay("booked"))
		g.Expect(d.Dump().Epoch).To(BeEquivalentTo(2))
		time.Sleep(defaultRetention)
		g.Expect(d.Begin(ctx, ran)).To(verdict(VerdictUnknown))
		g.Expect(d.Begin(ctx, unseen)).To(verdict(VerdictUnknown))
		g.Expect(d.Dump().Records).To(BeZero())
		g.Expect(d.Dump().KeptBytes).To(BeZero())
	})
}

// TestFullLedger guards against a ledger that passes its bounds, that runs an
// order without a record, or that stays full while it may forget.
func TestFullLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		RegisterTestingT(t)
		ctx := context.Background()
		d := newCrew().join("home", WithMaxRecords(10), WithMaxKeptBytes(shardCount*1000, 500))
		key := tokenKey(d, "")
		suffixed := func(i int) Request { return request(strings.Replace(key, `."`, fmt.Sprint(".", i, `"`), 1), "a") }
		for i := range 10 {
			g.Expect(d.Begin(ctx, suffixed(i))).To(verdict(VerdictRun))
		}
		g.Expect(d.Begin(ctx, suffixed(10))).To(verdict(VerdictNotRun))
		g.Expect(d.Begin(ctx, request("own", "a"))).To(verdict(VerdictNotRun))
		_, err := d.Token("reservas", ModeHome)
		g.Expect(fault.Is(err, fault.QueueFull)).To(BeTrue())
		time.Sleep(defaultMinRetention)
		g.Expect(d.Begin(ctx, request(tokenKey(d, "1"), "a"))).To(verdict(VerdictRun))
		g.Expect(d.Begin(ctx, suffixed(10))).To(verdict(VerdictUnknown))
		g.Expect(d.Dump().Records).To(BeEquivalentTo(1))
	})
}

// TestKeptBytes guards against kept responses above the bound, and against a
// record that is lost together with its response.
func TestKeptBytes(t *testing.T) {
	g := NewWithT(t)
	RegisterTestingT(t)
	ctx := context.Background()
	const bound = shardCount * 1000
	d := newCrew().join("home", WithMaxKeptBytes(bound, 500))
	var all []Request
	for range 300 {
		r := request(tokenKey(d, "1"), "a")
		all = append(all, r)
		d.Begin(ctx, r).Ticket.Finish(fault.Run, response(strings.Repeat("x", 200)))
		g.Expect(d.Dump().KeptBytes).To(BeNumerically("<=", bound))
	}
	big := request(tokenKey(d, "1"), "a")
	d.Begin(ctx, big).Ticket.Finish(fault.Run, response(strings.Repeat("x", 600)))
	for _, r := range append(all, big) {
		g.Expect(d.Begin(ctx, r)).To(verdict(VerdictReplay))
	}
	g.Expect(d.Begin(ctx, big).Fault.Kind).To(Equal(fault.OrderAnswerDropped))
	g.Expect(d.Dump().States).To(HaveKeyWithValue("run", BeNumerically(">", 20)))
}

// TestExportBound guards against a hand-over that takes more than its share of
// the network, and against a record that is lost with its response.
func TestExportBound(t *testing.T) {
	g := NewWithT(t)
	RegisterTestingT(t)
	d := newCrew().join("home")
	for range 100 {
		d.Begin(context.Background(), request(tokenKey(d, "1"), "a")).Ticket.Finish(fault.Run, response(strings.Repeat("x", 60<<10)))
	}
	size, records, replays := 0, 0, 0
	for _, p := range d.Export() {
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

// TestOutcomeRetry guards against an outcome that is lost in an outage: after
// the holder is gone its row must still tell the response.
func TestOutcomeRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		c := newCrew()
		home, other := c.join("home"), c.join("other")
		home.Start(ctx)
		d := home.Begin(ctx, request("own", "a"))
		c.platform.Misbehave(stand.PlatformFaults{TableDown: true})
		d.Ticket.Finish(fault.Run, response("booked"))
		time.Sleep(time.Hour)
		g.Expect(home.Dump().OutcomesWaiting).To(Equal(1))
		c.platform.Misbehave(stand.PlatformFaults{})
		time.Sleep(5 * time.Second)
		g.Expect(home.Dump().OutcomesWaiting).To(BeZero())
		c.leave(home)
		g.Expect(other.Begin(ctx, request("own", "a"))).To(replay("booked"))
	})
}

// TestSecrets guards against a rotation that refuses tokens under way, and
// against not-run for a signature that only this daemon doesn't know.
func TestSecrets(t *testing.T) {
	g := NewWithT(t)
	next := []byte("fedcba9876543210")
	issuer, _ := NewSigner(testSecret)
	key, err := issuer.Issue(Token{Service: "reservas", Issuer: "vm.0123456789abcdef", Epoch: 1 << 30, Mode: ModeHome})
	g.Expect(err).NotTo(HaveOccurred())
	other, _ := NewSigner(next, testSecret)
	k, err := other.ParseKey(key + ".1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(k.Token.Issuer).To(BeEquivalentTo("vm.0123456789abcdef"))
	g.Expect(other.Rotate(next)).To(Succeed())
	_, err = other.ParseKey(key + ".1")
	g.Expect(fault.From(err).Outcome).To(Equal(fault.Unknown))
	g.Expect(other.Rotate([]byte("short"))).NotTo(Succeed())
	// Ids of 72 bytes together are the longest that fit into 150 characters.
	id := strings.Repeat("x", 36)
	text, err := issuer.Issue(Token{Service: fleet.ServiceID(id), Issuer: fleet.Incarnation(id + ".0123456789abcdef"), Epoch: 1, Mode: ModeHome})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(text)).To(BeNumerically("<=", 150))
}
