package settle

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/tree"
)

// plannedScaleDoc returns a document with the numbers of workspaces, services and
// routes in section 1 of the design page and 27 targets for each service.
func plannedScaleDoc(b *testing.B) *tree.Document {
	b.Helper()
	return scaledDoc(b, 24_000, 360, 4300)
}

func scaledDoc(b *testing.B, workspaces, services, routes int) *tree.Document {
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
		ops = append(ops, tree.Set(servicePath(i), "region", "costa"), tree.Set(servicePath(i), "targets", targets))
	}
	for i := range routes {
		p := servicePath(i%services) + tree.Path(fmt.Sprint("/route/r", i/services))
		ops = append(ops, tree.Set(p, "methods", []string{"GET"}), tree.Set(p, "path-prefix", fmt.Sprint("/part-", i/services)))
	}
	doc, err := tree.New().Apply(ops)
	if err != nil {
		b.Fatal(err)
	}
	return doc
}

func servicePath(i int) tree.Path {
	return tree.ServicePath(fleet.WorkspaceID(fmt.Sprintf("team-%05d", i)), fleet.ServiceID(fmt.Sprint("service-", i)))
}

// BenchmarkTakeDelta measures applying one committed revision at a daemon.
func BenchmarkTakeDelta(b *testing.B) {
	f := NewFollower(newFakePlatform().table())
	f.setHeld(plannedScaleDoc(b), 1, "", nil)
	r := Revision(1)
	for b.Loop() {
		r++
		op := tree.Set(servicePath(int(r)%360), "queue-length", int(r)%1000)
		f.applyDeltas([]*Delta{{Revision: r, Change: "c", Author: "ana", Ops: []tree.Op{op}}})
		if f.held.Load().Revision != r {
			b.Fatal(f.invalid)
		}
	}
}

// BenchmarkSnapshot measures the size of a snapshot and the time to apply one.
func BenchmarkSnapshot(b *testing.B) {
	data, err := encodeSnapshot(1, plannedScaleDoc(b))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		f := NewFollower(newFakePlatform().table())
		f.applyReply(&RevisionReplyMsg{Revision: 1, Snapshot: data})
		if f.held.Load().Revision != 1 {
			b.Fatal(f.invalid)
		}
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
}

// BenchmarkHeap measures the heap size of a follower at the planned scale, with
// 256 deltas kept for peers and one snapshot encoded for a peer.
func BenchmarkHeap(b *testing.B) {
	data, err := encodeSnapshot(1, plannedScaleDoc(b))
	if err != nil {
		b.Fatal(err)
	}
	heap := 0.0
	for b.Loop() {
		before := heapBytes()
		f := NewFollower(newFakePlatform().table())
		f.applyReply(&RevisionReplyMsg{Revision: 1, Snapshot: data})
		for r := Revision(2); r <= 1+maxRecentDeltas; r++ {
			op := tree.Set(servicePath(int(r)), "queue-length", int(r))
			f.applyDeltas([]*Delta{{Revision: r, Change: "c", Author: "ana", Ops: []tree.Op{op}}})
		}
		f.Answer(RevisionRequestMsg{})
		heap = heapBytes() - before
		runtime.KeepAlive(f)
	}
	b.ReportMetric(heap, "heap-bytes")
}

// BenchmarkHeapSlope measures the heap size of a follower with the number of
// workspaces, services or routes halved. The differences give the heap size per
// workspace, service and route.
func BenchmarkHeapSlope(b *testing.B) {
	for _, n := range [][3]int{{24_000, 360, 4300}, {12_000, 360, 4300}, {24_000, 360, 2150}, {24_000, 180, 4300}} {
		b.Run(fmt.Sprintf("workspaces=%d/services=%d/routes=%d", n[0], n[1], n[2]), func(b *testing.B) {
			data, err := encodeSnapshot(1, scaledDoc(b, n[0], n[1], n[2]))
			if err != nil {
				b.Fatal(err)
			}
			heap := 0.0
			for b.Loop() {
				before := heapBytes()
				f := NewFollower(newFakePlatform().table())
				f.applyReply(&RevisionReplyMsg{Revision: 1, Snapshot: data})
				heap = heapBytes() - before
				runtime.KeepAlive(f)
			}
			b.ReportMetric(heap, "heap-bytes")
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		})
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCommit measures proposing and committing one change with an in-memory
// table.
func BenchmarkCommit(b *testing.B) {
	ctx := context.Background()
	changelog := NewChangelog(newFakePlatform().table())
	if _, _, err := changelog.Bootstrap(ctx, plannedScaleDoc(b), "ana"); err != nil {
		b.Fatal(err)
	}
	if _, _, err := changelog.Head(ctx); err != nil {
		b.Fatal(err)
	}
	i := 0
	for b.Loop() {
		i++
		c, err := changelog.Propose(ctx, Proposal{Ops: []tree.Op{tree.Set(servicePath(i%360), "queue-length", i%1000)}, Author: "ana"})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := changelog.Commit(ctx, c.ID); err != nil {
			b.Fatal(err)
		}
	}
}
