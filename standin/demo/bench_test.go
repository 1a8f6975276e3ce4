package demo

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/member"
)

// fleetSpan bounds the measured time of one fleet.
const fleetSpan = 9 * time.Second

// wire counts what the inner ports of a fleet read and write.
type wire struct{ bytes, packets atomic.Int64 }

type wireListener struct {
	net.Listener
	wire *wire
}

func (l wireListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return wireConn{c, l.wire}, err
}

type wireConn struct {
	net.Conn
	wire *wire
}

func (c wireConn) count(n int, err error) (int, error) {
	c.wire.bytes.Add(int64(n))
	c.wire.packets.Add(1)
	return n, err
}

func (c wireConn) Read(b []byte) (int, error)  { return c.count(c.Conn.Read(b)) }
func (c wireConn) Write(b []byte) (int, error) { return c.count(c.Conn.Write(b)) }

// startFleet starts n daemons, spread over the data centres of the example.
func startFleet(b *testing.B, n int, w *wire) *Fleet {
	f, err := NewFleet("../../examples/cortavientos/settings.json", log.NewNopLogger())
	if err != nil {
		b.Fatal(err)
	}
	ctx := context.Background()
	for i := range n {
		vm, err := f.reserveVM(fleet.VMID(fmt.Sprintf("entry-%02d", i)), f.Centres[i%len(f.Centres)])
		if err != nil {
			b.Fatal(err)
		}
		f.listeners[vm.PeerAddress] = wireListener{f.listeners[vm.PeerAddress], w}
		if err := f.Platform.PutVM(ctx, vm); err != nil {
			b.Fatal(err)
		}
		f.daemons = append(f.daemons, &Node{VM: vm})
	}
	for _, node := range f.daemons {
		if err := f.start(ctx, node); err != nil {
			b.Fatal(err)
		}
	}
	if err := f.waitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return f
}

func (f *Fleet) reports() (sent, links float64) {
	for _, n := range f.Nodes() {
		sent += float64(n.State("reports").(map[string]any)["reports"].(member.Counters).Sent)
		links += float64(len(n.State("members").(map[string]any)["members"].(member.Dump).Peers))
	}
	return sent, links
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet runs whole fleets on loopback without requests and reports
// what control costs; the stand-ins of platform and targets are included.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{6, 12, 24} {
		b.Run(fmt.Sprint("daemons=", n), func(b *testing.B) {
			for b.Loop() {
				w := &wire{}
				before := heapBytes()
				f := startFleet(b, n, w)
				time.Sleep(4 * time.Second)
				held := heapBytes() - before
				sent, _ := f.reports()
				bytes, packets, cpu := w.bytes.Load(), w.packets.Load(), processorTime()
				time.Sleep(fleetSpan)
				cpu = processorTime() - cpu
				bytes, packets = w.bytes.Load()-bytes, w.packets.Load()-packets
				after, links := f.reports()
				f.Close()
				sent = after - sent
				b.ReportMetric(held/float64(n), "heap-bytes/daemon")
				b.ReportMetric(links/float64(n), "links/daemon")
				b.ReportMetric(sent/links/fleetSpan.Seconds(), "reports/s/link")
				b.ReportMetric(float64(bytes)/sent, "tls-bytes/report")
				b.ReportMetric(float64(packets)/sent, "packets/report")
				b.ReportMetric(2*float64(bytes)/links/fleetSpan.Seconds(), "bytes/s/link")
				b.ReportMetric(100*cpu.Seconds()/fleetSpan.Seconds()/float64(n), "%core/daemon")
			}
		})
	}
}
