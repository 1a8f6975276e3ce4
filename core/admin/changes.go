package admin

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/settle"
)

func (a *api) changes(r *http.Request) (any, error) {
	limit, err := page(r)
	if err != nil {
		return nil, err
	}
	list, err := a.Changelog.Changes(r.Context(), r.URL.Query().Get("after"), limit)
	if err != nil {
		return nil, err
	}
	reply := ChangesReply{Changes: []settle.Change{}}
	if len(list) == limit {
		reply.Next = list[len(list)-1].ID
	}
	state := settle.ChangeState(r.URL.Query().Get("state"))
	for _, c := range list {
		if state == "" || c.State == state {
			reply.Changes = append(reply.Changes, c)
		}
	}
	return reply, nil
}

func (a *api) change(r *http.Request) (any, error) {
	return a.Changelog.Change(r.Context(), mux.Vars(r)["id"])
}

// propose keeps a change. The id is chosen here if the operator names none, so
// that a refusal whose outcome is unknown can name it.
func (a *api) propose(r *http.Request) (any, error) {
	var body ProposeBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	p := settle.Proposal{ID: body.ID, Base: body.Base, Ops: body.Ops, Author: callOf(r).operator, Note: body.Note}
	if p.ID == "" {
		p.ID = newID()
	}
	c, err := a.Changelog.Propose(r.Context(), p)
	a.record(r, "propose", p.ID, err)
	if err != nil {
		return nil, &about{cause: err, change: p.ID, askAgain: "GET /v1/changes/" + p.ID}
	}
	return c, nil
}

// idLength keeps ids short enough to type; 16 characters hold 80 random bits.
const idLength = 16

func newID() string {
	return strings.ToLower(rand.Text()[:idLength])
}

// step changes a proposal on behalf of an operator.
func (a *api) step(r *http.Request, action string, act func(ctx context.Context, id, operator string) (settle.Change, error)) (any, error) {
	id := mux.Vars(r)["id"]
	c, err := act(r.Context(), id, callOf(r).operator)
	a.record(r, action, id, err)
	if err != nil {
		return nil, &about{cause: err, change: id, askAgain: "GET /v1/changes/" + id}
	}
	return c, nil
}

func (a *api) approve(r *http.Request) (any, error) {
	return a.step(r, "approve", a.Changelog.Approve)
}

func (a *api) reject(r *http.Request) (any, error) {
	var body ReasonBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	return a.step(r, "reject", func(ctx context.Context, id, operator string) (settle.Change, error) {
		return a.Changelog.Reject(ctx, id, operator, body.Reason)
	})
}

func (a *api) withdraw(r *http.Request) (any, error) {
	return a.step(r, "withdraw", a.Changelog.Withdraw)
}

func (a *api) rebase(r *http.Request) (any, error) {
	return a.step(r, "rebase", a.Changelog.Rebase)
}

func (a *api) commit(r *http.Request) (any, error) {
	id := mux.Vars(r)["id"]
	revision, err := a.Changelog.Commit(r.Context(), id)
	a.record(r, "commit", id, err, "revision", revision)
	return committed(id, revision, err)
}

// committed turns the result of a commit into its reply.
func committed(id string, revision settle.Revision, err error) (any, error) {
	switch {
	case err == nil:
		return CommitReply{Change: id, Outcome: settle.OutcomeAccepted, Revision: revision}, nil
	case fault.Is(err, fault.StoreAmbiguous):
		return unsettled(id), nil
	}
	return nil, &about{cause: err, change: id}
}

func unsettled(id string) CommitReply {
	return CommitReply{
		Change: id, Outcome: settle.OutcomeNotYetKnown, AskAgain: "POST /v1/changes/" + id + "/resolve",
		Detail: "the platform's table has not answered; asking again never applies the change twice",
	}
}

func (a *api) resolve(r *http.Request) (any, error) {
	id := mux.Vars(r)["id"]
	resolution, err := a.Changelog.Resolve(r.Context(), id)
	a.record(r, "resolve", id, err, "outcome", resolution.Outcome)
	if err != nil {
		return nil, &about{cause: err, change: id}
	}
	if resolution.Outcome == settle.OutcomeNotYetKnown {
		return unsettled(id), nil
	}
	return CommitReply{Change: id, Outcome: resolution.Outcome, Revision: resolution.Revision}, nil
}
