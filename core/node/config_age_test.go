package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
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

// configBound is how long after the store accepted a configuration it must be in force.
const configBound = 2 * time.Second

// silentPolls simulates a store whose reads return the newest configuration and whose
// long polls for a change tell nothing.
type silentPolls struct {
	mu      sync.Mutex
	version int64
	// hang holds each long poll until its context ends or its time is over. Otherwise a
	// long poll returns empty in time, from a position behind the change.
	hang  bool
	reads int
}

func (s *silentPolls) write(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

func (s *silentPolls) read(context.Context) (ConfigResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return configVersion(s.version), nil
}

func (s *silentPolls) poll(ctx context.Context, _ int64, wait time.Duration) (ConfigResult, error) {
	if s.hang {
		wait += 1500 * time.Millisecond
	}
	sleep(ctx, wait)
	if ctx.Err() != nil || s.hang {
		return ConfigResult{}, fault.New(fault.StoreUnavailable, "no answer")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConfigResult{StoreVersion: s.version}, nil
}

// hearFor delivers the heartbeats of VMs for some time. Their daemons precede this one
// as readers and do not know whether their configuration is the newest.
func (n *Node) hearFor(d time.Duration, vms []string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		n.hearPeers(vms...)
	}
}

// Guards against a change that is not in force for 20 s or more because the long polls
// of the readers hear nothing of it. Neither a reader nor, if all readers are silent
// about it, any other daemon may rely on them.
func TestChangeIsInForceAlthoughPollsHearNothing(t *testing.T) {
	for name, readers := range map[string][]string{"reader": nil, "follower": {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}} {
		for _, hang := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, hang %v", name, hang), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					store := &silentPolls{version: 1, hang: hang}
					n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
					defer n.gossipConn.Close()
					n.platform.ReadConfig, n.platform.LongPollConfig = store.read, store.poll
					ctx, cancel := context.WithCancel(t.Context())
					f := newConfigFollower(n)
					go f.loop(ctx)
					n.hearFor(10*time.Second, readers)
					store.write(2)
					n.hearFor(configBound, readers)
					version := n.relay.Table().Version
					cancel()
					synctest.Wait()
					g.Expect(version).To(Equal(route.Version(2)))
				})
			})
		}
	}
}

// newRefusedDataCentre returns three connected daemons: the first, in data centre a, can
// read the store, the other two, in b, cannot.
func newRefusedDataCentre(t *testing.T, store *silentPolls) []*Node {
	t.Helper()
	g := NewWithT(t)
	addresses := newLoopbackRange()
	var nodes []*Node
	for i, dataCentre := range []string{"a", "b", "b"} {
		s := addresses.settings(i+1, highShare)
		s.DataCentre = dataCentre
		n, err := New(s, unreachableStore())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = n.gossipConn.Close() })
		n.platform.DecodeConfig = decodeVersion
		nodes = append(nodes, n)
	}
	nodes[0].platform.ReadConfig, nodes[0].platform.LongPollConfig = store.read, store.poll
	for _, n := range nodes {
		n.applyList(fromStore, testTargetList(0))
		n.handleConfig("vm-0", gossip.Document{Version: 1, Data: []byte("1")})
		n.gossip.Start(t.Context())
		for _, m := range nodes {
			n.roster.Add(m.self)
		}
	}
	exchangeReports(nodes...)
	return nodes
}

// Guards against a data centre that keeps an old configuration for as long as the store
// refuses its daemons, although those of another data centre have the new one.
func TestConfigReachesDataCentreThatStoreRefuses(t *testing.T) {
	g := NewWithT(t)
	store := &silentPolls{version: 1}
	nodes := newRefusedDataCentre(t, store)
	for _, n := range nodes {
		f := newConfigFollower(n)
		go f.loop(t.Context())
	}
	time.Sleep(readerStartupDelay)
	store.write(2)
	for _, n := range nodes {
		g.Eventually(n.relay.Table).WithTimeout(10 * time.Second).Should(HaveField("Version", route.Version(2)))
	}
}

// Guards against a data centre that keeps sending requests to targets that have left for
// as long as the store refuses its daemons.
func TestTargetListReachesDataCentreThatStoreRefuses(t *testing.T) {
	g := NewWithT(t)
	nodes := newRefusedDataCentre(t, &silentPolls{version: 1})
	leaving := []watch.Change{{ID: "t0", Version: 20}}
	nodes[0].platform.ReadTargetChanges = func(_ context.Context, since int64) (watch.Delta, []error, error) {
		return watch.Delta{Since: since, Version: 20, Changes: leaving}, nil, nil
	}
	for _, n := range nodes {
		f := &targetListFollower{Node: n}
		go f.loop(t.Context())
		m := &maintenance{n}
		go m.loop(t.Context())
	}
	size := func(n *Node) func() int { return func() int { return n.relay.TargetPool("orders").Size() } }
	for _, n := range nodes {
		g.Eventually(size(n)).WithTimeout(10 * time.Second).Should(Equal(599))
	}
}

// Guards against a wrong version in the heartbeats of a peer, which made a daemon read
// the configuration twice a second for as long as it ran, even after one heartbeat.
func TestWrongVersionOfPeerCausesFewReads(t *testing.T) {
	const lying = 30 * time.Second
	for name, interval := range map[string]time.Duration{"once": lying, "again and again": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				writer := &configWriter{start: time.Now()}
				n := newTestNode(g, lowShare, writer)
				defer n.gossipConn.Close()
				ctx, cancel := context.WithCancel(t.Context())
				reports := &peerReports{node: n, config: func() int64 { return 1 }}
				go reports.loop(ctx)
				f := newConfigFollower(n)
				go f.loop(ctx)
				time.Sleep(5 * time.Second)
				before := writer.reads.Load()
				liar := roster.Member{VM: "vm-9", DataCentre: "a", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", StartMillis: 1}
				for end := time.Now().Add(lying); time.Now().Before(end); time.Sleep(interval) {
					n.handleHeartbeat(liar, &gossip.Report{VM: liar.VM, DataCentre: liar.DataCentre, Ready: true, ConfigVersion: 1 << 40})
				}
				cancel()
				synctest.Wait()
				g.Expect(writer.reads.Load() - before).To(BeNumerically("<=", 5))
			})
		})
	}
}

// Guards against a daemon that reads the whole configuration as fast as the store
// answers while the store discards its history again and again, and so takes the calls
// that the other daemons need.
func TestDroppedHistoryIsReadAtPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &silentPolls{version: 1}
		n := newTestNode(g, highShare, &configWriter{start: time.Now()})
		defer n.gossipConn.Close()
		n.platform.ReadConfig = func(ctx context.Context) (ConfigResult, error) {
			sleep(ctx, 4*time.Millisecond)
			return store.read(ctx)
		}
		n.platform.LongPollConfig = func(ctx context.Context, _ int64, _ time.Duration) (ConfigResult, error) {
			sleep(ctx, 4*time.Millisecond)
			return ConfigResult{}, fault.New(fault.HistoryGone, "history was discarded")
		}
		ctx, cancel := context.WithCancel(t.Context())
		f := newConfigFollower(n)
		go f.loop(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		g.Expect(store.reads).To(BeNumerically("<=", 10*int(time.Second/minConfigInterval)+1))
	})
}

// Guards against ages that become younger with each message and never let a daemon check:
// what a peer reported is not reported on.
func TestReportedConfigAgeIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
		defer n.gossipConn.Close()
		n.handleConfig("vm-0", gossip.Document{Version: 1, Data: []byte("1"), Age: time.Millisecond})
		n.confirmConfig(1, time.Millisecond)
		g.Expect(n.storeState().ConfigAge).To(Equal(time.Millisecond))
		g.Expect(n.heartbeat().ConfigAge).To(BeZero())
		g.Expect(n.currentDocument().Age).To(BeZero())
		n.applyConfig(fromStore, configVersion(1), time.Now())
		time.Sleep(100 * time.Millisecond)
		g.Expect(n.heartbeat().ConfigAge).To(Equal(100 * time.Millisecond))
	})
}

// Guards against a change that a daemon never learns of because an answer of the store was
// older than the position that it claimed: the change lies before the position.
func TestOutdatedAnswerIsCorrected(t *testing.T) {
	for _, size := range []int{1, fullCheckBytesPerSecond / 2} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := &outdatedStore{changeAt: time.Now().Add(5*time.Second + 300*time.Millisecond), size: size}
				n := newTestNode(g, highShare, &configWriter{start: time.Now()})
				defer n.gossipConn.Close()
				n.platform.ReadConfig, n.platform.LongPollConfig = store.read, store.poll
				ctx, cancel := context.WithCancel(t.Context())
				f := newConfigFollower(n)
				go f.loop(ctx)
				time.Sleep(time.Until(store.changeAt) + configBound)
				version := n.relay.Table().Version
				cancel()
				synctest.Wait()
				g.Expect(version).To(Equal(route.Version(2)))
			})
		})
	}
}

// outdatedStore discards its history as version 2 is written, and answers the first full
// read after that with version 1, though with the position after the change.
type outdatedStore struct {
	changeAt time.Time
	size     int
	outdated atomic.Int64
}

func (s *outdatedStore) read(context.Context) (ConfigResult, error) {
	out := configVersion(1)
	if time.Now().After(s.changeAt) {
		out.StoreVersion = 2
		if s.outdated.Add(1) > 1 {
			out = configVersion(2)
		}
	}
	out.Raw = append(out.Raw, make([]byte, s.size)...)
	return out, nil
}

func (s *outdatedStore) poll(ctx context.Context, after int64, wait time.Duration) (ConfigResult, error) {
	changed := time.Now().After(s.changeAt)
	sleep(ctx, min(wait, max(time.Until(s.changeAt), 0)))
	if changed && after == 2 {
		sleep(ctx, wait)
	}
	if ctx.Err() != nil {
		return ConfigResult{}, ctx.Err()
	}
	if after == 1 && !time.Now().Before(s.changeAt) {
		return ConfigResult{}, fault.New(fault.HistoryGone, "history was discarded")
	}
	return ConfigResult{StoreVersion: after}, nil
}

// Guards against an answer that is older than the configuration in force and counts as
// proof that there is nothing newer.
func TestAnswerOlderThanConfigInForceProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newTestNode(g, highShare, &configWriter{start: time.Now()})
		defer n.gossipConn.Close()
		n.handleConfig("vm-0", gossip.Document{Version: 5, Data: []byte("5")})
		time.Sleep(time.Minute)
		n.platform.ReadConfig = func(context.Context) (ConfigResult, error) { return configVersion(4), nil }
		c := &configChecker{Node: n}
		c.check(t.Context(), 0)
		g.Expect(n.storeState().ConfigAge).To(BeNumerically(">=", time.Minute))
		g.Expect(c.schedule.Due(time.Now().Add(-time.Minute), time.Now(), 0)).To(BeTemporally(">", time.Now()))
	})
}
