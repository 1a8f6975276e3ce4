package relay

import (
	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/route"
)

// authScheme is the authentication scheme that a response with status 401 names.
const authScheme = "ApiKey"

// authenticate returns the workspace of the request, or nil if the request needs no key.
// It fails with fault.Unauthenticated or fault.WorkspaceUnusable.
func (r *Relay) authenticate(table *route.Table, match *route.Route, req *caller.Request) (*route.Workspace, error) {
	return table.Authenticate(match, req.Header.Values(r.headers.APIKey))
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
	x.header.Del(names.APIKey)
	x.header.Del(names.Workspace)
	if workspace != nil {
		x.header.Set(names.Workspace, workspace.Name)
	}
}
