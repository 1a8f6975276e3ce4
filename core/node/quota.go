package node

import (
	"context"
	"strconv"
	"sync"
	"time"

	"wisteriarelay.example/core/quota"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/stats"
)

// maxQuotaMetrics is the largest number of workspaces with metrics of their own. The
// requests of the others are counted together.
const maxQuotaMetrics = 256

// quotaIndex holds the limits of the workspaces of one configuration.
type quotaIndex struct {
	limits map[quota.WorkspaceHash]quota.Limit
	// limited says that a workspace has a limit.
	limited bool
}

func newQuotaIndex(t *route.Table) *quotaIndex {
	x := &quotaIndex{limits: map[quota.WorkspaceHash]quota.Limit{}}
	for _, w := range t.Workspaces() {
		x.limits[quota.HashWorkspace(w.Name)] = quota.Limit{Rate: w.Rate, Burst: w.Burst}
		x.limited = x.limited || w.Limited()
	}
	return x
}

// newQuotas returns the manager of the quotas; its Start must be called.
func (n *Node) newQuotas() *quota.Manager {
	n.quotaIndex.Store(&quotaIndex{})
	c := &quotaCounters{metrics: n.metrics, byName: map[string]quota.Counters{}}
	return quota.NewManager(n.self, quotaPolicy(n.settings.Load()), quota.Sources{
		Send:       func(m quota.Addressed) { n.gossip.SendQuota(m) },
		Candidates: n.quotaCandidates,
		Holders:    n.quotaShares,
		Limit:      n.quotaLimit,
		Active:     n.hasQuotas,
		Counters:   c.of,
	})
}

func quotaPolicy(s *Settings) quota.Policy {
	if s.Quota == nil {
		return quota.Policy{Window: quota.DefaultWindow}
	}
	return quota.Policy{Window: seconds(s.Quota.WindowSeconds), Overage: s.Quota.Overage, Slack: s.Quota.Slack}
}

// quotaHoldersTTL is how long the holders are cached: among 690 daemons it takes 0.3 ms to
// find them.
const quotaHoldersTTL = 150 * time.Millisecond

// cachedQuotaHolders are the holders at a time.
type cachedQuotaHolders struct {
	roster.QuotaHolders
	at time.Time
}

// quotaHolders returns the holders, found at most quotaHoldersTTL ago.
func (n *Node) quotaHolders() roster.QuotaHolders {
	now := time.Now()
	if c := n.quotaHolderCache.Load(); c != nil && now.Sub(c.at) < quotaHoldersTTL {
		return c.QuotaHolders
	}
	c := &cachedQuotaHolders{n.roster.QuotaHolders(now), now}
	n.quotaHolderCache.Store(c)
	return c.QuotaHolders
}

func (n *Node) quotaLimit(h quota.WorkspaceHash) (quota.Limit, bool) {
	l, ok := n.quotaIndex.Load().limits[h]
	return l, ok
}

// hasQuotas reports whether a workspace of the configuration in force has a limit.
func (n *Node) hasQuotas() bool {
	return n.quotaIndex.Load().limited
}

// quotaShares returns the number of shares of each quota if this daemon holds one of them.
// It cannot know that before it knows the members of its data centre.
func (n *Node) quotaShares() int {
	h := n.quotaHolders()
	if !h.Self || !n.membersKnown.Load() {
		return 0
	}
	return h.Shares
}

func (n *Node) quotaCandidates(s quota.Shard) []roster.Member {
	return roster.QuotaCandidates(n.quotaHolders().Candidates, int(s))
}

// acquireQuota takes a token for a request of a workspace.
func (n *Node) acquireQuota(ctx context.Context, workspace string, deadline time.Time) error {
	return n.quotas.Acquire(ctx, workspace, deadline)
}

// holdsQuotas reports whether this daemon is a holder and any workspace has a quota. The
// holders exchange heartbeats as the carriers of a group do.
func (n *Node) holdsQuotas() bool {
	return n.hasQuotas() && n.quotaHolders().Self
}

// registerQuotaState registers the state dump and the gauges of the quotas.
func (n *Node) registerQuotaState() {
	n.stateDump.Add("quota", func() any { return n.quotas.State() })
	for i := range quota.ShardCount {
		label := strconv.Itoa(i)
		n.metrics.Gauge(stats.Label("quota_shares_held_permille", "shard", label), func() int64 {
			return int64(1000 * n.quotas.Fraction(quota.Shard(i)))
		})
		n.metrics.Gauge(stats.Label("quota_share_leased", "shard", label), func() int64 {
			if n.quotas.Leased(quota.Shard(i)) {
				return 1
			}
			return 0
		})
	}
}

// quotaCounters hands out the counters of the workspaces.
type quotaCounters struct {
	metrics *stats.Registry
	mu      sync.Mutex
	byName  map[string]quota.Counters
}

// of returns the counters of a workspace, or, beyond maxQuotaMetrics workspaces, those that
// the others share.
func (c *quotaCounters) of(workspace string) quota.Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.byName[workspace]; ok {
		return known
	}
	if len(c.byName) >= maxQuotaMetrics {
		return c.counters("quota_other")
	}
	c.byName[workspace] = c.counters("quota", workspace)
	return c.byName[workspace]
}

// counters returns the counters whose names begin with the prefix, with the workspace as
// their label if one is given.
func (c *quotaCounters) counters(prefix string, workspace ...string) quota.Counters {
	name := func(outcome string) string {
		for _, w := range workspace {
			return stats.Label(prefix+"_"+outcome, "workspace", w)
		}
		return prefix + "_" + outcome
	}
	return quota.Counters{
		Granted:     c.metrics.Counter(name("granted")),
		OverQuota:   c.metrics.Counter(name("exceeded")),
		Unavailable: c.metrics.Counter(name("unavailable")),
	}
}
