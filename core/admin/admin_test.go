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
	// Guards against an endpoint that is served without an operator's token.
	DescribeTable("refuses requests without an operator's token", func(token, path string) {
		var p Problem
		Expect(newRig().send(token, "GET", path, nil, &p)).To(Equal(http.StatusUnauthorized))
		Expect(p.Kind).To(Equal("unauthenticated"))
		Expect(p.RequestID).NotTo(BeEmpty())
	},
		Entry("no token", "", "/v1/settings/head"),
		Entry("a wrong token", "token-nobody", "/v1/settings/head"),
		Entry("a digest in place of the token", seal("marta").TokenSHA256, "/v1/settings/head"),
		Entry("the state dump", "", "/v1/state"),
		Entry("an endpoint that does not exist", "", "/v1/nothing"),
	)

	// Guards against a change of tokens that locks the operator out.
	It("accepts both tokens of an operator who stands twice in the settings", func() {
		second := seal("spare")
		second.Name = "marta"
		tokens, err := parseTokens([]config.Operator{seal("marta"), second})
		Expect(err).NotTo(HaveOccurred())
		a := &api{tokens: tokens}
		for _, token := range []string{"token-marta", "token-spare"} {
			r := httptest.NewRequest("GET", "/v1/state", nil)
			r.Header.Set("Authorization", "Bearer "+token)
			Expect(a.authenticate(r)).To(Equal("marta"))
		}
	})

	// Guards against a change that cannot be traced to its operator.
	It("logs each change with operator and change id", func() {
		r := newRig()
		r.boot()
		id := r.floor("hector", "60%")
		Expect(r.log.String()).To(ContainSubstring("operator=hector action=propose change=" + id))
	})
})

var _ = Describe("settings", func() {
	// Guards against the silent loss of one owner's change when both commit at once.
	It("lets one of two owners win and the other rebase", func() {
		r := newRig()
		r.boot()
		first, second := r.floor("marta", "55%"), r.floor("hector", "65%")
		var won CommitReply
		Expect(r.as("marta", "POST", "/v1/changes/"+first+"/commit", nil, &won)).To(Equal(http.StatusOK))
		Expect(won).To(Equal(CommitReply{Change: first, Outcome: settle.OutcomeAccepted, Revision: 2}))
		var p Problem
		Expect(r.as("hector", "POST", "/v1/changes/"+second+"/commit", nil, &p)).To(Equal(http.StatusConflict))
		Expect(p.Kind).To(Equal("settings-conflict"))
		Expect(p.Change).To(Equal(second))
		Expect(p.Conflict.OverlappingOps).To(ConsistOf(HaveField("Path", workspace)))
		Expect(r.as("hector", "POST", "/v1/changes/"+second+"/rebase", nil, nil)).To(Equal(http.StatusOK))
		Expect(r.as("hector", "POST", "/v1/changes/"+second+"/commit", nil, &won)).To(Equal(http.StatusOK))
		var v ValueReply
		Expect(r.as("marta", "GET", "/v1/settings/value?path=/workspace/cortavientos/service/reservas&key=floor", nil, &v)).To(Equal(http.StatusOK))
		Expect(string(v.Value)).To(Equal(`"65%"`))
		Expect(v.Origin.Path).To(Equal(workspace))
		Expect(v.Revision).To(Equal(settle.Revision(3)))
	})

	// Guards against a commit that is reported as failed although it took
	// effect, and against a second application when the operator asks again.
	It("answers not-yet-known to a lost reply and never applies twice", func() {
		r := newRig()
		r.boot()
		id := r.floor("marta", "60%")
		r.platform.SetFaults(stand.PlatformFaults{LoseReplies: 1, DownAfterLoss: true})
		var reply CommitReply
		Expect(r.as("marta", "POST", "/v1/changes/"+id+"/commit", nil, &reply)).To(Equal(http.StatusAccepted))
		Expect(reply.Outcome).To(Equal(settle.OutcomeNotYetKnown))
		Expect(reply.AskAgain).To(Equal("POST /v1/changes/" + id + "/resolve"))
		Expect(r.as("marta", "POST", "/v1/changes/"+id+"/resolve", nil, &reply)).To(Equal(http.StatusAccepted))
		var head HeadReply
		Expect(r.as("marta", "GET", "/v1/settings/head", nil, &head)).To(Equal(http.StatusOK))
		Expect(head).To(Equal(HeadReply{Revision: 1, InForce: 1, Source: SourceDaemon}))
		r.platform.SetFaults(stand.PlatformFaults{})
		for _, again := range []string{"resolve", "commit", "resolve"} {
			Expect(r.as("marta", "POST", "/v1/changes/"+id+"/"+again, nil, &reply)).To(Equal(http.StatusOK))
			Expect(reply.Outcome).To(Equal(settle.OutcomeAccepted))
			Expect(reply.Revision).To(Equal(settle.Revision(2)))
		}
		Expect(r.as("marta", "GET", "/v1/settings/head", nil, &head)).To(Equal(http.StatusOK))
		Expect(head.Revision).To(Equal(settle.Revision(2)))
	})

	// Guards against problems that are reported one at a time or without their place.
	It("lists every problem of an invalid change", func() {
		r := newRig()
		r.boot()
		var p Problem
		ops := []tree.Op{tree.Set(workspace, "floor", "600%"), tree.Set(workspace, "flor", 1)}
		Expect(r.as("marta", "POST", "/v1/changes", ProposeBody{Ops: ops}, &p)).To(Equal(http.StatusUnprocessableEntity))
		Expect(p.Problems).To(HaveLen(2))
	})

	// Guards against a malformed body that is taken for an empty proposal.
	DescribeTable("refuses malformed bodies", func(body string, status int) {
		r := newRig()
		r.boot()
		Expect(r.as("marta", "POST", "/v1/changes", body, nil)).To(Equal(status))
	},
		Entry("not JSON", "ops", http.StatusBadRequest),
		Entry("an unknown field", `{"op": []}`, http.StatusBadRequest),
		Entry("an unknown field of an op", `{"ops": [{"path": "/", "keys": "x"}]}`, http.StatusUnprocessableEntity),
		Entry("no ops", `{}`, http.StatusUnprocessableEntity),
		Entry("a body above the bound", `{"note": "`+strings.Repeat("x", maxBody)+`"}`, http.StatusRequestEntityTooLarge),
	)

	// Guards against an operator who hands the settings to other owners.
	It("refuses a bootstrap by an operator who is no owner of the document", func() {
		var p Problem
		Expect(newRig().as("marta", "POST", "/v1/settings/bootstrap", `{"/": {"owners": ["ana", "luz"]}}`, &p)).To(Equal(http.StatusForbidden))
	})

	// Guards against an approval rule that the API bypasses.
	It("keeps a change that lacks an approval from being committed", func() {
		r := newRig()
		r.boot()
		var c settle.Change
		Expect(r.as("marta", "POST", "/v1/changes", ProposeBody{Ops: []tree.Op{tree.Set("/", "slots", 3)}}, &c)).To(Equal(http.StatusOK))
		var p Problem
		Expect(r.as("marta", "POST", "/v1/changes/"+c.ID+"/commit", nil, &p)).To(Equal(http.StatusConflict))
		Expect(p.Kind).To(Equal("settings-unsettled"))
		Expect(r.as("hector", "POST", "/v1/changes/"+c.ID+"/approve", nil, nil)).To(Equal(http.StatusOK))
		Expect(r.as("marta", "POST", "/v1/changes/"+c.ID+"/commit", nil, nil)).To(Equal(http.StatusOK))
	})
})

var _ = Describe("targets", func() {
	drained := func(r *rig) string {
		var v ValueReply
		Expect(r.as("marta", "GET", "/v1/settings/value?path=/workspace/cortavientos/service/reservas&key=drained", nil, &v)).To(Equal(http.StatusOK))
		return string(v.Value)
	}

	It("drains and undrains a target once", func() {
		r := newRig()
		r.boot()
		var reply CommitReply
		Expect(r.as("marta", "POST", "/v1/services/reservas/targets/r1/drain", nil, &reply)).To(Equal(http.StatusOK))
		Expect(reply.Outcome).To(Equal(settle.OutcomeAccepted))
		Expect(drained(r)).To(MatchJSON(`["r1"]`))
		Expect(r.as("marta", "POST", "/v1/services/reservas/targets/r1/drain", nil, &reply)).To(Equal(http.StatusOK))
		Expect(reply.Outcome).To(Equal(Unchanged))
		Expect(r.as("hector", "POST", "/v1/services/reservas/targets/r1/undrain", nil, &reply)).To(Equal(http.StatusOK))
		Expect(drained(r)).To(MatchJSON(`[]`))
	})

	// Guards against a drain that overwrites another one made at the same moment.
	It("keeps both of two drains that race", func() {
		r := newRig()
		r.boot()
		r.beforeApply = func() {
			Expect(r.as("hector", "POST", "/v1/services/reservas/targets/r2/drain", nil, nil)).To(Equal(http.StatusOK))
		}
		Expect(r.as("marta", "POST", "/v1/services/reservas/targets/r1/drain", nil, nil)).To(Equal(http.StatusOK))
		Expect(drained(r)).To(MatchJSON(`["r2", "r1"]`))
	})

	// Guards against a drain that takes effect without the other owner's approval.
	It("keeps a drain for the other owner where both must approve", func() {
		r := newRig()
		r.boot()
		var c settle.Change
		Expect(r.as("marta", "POST", "/v1/changes", ProposeBody{Ops: []tree.Op{tree.Set(workspace, "approval", "both")}}, &c)).To(Equal(http.StatusOK))
		Expect(r.as("marta", "POST", "/v1/changes/"+c.ID+"/commit", nil, nil)).To(Equal(http.StatusOK))
		var reply CommitReply
		Expect(r.as("marta", "POST", "/v1/services/reservas/targets/r1/drain", nil, &reply)).To(Equal(http.StatusOK))
		Expect(reply.Outcome).To(Equal(AwaitsApproval))
		Expect(drained(r)).To(MatchJSON(`[]`))
		Expect(r.as("hector", "POST", "/v1/changes/"+reply.Change+"/approve", nil, nil)).To(Equal(http.StatusOK))
		Expect(r.as("marta", "POST", "/v1/changes/"+reply.Change+"/commit", nil, nil)).To(Equal(http.StatusOK))
		Expect(drained(r)).To(MatchJSON(`["r1"]`))
	})

	// Guards against an ejection by hand that takes the service below its floor.
	It("refuses an ejection at the floor", func() {
		r := newRig()
		Expect(r.as("marta", "POST", "/v1/services/reservas/targets/r1/eject", ReasonBody{Reason: "disk"}, nil)).To(Equal(http.StatusOK))
		var p Problem
		Expect(r.as("marta", "POST", "/v1/services/reservas/targets/r2/eject", nil, &p)).To(Equal(http.StatusConflict))
		Expect(p.Kind).To(Equal("floor-reached"))
		Expect(r.as("marta", "POST", "/v1/services/reservas/targets/r1/return", nil, nil)).To(Equal(http.StatusOK))
		Expect(r.as("marta", "POST", "/v1/services/reservas/targets/r2/eject", nil, nil)).To(Equal(http.StatusOK))
	})

	It("names the carriers of a service that the daemon does not carry", func() {
		r := newRig()
		var p Problem
		Expect(r.as("marta", "POST", "/v1/services/elsewhere/targets/x/eject", nil, &p)).To(Equal(http.StatusMisdirectedRequest))
		Expect(p.Carriers).To(Equal([]Carrier{{VM: "mdp-1", Admin: "10.1.0.1:7200"}}))
		Expect(r.as("marta", "GET", "/v1/services/none/targets", nil, &p)).To(Equal(http.StatusNotFound))
	})
})

var _ = Describe("fleet", func() {
	// Guards against a roll-out that fails as a whole or hides a daemon that does not answer.
	It("reports each daemon, also one that is unreachable", func() {
		r := newRig()
		r.boot()
		var reply RolloutReply
		Expect(r.as("marta", "GET", "/v1/rollout", nil, &reply)).To(Equal(http.StatusOK))
		Expect(reply.Head).To(Equal(settle.Revision(1)))
		Expect(reply.Daemons).To(HaveExactElements(
			DaemonState{VM: "mdp-1", DataCentre: "mdp", Revision: 1, Ready: true, State: "current"},
			DaemonState{VM: "mdp-2", DataCentre: "mdp", Ready: true, State: "behind"},
			HaveField("State", "unreachable"),
		))
	})

	It("dumps another daemon by its VM id", func() {
		r := newRig()
		var dump map[string]any
		Expect(r.as("marta", "GET", "/v1/state?vm=mdp-2&part=daemon", nil, &dump)).To(Equal(http.StatusOK))
		Expect(dump).To(HaveKey("daemon"))
		Expect(r.as("marta", "GET", "/v1/state?vm=mdp-9", nil, nil)).To(Equal(http.StatusNotFound))
	})
})
