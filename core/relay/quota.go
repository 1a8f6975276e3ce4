package relay

import (
	"context"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/route"
)

// takeQuota takes a token of the workspace's quota, if it has one. Further attempts of the
// same request take no further token.
func (x *exchange) takeQuota(ctx context.Context) error {
	if x.workspace == nil || !x.workspace.Limited() || x.relay.acquireQuota == nil {
		return nil
	}
	return x.relay.acquireQuota(ctx, x.workspace.Name, x.deadline)
}

// refuseQuota returns the response to a request that got no token, and logs it with its
// workspace.
func (r *Relay) refuseQuota(req *caller.Request, workspace *route.Workspace, err error) *caller.Response {
	f := fault.From(err)
	resp := errorResponse(f.Kind, f.RetryAfter)
	return r.logRefusal(req, f.Kind, resp, "workspace", workspace.Name, "retry-after", f.RetryAfter, "why", f.Detail)
}
