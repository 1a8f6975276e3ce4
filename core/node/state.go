package node

import (
	"time"

	"wisteriarelay.example/core/retry"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
)

// storeState is what the daemon knows from the store, for the state dump.
type storeState struct {
	Config      route.Version `json:"config"`
	ConfigAge   time.Duration `json:"config-age-ns"`
	ListVersion int64         `json:"list-version"`
	ListAge     time.Duration `json:"list-age-ns"`
	Ready       bool          `json:"ready"`
}

// registerState registers the parts of the state dump and the gauges.
func (n *Node) registerState() {
	n.stateDump.Add("store", func() any { return n.storeState() })
	n.stateDump.Add("peers", func() any { return n.roster.State(time.Now()) })
	n.stateDump.Add("targets", func() any { return n.targetState() })
	n.stateDump.Add("budget", func() any { return n.budgetState() })
	n.stateDump.Add("callers", func() any { return n.callerServer.OpenRequests() })
	n.registerQuotaState()
	n.metrics.Gauge("gossip_events_dropped", n.gossip.Dropped)
	n.metrics.Gauge("config_age_ms", func() int64 { return n.storeState().ConfigAge.Milliseconds() })
	n.metrics.Gauge("list_age_ms", func() int64 { return n.storeState().ListAge.Milliseconds() })
	n.metrics.Gauge("caller_connections", func() int64 { return int64(n.callerServer.OpenConnections()) })
	n.metrics.Gauge("caller_requests_open", func() int64 { return int64(n.callerServer.PendingRequests()) })
}

func (n *Node) storeState() storeState {
	version, asOf := n.targetList.Position()
	s := storeState{ListVersion: version, ListAge: time.Since(asOf), Ready: n.Ready()}
	if t := n.relay.Table(); t != nil {
		s.Config = t.Version
		s.ConfigAge = time.Since(n.configAge.lastConfirmed())
	}
	return s
}

// budgetState returns this daemon's part of the retry budget by service.
func (n *Node) budgetState() map[string]retry.WindowBudgetState {
	out := map[string]retry.WindowBudgetState{}
	for _, s := range n.services() {
		out[s] = n.relay.RetryBudgetState(s)
	}
	return out
}

// targetState returns the state of the targets by service.
func (n *Node) targetState() map[string][]sched.TargetState {
	out := map[string][]sched.TargetState{}
	if t := n.relay.Table(); t != nil {
		for _, s := range t.Services() {
			out[s] = n.relay.TargetPool(s).State()
		}
	}
	return out
}
