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

// network is an address range of the loopback network, so that several daemons can
// use the same port.
type network string

func newNetwork() network {
	return network(fmt.Sprintf("127.%d.%d.", 1+rand.IntN(254), 1+rand.IntN(254)))
}

func (w network) settings(number int, share float64) *Settings {
	ip := fmt.Sprint(string(w), number)
	return &Settings{
		VM: fmt.Sprint("vm-", number), DataCentre: "a", CPUShare: share, CallerAddress: ip + ":8001", InnerAddress: ip + ":8002",
		ShutdownSeconds: 1, RetryBudget: RetryBudget{SpanSeconds: 1},
	}
}

// away is a platform whose store cannot be reached.
func away() *Platform {
	gone := fault.New(fault.StoreUnavailable, "store is away")
	return &Platform{
		ReadConfig:  func(context.Context) (ConfigRead, error) { return ConfigRead{}, gone },
		AwaitConfig: func(context.Context, int64, time.Duration) (ConfigRead, error) { return ConfigRead{}, gone },
		DecodeConfig: func([]byte) (*route.Config, error) {
			return &route.Config{Version: 7, Services: []route.Service{{Name: "orders"}}}, nil
		},
		ReadTargets: func(context.Context) (watch.Delta, []error, error) { return watch.Delta{}, nil, gone },
		PollTargets: func(context.Context, int64) (watch.Delta, []error, error) { return watch.Delta{}, nil, gone },
		ReadMembers: func(context.Context) ([]roster.Member, error) { return nil, gone },
		WriteMember: func(context.Context, roster.Member) error { return gone },
		Addresses:   func(func(string, string) ([]string, time.Duration)) http.Handler { return http.NotFoundHandler() },
		Readiness:   func(func() bool) http.Handler { return http.NotFoundHandler() },
	}
}

// list is a list of many targets as a read of the given age yields it.
func list(age time.Duration) watch.Delta {
	d := watch.Delta{Version: 12, Age: age}
	for i := range 600 {
		d.Changes = append(d.Changes, watch.Change{ID: fmt.Sprint("t", i), Entry: &watch.Entry{
			Service: "orders", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), DataCentre: "a", Slots: 2, Born: int64(i),
		}})
	}
	return d
}

// serving returns a daemon that has read the store before it went away.
func serving(t *testing.T, s *Settings, age time.Duration) *Node {
	t.Helper()
	n, err := New(s, away())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.conn.Close() })
	n.peers.Start(t.Context())
	n.configHeard(gossip.Document{Version: 7, Data: []byte("seven")})
	n.applyList(list(age))
	return n
}

// Guards against a daemon that starts while the store is away and refuses all
// requests although its peers know all it needs.
func TestDaemonStartsWhileTheStoreIsAway(t *testing.T) {
	for _, age := range []time.Duration{0, time.Minute} {
		t.Run(age.String(), func(t *testing.T) {
			g := NewWithT(t)
			w := newNetwork()
			peers := []*Node{serving(t, w.settings(1, strong), age), serving(t, w.settings(2, strong), age)}
			introduce(peers...)
			s := w.settings(3, weak)
			s.Seeds = []string{string(w) + "9:1", string(w) + "1:1"}
			n, err := New(s, away())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(n.Start(t.Context())).To(Succeed())
			t.Cleanup(func() { _ = n.Close() })
			g.Eventually(n.Ready).WithTimeout(10 * time.Second).Should(BeTrue())
			g.Expect(n.relay.Table().Version).To(Equal(route.Version(7)))
			g.Expect(n.relay.Pool("orders").Size()).To(Equal(600))
			g.Eventually(func() int { return len(n.roster.Near()) }).WithTimeout(10 * time.Second).Should(Equal(2))
			g.Expect(n.acquainted.Load()).To(BeFalse(), "the peers may not know all yet")
		})
	}
}

// Guards against a target that has left and is used again by a daemon that starts:
// the peer that helps it may be cut from the store.
func TestOldListOfAPeerWaitsForTheStore(t *testing.T) {
	g := NewWithT(t)
	n := newFollower(g, weak, &operators{begin: time.Now()})
	defer n.conn.Close()
	n.listed.Store(false)
	n.listTold(list(time.Minute))
	g.Expect(n.relay.Pool("orders").Size()).To(BeZero())
	n.applyList(watch.Delta{Version: 20, Changes: list(0).Changes[:3]})
	n.listTold(list(0))
	n.useOldList()
	g.Expect(n.relay.Pool("orders").Size()).To(Equal(3))
}

// Guards against daemons that start together, tell each other of the few that they
// know, and never learn of the rest; and against one that joins a running fleet and
// knows nobody in other data centres, so that it takes itself for a carrier.
func TestOnlySettledPeersKnowAll(t *testing.T) {
	for age, settled := range map[time.Duration]bool{time.Second: false, time.Minute: true} {
		g := NewWithT(t)
		n := newFollower(g, weak, &operators{begin: time.Now()})
		born := n.self.Born - age.Milliseconds()
		n.listed.Store(false)
		n.membersTold("vm-1", []roster.Member{
			{VM: "vm-1", DataCentre: "a", Inner: "127.0.0.1:1", Born: born},
			{VM: "vm-2", DataCentre: "b", Inner: "127.0.0.1:1", Born: born},
		})
		g.Expect(n.acquainted.Load()).To(Equal(settled))
		g.Expect(n.roster.DataCentres()).To(Equal([]string{"a", "b"}))
		g.Expect(n.conn.Close()).To(Succeed())
	}
}

// Load pattern: a fleet starts, or one daemon joins it. Guards against calls to the
// store by daemons that others could help, and against daemons that wait for help
// while nobody serves.
func TestHowLongADaemonWaitsForHelp(t *testing.T) {
	cases := map[string]struct {
		first         bool
		known, serves bool
		share         float64
		wait          time.Duration
	}{
		"all start again":               {known: true, share: weak, wait: signWait},
		"into a running fleet":          {known: true, serves: true, share: weak, wait: helpWait},
		"first start, alone":            {first: true, share: weak, wait: firstWait},
		"first start, reads first":      {first: true, known: true, share: strong, wait: 0},
		"first start, others read":      {first: true, known: true, share: weak, wait: firstWait},
		"first start, others go silent": {first: true, known: true, serves: true, share: weak, wait: 900 * time.Millisecond},
		"first start, strong and some":  {first: true, known: true, serves: true, share: strong, wait: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newFollower(g, c.share, &operators{begin: time.Now()})
				defer n.conn.Close()
				n.settings.Load().FirstStart = c.first
				for i := range 5 {
					m := roster.Member{VM: fmt.Sprint("vm-", i), DataCentre: "a", Inner: "127.0.0.1:1", Born: 1}
					if c.known {
						n.roster.Add(m)
					}
					if c.serves {
						n.roster.Heard(time.Now(), m, roster.Standing{Ready: true}, nil)
					}
				}
				n.acquainted.Store(c.known)
				began := time.Now()
				n.awaitPeers(t.Context(), func() bool { return false })
				g.Expect(time.Since(began)).To(BeNumerically("~", c.wait, startCheck))
			})
		})
	}
}
