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

// Deps holds the parts of a daemon that the API depends on. The carriers of a
// service are the daemons that proxy its requests.
type Deps struct {
	VM        fleet.VMID
	Operators []config.Operator
	Changelog *settle.Changelog
	// Applied returns the settings revision that this daemon has applied, or nil if
	// it has none yet.
	Applied func() *settle.AppliedRevision
	// LiveVMs returns the live VMs of the fleet's membership, including this one.
	LiveVMs func() []fleet.VM
	// Carriers returns the carriers of a service, or nil if the service is unknown.
	Carriers func(fleet.ServiceID) []fleet.VM
	// Addresses returns the addresses of the carriers in the order in which the
	// given caller tries them.
	Addresses func(id fleet.ServiceID, dc fleet.DataCentre, caller string) any
	// Targets returns the targets of a service, or false if this daemon does not
	// carry the service.
	Targets func(fleet.ServiceID) ([]Target, bool)
	// Eject and Return add a target to, or remove it from, the ejection list of a
	// service that this daemon carries.
	Eject  func(ctx context.Context, o TargetAction) error
	Return func(ctx context.Context, o TargetAction) error
	// State returns one part of this daemon's state, or all parts if part is empty.
	State func(part string) any
	// PeerState requests a part of another daemon's state.
	PeerState func(ctx context.Context, vm fleet.VM, part string) (*inner.StateReplyMsg, error)
	Logger    log.Logger
}

// TargetAction is an operator's request to eject a target or to return it to service.
type TargetAction struct {
	Service  fleet.ServiceID
	Target   fleet.TargetID
	Operator string
	Reason   string
}

// api implements the endpoints.
type api struct {
	Deps
	credentials []credential
}

// endpoint handles one authenticated request and returns the reply, which is
// then encoded as JSON.
type endpoint func(r *http.Request) (any, error)

// Mount registers the API below /v1 on a router. It fails if the token digest of
// an operator is malformed.
func Mount(router *mux.Router, d Deps) error {
	if d.Logger == nil {
		d.Logger = log.NewNopLogger()
	}
	credentials, err := parseCredentials(d.Operators)
	if err != nil {
		return err
	}
	a := &api{Deps: d, credentials: credentials}
	a.routes(router.PathPrefix("/v1").Subrouter())
	return nil
}

func (a *api) routes(router *mux.Router) {
	for _, route := range []struct {
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
		{http.MethodPost, "/services/{service}/targets/{target}/return", a.returnTarget},
		{http.MethodPost, "/services/{service}/targets/{target}/drain", a.drain},
		{http.MethodPost, "/services/{service}/targets/{target}/undrain", a.undrain},
		{http.MethodGet, "/rollout", a.rollout},
		{http.MethodGet, "/state", a.state},
	} {
		router.Handle(route.path, a.handler(route.serve)).Methods(route.method)
	}
	router.NotFoundHandler = a.handler(func(r *http.Request) (any, error) {
		return nil, fault.New(fault.NotFound, "no endpoint %s", r.URL.Path)
	})
	router.MethodNotAllowedHandler = a.handler(func(r *http.Request) (any, error) {
		return nil, fault.New(fault.MethodNotAllowed, "%s %s", r.Method, r.URL.Path)
	})
}
