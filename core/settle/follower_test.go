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

// inBubble runs a test in a synctest bubble, with a fake clock.
func inBubble(t *testing.T, test func(t *testing.T, g *gomega.WithT)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, gomega.NewWithT(t)) })
}

// startFollower starts a follower with a fixed seed. It stops when the test ends.
func startFollower(t *testing.T, p *fakePlatform, seed uint64, opts ...FollowerOption) *Follower {
	t.Helper()
	f := newSeededFollower(p.table(), seed, append(opts, WithSnapshots(p.objectStore()))...)
	startAndStop(t, f)
	return f
}

// newSeededFollower returns a follower with a fixed seed that is not started.
func newSeededFollower(table store.Table, seed uint64, opts ...FollowerOption) *Follower {
	return NewFollower(table, append(opts, WithRand(rand.New(rand.NewPCG(seed, 1))))...)
}

// startAndStop starts a follower and stops it when the test ends.
func startAndStop(t *testing.T, f *Follower) {
	f.Start(t.Context())
	t.Cleanup(f.Stop)
}

// answeringPeers returns a function for WithPeers that requests revisions from other
// followers and passes the replies through the wire format. The data centre of each
// peer is its index modulo dataCentres.
func answeringPeers(g gomega.Gomega, dataCentres int, seed bool, peers ...*Follower) func(context.Context, Revision) []PeerReply {
	return func(_ context.Context, have Revision) []PeerReply {
		var out []PeerReply
		for i, p := range peers {
			raw, err := cbor.Marshal(p.Answer(RevisionRequestMsg{Have: have}))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			var m RevisionReplyMsg
			g.Expect(cbor.Unmarshal(raw, &m)).To(gomega.Succeed())
			out = append(out, PeerReply{From: fleet.VMID(fmt.Sprint("vm-", i)), DataCentre: fleet.DataCentre(fmt.Sprint(i % dataCentres)), Seed: seed, Msg: m})
		}
		return out
	}
}

// counts returns the numbers of reads of the head row and of scans.
func (p *fakePlatform) counts() (heads, scans int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.headReads), p.scans
}

// commitQueueLengths commits n changes of one queue length, with different values.
func commitQueueLengths(g gomega.Gomega, changelog *Changelog, n int) Revision {
	var r Revision
	for i := range n {
		r = commitOps(g, changelog, tree.Set(stockService, "queue-length", 100+i+int(r)))
	}
	return r
}

// queueLength returns the effective queue length of the test service.
func queueLength(a *AppliedRevision) int {
	svc, _ := a.Catalog.Service("stock")
	return svc.Policy.QueueLength
}

func TestFollowerAppliesDeltaWithinSeconds(t *testing.T) {
	// Guards against a change that is not in force within 2.4 s, one poll with
	// its jitter.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		var seen []Revision
		f := newSeededFollower(p.table(), 1, WithOnApply(func(a *AppliedRevision) { seen = append(seen, a.Revision) }))
		g.Expect(f.Current()).To(gomega.BeNil())
		startAndStop(t, f)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(1)))
		commitOps(g, changelog, tree.Set(stockService, "queue-length", 7))
		time.Sleep(2400 * time.Millisecond)
		synctest.Wait()
		g.Expect(queueLength(f.Current())).To(gomega.Equal(7))
		g.Expect(f.State().Ready).To(gomega.BeTrue())
		g.Expect(time.Since(f.Current().HeadReadAt)).To(gomega.BeNumerically("<=", 2400*time.Millisecond))
		g.Expect(seen).To(gomega.Equal([]Revision{1, 2}))
	})
}

func TestFollowerPollsWhenPeerReportsRevision(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		f := startFollower(t, p, 1)
		synctest.Wait()
		r := commitQueueLengths(g, changelog, 1)
		f.ObservePeerRevision(r)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(r))
		reads, _ := p.counts()
		f.ObservePeerRevision(r)
		f.ObservePeerRevision(r - 1)
		synctest.Wait()
		again, _ := p.counts()
		g.Expect(again).To(gomega.Equal(reads))
	})
}

func TestFollowerLoadsSnapshotWhenFarBehind(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		writer := startFollower(t, p, 1)
		for range 6 {
			commitQueueLengths(g, changelog, 50)
			time.Sleep(3 * time.Second)
		}
		synctest.Wait()
		g.Expect(writer.Current().Revision).To(gomega.Equal(Revision(301)))
		time.Sleep(maxSnapshotDelay + 3*time.Second)
		synctest.Wait()
		g.Expect(p.puts).To(gomega.Equal(1))
		_, before := p.counts()
		behind := startFollower(t, p, 2)
		synctest.Wait()
		g.Expect(behind.Current().Revision).To(gomega.Equal(Revision(301)))
		_, after := p.counts()
		g.Expect(after - before).To(gomega.Equal(1))
		g.Expect(queueLength(behind.Current())).To(gomega.Equal(queueLength(writer.Current())))
		// Without the snapshot object, all deltas are read.
		p.edit(func() { p.objects = map[string][]byte{} })
		withoutSnapshot := startFollower(t, p, 3)
		synctest.Wait()
		g.Expect(withoutSnapshot.Current().Revision).To(gomega.Equal(Revision(301)))
		g.Expect(withoutSnapshot.State().StoreError).To(gomega.BeEmpty())
		// The changelog also finds the object missing and replays all deltas.
		_, doc, err := NewChangelog(p.table(), WithObjects(p.objectStore())).Head(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(tree.OpsBetween(doc, withoutSnapshot.Current().Doc)).To(gomega.BeEmpty())
	})
}

func TestSnapshotIsWrittenByOneOfManyDaemons(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		for i := range 20 {
			startFollower(t, p, uint64(i))
		}
		synctest.Wait()
		commitQueueLengths(g, changelog, 60)
		time.Sleep(3 * time.Second)
		commitQueueLengths(g, changelog, 195)
		time.Sleep(maxSnapshotDelay + 5*time.Second)
		synctest.Wait()
		g.Expect(p.puts).To(gomega.Equal(1))
		g.Expect(p.objects).To(gomega.HaveKey(snapshotName(256)))
	})
}

// writeRevision writes a revision directly to the table, bypassing the validation
// of the changelog.
func writeRevision(g gomega.Gomega, p *fakePlatform, value []byte) Revision {
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

// deltaJSON returns the value of a revision row.
func deltaJSON(g gomega.Gomega, r Revision, ops ...tree.Op) []byte {
	raw, err := json.Marshal(Delta{Revision: r, Change: "direct", Author: "ana", Ops: ops})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return raw
}

func TestFollowerKeepsLastValidRevision(t *testing.T) {
	// Guards against a daemon that fails on a revision of a newer version, which
	// contains a key that the daemon does not know.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		commitQueueLengths(g, changelog, 1)
		f := startFollower(t, p, 1)
		synctest.Wait()
		invalid := writeRevision(g, p, deltaJSON(g, 3, tree.Set(stockService, "queue-length", 9), tree.Set(stockService, "colour", "red")))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(2)))
		g.Expect(queueLength(f.Current())).NotTo(gomega.Equal(9))
		g.Expect(f.State().Invalid.Revision).To(gomega.Equal(invalid))
		g.Expect(f.State().Invalid.Reason).To(gomega.ContainSubstring("colour"))
		restarted := startFollower(t, p, 2)
		synctest.Wait()
		g.Expect(restarted.Current().Revision).To(gomega.Equal(Revision(2)))
		writeRevision(g, p, deltaJSON(g, 4, tree.Unset(stockService, "colour")))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(4)))
		g.Expect(queueLength(f.Current())).To(gomega.Equal(9))
		g.Expect(f.State().Invalid).To(gomega.BeNil())
	})
}

func TestFollowerSkipsUndecodableRowWithPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		commitQueueLengths(g, changelog, 3)
		peer := startFollower(t, p, 1)
		synctest.Wait()
		p.edit(func() { p.rows[revisionKey(3)] = store.Row{Key: revisionKey(3), Version: 1, Value: []byte("{")} })
		alone := startFollower(t, p, 2)
		helped := startFollower(t, p, 3, WithPeers(answeringPeers(g, 1, false, peer), 0))
		synctest.Wait()
		g.Expect(alone.Current()).To(gomega.BeNil())
		g.Expect(alone.State().Invalid.Revision).To(gomega.Equal(Revision(3)))
		g.Expect(helped.Current().Revision).To(gomega.Equal(Revision(4)))
		_, before := p.counts()
		time.Sleep(time.Minute)
		synctest.Wait()
		// The row is not read again until the head changes.
		_, after := p.counts()
		g.Expect(after).To(gomega.Equal(before))
	})
}

func TestFollowersSpreadPollsAfterStoreOutage(t *testing.T) {
	// Guards against daemons that all poll at the same time after an outage of the
	// store, and against a backoff that is longer than the 6 s within which a
	// change must then be in force.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		const daemons = 100
		p, changelog := bootstrapped(g)
		var all []*Follower
		for i := range daemons {
			all = append(all, startFollower(t, p, uint64(i)))
		}
		synctest.Wait()
		p.setDown(true)
		time.Sleep(20 * time.Minute)
		synctest.Wait()
		g.Expect(all[0].Current().Revision).To(gomega.Equal(Revision(1)))
		g.Expect(all[0].State().StoreError).To(gomega.ContainSubstring("down"))
		p.setDown(false)
		recoveredAt := time.Now()
		r := commitQueueLengths(g, changelog, 1)
		p.edit(func() { p.headReads = nil })
		time.Sleep(6 * time.Second)
		synctest.Wait()
		for _, f := range all {
			g.Expect(f.Current().Revision).To(gomega.Equal(r))
		}
		// During the backoff a daemon polls about every 4 s. If the polls are evenly
		// spread, 12 of 100 daemons make their first read in any half second; the
		// limit is twice that.
		buckets := map[int64]int{}
		for _, at := range p.headReads[:daemons] {
			buckets[int64(at.Sub(recoveredAt)/(500*time.Millisecond))]++
		}
		for slot, n := range buckets {
			g.Expect(n).To(gomega.BeNumerically("<=", 25), "half second %d", slot)
		}
	})
}

func TestFollowerFetchesFromPeersDuringStoreOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		peer := startFollower(t, p, 1)
		var down atomic.Bool
		table := p.table()
		table.Get = func(ctx context.Context, key string) (store.Row, error) {
			if down.Load() {
				return store.Row{}, fault.New(fault.StoreUnavailable, "cut off")
			}
			return p.get(ctx, key)
		}
		f := newSeededFollower(table, 2, WithPeers(answeringPeers(g, 1, false, peer), 0))
		startAndStop(t, f)
		synctest.Wait()
		down.Store(true)
		r := commitQueueLengths(g, changelog, 3)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		f.ObservePeerRevision(r)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(r))
		commitQueueLengths(g, changelog, 200)
		time.Sleep(3 * time.Second)
		commitQueueLengths(g, changelog, 200)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		reply := peer.Answer(RevisionRequestMsg{Have: r})
		g.Expect(reply.Deltas).To(gomega.BeEmpty())
		g.Expect(reply.Snapshot).NotTo(gomega.BeEmpty())
		g.Expect(peer.Answer(RevisionRequestMsg{Have: reply.Revision - maxRecentDeltas}).Deltas).To(gomega.HaveLen(maxRecentDeltas))
		f.ObservePeerRevision(reply.Revision)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(reply.Revision))
		g.Expect(queueLength(f.Current())).To(gomega.Equal(queueLength(peer.Current())))
	})
}

func TestFollowerQueriesPeersWhenRevisionRowsCannotBeRead(t *testing.T) {
	// Guards against a follower that can read the head but not the revisions, and
	// waits for the table although its peers hold the revisions.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		peer := startFollower(t, p, 1)
		synctest.Wait()
		table := p.table()
		table.Scan = func(context.Context, string, string, int) ([]store.Row, error) {
			return nil, fault.New(fault.StoreUnavailable, "slow")
		}
		commitQueueLengths(g, changelog, 2)
		peer.ObservePeerRevision(3)
		synctest.Wait()
		f := newSeededFollower(table, 2, WithPeers(answeringPeers(g, 1, false, peer), 0))
		startAndStop(t, f)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(3)))
		commitQueueLengths(g, changelog, 2)
		peer.ObservePeerRevision(5)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(5)))
	})
}

func TestColdStart(t *testing.T) {
	// Guards against an isolated daemon that starts with outdated settings, and
	// against a fleet that cannot start without the store.
	for _, c := range []struct {
		name        string
		peers       int
		dataCentres int
		seeds       int
		outage      time.Duration
		ready       bool
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
				p, changelog := bootstrapped(g)
				commitQueueLengths(g, changelog, 2)
				var peers []*Follower
				for i := range c.peers {
					peers = append(peers, startFollower(t, p, uint64(i)))
				}
				synctest.Wait()
				p.setDown(true)
				time.Sleep(c.outage)
				f := startFollower(t, p, 9, WithPeers(answeringPeers(g, c.dataCentres, c.seeds > 0, peers...), c.seeds))
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

func TestColdStartRequiresHighestReportedRevision(t *testing.T) {
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		peer := startFollower(t, p, 1)
		synctest.Wait()
		p.setDown(true)
		f := newSeededFollower(p.table(), 2, WithPeers(answeringPeers(g, 1, false, peer), 0))
		f.ObservePeerRevision(2)
		startAndStop(t, f)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		g.Expect(f.Current()).To(gomega.BeNil())
		g.Expect(f.State().Reason).To(gomega.ContainSubstring("a peer reported 2"))
		p.setDown(false)
		commitQueueLengths(g, changelog, 1)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(2)))
	})
}

func TestStartingPeersDoNotConfirmEachOther(t *testing.T) {
	// Guards against starting daemons that all got the same outdated revision from
	// one peer and take each other's replies as proof that it is recent.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, _ := bootstrapped(g)
		stale := startFollower(t, p, 1)
		synctest.Wait()
		p.setDown(true)
		time.Sleep(time.Hour)
		peers := []*Follower{stale}
		ask := func(ctx context.Context, have Revision) []PeerReply {
			return answeringPeers(g, 2, false, peers...)(ctx, have)
		}
		for i := range 3 {
			peers = append(peers, newSeededFollower(p.table(), uint64(10+i), WithPeers(ask, 0)))
		}
		for _, f := range peers[1:] {
			startAndStop(t, f)
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
	// Guards against a daemon that returns to an older revision after the store was
	// restored from a backup.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, changelog := bootstrapped(g)
		var old store.Row
		p.edit(func() { old = p.rows[headKey] })
		commitQueueLengths(g, changelog, 2)
		f := startFollower(t, p, 1)
		synctest.Wait()
		p.edit(func() { p.rows[headKey] = old })
		time.Sleep(10 * time.Second)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(3)))
		g.Expect(f.State().StoreError).To(gomega.ContainSubstring("below the held revision"))
	})
}

func TestFollowerBacksOffFromUndecodableSnapshots(t *testing.T) {
	// Guards against a peer of another version whose snapshot this daemon cannot
	// decode. Fetched every 2 s, the snapshot would exceed the limit for the
	// control traffic of a daemon.
	inBubble(t, func(t *testing.T, g *gomega.WithT) {
		p, _ := bootstrapped(g)
		asks := 0
		ask := func(context.Context, Revision) []PeerReply {
			asks++
			return []PeerReply{{From: "vm", Msg: RevisionReplyMsg{Revision: 900, Ready: true, Snapshot: []byte("no gzip")}}}
		}
		f := startFollower(t, p, 1, WithPeers(ask, 0))
		synctest.Wait()
		f.ObservePeerRevision(900)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		g.Expect(f.Current().Revision).To(gomega.Equal(Revision(1)))
		g.Expect(f.State().Invalid.Revision).To(gomega.Equal(Revision(900)))
		g.Expect(asks).To(gomega.BeNumerically("<=", 16))
	})
}
