package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/quota"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/watch"
)

// quotaStore returns a platform with a configuration that has a limited workspace and,
// without limited set, one without workspaces. members are those that it lists.
func quotaStore(limited bool, members []roster.Member) *Platform {
	p := unreachableStore()
	config := &route.Config{Version: 7, Services: []route.Service{{Name: "orders"}}}
	if limited {
		config.RequiresKeys = true
		config.Workspaces = []route.Workspace{{Name: "w", Keys: []string{"k"}, Rate: 100, Burst: 100}}
	}
	p.ReadConfig = func(context.Context) (ConfigResult, error) {
		c := *config
		return ConfigResult{Config: &c, StoreVersion: 1, Raw: []byte("seven")}, nil
	}
	p.DecodeConfig = func([]byte) (*route.Config, error) {
		c := *config
		return &c, nil
	}
	p.LongPollConfig = func(ctx context.Context, _ int64, wait time.Duration) (ConfigResult, error) {
		sleep(ctx, max(wait, time.Second))
		return ConfigResult{StoreVersion: 1}, nil
	}
	p.ReadTargets = func(context.Context) (watch.Delta, []error, error) { return testTargetList(0), nil, nil }
	p.ReadMembers = func(context.Context) ([]roster.Member, error) { return members, nil }
	p.WriteMember = func(context.Context, roster.Member) error { return nil }
	return p
}

// quotaFleet starts daemons in two data centres, of which the first four of each have more
// capacity than the others.
func quotaFleet(t *testing.T, g *WithT, perDataCentre int, limited bool) []*Node {
	addresses := newLoopbackRange()
	var settings []*Settings
	var members []roster.Member
	for i := range 2 * perDataCentre {
		s := addresses.settings(i+1, lowShare)
		s.DataCentre = []string{"a", "b"}[i%2]
		if i < 8 {
			s.CPUShare = highShare
		}
		settings = append(settings, s)
		members = append(members, roster.Member{
			VM: s.VM, DataCentre: s.DataCentre, PeerAddress: s.PeerAddress, CallerAddress: s.CallerAddress, Cores: s.Capacity(), StartMillis: 1,
		})
	}
	var nodes []*Node
	for _, s := range settings {
		n, err := New(s, quotaStore(limited, members))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n.Start(t.Context())).To(Succeed())
		t.Cleanup(func() { _ = n.Close() })
		nodes = append(nodes, n)
	}
	return nodes
}

// coordinators returns which coordinators the daemon uses.
func coordinators(n *Node) string {
	return fmt.Sprint(n.quotas.State().Shards[0].Coordinator, n.quotas.State().Shards[1].Coordinator)
}

// Guards against daemons, holders or not, that use different coordinators while they can
// all reach each other, and against shares that do not reach them.
func TestDaemonsAgreeOnCoordinators(t *testing.T) {
	g := NewWithT(t)
	nodes := quotaFleet(t, g, 7, true)
	for shard := range quota.Shard(quota.ShardCount) {
		g.Eventually(func() (sum float64) {
			for _, n := range nodes {
				sum = max(sum, n.quotas.Fraction(shard))
			}
			return sum
		}).WithTimeout(20 * time.Second).Should(BeNumerically("~", 1, 1e-9))
	}
	for _, n := range nodes {
		g.Eventually(func() string { return coordinators(n) }).WithTimeout(10 * time.Second).Should(Equal(coordinators(nodes[0])))
		g.Eventually(func() error { return n.acquireQuota(t.Context(), "w", time.Now().Add(time.Second)) }).WithTimeout(10 * time.Second).Should(Succeed())
	}
	for i, n := range nodes {
		want := 0
		if i < 8 {
			want = 8
		}
		g.Eventually(n.quotaShares).WithTimeout(10*time.Second).Should(Equal(want), n.self.VM)
	}
	// A daemon that leaves is replaced. Daemons of the other data centre may only learn
	// of it when they ask for tokens.
	shard := quota.HashWorkspace("w").Shard()
	leaving := nodes[0].quotas.State().Shards[shard].Coordinator
	for _, n := range nodes {
		if n.self.VM == leaving {
			n.setLeaving()
			n.gossip.SendHeartbeat()
			n.quotas.Leave()
		}
	}
	for _, n := range nodes {
		g.Eventually(func() error { return n.acquireQuota(t.Context(), "w", time.Now().Add(time.Second)) }).WithTimeout(10 * time.Second).Should(Succeed())
		g.Expect(n.quotas.State().Shards[shard].Coordinator).NotTo(Equal(leaving))
	}
}

// Guards against messages of a deployment without workspaces.
func TestWithoutQuotasNothingIsSent(t *testing.T) {
	g := NewWithT(t)
	nodes := quotaFleet(t, g, 4, false)
	for _, n := range nodes {
		g.Eventually(n.Ready).WithTimeout(10 * time.Second).Should(BeTrue())
	}
	time.Sleep(time.Second)
	for _, n := range nodes {
		s := n.quotas.State()
		g.Expect(s).To(Equal(quota.State{Workspaces: map[string]quota.Counts{}}))
		g.Expect(n.subscribedGroups(n.services())).NotTo(ContainElement(roster.QuotaGroup))
	}
}
