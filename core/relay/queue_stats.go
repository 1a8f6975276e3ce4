package relay

import (
	"sync"
	"sync/atomic"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/stats"
)

const (
	// maxQueueLabels is the number of workspaces that have queue metrics of their own. It
	// bounds the number of metrics, because a deployment may have 24,000 workspaces.
	maxQueueLabels = 64
	// otherWorkspaces is the label of the metrics that all further workspaces share. A
	// workspace of this name is counted with them.
	otherWorkspaces = "all others"
)

// queueStats counts the waiting and the refused requests by workspace. The first
// maxQueueLabels workspaces of a process that have a request in the queue get metrics of
// their own. Requests without a workspace are not counted.
type queueStats struct {
	mu          sync.Mutex
	byWorkspace map[string]*queueCount
}

// queueCount is the number of requests of a workspace that wait for a target.
type queueCount struct {
	label   string
	waiting atomic.Int64
}

// queueCount returns the count for the workspace, creating it on first use.
func (r *Relay) queueCount(workspace string) *queueCount {
	s := &r.queueStats
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.byWorkspace[workspace]; c != nil {
		return c
	}
	if len(s.byWorkspace) >= maxQueueLabels {
		workspace = otherWorkspaces
	}
	if c := s.byWorkspace[workspace]; c != nil {
		return c
	}
	if s.byWorkspace == nil {
		s.byWorkspace = map[string]*queueCount{}
	}
	c := &queueCount{label: workspace}
	s.byWorkspace[workspace] = c
	r.metrics.Gauge(stats.Label("relay_queue_waiting", "workspace", workspace), c.waiting.Load)
	return c
}

// enterQueue counts an attempt that asks for a target, if it has a workspace. The returned
// function counts that it got one or failed with err.
func (r *Relay) enterQueue(workspace string) (leave func(err error)) {
	if workspace == "" {
		return func(error) {}
	}
	c := r.queueCount(workspace)
	c.waiting.Add(1)
	return func(err error) {
		c.waiting.Add(-1)
		if fault.Is(err, fault.QueueFull) {
			r.metrics.Counter(stats.Label("relay_queue_refused", "workspace", c.label)).Inc(1)
		}
	}
}
