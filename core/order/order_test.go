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

// testFleet is a fleet of managers that query each other with encoded messages.
type testFleet struct {
	platform *stand.Platform
	managers map[fleet.Incarnation]*Manager
	// unreachable holds the incarnations whose queries fail.
	unreachable map[fleet.Incarnation]bool
	// lostReplies is the number of next queries that arrive but whose reply is lost.
	lostReplies int
}

func newTestFleet() *testFleet {
	return &testFleet{platform: stand.NewPlatform(), managers: map[fleet.Incarnation]*Manager{}, unreachable: map[fleet.Incarnation]bool{}}
}

func (f *testFleet) query(_ context.Context, to fleet.Incarnation, query KeyQuery) (KeyReply, error) {
	m := f.managers[to]
	if m == nil || f.unreachable[to] {
		return KeyReply{}, fault.New(fault.PeerUnreachable, "%s", to)
	}
	var in KeyQuery
	reencode(query, &in)
	reply := m.AnswerQuery(in)
	if f.lostReplies > 0 {
		f.lostReplies--
		return KeyReply{}, fault.New(fault.PeerUnreachable, "reply of %s lost", to)
	}
	var out KeyReply
	reencode(reply, &out)
	return out, nil
}

// reencode copies from into to through its encoding.
func reencode(from, to any) {
	b, err := cbor.Marshal(from)
	if err == nil {
		err = cbor.Unmarshal(b, to)
	}
	if err != nil {
		panic(fmt.Sprintf("%+v: %v", from, err))
	}
}

func (f *testFleet) allIncarnations(fleet.Incarnation) []fleet.Incarnation {
	var list []fleet.Incarnation
	for inc := range f.managers {
		list = append(list, inc)
	}
	return list
}

func (f *testFleet) addManager(vm fleet.VMID, opts ...LedgerOption) *Manager {
	s, err := NewSigner(testSecret)
	if err != nil {
		panic(err)
	}
	inc := fleet.NewIncarnation(vm)
	m := NewManager(inc, s, WithLedger(NewLedger(inc, opts...)), WithTable(f.platform.Table()),
		WithQueryFunc(f.query), WithImporters(f.allIncarnations), WithQueryTimeout(time.Second))
	f.managers[inc] = m
	return m
}

func (f *testFleet) removeManager(m *Manager) {
	delete(f.managers, m.self)
}

func digest(body string) Hash {
	d := NewDigester("w", "POST", "/orders")
	_, _ = d.Write([]byte(body))
	return d.Sum()
}

func request(key, body string) Request {
	return Request{Key: key, Service: "reservas", Workspace: "w", Digest: digest(body), MayRun: true}
}

func tokenKey(m *Manager, suffix string) string {
	t, err := m.IssueToken("reservas", ModeLedger)
	Expect(err).NotTo(HaveOccurred())
	return `"` + t + "." + suffix + `"`
}

func response(body string) *Response {
	return &Response{Status: 200, Header: []HeaderField{{"Content-Type", "text/plain"}}, Body: []byte(body)}
}

func verdict(v Verdict) OmegaMatcher {
	return HaveField("Verdict", v)
}

func replay(body string) OmegaMatcher {
	return And(verdict(VerdictReplay), HaveField("Response.Body", []byte(body)))
}

var _ = Describe("Manager", func() {
	ctx := context.Background()
	var f *testFleet
	var issuer, other, third *Manager
	BeforeEach(func() {
		f = newTestFleet()
		issuer, other, third = f.addManager("home"), f.addManager("other"), f.addManager("third")
	})

	// Each kind of key behaves in the same way, at the issuer of the token and at
	// other daemons.
	for name, newKey := range map[string]func() string{
		"token key":         func() string { return tokenKey(issuer, "1") },
		"caller-chosen key": func() string { return "own-key" },
		"token in mode claim": func() string {
			t, err := issuer.IssueToken("reservas", ModeClaim)
			Expect(err).NotTo(HaveOccurred())
			return t + ".1"
		},
	} {
		Describe(name, func() {
			var r Request
			BeforeEach(func() { r = request(newKey(), "a") })

			It("runs once and replays the first response everywhere", func() {
				d := issuer.Begin(ctx, r)
				Expect(d).To(verdict(VerdictRun))
				Expect(issuer.Begin(ctx, r)).To(verdict(VerdictInProgress))
				Expect(other.Begin(ctx, r)).To(verdict(VerdictInProgress))
				d.Permit.Finish(fault.Run, response("booked"))
				Expect(issuer.FlushOutcomes(ctx)).To(Succeed())
				Expect(issuer.Begin(ctx, r)).To(replay("booked"))
				Expect(other.Begin(ctx, r)).To(replay("booked"))
				Expect(other.CloseKey(ctx, r)).To(replay("booked"))
				Expect(other.Begin(ctx, request(r.Key, "b"))).To(verdict(VerdictMismatch))
			})

			It("gives no response to a copy without a digest", func() {
				issuer.Begin(ctx, r).Permit.Finish(fault.Run, response("booked"))
				r.Digest = Hash{}
				for _, m := range []*Manager{issuer, other} {
					Expect(m.CloseKey(ctx, r)).To(And(verdict(VerdictReplay), HaveField("Response", BeNil())))
				}
			})

			It("keeps not-run final", func() {
				issuer.Begin(ctx, r).Permit.Finish(fault.NotRun, nil)
				for _, m := range []*Manager{issuer, other} {
					Expect(m.Begin(ctx, r)).To(And(verdict(VerdictNotRun), HaveField("Fault.Kind", fault.OrderClosed)))
				}
			})

			It("keeps unknown final", func() {
				issuer.Begin(ctx, r).Permit.Finish(fault.Unknown, nil)
				for _, m := range []*Manager{issuer, other} {
					Expect(m.Begin(ctx, r)).To(verdict(VerdictUnknown))
				}
			})

			It("runs only at another daemon if that receives the first copy", func() {
				d := other.Begin(ctx, r)
				Expect(d).To(verdict(VerdictRun))
				Expect(issuer.Begin(ctx, r)).To(verdict(VerdictInProgress))
				Expect(third.Begin(ctx, r)).To(verdict(VerdictInProgress))
				d.Permit.Finish(fault.Run, response("booked"))
				Expect(third.Begin(ctx, r)).To(replay("booked"))
				Expect(issuer.Begin(ctx, r)).To(replay("booked"))
			})

			It("closes the key at a daemon that may not run it", func() {
				Expect(other.CloseKey(ctx, r)).To(verdict(VerdictNotRun))
				Expect(issuer.Begin(ctx, r)).To(verdict(VerdictNotRun))
				Expect(third.Begin(ctx, r)).To(verdict(VerdictNotRun))
			})

			It("doesn't run it while issuer and table service are unreachable", func() {
				f.unreachable[issuer.self] = true
				f.platform.SetFaults(stand.PlatformFaults{TableDown: true})
				Expect(other.Begin(ctx, r)).To(And(verdict(VerdictUnknown), HaveField("Fault.Outcome", fault.Unknown)))
				Expect(other.CloseKey(ctx, r)).To(verdict(VerdictUnknown))
			})

			It("is decided by the imported ledger once the issuer has left", func() {
				d := issuer.Begin(ctx, r)
				d.Permit.Finish(fault.Run, response("booked"))
				for _, p := range issuer.ExportLedgers() {
					var in LedgerPart
					reencode(p, &in)
					Expect(other.ImportLedgerPart(in)).To(Succeed())
				}
				f.removeManager(issuer)
				Expect(other.Begin(ctx, r)).To(replay("booked"))
				Expect(third.Begin(ctx, r)).To(replay("booked"))
			})
		})
	}

	It("runs an order whose grant was lost in transit, at the same daemon", func() {
		r := request(tokenKey(issuer, "1"), "a")
		f.lostReplies = 1
		Expect(other.Begin(ctx, r)).To(verdict(VerdictUnknown))
		Expect(other.Begin(ctx, r)).To(verdict(VerdictRun))
		Expect(other.Begin(ctx, r)).To(verdict(VerdictInProgress))
	})

	It("closes a released key whose grantee never received the grant", func() {
		r := request(tokenKey(issuer, "1"), "a")
		f.lostReplies = 1
		Expect(other.Begin(ctx, r)).To(verdict(VerdictUnknown))
		Expect(third.Begin(ctx, r)).To(verdict(VerdictNotRun))
		Expect(other.Begin(ctx, r)).To(verdict(VerdictNotRun))
	})

	It("returns unknown for a key whose issuer ended without a handover", func() {
		r := request(tokenKey(issuer, "1"), "a")
		f.removeManager(issuer)
		Expect(other.Begin(ctx, r)).To(verdict(VerdictUnknown))
	})

	It("closes keys without a record in a ledger that was handed over, and issues no more tokens", func() {
		r := request(tokenKey(issuer, "1"), "a")
		for _, p := range issuer.ExportLedgers() {
			Expect(other.ImportLedgerPart(p)).To(Succeed())
		}
		Expect(issuer.Begin(ctx, r)).To(verdict(VerdictNotRun))
		Expect(third.Begin(ctx, r)).To(verdict(VerdictNotRun))
		_, err := issuer.IssueToken("reservas", ModeLedger)
		Expect(fault.Is(err, fault.NotReady)).To(BeTrue())
	})

	It("returns unknown for keys without a record until all parts have arrived", func() {
		r := request(tokenKey(issuer, "1"), "a")
		parts := issuer.ExportLedgers()
		parts[0].Count = 2
		Expect(other.ImportLedgerPart(parts[0])).To(Succeed())
		f.removeManager(issuer)
		Expect(third.Begin(ctx, r)).To(verdict(VerdictUnknown))
	})

	It("handles orders without a key according to the route", func() {
		Expect(issuer.Begin(ctx, request("", "a"))).To(HaveField("Fault.Kind", fault.OrderKeyMissing))
		r := request("", "a")
		r.KeyMode = fleet.KeyOptional
		d := issuer.Begin(ctx, r)
		Expect(d).To(verdict(VerdictRun))
		d.Permit.Finish(fault.Run, nil)
	})

	It("rejects the token of another service", func() {
		r := request(tokenKey(issuer, "1"), "a")
		r.Service = "catalogo"
		Expect(issuer.Begin(ctx, r)).To(And(verdict(VerdictInvalid), HaveField("Fault.Outcome", fault.NotRun)))
	})
})
