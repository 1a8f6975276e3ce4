package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/route"
)

// configWriter simulates a store to which operators write a configuration every
// minute.
type configWriter struct {
	start        time.Time
	reads, polls atomic.Int64
}

func (w *configWriter) newest() int64 {
	return 1 + int64(time.Since(w.start)/time.Minute)
}

func configVersion(v int64) ConfigResult {
	return ConfigResult{Config: &route.Config{Version: route.Version(v)}, Raw: []byte(fmt.Sprint(v)), StoreVersion: v}
}

func (w *configWriter) read(context.Context) (ConfigResult, error) {
	w.reads.Add(1)
	return configVersion(w.newest()), nil
}

func (w *configWriter) poll(ctx context.Context, after int64, wait time.Duration) (ConfigResult, error) {
	w.polls.Add(1)
	limit := time.Now().Add(wait)
	for w.newest() <= after && time.Now().Before(limit) {
		sleep(ctx, 10*time.Millisecond)
		if ctx.Err() != nil {
			return ConfigResult{}, ctx.Err()
		}
	}
	return configVersion(w.newest()), nil
}

func decodeVersion(raw []byte) (*route.Config, error) {
	var v route.Version
	_, err := fmt.Sscan(string(raw), &v)
	return &route.Config{Version: v}, err
}

// newTestNode returns a daemon that may use the given share of a core. Its target
// list counts as loaded, so that a configuration makes it ready.
func newTestNode(g *WithT, share float64, writer *configWriter) *Node {
	settings := &Settings{VM: "vm", CPUShare: share, DataCentre: "a", PeerAddress: "127.0.0.1:0", ShutdownSeconds: 1, RetryBudget: RetryBudget{WindowSeconds: 1}}
	n, err := New(settings, &Platform{ReadConfig: writer.read, LongPollConfig: writer.poll, DecodeConfig: decodeVersion})
	g.Expect(err).NotTo(HaveOccurred())
	n.listLoaded.Store(true)
	return n
}

// These CPU shares rank a daemon before and after peers of unknown capacity.
const (
	highShare = 0.8
	lowShare  = 0.1
)

// peerReports delivers heartbeats of five other daemons of the data centre to a
// daemon.
type peerReports struct {
	node *Node
	// config returns the version that they have in force. They know it to be the newest.
	config func() int64
}

func (p *peerReports) loop(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range 5 {
			m := roster.Member{VM: fmt.Sprintf("vm-%d", i), DataCentre: "a", PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", StartMillis: 1}
			p.node.handleHeartbeat(m, &gossip.Report{VM: m.VM, DataCentre: "a", Ready: true, ConfigVersion: p.config(), ConfigAge: time.Millisecond})
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// Guards against one store call per daemon and change when operators change the
// configuration of a fleet of hundreds of daemons.
func TestOnlyReadersPollForConfigurations(t *testing.T) {
	for share, reads := range map[float64]bool{highShare: true, lowShare: false} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				writer := &configWriter{start: time.Now()}
				n := newTestNode(g, share, writer)
				defer n.gossipConn.Close()
				ctx, cancel := context.WithCancel(t.Context())
				reports := &peerReports{node: n, config: n.configVersion}
				go reports.loop(ctx)
				f := newConfigFollower(n)
				go f.loop(ctx)
				for v := int64(1); v <= 3; v++ {
					time.Sleep(time.Minute)
					if !reads {
						n.handleConfig("vm-0", gossip.Document{Version: v + 1, Data: []byte(fmt.Sprint(v + 1))})
					}
				}
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
				g.Expect(int64(n.relay.Table().Version)).To(Equal(int64(4)))
				if reads {
					g.Expect(writer.polls.Load()).To(BeNumerically(">=", 3))
					return
				}
				g.Expect(writer.reads.Load()).To(Equal(int64(1)), "only at the start")
				g.Expect(writer.polls.Load()).To(BeZero())
			})
		})
	}
}

// Guards against a daemon that keeps an old configuration because the datagrams
// with the new one were lost.
func TestLaggingDaemonReadsConfigItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		writer := &configWriter{start: time.Now()}
		n := newTestNode(g, lowShare, writer)
		defer n.gossipConn.Close()
		ctx, cancel := context.WithCancel(t.Context())
		reports := &peerReports{node: n, config: writer.newest}
		go reports.loop(ctx)
		f := newConfigFollower(n)
		go f.loop(ctx)
		time.Sleep(time.Minute + 2*time.Second)
		version := n.relay.Table().Version
		cancel()
		synctest.Wait()
		g.Expect(version).To(Equal(route.Version(2)))
		g.Expect(writer.reads.Load()).To(Equal(int64(2)))
	})
}

// Guards against replacing the configuration in force by one from a peer that is
// older or cannot be decoded.
func TestOldOrInvalidPeerConfigIsIgnored(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
	defer n.gossipConn.Close()
	n.handleConfig("vm-0", gossip.Document{Version: 5, Data: []byte("5")})
	n.handleConfig("vm-0", gossip.Document{Version: 4, Data: []byte("4")})
	n.handleConfig("vm-0", gossip.Document{Version: 6, Data: []byte("not a configuration")})
	n.handleConfig("vm-0", gossip.Document{Version: 7, Data: []byte("8")})
	g.Expect(n.relay.Table().Version).To(Equal(route.Version(5)))
}
