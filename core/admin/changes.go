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
	limit, err := pageLimit(r)
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

// propose stores a proposed change. It generates the id if the request has none:
// the operator needs the id to look up a proposal whose outcome is unknown.
func (a *api) propose(r *http.Request) (any, error) {
	var body ProposeBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	p := settle.Proposal{ID: body.ID, Base: body.Base, Ops: body.Ops, Author: requestInfoOf(r).operator, Note: body.Note}
	if p.ID == "" {
		p.ID = newChangeID()
	}
	c, err := a.Changelog.Propose(r.Context(), p)
	a.logAction(r, "propose", p.ID, err)
	if err != nil {
		return nil, &annotatedError{cause: err, change: p.ID, followUp: "GET /v1/changes/" + p.ID}
	}
	return c, nil
}

// changeIDLength keeps change ids short enough to type; 16 characters hold 80
// random bits.
const changeIDLength = 16

func newChangeID() string {
	return strings.ToLower(rand.Text()[:changeIDLength])
}

// updateChange applies an operator's action, such as an approval, to the change
// named in the path.
func (a *api) updateChange(r *http.Request, action string, update func(ctx context.Context, id, operator string) (settle.Change, error)) (any, error) {
	id := mux.Vars(r)["id"]
	c, err := update(r.Context(), id, requestInfoOf(r).operator)
	a.logAction(r, action, id, err)
	if err != nil {
		return nil, &annotatedError{cause: err, change: id, followUp: "GET /v1/changes/" + id}
	}
	return c, nil
}

func (a *api) approve(r *http.Request) (any, error) {
	return a.updateChange(r, "approve", a.Changelog.Approve)
}

func (a *api) reject(r *http.Request) (any, error) {
	var body ReasonBody
	if err := readBody(r, &body); err != nil {
		return nil, err
	}
	return a.updateChange(r, "reject", func(ctx context.Context, id, operator string) (settle.Change, error) {
		return a.Changelog.Reject(ctx, id, operator, body.Reason)
	})
}

func (a *api) withdraw(r *http.Request) (any, error) {
	return a.updateChange(r, "withdraw", a.Changelog.Withdraw)
}

func (a *api) rebase(r *http.Request) (any, error) {
	return a.updateChange(r, "rebase", a.Changelog.Rebase)
}

func (a *api) commit(r *http.Request) (any, error) {
	id := mux.Vars(r)["id"]
	revision, err := a.Changelog.Commit(r.Context(), id)
	a.logAction(r, "commit", id, err, "revision", revision)
	return commitReply(id, revision, err)
}

// commitReply converts the result of a commit to a reply. A commit that may have
// taken effect although the store did not answer is a reply, not an error.
func commitReply(id string, revision settle.Revision, err error) (any, error) {
	switch {
	case err == nil:
		return CommitReply{Change: id, Outcome: settle.OutcomeAccepted, Revision: revision}, nil
	case fault.Is(err, fault.StoreAmbiguous):
		return notYetKnownReply(id), nil
	}
	return nil, &annotatedError{cause: err, change: id}
}

// notYetKnownReply returns the reply for a commit whose outcome the store has not
// confirmed.
func notYetKnownReply(id string) CommitReply {
	return CommitReply{
		Change: id, Outcome: settle.OutcomeNotYetKnown, FollowUp: "POST /v1/changes/" + id + "/resolve",
		Detail: "the platform's table has not answered; asking again never applies the change twice",
	}
}

func (a *api) resolve(r *http.Request) (any, error) {
	id := mux.Vars(r)["id"]
	resolution, err := a.Changelog.Resolve(r.Context(), id)
	a.logAction(r, "resolve", id, err, "outcome", resolution.Outcome)
	if err != nil {
		return nil, &annotatedError{cause: err, change: id}
	}
	if resolution.Outcome == settle.OutcomeNotYetKnown {
		return notYetKnownReply(id), nil
	}
	return CommitReply{Change: id, Outcome: resolution.Outcome, Revision: resolution.Revision}, nil
}
