package relay

import (
	"context"

	"wisteriarelay.example/core/caller"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/stats"
)

// takeQuota takes a token of the workspace's quota, if it has one. Attempts of the request
// at further targets take no other.
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
	r.metrics.Counter(stats.Label("relay_refused", "kind", f.Kind.String())).Inc(1)
	_ = r.logger.Log("msg", "request refused", "id", req.Header.Get(r.headers.RequestID), "kind", f.Kind,
		"status", resp.Status, "host", req.Host, "path", req.Path(), "workspace", workspace.Name, "retry-after", f.RetryAfter)
	return resp
}
