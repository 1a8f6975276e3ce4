package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/route"
	"wisteriarelay.example/core/watch"
)

// loopbackRange is a /24 prefix of the loopback network, so that several daemons
// can use the same port.
type loopbackRange string

func newLoopbackRange() loopbackRange {
	return loopbackRange(fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), 1+rand.IntN(254)))
}

func (r loopbackRange) settings(number int, share float64) *Settings {
	ip := fmt.Sprint(string(r), number)
	return &Settings{
		VM: fmt.Sprint("vm-", number), DataCentre: "a", CPUShare: share, CallerAddress: ip + ":8001", PeerAddress: ip + ":8002",
		ShutdownSeconds: 1, RetryBudget: RetryBudget{WindowSeconds: 1},
	}
}

// unreachableStore returns a platform whose store cannot be reached.
func unreachableStore() *Platform {
	unavailable := fault.New(fault.StoreUnavailable, "store is unreachable")
	return &Platform{
		ReadConfig:     func(context.Context) (ConfigResult, error) { return ConfigResult{}, unavailable },
		LongPollConfig: func(context.Context, int64, time.Duration) (ConfigResult, error) { return ConfigResult{}, unavailable },
		DecodeConfig: func([]byte) (*route.Config, error) {
			return &route.Config{Version: 7, Services: []route.Service{{Name: "orders"}}}, nil
		},
		ReadTargets:       func(context.Context) (watch.Delta, []error, error) { return watch.Delta{}, nil, unavailable },
		ReadTargetChanges: func(context.Context, int64) (watch.Delta, []error, error) { return watch.Delta{}, nil, unavailable },
		ReadMembers:       func(context.Context) ([]roster.Member, error) { return nil, unavailable },
		WriteMember:       func(context.Context, roster.Member) error { return unavailable },
		AddressHandler:    func(func(string, string) ([]string, time.Duration)) http.Handler { return http.NotFoundHandler() },
		ReadinessHandler:  func(func() bool) http.Handler { return http.NotFoundHandler() },
	}
}

// testTargetList returns a list of 600 targets, as a read of the given age returns
// it.
func testTargetList(age time.Duration) watch.Delta {
	d := watch.Delta{Version: 12, Age: age}
	for i := range 600 {
		d.Changes = append(d.Changes, watch.Change{ID: fmt.Sprint("t", i), Entry: &watch.Entry{
			Service: "orders", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), DataCentre: "a", Slots: 2, StartMillis: int64(i),
		}})
	}
	return d
}

// newServingNode returns a daemon that read the store before the store became
// unreachable.
func newServingNode(t *testing.T, s *Settings, age time.Duration) *Node {
	t.Helper()
	n, err := New(s, unreachableStore())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.gossipConn.Close() })
	n.gossip.Start(t.Context())
	n.handleConfig("vm-0", gossip.Document{Version: 7, Data: []byte("seven")})
	n.applyList(fromStore, testTargetList(age))
	return n
}

// Guards against a daemon that starts while the store is unreachable and refuses
// all requests, although its peers have all the data that it needs.
func TestDaemonStartsWhileStoreIsUnreachable(t *testing.T) {
	for _, age := range []time.Duration{0, time.Minute} {
		t.Run(age.String(), func(t *testing.T) {
			g := NewWithT(t)
			addresses := newLoopbackRange()
			peers := []*Node{newServingNode(t, addresses.settings(1, highShare), age), newServingNode(t, addresses.settings(2, highShare), age)}
			exchangeReports(peers...)
			s := addresses.settings(3, lowShare)
			s.Seeds = []string{string(addresses) + "9:1", string(addresses) + "1:1"}
			n, err := New(s, unreachableStore())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n.Start(t.Context())).To(Succeed())
			t.Cleanup(func() { _ = n.Close() })
			g.Eventually(n.Ready).WithTimeout(10 * time.Second).Should(BeTrue())
			g.Expect(n.relay.Table().Version).To(Equal(route.Version(7)))
			g.Expect(n.relay.TargetPool("orders").Size()).To(Equal(600))
			g.Eventually(func() int { return len(n.roster.LocalPeers()) }).WithTimeout(10 * time.Second).Should(Equal(2))
			g.Expect(n.membersKnown.Load()).To(BeFalse(), "the peers may not know all members yet")
		})
	}
}

// Guards against a starting daemon that uses a target which has left: the peer that
// sent the target list may have lost its connection to the store.
func TestStalePeerListDoesNotReplaceStoreList(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
	defer n.gossipConn.Close()
	n.listLoaded.Store(false)
	n.handleSnapshot("vm-1", testTargetList(time.Minute))
	g.Expect(n.relay.TargetPool("orders").Size()).To(BeZero())
	n.applyList(fromStore, watch.Delta{Version: 20, Changes: testTargetList(0).Changes[:3]})
	n.handleSnapshot("vm-1", testTargetList(0))
	n.applyStaleList()
	g.Expect(n.relay.TargetPool("orders").Size()).To(Equal(3))
}

// Guards against daemons that start together, tell each other about the few members
// that they know, and never learn of the rest; and against a daemon that joins a
// running fleet without knowing members of other data centres, and so considers
// itself a carrier.
func TestOnlyLongRunningPeersCompleteMembership(t *testing.T) {
	for age, settled := range map[time.Duration]bool{time.Second: false, time.Minute: true} {
		g := NewWithT(t)
		n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
		startMillis := n.self.StartMillis - age.Milliseconds()
		n.listLoaded.Store(false)
		n.handleMembers("vm-1", []roster.Member{
			{VM: "vm-1", DataCentre: "a", PeerAddress: "127.0.0.1:1", StartMillis: startMillis},
			{VM: "vm-2", DataCentre: "b", PeerAddress: "127.0.0.1:1", StartMillis: startMillis},
		})
		g.Expect(n.membersKnown.Load()).To(Equal(settled))
		g.Expect(n.roster.DataCentres()).To(Equal([]string{"a", "b"}))
		g.Expect(n.gossipConn.Close()).To(Succeed())
	}
}

// Guards against store calls by daemons that could get the data from peers when a
// fleet starts or a daemon joins it, and against daemons that wait for peers while
// none is ready.
func TestWaitForPeerDataAtStart(t *testing.T) {
	cases := map[string]struct {
		firstStart   bool
		known, ready bool
		share        float64
		wait         time.Duration
	}{
		"all start again":               {known: true, share: lowShare, wait: peerDiscoveryTimeout},
		"into a running fleet":          {known: true, ready: true, share: lowShare, wait: peerDataTimeout},
		"first start, alone":            {firstStart: true, share: lowShare, wait: firstStartTimeout},
		"first start, reads first":      {firstStart: true, known: true, share: highShare, wait: 0},
		"first start, others read":      {firstStart: true, known: true, share: lowShare, wait: firstStartTimeout},
		"first start, others go silent": {firstStart: true, known: true, ready: true, share: lowShare, wait: 900 * time.Millisecond},
		"first start, strong and some":  {firstStart: true, known: true, ready: true, share: highShare, wait: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newTestNode(g, c.share, &configWriter{start: time.Now()})
				defer n.gossipConn.Close()
				n.settings.Load().FirstStart = c.firstStart
				for i := range 5 {
					m := roster.Member{VM: fmt.Sprint("vm-", i), DataCentre: "a", PeerAddress: "127.0.0.1:1", StartMillis: 1}
					if c.known {
						n.roster.Add(m)
					}
					if c.ready {
						n.roster.RecordHeartbeat(time.Now(), m, roster.Status{Ready: true}, nil)
					}
				}
				n.membersKnown.Store(c.known)
				began := time.Now()
				n.waitForPeers(t.Context(), func() bool { return false })
				g.Expect(time.Since(began)).To(BeNumerically("~", c.wait, startPollInterval))
			})
		})
	}
}
