package admin

import (
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/tree"
)

var _ = Describe("authentication", func() {
	// Guards against an endpoint that skips authentication.
	DescribeTable("rejects requests without an operator's token", func(token, path string) {
		var p Problem
		Expect(newFixture().send(token, "GET", path, nil, &p)).To(Equal(http.StatusUnauthorized))
		Expect(p.Kind).To(Equal("unauthenticated"))
		Expect(p.RequestID).NotTo(BeEmpty())
	},
		Entry("no token", "", "/v1/settings/head"),
		Entry("a wrong token", "token-nobody", "/v1/settings/head"),
		Entry("a digest in place of the token", operatorEntry("marta").TokenSHA256, "/v1/settings/head"),
		Entry("the state dump", "", "/v1/state"),
		Entry("an endpoint that does not exist", "", "/v1/nothing"),
	)

	// Guards against an operator who is locked out during a token rotation, while
	// the settings list the old and the new token.
	It("accepts both tokens of an operator who is listed twice in the settings", func() {
		second := operatorEntry("spare")
		second.Name = "marta"
		tokens, err := parseCredentials([]config.Operator{operatorEntry("marta"), second})
		Expect(err).NotTo(HaveOccurred())
		a := &api{credentials: tokens}
		for _, token := range []string{"token-marta", "token-spare"} {
			r := httptest.NewRequest("GET", "/v1/state", nil)
			r.Header.Set("Authorization", "Bearer "+token)
			Expect(a.authenticate(r)).To(Equal("marta"))
		}
	})

	// Guards against a change that the log does not attribute to its operator.
	It("logs each change with operator and change id", func() {
		f := newFixture()
		f.bootstrap()
		id := f.proposeFloor("hector", "60%")
		Expect(f.log.String()).To(ContainSubstring("operator=hector action=propose change=" + id))
	})
})

var _ = Describe("settings", func() {
	// Guards against a lost update when two owners commit changes of the same value
	// from the same base revision.
	It("accepts one of two concurrent commits and lets the other rebase", func() {
		f := newFixture()
		f.bootstrap()
		first, second := f.proposeFloor("marta", "55%"), f.proposeFloor("hector", "65%")
		var won CommitReply
		Expect(f.sendAs("marta", "POST", "/v1/changes/"+first+"/commit", nil, &won)).To(Equal(http.StatusOK))
		Expect(won).To(Equal(CommitReply{Change: first, Outcome: settle.OutcomeAccepted, Revision: 2}))
		var p Problem
		Expect(f.sendAs("hector", "POST", "/v1/changes/"+second+"/commit", nil, &p)).To(Equal(http.StatusConflict))
		Expect(p.Kind).To(Equal("settings-conflict"))
		Expect(p.Change).To(Equal(second))
		Expect(p.Conflict.OverlappingOps).To(ConsistOf(HaveField("Path", workspace)))
		Expect(f.sendAs("hector", "POST", "/v1/changes/"+second+"/rebase", nil, nil)).To(Equal(http.StatusOK))
		Expect(f.sendAs("hector", "POST", "/v1/changes/"+second+"/commit", nil, &won)).To(Equal(http.StatusOK))
		var v ValueReply
		Expect(f.sendAs("marta", "GET", "/v1/settings/value?path=/workspace/cortavientos/service/reservas&key=floor", nil, &v)).To(Equal(http.StatusOK))
		Expect(string(v.Value)).To(Equal(`"65%"`))
		Expect(v.Origin.Path).To(Equal(workspace))
		Expect(v.Revision).To(Equal(settle.Revision(3)))
	})

	// Guards against a commit that is reported as failed although it took effect
	// (the store's reply was lost), and against a second application when the
	// operator repeats the request.
	It("returns not-yet-known if the store's reply is lost, and never applies a change twice", func() {
		f := newFixture()
		f.bootstrap()
		id := f.proposeFloor("marta", "60%")
		f.platform.SetFaults(stand.PlatformFaults{LoseReplies: 1, DownAfterLoss: true})
		var reply CommitReply
		Expect(f.sendAs("marta", "POST", "/v1/changes/"+id+"/commit", nil, &reply)).To(Equal(http.StatusAccepted))
		Expect(reply.Outcome).To(Equal(settle.OutcomeNotYetKnown))
		Expect(reply.FollowUp).To(Equal("POST /v1/changes/" + id + "/resolve"))
		Expect(f.sendAs("marta", "POST", "/v1/changes/"+id+"/resolve", nil, &reply)).To(Equal(http.StatusAccepted))
		var head HeadReply
		Expect(f.sendAs("marta", "GET", "/v1/settings/head", nil, &head)).To(Equal(http.StatusOK))
		Expect(head).To(Equal(HeadReply{Revision: 1, Applied: 1, Source: SourceDaemon}))
		f.platform.SetFaults(stand.PlatformFaults{})
		for _, again := range []string{"resolve", "commit", "resolve"} {
			Expect(f.sendAs("marta", "POST", "/v1/changes/"+id+"/"+again, nil, &reply)).To(Equal(http.StatusOK))
			Expect(reply.Outcome).To(Equal(settle.OutcomeAccepted))
			Expect(reply.Revision).To(Equal(settle.Revision(2)))
		}
		Expect(f.sendAs("marta", "GET", "/v1/settings/head", nil, &head)).To(Equal(http.StatusOK))
		Expect(head.Revision).To(Equal(settle.Revision(2)))
	})

	// Guards against validation that stops at the first problem or reports problems
	// without their place in the settings.
	It("lists every problem of an invalid change", func() {
		f := newFixture()
		f.bootstrap()
		var p Problem
		ops := []tree.Op{tree.Set(workspace, "floor", "600%"), tree.Set(workspace, "flor", 1)}
		Expect(f.sendAs("marta", "POST", "/v1/changes", ProposeBody{Ops: ops}, &p)).To(Equal(http.StatusUnprocessableEntity))
		Expect(p.Problems).To(HaveLen(2))
	})

	// Guards against a malformed body that is treated as an empty proposal.
	DescribeTable("rejects malformed bodies", func(body string, status int) {
		f := newFixture()
		f.bootstrap()
		Expect(f.sendAs("marta", "POST", "/v1/changes", body, nil)).To(Equal(status))
	},
		Entry("not JSON", "ops", http.StatusBadRequest),
		Entry("an unknown field", `{"op": []}`, http.StatusBadRequest),
		Entry("an unknown field of an op", `{"ops": [{"path": "/", "keys": "x"}]}`, http.StatusUnprocessableEntity),
		Entry("no ops", `{}`, http.StatusUnprocessableEntity),
		Entry("a body above the size limit", `{"note": "`+strings.Repeat("x", maxBodyBytes)+`"}`, http.StatusRequestEntityTooLarge),
	)

	// Guards against an operator who bootstraps a document that names only others as
	// owners.
	It("rejects a bootstrap by an operator who is not an owner of the document", func() {
		var p Problem
		Expect(newFixture().sendAs("marta", "POST", "/v1/settings/bootstrap", `{"/": {"owners": ["ana", "luz"]}}`, &p)).To(Equal(http.StatusForbidden))
	})

	// Guards against an API that bypasses the approval rule.
	It("rejects the commit of a change until the required approvals are given", func() {
		f := newFixture()
		f.bootstrap()
		var c settle.Change
		Expect(f.sendAs("marta", "POST", "/v1/changes", ProposeBody{Ops: []tree.Op{tree.Set("/", "slots", 3)}}, &c)).To(Equal(http.StatusOK))
		var p Problem
		Expect(f.sendAs("marta", "POST", "/v1/changes/"+c.ID+"/commit", nil, &p)).To(Equal(http.StatusConflict))
		Expect(p.Kind).To(Equal("settings-unsettled"))
		Expect(f.sendAs("hector", "POST", "/v1/changes/"+c.ID+"/approve", nil, nil)).To(Equal(http.StatusOK))
		Expect(f.sendAs("marta", "POST", "/v1/changes/"+c.ID+"/commit", nil, nil)).To(Equal(http.StatusOK))
	})
})

var _ = Describe("targets", func() {
	drained := func(f *fixture) string {
		var v ValueReply
		Expect(f.sendAs("marta", "GET", "/v1/settings/value?path=/workspace/cortavientos/service/reservas&key=drained", nil, &v)).To(Equal(http.StatusOK))
		return string(v.Value)
	}

	It("drains and undrains a target, and reports a repeated drain as unchanged", func() {
		f := newFixture()
		f.bootstrap()
		var reply CommitReply
		Expect(f.sendAs("marta", "POST", "/v1/services/reservas/targets/r1/drain", nil, &reply)).To(Equal(http.StatusOK))
		Expect(reply.Outcome).To(Equal(settle.OutcomeAccepted))
		Expect(drained(f)).To(MatchJSON(`["r1"]`))
		Expect(f.sendAs("marta", "POST", "/v1/services/reservas/targets/r1/drain", nil, &reply)).To(Equal(http.StatusOK))
		Expect(reply.Outcome).To(Equal(Unchanged))
		Expect(f.sendAs("hector", "POST", "/v1/services/reservas/targets/r1/undrain", nil, &reply)).To(Equal(http.StatusOK))
		Expect(drained(f)).To(MatchJSON(`[]`))
	})

	// Guards against a drain that overwrites a concurrent one, because the drained
	// targets are a single list.
	It("keeps both of two concurrent drains", func() {
		f := newFixture()
		f.bootstrap()
		f.beforeApply = func() {
			Expect(f.sendAs("hector", "POST", "/v1/services/reservas/targets/r2/drain", nil, nil)).To(Equal(http.StatusOK))
		}
		Expect(f.sendAs("marta", "POST", "/v1/services/reservas/targets/r1/drain", nil, nil)).To(Equal(http.StatusOK))
		Expect(drained(f)).To(MatchJSON(`["r2", "r1"]`))
	})

	// Guards against a drain that takes effect without the other owner's approval.
	It("holds a drain until the other owner approves it if both must approve", func() {
		f := newFixture()
		f.bootstrap()
		var c settle.Change
		Expect(f.sendAs("marta", "POST", "/v1/changes", ProposeBody{Ops: []tree.Op{tree.Set(workspace, "approval", "both")}}, &c)).To(Equal(http.StatusOK))
		Expect(f.sendAs("marta", "POST", "/v1/changes/"+c.ID+"/commit", nil, nil)).To(Equal(http.StatusOK))
		var reply CommitReply
		Expect(f.sendAs("marta", "POST", "/v1/services/reservas/targets/r1/drain", nil, &reply)).To(Equal(http.StatusOK))
		Expect(reply.Outcome).To(Equal(AwaitsApproval))
		Expect(drained(f)).To(MatchJSON(`[]`))
		Expect(f.sendAs("hector", "POST", "/v1/changes/"+reply.Change+"/approve", nil, nil)).To(Equal(http.StatusOK))
		Expect(f.sendAs("marta", "POST", "/v1/changes/"+reply.Change+"/commit", nil, nil)).To(Equal(http.StatusOK))
		Expect(drained(f)).To(MatchJSON(`["r1"]`))
	})

	// Guards against an operator's ejection that takes the service below its floor,
	// the minimum number of targets in service.
	It("rejects an ejection at the floor", func() {
		f := newFixture()
		Expect(f.sendAs("marta", "POST", "/v1/services/reservas/targets/r1/eject", ReasonBody{Reason: "disk"}, nil)).To(Equal(http.StatusOK))
		var p Problem
		Expect(f.sendAs("marta", "POST", "/v1/services/reservas/targets/r2/eject", nil, &p)).To(Equal(http.StatusConflict))
		Expect(p.Kind).To(Equal("floor-reached"))
		Expect(f.sendAs("marta", "POST", "/v1/services/reservas/targets/r1/return", nil, nil)).To(Equal(http.StatusOK))
		Expect(f.sendAs("marta", "POST", "/v1/services/reservas/targets/r2/eject", nil, nil)).To(Equal(http.StatusOK))
	})

	It("names the carriers of a service that the daemon does not carry", func() {
		f := newFixture()
		var p Problem
		Expect(f.sendAs("marta", "POST", "/v1/services/elsewhere/targets/x/eject", nil, &p)).To(Equal(http.StatusMisdirectedRequest))
		Expect(p.Carriers).To(Equal([]Carrier{{VM: "mdp-1", Admin: "10.1.0.1:7200"}}))
		Expect(f.sendAs("marta", "GET", "/v1/services/none/targets", nil, &p)).To(Equal(http.StatusNotFound))
	})
})

var _ = Describe("fleet", func() {
	// Guards against a roll-out report that fails as a whole or omits a daemon
	// because it does not answer.
	It("reports every daemon, including an unreachable one", func() {
		f := newFixture()
		f.bootstrap()
		var reply RolloutReply
		Expect(f.sendAs("marta", "GET", "/v1/rollout", nil, &reply)).To(Equal(http.StatusOK))
		Expect(reply.Head).To(Equal(settle.Revision(1)))
		Expect(reply.Daemons).To(HaveExactElements(
			DaemonState{VM: "mdp-1", DataCentre: "mdp", Revision: 1, Ready: true, State: "current"},
			DaemonState{VM: "mdp-2", DataCentre: "mdp", Ready: true, State: "behind"},
			HaveField("State", "unreachable"),
		))
	})

	It("returns the state dump of another daemon by its VM id", func() {
		f := newFixture()
		var dump map[string]any
		Expect(f.sendAs("marta", "GET", "/v1/state?vm=mdp-2&part=daemon", nil, &dump)).To(Equal(http.StatusOK))
		Expect(dump).To(HaveKey("daemon"))
		Expect(f.sendAs("marta", "GET", "/v1/state?vm=mdp-9", nil, nil)).To(Equal(http.StatusNotFound))
	})
})
