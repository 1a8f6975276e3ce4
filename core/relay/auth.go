package relay

import (
	"net/http"
	"strings"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/route"
)

// authScheme is the authentication scheme that a response with status 401 names.
const authScheme = "ApiKey"

// authenticate returns the workspace of the request, or nil if the request needs no key.
// It fails with fault.Unauthenticated or fault.WorkspaceUnusable.
func (r *Relay) authenticate(table *route.Table, match *route.Route, req *caller.Request) (*route.Workspace, error) {
	return table.Authenticate(match, req.Header.Values(r.headers.APIKey))
}

// refuseCaller returns the error response to a request that was not authenticated. The
// version of the configuration and the reason, which contains no key, go to the log.
func (r *Relay) refuseCaller(req *caller.Request, table *route.Table, err error) *caller.Response {
	kind := fault.From(err).Kind
	return r.logRefusal(req, kind, errorResponse(kind, 0), "config", table.Version, "why", err)
}

// setWorkspace sets the caller's workspace. If callers have to authenticate, the target
// receives the name of the workspace in place of the key and of whatever the caller sent
// as a name, also on routes that need no key.
func (x *exchange) setWorkspace(table *route.Table, workspace *route.Workspace) {
	x.workspace = workspace
	x.weight = table.Weight(workspace)
	if !table.RequiresKeys() {
		return
	}
	names := &x.relay.headers
	deleteInAnySpelling(x.header, names.APIKey, names.Workspace)
	if workspace != nil {
		x.header.Set(names.Workspace, workspace.Name)
	}
}

// deleteInAnySpelling deletes the fields whose names differ from one of the names only in
// case and in underscores for hyphens. Programs that receive header fields as variables, as
// with CGI, take all these for the same field.
func deleteInAnySpelling(h http.Header, names ...string) {
	for field := range h {
		spelled := strings.ReplaceAll(field, "_", "-")
		for _, name := range names {
			if strings.EqualFold(spelled, name) {
				delete(h, field)
			}
		}
	}
}
