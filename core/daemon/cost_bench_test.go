package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/store"
)

func heapSize() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// benchService returns a carried service with the evidence of six carriers over
// 40 s, which is ten detection windows of the preset "fast".
func benchService(targets int) *carriedService {
	s := &fleet.Service{ID: "reservas", Policy: fleet.Policy{
		Floor: fleet.Floor{Percent: 50}, Carriers: benchCarriers, SlowStart: 10 * time.Second,
		Detection: fleet.Detection{Window: 4 * time.Second, MinRequests: 4, FailureRatio: 0.4, SlowFactor: 3, MinObservers: 2},
	}}
	var rows []detect.IntervalStats
	for i := range targets {
		id := fleet.TargetID(fmt.Sprintf("reservas-%03d", i))
		s.Targets = append(s.Targets, fleet.Target{ID: id, Address: "10.1.0.1:80", DataCentre: "mdp", Slots: 2})
		rows = append(rows, detect.IntervalStats{Target: id, Counts: [8]uint32{detect.OK: 1}, Latency: 90})
	}
	cs := newCarriedService(serviceDeps{self: fleet.VM{ID: "vm-0", DataCentre: "mdp"}, onAttempt: nil}, s)
	var carriers []*fleet.VM
	for i := range benchCarriers {
		carriers = append(carriers, &fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: "mdp"})
	}
	cs.update(s, carriers)
	for age := 40 * time.Second; age > 0; age -= assessInterval {
		cs.evidence.Add("vm-0", "mdp", rows, time.Now().Add(-age))
		for _, c := range carriers[1:] {
			if age%(3*time.Second) == 0 {
				cs.evidence.Add(c.ID, "mdp", rows, time.Now().Add(-age))
			}
		}
	}
	cs.assess(time.Now())
	return cs
}

// BenchmarkServiceHeap reports the heap size of a carried service by its number of
// targets.
func BenchmarkServiceHeap(b *testing.B) {
	for _, targets := range []int{10, 27, 54, 108} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			held := 0.0
			for b.Loop() {
				before := heapSize()
				cs := benchService(targets)
				held = heapSize() - before
				runtime.KeepAlive(cs)
			}
			b.ReportMetric(held, "heap-bytes/service")
			b.ReportMetric(held/float64(targets), "heap-bytes/target")
		})
	}
}

// BenchmarkAssess measures one assessment of a carried service with ordinary
// evidence.
func BenchmarkAssess(b *testing.B) {
	for _, targets := range []int{10, 27, 54, 108} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			cs := benchService(targets)
			b.ReportAllocs()
			for b.Loop() {
				cs.carrier.Recorder().Record(cs.service.Load().Targets[0].ID, detect.OK, benchServiceTime)
				cs.assess(time.Now())
			}
		})
	}
}

// BenchmarkRoundTrip measures a plain HTTP request over loopback, as a reference for
// the times of other benchmarks.
func BenchmarkRoundTrip(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	mustSucceed(err)
	s := &http.Server{Handler: http.HandlerFunc(healthy)}
	go memServer{s, l}.run()
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := http.Get("http://" + l.Addr().String())
		mustSucceed(err)
		mustSucceed(resp.Body.Close())
	}
}

// BenchmarkPolls reports the bytes of one poll of the head row and of the changes of
// the VM list over HTTP, and the bytes per second of both at their intervals of 2 s
// and 5 s.
func BenchmarkPolls(b *testing.B) {
	f := &trafficCounter{}
	p := stand.NewPlatform()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	mustSucceed(err)
	s := &http.Server{Handler: p}
	go memServer{s, l}.run()
	defer s.Close()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{c, f}, err
	}}
	c := store.NewClient("http://"+l.Addr().String(), store.WithTransport(transport))
	defer c.Close()
	ctx := context.Background()
	mustSucceed(p.Table().Apply(ctx, store.Tx{ID: "t", Puts: []store.Put{{Key: "settings/head", Value: []byte(`{"revision":4000,"change":"0123456789abcdef"}`)}}}))
	for i := range 690 {
		mustSucceed(p.PutVM(ctx, fleet.VM{ID: fleet.VMID(fmt.Sprintf("mdp-entry-%03d", i)), Region: "ar-costa", DataCentre: "mdp", CallerAddress: "10.0.0.1:7000", PeerAddress: "10.0.0.1:7100", AdminAddress: "10.0.0.1:7200"}))
	}
	poll := func(call func() error) float64 {
		mustSucceed(call())
		before := f.bytes.Load()
		mustSucceed(call())
		return float64(f.bytes.Load()-before) + 3*packetHeaderSize
	}
	version := uint64(0)
	var head, list, full float64
	for b.Loop() {
		head = poll(func() error { _, err := c.Table().Get(ctx, "settings/head"); return err })
		full = poll(func() error { v, err := c.VMList().ChangesSince(ctx, 0); version = v.Version; return err })
		list = poll(func() error { _, err := c.VMList().ChangesSince(ctx, version); return err })
	}
	b.ReportMetric(head, "head-bytes/poll")
	b.ReportMetric(list, "list-bytes/poll")
	b.ReportMetric(full, "list-bytes/full")
	b.ReportMetric(head/2+list/5, "bytes/s")
}
