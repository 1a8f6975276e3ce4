package settle

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/tree"
)

// bigDoc has the services, routes and workspaces of section 1 of the design
// page and 27 targets for each service.
func bigDoc(b *testing.B) *tree.Doc {
	b.Helper()
	return docOf(b, 24_000, 360, 4300)
}

func docOf(b *testing.B, workspaces, services, routes int) *tree.Doc {
	b.Helper()
	ops := []tree.Op{
		tree.Set(tree.Root, "owners", []string{"ana", "luis"}), tree.Declare("/region/costa"), tree.Declare("/data-centre/mdp"),
	}
	for i := range workspaces {
		ops = append(ops, tree.Declare(tree.WorkspacePath(fleet.WorkspaceID(fmt.Sprintf("team-%05d", i)))))
	}
	for i := range services {
		var targets []tree.TargetEntry
		for n := range 27 {
			targets = append(targets, tree.TargetEntry{ID: fleet.TargetID(fmt.Sprint("t", n)), Address: fmt.Sprintf("10.%d.%d.%d:80", i>>8, i&255, n), DataCentre: "mdp"})
		}
		ops = append(ops, tree.Set(bigService(i), "region", "costa"), tree.Set(bigService(i), "targets", targets))
	}
	for i := range routes {
		p := bigService(i%services) + tree.Path(fmt.Sprint("/route/r", i/services))
		ops = append(ops, tree.Set(p, "methods", []string{"GET"}), tree.Set(p, "path-prefix", fmt.Sprint("/part-", i/services)))
	}
	doc, err := tree.New().Apply(ops)
	if err != nil {
		b.Fatal(err)
	}
	return doc
}

func bigService(i int) tree.Path {
	return tree.ServicePath(fleet.WorkspaceID(fmt.Sprintf("team-%05d", i)), fleet.ServiceID(fmt.Sprint("service-", i)))
}

// BenchmarkTakeDelta brings one accepted change into force at a daemon.
func BenchmarkTakeDelta(b *testing.B) {
	f := NewFollower(newPlatform().table())
	f.setHeld(bigDoc(b), 1, "", nil)
	r := Revision(1)
	for b.Loop() {
		r++
		op := tree.Set(bigService(int(r)%360), "queue-length", int(r)%1000)
		f.applyDeltas([]*Delta{{Revision: r, Change: "c", Author: "ana", Ops: []tree.Op{op}}})
		if f.held.Load().Revision != r {
			b.Fatal(f.invalid)
		}
	}
}

// BenchmarkSnapshot reports the size of a snapshot and the time to take one.
func BenchmarkSnapshot(b *testing.B) {
	data, err := encodeSnapshot(1, bigDoc(b))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		f := NewFollower(newPlatform().table())
		f.applyReply(&RevisionReplyMsg{Revision: 1, Snapshot: data})
		if f.held.Load().Revision != 1 {
			b.Fatal(f.invalid)
		}
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
}

// BenchmarkHeap reports the heap that a follower holds at the planned scale,
// with 256 deltas kept for peers and the snapshot that it packed for one.
func BenchmarkHeap(b *testing.B) {
	data, err := encodeSnapshot(1, bigDoc(b))
	if err != nil {
		b.Fatal(err)
	}
	held := 0.0
	for b.Loop() {
		before := heapBytes()
		f := NewFollower(newPlatform().table())
		f.applyReply(&RevisionReplyMsg{Revision: 1, Snapshot: data})
		for r := Revision(2); r <= 1+maxRecentDeltas; r++ {
			op := tree.Set(bigService(int(r)), "queue-length", int(r))
			f.applyDeltas([]*Delta{{Revision: r, Change: "c", Author: "ana", Ops: []tree.Op{op}}})
		}
		f.Answer(RevisionAskMsg{})
		held = heapBytes() - before
		runtime.KeepAlive(f)
	}
	b.ReportMetric(held, "heap-bytes")
}

// BenchmarkHeapSlope reports the heap of a follower with one part of the tree
// halved, for the slope of each.
func BenchmarkHeapSlope(b *testing.B) {
	for _, n := range [][3]int{{24_000, 360, 4300}, {12_000, 360, 4300}, {24_000, 360, 2150}, {24_000, 180, 4300}} {
		b.Run(fmt.Sprintf("workspaces=%d/services=%d/routes=%d", n[0], n[1], n[2]), func(b *testing.B) {
			data, err := encodeSnapshot(1, docOf(b, n[0], n[1], n[2]))
			if err != nil {
				b.Fatal(err)
			}
			held := 0.0
			for b.Loop() {
				before := heapBytes()
				f := NewFollower(newPlatform().table())
				f.applyReply(&RevisionReplyMsg{Revision: 1, Snapshot: data})
				held = heapBytes() - before
				runtime.KeepAlive(f)
			}
			b.ReportMetric(held, "heap-bytes")
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCommit proposes and commits one change over a table in memory.
func BenchmarkCommit(b *testing.B) {
	ctx := context.Background()
	changelog := NewChangelog(newPlatform().table())
	if _, _, err := changelog.Bootstrap(ctx, bigDoc(b), "ana"); err != nil {
		b.Fatal(err)
	}
	if _, _, err := changelog.Head(ctx); err != nil {
		b.Fatal(err)
	}
	i := 0
	for b.Loop() {
		i++
		c, err := changelog.Propose(ctx, Proposal{Ops: []tree.Op{tree.Set(bigService(i%360), "queue-length", i%1000)}, Author: "ana"})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := changelog.Commit(ctx, c.ID); err != nil {
			b.Fatal(err)
		}
	}
}
