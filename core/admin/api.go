package admin

import (
	"context"
	"net/http"

	"github.com/go-kit/log"
	"github.com/gorilla/mux"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/settle"
)

// Deps are the parts of a daemon that the API works with.
type Deps struct {
	VM        fleet.VMID
	Operators []config.Operator
	Changelog *settle.Changelog
	// Applied returns the revision in force at this daemon, or nil.
	Applied func() *settle.AppliedRevision
	// Live returns the VMs of the membership, this one included.
	Live func() []fleet.VM
	// Carriers returns the carriers of a service; nil if it is unknown.
	Carriers func(fleet.ServiceID) []fleet.VM
	// Addresses returns the carriers in the order in which a caller tries them.
	Addresses func(id fleet.ServiceID, dc fleet.DataCentre, caller string) any
	// Targets returns the targets of a service that this daemon carries.
	Targets func(fleet.ServiceID) ([]Target, bool)
	// Eject and Return change the ejection list of a service that this daemon carries.
	Eject  func(ctx context.Context, o HandOrder) error
	Return func(ctx context.Context, o HandOrder) error
	// State returns a part of this daemon's state, or all parts.
	State func(part string) any
	// Ask asks another daemon for a part of its state.
	Ask    func(ctx context.Context, vm fleet.VM, part string) (*inner.StateReplyMsg, error)
	Logger log.Logger
}

// HandOrder is an operator's order to eject or return a target.
type HandOrder struct {
	Service  fleet.ServiceID
	Target   fleet.TargetID
	Operator string
	Reason   string
}

// api serves the requests.
type api struct {
	Deps
	tokens []token
}

// endpoint answers one request with a value that is encoded as JSON.
type endpoint func(r *http.Request) (any, error)

// Mount adds the API to a router.
func Mount(r *mux.Router, d Deps) error {
	if d.Logger == nil {
		d.Logger = log.NewNopLogger()
	}
	tokens, err := parseTokens(d.Operators)
	if err != nil {
		return err
	}
	a := &api{Deps: d, tokens: tokens}
	a.routes(r.PathPrefix("/v1").Subrouter())
	return nil
}

func (a *api) routes(r *mux.Router) {
	for _, e := range []struct {
		method, path string
		serve        endpoint
	}{
		{http.MethodGet, "/settings/head", a.head},
		{http.MethodGet, "/settings/value", a.value},
		{http.MethodGet, "/settings/document", a.document},
		{http.MethodPost, "/settings/bootstrap", a.bootstrap},
		{http.MethodGet, "/settings/history", a.history},
		{http.MethodGet, "/settings/diff", a.diff},
		{http.MethodPost, "/settings/rollback", a.rollback},
		{http.MethodGet, "/changes", a.changes},
		{http.MethodPost, "/changes", a.propose},
		{http.MethodGet, "/changes/{id}", a.change},
		{http.MethodPost, "/changes/{id}/approve", a.approve},
		{http.MethodPost, "/changes/{id}/reject", a.reject},
		{http.MethodPost, "/changes/{id}/withdraw", a.withdraw},
		{http.MethodPost, "/changes/{id}/commit", a.commit},
		{http.MethodPost, "/changes/{id}/resolve", a.resolve},
		{http.MethodPost, "/changes/{id}/rebase", a.rebase},
		{http.MethodGet, "/services/{service}/addresses", a.addresses},
		{http.MethodGet, "/services/{service}/targets", a.targets},
		{http.MethodPost, "/services/{service}/targets/{target}/eject", a.eject},
		{http.MethodPost, "/services/{service}/targets/{target}/return", a.giveBack},
		{http.MethodPost, "/services/{service}/targets/{target}/drain", a.drain},
		{http.MethodPost, "/services/{service}/targets/{target}/undrain", a.undrain},
		{http.MethodGet, "/rollout", a.rollout},
		{http.MethodGet, "/state", a.state},
	} {
		r.Handle(e.path, a.guard(e.serve)).Methods(e.method)
	}
	r.NotFoundHandler = a.guard(func(r *http.Request) (any, error) {
		return nil, fault.New(fault.NotFound, "no endpoint %s", r.URL.Path)
	})
	r.MethodNotAllowedHandler = a.guard(func(r *http.Request) (any, error) {
		return nil, fault.New(fault.MethodNotAllowed, "%s %s", r.Method, r.URL.Path)
	})
}
