package node

import (
	"time"

	"wisteriarelay.example/core/memory"
	"wisteriarelay.example/core/retry"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/sched"
	"wisteriarelay.example/core/stats"
)

// storeState is what the daemon knows from the store, for the state dump.
type storeState struct {
	Config      route.Version `json:"config"`
	ConfigAge   time.Duration `json:"config-age-ns"`
	Era         string        `json:"era"`
	ListEra     string        `json:"list-era"`
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
	n.stateDump.Add("saturation", func() any { return n.saturationState() })
	n.stateDump.Add("callers", func() any { return n.callerServer.OpenRequests() })
	n.registerMemory()
	n.registerQuotaState()
	n.metrics.Gauge("gossip_events_dropped", n.gossip.Dropped)
	n.metrics.Gauge("config_age_ms", func() int64 { return n.storeState().ConfigAge.Milliseconds() })
	n.metrics.Gauge("store_era", func() int64 { era, _ := n.storeEra.latest(); return era.Number() })
	n.metrics.Gauge("list_age_ms", func() int64 { return n.storeState().ListAge.Milliseconds() })
	n.metrics.Gauge("caller_connections", func() int64 { return int64(n.callerServer.OpenConnections()) })
	n.metrics.Gauge("caller_requests_open", func() int64 { return int64(n.callerServer.PendingRequests()) })
}

// registerMemory registers what is held for callers and targets, by kind, and how often
// its bound was reached, if there is one.
func (n *Node) registerMemory() {
	if n.memory == nil {
		return
	}
	n.stateDump.Add("memory", func() any { return n.memory.State() })
	n.metrics.Gauge("memory_held_peak_bytes", func() int64 { return n.memory.State().Peak })
	n.metrics.Gauge("memory_bound_bytes", func() int64 { return n.memory.State().Limits.Total })
	for _, k := range memory.Kinds() {
		n.metrics.Gauge(stats.Label("memory_held_bytes", "kind", k.String()), func() int64 { return n.memory.Held(k) })
		n.metrics.Gauge(stats.Label("memory_denied_total", "kind", k.String()), func() int64 { return n.memory.Denied(k) })
	}
}

func (n *Node) storeState() storeState {
	position, asOf := n.targetList.Position()
	era, _ := n.storeEra.latest()
	s := storeState{Era: era.String(), ListEra: position.Era.String(), ListVersion: position.Version, ListAge: time.Since(asOf), Ready: n.Ready()}
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

// saturationState returns by service whether its targets refuse requests because the
// service as a whole lacks capacity.
func (n *Node) saturationState() map[string]sched.Saturation {
	out := map[string]sched.Saturation{}
	for _, s := range n.services() {
		out[s] = n.relay.TargetPool(s).Saturation(sched.Request{})
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
