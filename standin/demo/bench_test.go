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

// measureDuration is the time for which each fleet is measured.
const measureDuration = 9 * time.Second

// traffic counts the bytes that the inner ports of a fleet read and write, and the
// calls of Read and Write, which stand for packets.
type traffic struct{ bytes, packets atomic.Int64 }

// countingListener adds the traffic of its connections to a total.
type countingListener struct {
	net.Listener
	traffic *traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.traffic}, err
}

// countingConn adds its traffic to a total.
type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c countingConn) count(n int, err error) (int, error) {
	c.traffic.bytes.Add(int64(n))
	c.traffic.packets.Add(1)
	return n, err
}

func (c countingConn) Read(b []byte) (int, error)  { return c.count(c.Conn.Read(b)) }
func (c countingConn) Write(b []byte) (int, error) { return c.count(c.Conn.Write(b)) }

// startFleet starts n daemons, spread over the data centres of the example.
func startFleet(b *testing.B, n int, t *traffic) *Fleet {
	f, err := NewFleet("../../examples/cortavientos/settings.json", log.NewNopLogger())
	if err != nil {
		b.Fatal(err)
	}
	ctx := context.Background()
	for i := range n {
		vm, err := f.reserveVM(fleet.VMID(fmt.Sprintf("entry-%02d", i)), f.DataCentres[i%len(f.DataCentres)])
		if err != nil {
			b.Fatal(err)
		}
		f.listeners[vm.PeerAddress] = countingListener{f.listeners[vm.PeerAddress], t}
		if err := f.Platform.PutVM(ctx, vm); err != nil {
			b.Fatal(err)
		}
		f.daemons = append(f.daemons, &Node{VM: vm})
	}
	for _, node := range f.daemons {
		if err := f.startNode(ctx, node); err != nil {
			b.Fatal(err)
		}
	}
	if err := f.waitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return f
}

// reportCounts returns the number of reports that all daemons have sent to their
// peers, and the number of links between daemons, counted at both ends.
func (f *Fleet) reportCounts() (sent, links float64) {
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

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkFleet runs whole fleets on loopback without requests and reports the cost
// of the control traffic between daemons. The figures include the stand-ins of the
// platform and the targets, which run in the same process.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{6, 12, 24} {
		b.Run(fmt.Sprint("daemons=", n), func(b *testing.B) {
			for b.Loop() {
				t := &traffic{}
				before := heapBytes()
				f := startFleet(b, n, t)
				time.Sleep(4 * time.Second)
				heapUsed := heapBytes() - before
				sent, _ := f.reportCounts()
				bytes, packets, cpu := t.bytes.Load(), t.packets.Load(), cpuTime()
				time.Sleep(measureDuration)
				cpu = cpuTime() - cpu
				bytes, packets = t.bytes.Load()-bytes, t.packets.Load()-packets
				after, links := f.reportCounts()
				f.Close()
				sent = after - sent
				b.ReportMetric(heapUsed/float64(n), "heap-bytes/daemon")
				b.ReportMetric(links/float64(n), "links/daemon")
				b.ReportMetric(sent/links/measureDuration.Seconds(), "reports/s/link")
				b.ReportMetric(float64(bytes)/sent, "tls-bytes/report")
				b.ReportMetric(float64(packets)/sent, "packets/report")
				b.ReportMetric(2*float64(bytes)/links/measureDuration.Seconds(), "bytes/s/link")
				b.ReportMetric(100*cpu.Seconds()/measureDuration.Seconds()/float64(n), "%core/daemon")
			}
		})
	}
}
