package settle

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

// inBubble runs a test with paused time.
func inBubble(t *testing.T, test func(t *testing.T, g *gomega.WithT)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, gomega.NewWithT(t)) })
}

// follow starts a follower with a fixed seed that ends with the test.
func follow(t *testing.T, p *platform, seed uint64, opts ...FollowerOption) *Follower {
	t.Helper()
	f := idle(p.table(), seed, append(opts, WithSnapshots(p.objectStore()))...)
	start(t, f)
	return f
}

func idle(table store.Table, seed uint64, opts ...FollowerOption) *Follower {
	return NewFollower(table, append(opts, WithRand(rand.New(rand.NewPCG(seed, 1))))...)
}

func start(t *testing.T, f *Follower) {
	f.Start(t.Context())
	t.Cleanup(f.Stop)
}

// asking returns a peer function that asks other followers through the wire
// format; each is in the data centre of its index modulo centres.
func asking(g gomega.Gomega, centres int, seed bool, peers ...*Follower) func(context.Context, Revision) []PeerReply {
	return func(_ context.Context, have Revision) []PeerReply {
		var out []PeerReply
		for i, p := range peers {
			raw, err := cbor.Marshal(p.Answer(RevisionAskMsg{Have: have}))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var m RevisionReplyMsg
			g.Expect(cbor.Unmarshal(raw, &m)).To(gomega.Succeed())
			out = append(out, PeerReply{From: fleet.VMID(fmt.Sprint("vm-", i)), DataCentre: fleet.DataCentre(fmt.Sprint(i % centres)), Seed: seed, Msg: m})
		}
		return out
	}
}

// counts returns how often the head was read and revisions were scanned.
func (p *platform) counts() (heads, scans int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.headReads), p.scans
}

// settleQueue proposes and commits n changes of one value.
func settleQueue(g gomega.Gomega, b *Changelog, n int) Revision {
	var r Revision
	for i := range n {
		r = settleOps(g, b, tree.Set(stock, "queue-length", 100+i+int(r)))
	}
	return r
}

func queueOf(a *Applied) int {
	svc, _ := a.Catalog.Service("stock")
	return svc.Policy.QueueLength
}

func TestFollowerTakesDeltasInTime(t *testing.T) {
	// Guards against a change that is not in force within seconds.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		var seen []Revision
		f := idle(p.table(), 1, WithApplied(func(a *Applied) { seen = append(seen, a.Revision) }))
		g.Expect(f.Current()).To(gomega.BeNil())
		start(t, f)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(1)))
		settleOps(g, b, tree.Set(stock, "queue-length", 7))
		time.Sleep(2400 * time.Millisecond)
		synctest.Wait()
		g.Expect(queueOf(f.Current())).To(gomega.Equal(7))
		g.Expect(f.State().Ready).To(gomega.BeTrue())
		g.Expect(time.Since(f.Current().HeadReadAt)).To(gomega.BeNumerically("<=", 2400*time.Millisecond))
		g.Expect(seen).To(gomega.Equal([]Revision{1, 2}))
	})
}

func TestFollowerPollsAtOnceWhenItHears(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		f := follow(t, p, 1)
		synctest.Wait()
		r := settleQueue(g, b, 1)
		f.Hear(r)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(r))
		reads, _ := p.counts()
		f.Hear(r)
		f.Hear(r - 1)
		synctest.Wait()
		again, _ := p.counts()
		g.Expect(again).To(gomega.Equal(reads))
	})
}

func TestFollowerTakesSnapshotWhenFarBehind(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		writer := follow(t, p, 1)
		for range 6 {
			settleQueue(g, b, 50)
			time.Sleep(3 * time.Second)
		}
		synctest.Wait()
		g.Expect(writer.Current().Revision).To(gomega.Equal(Revision(301)))
		time.Sleep(maxSnapshotDelay + 3*time.Second)
		synctest.Wait()
		g.Expect(p.puts).To(gomega.Equal(1))
		_, before := p.counts()
		late := follow(t, p, 2)
		synctest.Wait()
		g.Expect(late.Current().Revision).To(gomega.Equal(Revision(301)))
		_, after := p.counts()
		g.Expect(after - before).To(gomega.Equal(1))
		g.Expect(queueOf(late.Current())).To(gomega.Equal(queueOf(writer.Current())))
		// Without the object, all deltas are read.
		p.edit(func() { p.objects = map[string][]byte{} })
		whole := follow(t, p, 3)
		synctest.Wait()
		g.Expect(whole.Current().Revision).To(gomega.Equal(Revision(301)))
		g.Expect(whole.State().StoreError).To(gomega.BeEmpty())
		// A changelog starts from the snapshot too.
		_, doc, err := NewChangelog(p.table(), WithObjects(p.objectStore())).Head(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(tree.Changes(doc, whole.Current().Doc)).To(gomega.BeEmpty())
	})
}

func TestSnapshotIsWrittenByOneOfManyDaemons(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		for i := range 20 {
			follow(t, p, uint64(i))
		}
		synctest.Wait()
		settleQueue(g, b, 60)
		time.Sleep(3 * time.Second)
		settleQueue(g, b, 195)
		time.Sleep(maxSnapshotDelay + 5*time.Second)
		synctest.Wait()
		g.Expect(p.puts).To(gomega.Equal(1))
		g.Expect(p.objects).To(gomega.HaveKey(snapshotName(256)))
	})
}

// writeRevision writes a revision behind the changelog's back.
func writeRevision(g gomega.Gomega, p *platform, value []byte) Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	var head Head
	g.Expect(json.Unmarshal(p.rows[headKey].Value, &head)).To(gomega.Succeed())
	head.Revision++
	raw, err := json.Marshal(head)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p.execute(store.Tx{
		Conds: []store.Cond{{Key: headKey, Version: p.rows[headKey].Version}},
		Puts:  []store.Put{{Key: headKey, Value: raw}, {Key: revisionKey(head.Revision), Value: value}},
	})).To(gomega.Succeed())
	return head.Revision
}

func deltaOf(g gomega.Gomega, r Revision, ops ...tree.Op) []byte {
	raw, err := json.Marshal(Delta{Revision: r, Change: "direct", Author: "ana", Ops: ops})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return raw
}

func TestFollowerKeepsLastGoodRevision(t *testing.T) {
	// Guards against a revision of a newer program that takes a daemon down.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		settleQueue(g, b, 1)
		f := follow(t, p, 1)
		synctest.Wait()
		bad := writeRevision(g, p, deltaOf(g, 3, tree.Set(stock, "queue-length", 9), tree.Set(stock, "colour", "red")))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(2)))
		g.Expect(queueOf(f.Current())).NotTo(gomega.Equal(9))
		g.Expect(f.State().Invalid.Revision).To(gomega.Equal(bad))
		g.Expect(f.State().Invalid.Reason).To(gomega.ContainSubstring("colour"))
		fresh := follow(t, p, 2)
		synctest.Wait()
		g.Expect(fresh.Current().Revision).To(gomega.Equal(Revision(2)))
		writeRevision(g, p, deltaOf(g, 4, tree.Unset(stock, "colour")))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(4)))
		g.Expect(queueOf(f.Current())).To(gomega.Equal(9))
		g.Expect(f.State().Invalid).To(gomega.BeNil())
	})
}

func TestFollowerPassesUndecodableRowWithPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		settleQueue(g, b, 3)
		peer := follow(t, p, 1)
		synctest.Wait()
		p.edit(func() { p.rows[revisionKey(3)] = store.Row{Key: revisionKey(3), Version: 1, Value: []byte("{")} })
		alone := follow(t, p, 2)
		helped := follow(t, p, 3, WithPeers(asking(g, 1, false, peer), 0))
		synctest.Wait()
		g.Expect(alone.Current()).To(gomega.BeNil())
		g.Expect(alone.State().Invalid.Revision).To(gomega.Equal(Revision(3)))
		g.Expect(helped.Current().Revision).To(gomega.Equal(Revision(4)))
		_, before := p.counts()
		time.Sleep(time.Minute)
		synctest.Wait()
		// The row is not read again at each poll while the head stays.
		_, after := p.counts()
		g.Expect(after).To(gomega.Equal(before))
	})
}

func TestFollowerServesOnWhileStoreIsAway(t *testing.T) {
	// Guards against daemons that return to the store all at once, and against
	// a backoff that is longer than the time a change may take.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		const daemons = 100
		p, b := opened(g)
		var all []*Follower
		for i := range daemons {
			all = append(all, follow(t, p, uint64(i)))
		}
		synctest.Wait()
		p.setDown(true)
		time.Sleep(20 * time.Minute)
		synctest.Wait()
		g.Expect(all[0].Current().Revision).To(gomega.Equal(Revision(1)))
		g.Expect(all[0].State().StoreError).To(gomega.ContainSubstring("down"))
		p.setDown(false)
		back := time.Now()
		r := settleQueue(g, b, 1)
		p.edit(func() { p.headReads = nil })
		time.Sleep(6 * time.Second)
		synctest.Wait()
		for _, f := range all {
			g.Expect(f.Current().Revision).To(gomega.Equal(r))
		}
		// A daemon polls about every 4 s during the backoff: in any half second
		// an even spread gives 12 first reads of 100. Twice that is the bound.
		buckets := map[int64]int{}
		for _, at := range p.headReads[:daemons] {
			buckets[int64(at.Sub(back)/(500*time.Millisecond))]++
		}
		for slot, n := range buckets {
			g.Expect(n).To(gomega.BeNumerically("<=", 25), "half second %d", slot)
		}
	})
}

func TestFollowerTakesRevisionsFromPeersWhileStoreIsAway(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		peer := follow(t, p, 1)
		var cut atomic.Bool
		cutOff := p.table()
		cutOff.Get = func(ctx context.Context, key string) (store.Row, error) {
			if cut.Load() {
				return store.Row{}, fault.New(fault.StoreUnavailable, "cut off")
			}
			return p.get(ctx, key)
		}
		f := idle(cutOff, 2, WithPeers(asking(g, 1, false, peer), 0))
		start(t, f)
		synctest.Wait()
		cut.Store(true)
		r := settleQueue(g, b, 3)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		f.Hear(r)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(r))
		settleQueue(g, b, 200)
		time.Sleep(3 * time.Second)
		settleQueue(g, b, 200)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		reply := peer.Answer(RevisionAskMsg{Have: r})
		g.Expect(reply.Deltas).To(gomega.BeEmpty())
		g.Expect(reply.Snapshot).NotTo(gomega.BeEmpty())
		g.Expect(peer.Answer(RevisionAskMsg{Have: reply.Revision - maxRecentDeltas}).Deltas).To(gomega.HaveLen(maxRecentDeltas))
		f.Hear(reply.Revision)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(reply.Revision))
		g.Expect(queueOf(f.Current())).To(gomega.Equal(queueOf(peer.Current())))
	})
}

func TestFollowerAsksPeersWhenRevisionRowsCannotBeRead(t *testing.T) {
	// Guards against a follower that knows the head and waits for the table
	// although its peers hold the revision.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		peer := follow(t, p, 1)
		synctest.Wait()
		table := p.table()
		table.Scan = func(context.Context, string, string, int) ([]store.Row, error) {
			return nil, fault.New(fault.StoreUnavailable, "slow")
		}
		settleQueue(g, b, 2)
		peer.Hear(3)
		synctest.Wait()
		f := idle(table, 2, WithPeers(asking(g, 1, false, peer), 0))
		start(t, f)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(3)))
		settleQueue(g, b, 2)
		peer.Hear(5)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(5)))
	})
}

func TestColdBoot(t *testing.T) {
	// Guards against a daemon that is cut off and serves with stale settings,
	// and against a fleet that cannot start without the store.
	for _, c := range []struct {
		name    string
		peers   int
		centres int
		seeds   int
		away    time.Duration
		ready   bool
	}{
		{"no peer", 0, 1, 0, 0, false},
		{"one peer with a fresh head", 1, 1, 0, 10 * time.Second, true},
		{"one peer with an old head", 1, 1, 0, time.Hour, false},
		{"three peers in one data centre", 3, 1, 0, time.Hour, false},
		{"two peers in two data centres", 2, 2, 0, time.Hour, false},
		{"three peers in two data centres", 3, 2, 0, time.Hour, true},
		{"half of the seeds", 1, 1, 2, time.Hour, false},
		{"a majority of the seeds", 2, 1, 3, time.Hour, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, g *gomega.WithT) {
				p, b := opened(g)
				settleQueue(g, b, 2)
				var peers []*Follower
				for i := range c.peers {
					peers = append(peers, follow(t, p, uint64(i)))
				}
				synctest.Wait()
				p.setDown(true)
				time.Sleep(c.away)
				f := follow(t, p, 9, WithPeers(asking(g, c.centres, c.seeds > 0, peers...), c.seeds))
				synctest.Wait()
				g.Expect(f.State().Ready).To(gomega.Equal(c.ready), f.State().Reason)
				if !c.ready {
					g.Expect(f.Current()).To(gomega.BeNil())
					p.setDown(false)
					time.Sleep(6 * time.Second)
					synctest.Wait()
				}
				g.Expect(f.Current().Revision).To(gomega.Equal(Revision(3)))
			})
		})
	}
}

func TestColdBootNeverTakesLessThanReported(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		peer := follow(t, p, 1)
		synctest.Wait()
		p.setDown(true)
		f := idle(p.table(), 2, WithPeers(asking(g, 1, false, peer), 0))
		f.Hear(2)
		start(t, f)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		g.Expect(f.Current()).To(gomega.BeNil())
		g.Expect(f.State().Reason).To(gomega.ContainSubstring("a peer reported 2"))
		p.setDown(false)
		settleQueue(g, b, 1)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(2)))
	})
}

func TestBootingPeersDoNotConfirmEachOther(t *testing.T) {
	// Guards against fresh daemons that all hold the revision of one stale peer
	// and count each other as proof that it is recent.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, _ := opened(g)
		stale := follow(t, p, 1)
		synctest.Wait()
		p.setDown(true)
		time.Sleep(time.Hour)
		peers := []*Follower{stale}
		ask := func(ctx context.Context, have Revision) []PeerReply { return asking(g, 2, false, peers...)(ctx, have) }
		for i := range 3 {
			peers = append(peers, idle(p.table(), uint64(10+i), WithPeers(ask, 0)))
		}
		for _, f := range peers[1:] {
			start(t, f)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		for _, f := range peers[1:] {
			g.Expect(f.held.Load().Revision).To(gomega.Equal(Revision(1)))
			g.Expect(f.State().Ready).To(gomega.BeFalse())
		}
	})
}

func TestFollowerNeverGoesBack(t *testing.T) {
	// Guards against a store that was restored from an old copy.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, b := opened(g)
		var old store.Row
		p.edit(func() { old = p.rows[headKey] })
		settleQueue(g, b, 2)
		f := follow(t, p, 1)
		synctest.Wait()
		p.edit(func() { p.rows[headKey] = old })
		time.Sleep(10 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(3)))
		g.Expect(f.State().StoreError).To(gomega.ContainSubstring("below the held revision"))
	})
}

func TestUselessSnapshotsAreNotAskedForAgainAtOnce(t *testing.T) {
	// Guards against a peer of another version whose snapshot, fetched every
	// 2 s, would exceed the control traffic of a daemon.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, _ := opened(g)
		asks := 0
		ask := func(context.Context, Revision) []PeerReply {
			asks++
			return []PeerReply{{From: "vm", Msg: RevisionReplyMsg{Revision: 900, Ready: true, Snapshot: []byte("no gzip")}}}
		}
		f := follow(t, p, 1, WithPeers(ask, 0))
		synctest.Wait()
		f.Hear(900)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(1)))
		g.Expect(f.State().Invalid.Revision).To(gomega.Equal(Revision(900)))
		g.Expect(asks).To(gomega.BeNumerically("<=", 16))
	})
}
