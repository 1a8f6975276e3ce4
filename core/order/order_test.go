package order

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
)

func TestOrder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "order")
}

var testSecret = []byte("0123456789abcdef0123456789abcdef")

// crew is a small fleet whose managers ask each other through encoded messages.
type crew struct {
	platform *stand.Platform
	managers map[fleet.Incarnation]*Manager
	// cut holds the incarnations that can't be reached.
	cut map[fleet.Incarnation]bool
	// lose is the number of next asks that arrive while their reply is lost.
	lose int
}

func newCrew() *crew {
	return &crew{platform: stand.NewPlatform(), managers: map[fleet.Incarnation]*Manager{}, cut: map[fleet.Incarnation]bool{}}
}

func (c *crew) ask(_ context.Context, to fleet.Incarnation, ask OrderAsk) (OrderReply, error) {
	d := c.managers[to]
	if d == nil || c.cut[to] {
		return OrderReply{}, fault.New(fault.PeerUnreachable, "%s", to)
	}
	var in OrderAsk
	recode(ask, &in)
	reply := d.Answer(in)
	if c.lose > 0 {
		c.lose--
		return OrderReply{}, fault.New(fault.PeerUnreachable, "reply of %s lost", to)
	}
	var out OrderReply
	recode(reply, &out)
	return out, nil
}

func recode(from, to any) {
	b, err := cbor.Marshal(from)
	if err == nil {
		err = cbor.Unmarshal(b, to)
	}
	if err != nil {
		panic(fmt.Sprintf("%+v: %v", from, err))
	}
}

func (c *crew) others(fleet.Incarnation) []fleet.Incarnation {
	var list []fleet.Incarnation
	for inc := range c.managers {
		list = append(list, inc)
	}
	return list
}

func (c *crew) join(vm fleet.VMID, opts ...LedgerOption) *Manager {
	s, err := NewSigner(testSecret)
	if err != nil {
		panic(err)
	}
	inc := fleet.NewIncarnation(vm)
	d := NewManager(inc, s, WithLedger(NewLedger(inc, opts...)), WithTable(c.platform.Table()),
		WithAskHome(c.ask), WithHolders(c.others), WithQueryTimeout(time.Second))
	c.managers[inc] = d
	return d
}

func (c *crew) leave(d *Manager) {
	delete(c.managers, d.self)
}

func digest(body string) Hash {
	d := NewDigester("w", "POST", "/orders")
	_, _ = d.Write([]byte(body))
	return d.Sum()
}

func request(key, body string) Request {
	return Request{Key: key, Service: "reservas", Workspace: "w", Digest: digest(body), Carried: true}
}

func tokenKey(d *Manager, suffix string) string {
	t, err := d.Token("reservas", ModeHome)
	Expect(err).NotTo(HaveOccurred())
	return `"` + t + "." + suffix + `"`
}

func response(body string) *Response {
	return &Response{Status: 200, Header: []Field{{"Content-Type", "text/plain"}}, Body: []byte(body)}
}

func verdict(v Verdict) OmegaMatcher {
	return HaveField("Verdict", v)
}

func replay(body string) OmegaMatcher {
	return And(verdict(VerdictReplay), HaveField("Response.Body", []byte(body)))
}

var _ = Describe("Manager", func() {
	ctx := context.Background()
	var c *crew
	var home, other, third *Manager
	BeforeEach(func() {
		c = newCrew()
		home, other, third = c.join("home"), c.join("other"), c.join("third")
	})

	// Each kind of key goes through the same life, at its own daemon and at others.
	for name, newKey := range map[string]func() string{
		"token key":        func() string { return tokenKey(home, "1") },
		"caller's own key": func() string { return "own-key" },
		"token in mode claim": func() string {
			t, err := home.Token("reservas", ModeClaim)
			Expect(err).NotTo(HaveOccurred())
			return t + ".1"
		},
	} {
		Describe(name, func() {
			var r Request
			BeforeEach(func() { r = request(newKey(), "a") })

			It("runs once and replays the first response everywhere", func() {
				d := home.Begin(ctx, r)
				Expect(d).To(verdict(VerdictRun))
				Expect(home.Begin(ctx, r)).To(verdict(VerdictInProgress))
				Expect(other.Begin(ctx, r)).To(verdict(VerdictInProgress))
				d.Ticket.Finish(fault.Run, response("booked"))
				Expect(home.Flush(ctx)).To(Succeed())
				Expect(home.Begin(ctx, r)).To(replay("booked"))
				Expect(other.Begin(ctx, r)).To(replay("booked"))
				Expect(other.Close(ctx, r)).To(replay("booked"))
				Expect(other.Begin(ctx, request(r.Key, "b"))).To(verdict(VerdictMismatch))
			})

			It("gives no response to a copy without a digest", func() {
				home.Begin(ctx, r).Ticket.Finish(fault.Run, response("booked"))
				r.Digest = Hash{}
				for _, d := range []*Manager{home, other} {
					Expect(d.Close(ctx, r)).To(And(verdict(VerdictReplay), HaveField("Response", BeNil())))
				}
			})

			It("keeps not-run final", func() {
				home.Begin(ctx, r).Ticket.Finish(fault.NotRun, nil)
				for _, d := range []*Manager{home, other} {
					Expect(d.Begin(ctx, r)).To(And(verdict(VerdictNotRun), HaveField("Fault.Kind", fault.OrderClosed)))
				}
			})

			It("keeps unknown final", func() {
				home.Begin(ctx, r).Ticket.Finish(fault.Unknown, nil)
				for _, d := range []*Manager{home, other} {
					Expect(d.Begin(ctx, r)).To(verdict(VerdictUnknown))
				}
			})

			It("runs at another daemon that asks first, and only there", func() {
				d := other.Begin(ctx, r)
				Expect(d).To(verdict(VerdictRun))
				Expect(home.Begin(ctx, r)).To(verdict(VerdictInProgress))
				Expect(third.Begin(ctx, r)).To(verdict(VerdictInProgress))
				d.Ticket.Finish(fault.Run, response("booked"))
				Expect(third.Begin(ctx, r)).To(replay("booked"))
				Expect(home.Begin(ctx, r)).To(replay("booked"))
			})

			It("closes the key at a daemon that doesn't carry the service", func() {
				Expect(other.Close(ctx, r)).To(verdict(VerdictNotRun))
				Expect(home.Begin(ctx, r)).To(verdict(VerdictNotRun))
				Expect(third.Begin(ctx, r)).To(verdict(VerdictNotRun))
			})

			It("doesn't run it while the authority can't be asked", func() {
				c.cut[home.self] = true
				c.platform.Misbehave(stand.PlatformFaults{TableDown: true})
				Expect(other.Begin(ctx, r)).To(And(verdict(VerdictUnknown), HaveField("Fault.Outcome", fault.Unknown)))
				Expect(other.Close(ctx, r)).To(verdict(VerdictUnknown))
			})

			It("is answered by those who took over the ledger", func() {
				d := home.Begin(ctx, r)
				d.Ticket.Finish(fault.Run, response("booked"))
				for _, p := range home.Export() {
					var in LedgerPart
					recode(p, &in)
					Expect(other.Import(in)).To(Succeed())
				}
				c.leave(home)
				Expect(other.Begin(ctx, r)).To(replay("booked"))
				Expect(third.Begin(ctx, r)).To(replay("booked"))
			})
		})
	}

	It("runs an order whose release was lost on its way, at the same daemon", func() {
		r := request(tokenKey(home, "1"), "a")
		c.lose = 1
		Expect(other.Begin(ctx, r)).To(verdict(VerdictUnknown))
		Expect(other.Begin(ctx, r)).To(verdict(VerdictRun))
		Expect(other.Begin(ctx, r)).To(verdict(VerdictInProgress))
	})

	It("closes a released key whose holder never learned of it", func() {
		r := request(tokenKey(home, "1"), "a")
		c.lose = 1
		Expect(other.Begin(ctx, r)).To(verdict(VerdictUnknown))
		Expect(third.Begin(ctx, r)).To(verdict(VerdictNotRun))
		Expect(other.Begin(ctx, r)).To(verdict(VerdictNotRun))
	})

	It("says unknown for a key whose home is gone without a hand-over", func() {
		r := request(tokenKey(home, "1"), "a")
		c.leave(home)
		Expect(other.Begin(ctx, r)).To(verdict(VerdictUnknown))
	})

	It("refuses unseen keys of a ledger that was handed over, and issues no token any more", func() {
		r := request(tokenKey(home, "1"), "a")
		for _, p := range home.Export() {
			Expect(other.Import(p)).To(Succeed())
		}
		Expect(home.Begin(ctx, r)).To(verdict(VerdictNotRun))
		Expect(third.Begin(ctx, r)).To(verdict(VerdictNotRun))
		_, err := home.Token("reservas", ModeHome)
		Expect(fault.Is(err, fault.NotReady)).To(BeTrue())
	})

	It("says nothing about unseen keys until all parts arrived", func() {
		r := request(tokenKey(home, "1"), "a")
		parts := home.Export()
		parts[0].Parts = 2
		Expect(other.Import(parts[0])).To(Succeed())
		c.leave(home)
		Expect(third.Begin(ctx, r)).To(verdict(VerdictUnknown))
	})

	It("treats orders without a key by the route", func() {
		Expect(home.Begin(ctx, request("", "a"))).To(HaveField("Fault.Kind", fault.OrderKeyMissing))
		r := request("", "a")
		r.Mode = fleet.KeyOptional
		d := home.Begin(ctx, r)
		Expect(d).To(verdict(VerdictRun))
		d.Ticket.Finish(fault.Run, nil)
	})

	It("refuses the token of another service", func() {
		r := request(tokenKey(home, "1"), "a")
		r.Service = "catalogo"
		Expect(home.Begin(ctx, r)).To(And(verdict(VerdictInvalid), HaveField("Fault.Outcome", fault.NotRun)))
	})
})
