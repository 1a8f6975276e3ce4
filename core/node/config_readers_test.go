package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/route"
)

// operators write a configuration every minute.
type operators struct {
	begin        time.Time
	reads, waits int
}

func (o *operators) newest() int64 {
	return 1 + int64(time.Since(o.begin)/time.Minute)
}

func versionRead(v int64) ConfigRead {
	return ConfigRead{Config: &route.Config{Version: route.Version(v)}, Raw: []byte(fmt.Sprint(v)), Position: v}
}

func (o *operators) read(context.Context) (ConfigRead, error) {
	o.reads++
	return versionRead(o.newest()), nil
}

func (o *operators) await(ctx context.Context, after int64, wait time.Duration) (ConfigRead, error) {
	o.waits++
	limit := time.Now().Add(wait)
	for o.newest() <= after && time.Now().Before(limit) {
		pause(ctx, 10*time.Millisecond)
		if ctx.Err() != nil {
			return ConfigRead{}, ctx.Err()
		}
	}
	return versionRead(o.newest()), nil
}

func decodeVersion(raw []byte) (*route.Config, error) {
	var v route.Version
	_, err := fmt.Sscan(string(raw), &v)
	return &route.Config{Version: v}, err
}

// newFollower returns a daemon with its share of a core. Its target list counts as
// read, so that a configuration makes it ready.
func newFollower(g *WithT, share float64, o *operators) *Node {
	settings := &Settings{VM: "vm", CPUShare: share, DataCentre: "a", InnerAddress: "127.0.0.1:0", ShutdownSeconds: 1, RetryBudget: RetryBudget{SpanSeconds: 1}}
	n, err := New(settings, &Platform{ReadConfig: o.read, AwaitConfig: o.await, DecodeConfig: decodeVersion})
	g.Expect(err).NotTo(HaveOccurred())
	n.listed.Store(true)
	return n
}

// The shares of a core that put a daemon before and behind the others.
const (
	strong = 0.8
	weak   = 0.1
)

// hearing lets a daemon hear the others of its data centre.
type hearing struct {
	node *Node
	// config is the version that they have in force.
	config func() int64
}

func (h *hearing) loop(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range 5 {
			m := roster.Member{VM: fmt.Sprintf("vm-%d", i), DataCentre: "a", Inner: "127.0.0.1:1", Callers: "127.0.0.1:2", Born: 1}
			h.node.heard(m, &gossip.Report{VM: m.VM, DataCentre: "a", Ready: true, Config: h.config()})
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// Load pattern: hundreds of daemons while operators change the configuration.
// Guards against a call to the store for each change and daemon.
func TestOnlyReadersWaitForConfigurations(t *testing.T) {
	for share, reads := range map[float64]bool{strong: true, weak: false} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				o := &operators{begin: time.Now()}
				n := newFollower(g, share, o)
				defer n.conn.Close()
				ctx, cancel := context.WithCancel(t.Context())
				h := &hearing{node: n, config: func() int64 { return 0 }}
				go h.loop(ctx)
				f := &configFollower{n}
				go f.loop(ctx)
				for v := int64(1); v <= 3; v++ {
					time.Sleep(time.Minute)
					if !reads {
						n.configHeard(gossip.Document{Version: v + 1, Data: []byte(fmt.Sprint(v + 1))})
					}
				}
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
				g.Expect(int64(n.relay.Table().Version)).To(Equal(int64(4)))
				if reads {
					g.Expect(o.waits).To(BeNumerically(">=", 3))
					return
				}
				g.Expect(o.reads).To(Equal(1), "at the start")
				g.Expect(o.waits).To(BeZero())
			})
		})
	}
}

// Guards against a daemon that keeps an old configuration because the pieces that
// were passed on to it are lost.
func TestDaemonThatIsBehindReadsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &operators{begin: time.Now()}
		n := newFollower(g, weak, o)
		defer n.conn.Close()
		ctx, cancel := context.WithCancel(t.Context())
		h := &hearing{node: n, config: o.newest}
		go h.loop(ctx)
		f := &configFollower{n}
		go f.loop(ctx)
		time.Sleep(time.Minute + 2*time.Second)
		version := n.relay.Table().Version
		cancel()
		synctest.Wait()
		g.Expect(version).To(Equal(route.Version(2)))
		g.Expect(o.reads).To(Equal(2))
	})
}

// Guards against a configuration of a peer that is older than the one in force, or
// cannot be read, and replaces it.
func TestWorseConfigurationOfAPeerChangesNothing(t *testing.T) {
	g := NewWithT(t)
	n := newFollower(g, weak, &operators{begin: time.Now()})
	defer n.conn.Close()
	n.configHeard(gossip.Document{Version: 5, Data: []byte("5")})
	n.configHeard(gossip.Document{Version: 4, Data: []byte("4")})
	n.configHeard(gossip.Document{Version: 6, Data: []byte("not a configuration")})
	g.Expect(n.relay.Table().Version).To(Equal(route.Version(5)))
}
