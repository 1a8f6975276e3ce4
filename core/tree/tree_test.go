package tree

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

// problemTexts returns the text of each problem of an error.
func problemTexts(err error) []string {
	var e *ValidationError
	if !errors.As(err, &e) || !fault.Is(err, fault.SettingsInvalid) {
		return nil
	}
	var out []string
	for _, p := range e.Problems {
		out = append(out, p.String())
	}
	return out
}

var _ = Describe("Keys", func() {
	It("describes every key and gives defaults that its parser accepts", func() {
		// Guards against a default that a settings file could not contain.
		for _, k := range Keys() {
			Expect(k.Description).NotTo(BeEmpty(), k.Name)
			Expect(k.Levels).NotTo(BeEmpty(), k.Name)
			level := k.Levels[len(k.Levels)-1]
			raw := encodeValue(k.defaultValue(inheritanceChain{level: level}))
			if k.Default == "none" || k == keyDrained {
				continue
			}
			_, err := k.Parse(raw, level)
			Expect(err).NotTo(HaveOccurred(), "%s = %s", k.Name, raw)
		}
	})

	DescribeTable("rejects invalid values", func(p Path, key, value string) {
		_, err := sampleDoc().Apply([]Op{{Path: p, Key: key, Value: json.RawMessage(value)}})
		Expect(problemTexts(err)).To(ContainElement(And(
			HavePrefix(string(p)+" "+key+" = "), ContainSubstring(": allowed: "))))
	},
		Entry("one owner", Root, "owners", `["ana"]`),
		Entry("the same owner twice", Root, "owners", `["ana","ana"]`),
		Entry("a null that would become 0", reservasPath, "slots", `null`),
		Entry("a fraction for a count", reservasPath, "slots", `1.5`),
		Entry("a count as a string", reservasPath, "queue-length", `"64"`),
		Entry("a duration without unit", stockPath, "deadline", `2`),
		Entry("a duration out of range", stockPath, "deadline", `"0s"`),
		Entry("a percentage above 100", reservasPath, "floor", `"101%"`),
		Entry("a percentage that is not a number", reservasPath, "floor", `"NaN%"`),
		Entry("a floor without percent sign", reservasPath, "floor", `"50"`),
		Entry("a host name as address", reservasPath, "targets", `[{"id":"a","address":"host:80","data-centre":"mdp"}]`),
		Entry("a target id twice", reservasPath, "targets", `[{"id":"a","address":"10.0.0.1:80","data-centre":"mdp"},{"id":"a","address":"10.0.0.2:80","data-centre":"mdp"}]`),
		Entry("an unknown field", reservasPath, "targets", `[{"id":"a","address":"10.0.0.1:80","data-centre":"mdp","weight":2}]`),
		Entry("lower-case methods", stockPath, "methods", `["get"]`),
		Entry("a prefix with a query", stockPath, "path-prefix", `"/a?b"`),
		Entry("an unknown kind", stockPath, "kind", `"urgent"`),
		Entry("a body failure that is longer than the searched part of the body", stockPath, "body-failure", `{"contains":"error","within":2}`),
		Entry("a refusal with a success status", stockPath, "refusal", `{"status":200}`),
		Entry("a key that is not in the registry", stockPath, "colour", `"red"`),
		Entry("a service key at a route", stockPath, "floor", `1`),
		Entry("a route key at a workspace", Path("/workspace/franquicias"), "kind", `"order"`),
		Entry("a key without effect at a data centre", Path("/data-centre/mdp"), "deadline", `"1s"`),
		Entry("a list of drained ids at a data centre", Path("/data-centre/mdp"), "drained", `["r1"]`),
		Entry("a key at a data centre that is not declared", Path("/data-centre/mpd"), "drained", `true`),
	)
})

var _ = Describe("Doc", func() {
	It("inherits values and returns their origins", func() {
		doc := sampleDoc()
		check := func(p Path, key, raw string, o Origin) {
			GinkgoHelper()
			value, origin, err := doc.Effective(p, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(value.Raw)).To(Equal(raw), key)
			Expect(origin).To(Equal(o), key)
		}
		check(stockPath, "deadline", `"1s"`, Origin{Path: stockPath, Level: "route"})
		check(bookPath, "deadline", `"3s"`, Origin{Path: Root, Level: "deployment"})
		check(reservasPath, "floor", `2`, Origin{Path: "/region/costa", Level: "region"})
		check(reservasPath, "carriers", `4`, Origin{Path: "/workspace/franquicias", Level: "workspace"})
		check(reservasPath, "detection-min-requests", `10`, Origin{Default: true, Preset: "careful"})
		check(reservasPath, "detection-window", `"6s"`, Origin{Path: reservasPath, Level: "service"})
		check(bookPath, "idempotent", `false`, Origin{Default: true})
		check(bookPath, "attempts", `1`, Origin{Default: true})
		check(stockPath, "attempts", `2`, Origin{Default: true})
		check(Root, "approval", `"both"`, Origin{Default: true})
		check(reservasPath, "approval", `"one"`, Origin{Default: true})
		value, origin, err := doc.EffectiveForTarget(reservasPath, "r1", "slots")
		Expect(err).NotTo(HaveOccurred())
		Expect(value.Parsed).To(Equal(4))
		Expect(origin).To(Equal(Origin{Path: "/data-centre/mdp", Level: "data-centre"}))
		_, _, err = doc.Effective("/workspace/other", "floor")
		Expect(fault.Is(err, fault.NotFound)).To(BeTrue())
		_, _, err = doc.Effective(Root, "colour")
		Expect(fault.Is(err, fault.SettingsInvalid)).To(BeTrue())
	})

	It("compiles effective values", func() {
		catalog, err := sampleDoc().Catalog()
		Expect(err).NotTo(HaveOccurred())
		svc, found := catalog.Service("reservas")
		Expect(found).To(BeTrue())
		Expect(svc.Workspace).To(Equal(fleet.WorkspaceID("franquicias")))
		Expect(svc.Region).To(Equal(fleet.Region("costa")))
		Expect(svc.Targets).To(Equal([]fleet.Target{
			{ID: "r1", Address: "10.0.0.1:80", DataCentre: "mdp", Slots: 4, Connections: 300},
			{ID: "r2", Address: "10.0.0.2:80", DataCentre: "pinamar", Slots: 2, Connections: 300},
		}))
		Expect(svc.Policy.Floor).To(Equal(fleet.Floor{Count: 2}))
		Expect(svc.Policy.Detection).To(Equal(fleet.Detection{Window: 6 * time.Second, MinRequests: 10, FailureRatio: 0.6, SlowFactor: 5, MinObservers: 3}))
		Expect(svc.Routes).To(HaveLen(2))
		Expect(svc.Routes[0]).To(Equal(fleet.Route{Name: "book", Methods: []string{"POST"}, PathPrefix: "/bookings", Kind: fleet.Order, Deadline: 3 * time.Second, Attempts: 1, MaxBody: 1 << 20}))
		Expect(catalog.HasWorkspace("franquicias")).To(BeTrue())
		Expect(catalog.HasWorkspace("other")).To(BeFalse())
	})

	It("drains single targets and whole data centres", func() {
		doc, err := sampleDoc().Apply([]Op{Set(reservasPath, "drained", []string{"r2"}), Set("/data-centre/mdp", "drained", true)})
		Expect(err).NotTo(HaveOccurred())
		svc, _ := doc.catalog.Service("reservas")
		Expect(svc.Targets[0].Drained && svc.Targets[1].Drained).To(BeTrue())
	})

	It("lets a route turn off an inherited refusal rule", func() {
		doc, err := sampleDoc().Apply([]Op{Set(Root, "refusal", fleet.Refusal{Status: 503, Header: "X-Shed"}), Set(bookPath, "refusal", nil)})
		Expect(err).NotTo(HaveOccurred())
		svc, _ := doc.catalog.Service("reservas")
		Expect(svc.Routes[0].Refusal).To(BeNil())
		Expect(svc.Routes[1].Refusal.Status).To(Equal(503))
	})

	It("lists every problem of an invalid change and leaves the document unchanged", func() {
		// Guards against an error that reports only the first of several problems.
		doc := sampleDoc()
		before, _ := json.Marshal(doc)
		_, err := doc.Apply([]Op{
			Set(reservasPath, "floor", 3),
			Set(reservasPath, "drained", []string{"r9"}),
			Set(bookPath, "attempts", 2),
			Set(bookPath, "hedge-after", "10ms"),
			Set(reservasPath+"/route/again", "path-prefix", "/stock"),
			Set(reservasPath+"/route/again", "methods", []string{"PUT", "GET"}),
			Set("/workspace/nobody/service/lost", "targets", []TargetEntry{{ID: "a", Address: "10.0.0.9:1", DataCentre: "mars"}}),
			Declare("/workspace/second"),
			Set("/workspace/second/service/reservas", "region", "costa"),
			Unset(stockPath, "kind"),
		})
		Expect(problemTexts(err)).To(ConsistOf(
			HavePrefix("/workspace/franquicias/service/reservas floor = 3: allowed: at most the 2 targets"),
			HavePrefix(`/workspace/franquicias/service/reservas drained = "r9"`),
			HavePrefix("/workspace/franquicias/service/reservas/route/book attempts = 2"),
			HavePrefix(`/workspace/franquicias/service/reservas/route/book hedge-after = "10ms"`),
			ContainSubstring(`path-prefix = "/stock": allowed: another prefix or other methods: route again also takes GET`),
			HavePrefix("/workspace/nobody/service/lost: allowed: a declared workspace"),
			HavePrefix(`/workspace/nobody/service/lost region = ""`),
			HavePrefix(`/workspace/nobody/service/lost targets = "mars"`),
			HavePrefix("/workspace/second/service/reservas = reservas: allowed: a service id that is unique"),
			HavePrefix("/workspace/franquicias/service/reservas/route/stock kind: allowed: a key that is set"),
		))
		after, _ := json.Marshal(doc)
		Expect(after).To(Equal(before))
	})

	It("reports an inherited value that is invalid for a service at the path that sets it", func() {
		_, err := sampleDoc().Apply([]Op{Set("/workspace/franquicias", "floor", 5)})
		Expect(problemTexts(err)).To(ConsistOf(HavePrefix("/workspace/franquicias floor = 5: allowed: at most the 2 targets of the service (for /workspace/franquicias/service/reservas)")))
	})

	It("lets a later op of one change correct an earlier one", func() {
		_, err := sampleDoc().Apply([]Op{Set(stockPath, "colour", "red"), Set(reservasPath, "floor", 9), Unset(stockPath, "colour"), Set(reservasPath, "floor", 1)})
		Expect(err).NotTo(HaveOccurred())
	})

	It("removes a workspace with its services", func() {
		doc, err := sampleDoc().Apply([]Op{Remove("/workspace/franquicias")})
		Expect(err).NotTo(HaveOccurred())
		Expect(doc.catalog.Services()).To(BeEmpty())
		Expect(doc.catalog.WorkspaceCount()).To(BeZero())
	})

	It("reuses the compiled services that a change does not affect", func() {
		// Guards against recompiling 360 services for each of 4,000 changes a day.
		doc, err := New().Apply(plannedFleetOps())
		Expect(err).NotTo(HaveOccurred())
		next, err := doc.Apply([]Op{Set(plannedServicePath(7), "floor", "70%")})
		Expect(err).NotTo(HaveOccurred())
		changed := 0
		for i, svc := range doc.catalog.Services() {
			if next.catalog.Services()[i] != svc {
				changed++
				Expect(svc.ID).To(Equal(plannedServiceID(7)))
			}
		}
		Expect(changed).To(Equal(1))
		same, err := next.Apply([]Op{Set(Root, "max-body", 1<<20)})
		Expect(err).NotTo(HaveOccurred())
		Expect(same.catalog.Services()).To(Equal(next.catalog.Services()))
		Expect(same.catalog.Services()[0]).To(BeIdenticalTo(next.catalog.Services()[0]))
	})

	It("reuses the services of the previous catalog for a decoded document", func() {
		doc := sampleDoc()
		related := sampleDoc().ReuseServices(doc.catalog)
		Expect(related.catalog.Services()[0]).To(BeIdenticalTo(doc.catalog.Services()[0]))
		// The reuse must not hide a later change of the service.
		next, err := related.Apply([]Op{Set(reservasPath, "floor", 1)})
		Expect(err).NotTo(HaveOccurred())
		Expect(next.catalog.Services()[0].Policy.Floor.Count).To(Equal(1))
	})

	It("returns the ops that turn one document into another", func() {
		doc := sampleDoc()
		next, err := doc.Apply([]Op{
			Remove(bookPath), Set(stockPath, "deadline", "2s"), Unset(reservasPath, "detection"), Declare("/workspace/new"), Set("/workspace/new", "floor", 1),
		})
		Expect(err).NotTo(HaveOccurred())
		for _, pair := range [][2]*Document{{doc, next}, {next, doc}, {New(), doc}, {doc, New()}} {
			got, err := pair[0].Apply(OpsBetween(pair[0], pair[1]))
			Expect(err).NotTo(HaveOccurred())
			want, _ := json.Marshal(pair[1])
			Expect(json.Marshal(got)).To(MatchJSON(want))
		}
		Expect(OpsBetween(doc, doc)).To(BeEmpty())
		Expect(Diff(doc, next)).To(ContainElements(
			Difference{Path: stockPath, Key: "deadline", Before: json.RawMessage(`"1s"`), After: json.RawMessage(`"2s"`)},
			Difference{Path: reservasPath, Key: "detection", Before: json.RawMessage(`"careful"`)},
			Difference{Path: bookPath, Before: json.RawMessage(`{}`)},
			Difference{Path: "/workspace/new", After: json.RawMessage(`{}`)},
		))
	})

	It("is unchanged by a JSON round trip and rejects duplicate paths and keys", func() {
		doc := sampleDoc()
		raw, err := json.Marshal(doc)
		Expect(err).NotTo(HaveOccurred())
		var decoded Document
		Expect(json.Unmarshal(raw, &decoded)).To(Succeed())
		Expect(OpsBetween(doc, &decoded)).To(BeEmpty())
		_, err = Decode([]byte(`{"/":{"floor":1,"floor":2},"/region/a":{},"/region/a":{}}`))
		Expect(problemTexts(err)).To(ConsistOf(ContainSubstring("each key once"), ContainSubstring("each path once")))
		_, err = Decode([]byte(`{"/":{}} {}`))
		Expect(fault.Is(err, fault.SettingsInvalid)).To(BeTrue())
	})
})

var _ = Describe("Op", func() {
	It("is unchanged by a JSON or CBOR round trip", func() {
		for _, o := range []Op{Set(stockPath, "deadline", "2s"), Unset(stockPath, "deadline"), Declare("/workspace/w"), Remove(bookPath), Set(bookPath, "refusal", nil)} {
			var fromJSON, fromCBOR Op
			raw, err := json.Marshal(o)
			Expect(err).NotTo(HaveOccurred())
			Expect(json.Unmarshal(raw, &fromJSON)).To(Succeed())
			Expect(fromJSON.Equal(o)).To(BeTrue(), "%s", raw)
			raw, err = cbor.Marshal(o)
			Expect(err).NotTo(HaveOccurred())
			Expect(cbor.Unmarshal(raw, &fromCBOR)).To(Succeed())
			Expect(fromCBOR.Equal(o)).To(BeTrue())
		}
	})

	It("lists the problems of all malformed ops", func() {
		_, err := DecodeOps([]byte(`[{"path":"/shelf/1"},{"path":"/","unset":true},{"path":"/","key":"Floor","value":1},{"path":"/","key":"floor"},{"path":"/workspace/w/service/UPPER"}]`))
		Expect(problemTexts(err)).To(HaveLen(5))
		_, err = DecodeOps([]byte(`[{"path":"/","key":"floor","value":1,"by":"ana"}]`))
		Expect(fault.Is(err, fault.SettingsInvalid)).To(BeTrue())
	})

	DescribeTable("reports ops that change the same value", func(a, b Op, want bool) {
		Expect(a.Overlaps(b)).To(Equal(want))
		Expect(b.Overlaps(a)).To(Equal(want))
	},
		Entry("the same key", Set(stockPath, "deadline", "1s"), Unset(stockPath, "deadline"), true),
		Entry("another key", Set(stockPath, "deadline", "1s"), Set(stockPath, "kind", "batch"), false),
		Entry("a removed parent", Remove(reservasPath), Set(stockPath, "kind", "batch"), true),
		Entry("a path with the same prefix", Remove(reservasPath), Set(reservasPath+"-2", "region", "costa"), false),
	)
})
