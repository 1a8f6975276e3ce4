package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/place"
	"wisteriarelay.example/core/store"
)

// makeLargeTable returns a table with the given numbers of VMs and services. If heard
// is set, all VMs count as heard.
func makeLargeTable(vms, services int, heard bool) *Table {
	self := makeVM("a0")
	t := New(self, fleet.NewIncarnation("a0"), Hooks{})
	list := store.VMChanges{Version: 1, Full: true}
	for i := range vms {
		list.Live = append(list.Live, makeVM(fmt.Sprintf("%c%d", 'a'+i%5, i)))
	}
	t.applyListChanges(list, time.Now())
	var compiled []*fleet.Service
	for i := range services {
		compiled = append(compiled, makeService(fmt.Sprintf("service-%03d", i)))
		compiled[i].Policy.Carriers = 6
	}
	t.SetServices(compiled)
	for i := 1; heard && i < vms; i++ {
		r := t.peerState(list.Live[i].ID)
		r.run, r.heardAt, r.coCarrier = uint64(i), time.Now(), true
		r.recordServices([]inner.ServiceReport{{Service: "service-000"}}, time.Now())
	}
	t.mu.Lock()
	t.republish(time.Now())
	t.mu.Unlock()
	return t
}

// BenchmarkHeap measures the heap memory per VM, for VMs that are only listed and
// for VMs that are peers as well.
func BenchmarkHeap(b *testing.B) {
	const vms = 690
	for name, heard := range map[string]bool{"known": false, "peer": true} {
		b.Run(name, func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := makeLargeTable(vms, 360, heard)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(t)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/vms, "heap-bytes/vm")
		})
	}
}

// BenchmarkReceive measures the handling of a report that does not change the
// placement, with 16 peers.
func BenchmarkReceive(b *testing.B) {
	t := makeLargeTable(690, 360, false)
	t.mu.Lock()
	for _, vm := range t.View().Live[1:17] {
		t.peerState(vm.ID).heardAt = time.Now()
	}
	t.mu.Unlock()
	from := t.View().Live[3].ID
	m := &inner.ReportMsg{Run: 9, Started: 9, Ready: true, Heard: []uint32{inner.IncarnationHash(t.incarnation)}, Services: []inner.ServiceReport{{Service: "service-000"}}}
	b.ReportAllocs()
	for b.Loop() {
		m.Sequence++
		if _, err := t.Receive(b.Context(), from, m); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApply measures a change of one VM in the VM list.
func BenchmarkApply(b *testing.B) {
	t := makeLargeTable(690, 360, false)
	vm := t.View().Live[5]
	version := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		version++
		vm.Leaving = !vm.Leaving
		t.applyListChanges(store.VMChanges{Version: version, Live: []fleet.VM{vm}}, time.Now())
	}
}

// BenchmarkAddresses measures the computation of the addresses for one caller.
func BenchmarkAddresses(b *testing.B) {
	t := makeLargeTable(690, 360, false)
	b.ReportAllocs()
	for b.Loop() {
		t.View().Addresses("service-000", place.Caller{DataCentre: "dc-a", Key: "10.9.0.1"}, time.Now())
	}
}
