package daemon

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/limit"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/tree"
)

// The planned scale for one service, from section 1 of the design page.
const (
	benchCarriers    = 6
	benchTargets     = 27
	benchRate        = 1.14  // requests per second from one carrier to one target
	benchLinks       = 15.65 // links from one daemon to its peers, over all its services
	benchServiceTime = 40 * time.Millisecond
	// packetHeaderSize is the size in bytes of the TCP/IP headers of a packet with TCP
	// timestamps.
	packetHeaderSize = 52
	measureTime      = time.Minute
	faultyTarget     = "disponible-000"
)

// trafficCounter counts the bytes and packets on connections. A message that fits
// into a packet is one write, and so each read and each write counts as one packet.
// The packets that acknowledge replies are added by the benchmark.
type trafficCounter struct{ bytes, packets atomic.Int64 }

// countingConn counts the traffic of a connection.
type countingConn struct {
	net.Conn
	counter *trafficCounter
}

func (c countingConn) count(n int, err error) (int, error) {
	if n > 0 {
		c.counter.bytes.Add(int64(n))
		c.counter.packets.Add(1)
	}
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) { return c.count(c.Conn.Write(b)) }
func (c countingConn) Read(b []byte) (int, error)  { return c.count(c.Conn.Read(b)) }

// benchFleet is a fleet of the six carriers of one service of the planned size.
type benchFleet struct {
	net        *memNet
	counter    trafficCounter
	platform   *stand.Platform
	daemons    []*Daemon
	servers    []*http.Server
	generators sync.WaitGroup
	// fault is the fault of faultyTarget, or nil.
	fault atomic.Pointer[targetFault]
}

func (f *benchFleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := f.net.dialFrom("10.0.0.9")(ctx, network, address)
	if err == nil && strings.HasSuffix(address, ":7100") {
		c = countingConn{c, &f.counter}
	}
	return c, err
}

func healthy(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func mustSucceed(err error) {
	if err != nil {
		panic(err)
	}
}

func (f *benchFleet) start() {
	f.net, f.platform = newMemNet(), stand.NewPlatform()
	const service = "/workspace/cortavientos/service/disponible-reservas"
	var entries []tree.TargetEntry
	for i := range benchTargets {
		address := fmt.Sprintf("10.1.0.%d:80", i+1)
		entries = append(entries, tree.TargetEntry{ID: fleet.TargetID(fmt.Sprintf("disponible-%03d", i)), Address: address, DataCentre: "mdp"})
		l, _ := f.net.listen(address)
		f.servers = append(f.servers, &http.Server{Handler: http.HandlerFunc(healthy)})
		go memServer{f.servers[i], l}.run()
	}
	doc, err := tree.New().Apply([]tree.Op{
		tree.Set(tree.Root, "owners", []string{"marta", "hector"}), tree.Declare("/region/ar-costa"), tree.Declare("/data-centre/mdp"), tree.Declare("/workspace/cortavientos"),
		tree.Set(service, "region", "ar-costa"), tree.Set(service, "targets", entries),
	})
	mustSucceed(err)
	_, _, err = settle.NewChangelog(f.platform.Table()).Bootstrap(context.Background(), doc, "marta")
	mustSucceed(err)
	authority, err := inner.NewAuthority()
	mustSucceed(err)
	for i := range benchCarriers {
		f.startDaemon(authority, i+1)
	}
}

func (f *benchFleet) startDaemon(authority *inner.Authority, n int) {
	s := config.Defaults()
	s.VM, s.Region, s.DataCentre = fleet.VMID(fmt.Sprintf("mdp-entry-%03d", n)), "ar-costa", "mdp"
	s.CallerAddress, s.InnerAddress, s.AdminAddress = fmt.Sprintf("10.0.0.%d:7000", n), fmt.Sprintf("10.0.0.%d:7100", n), fmt.Sprintf("10.0.0.%d:7200", n)
	s.FleetSecrets = []config.Secret{config.Secret("0123456789abcdef")}
	mustSucceed(f.platform.PutVM(context.Background(), s.Self()))
	id, err := authority.Issue(s.VM)
	mustSucceed(err)
	d, err := New(s, WithIdentity(id), WithListen(f.net.listen), WithDial(f.dial),
		WithPlatform(Platform{Table: f.platform.Table(), Objects: f.platform.Objects(), VMs: f.platform.VMList()}))
	mustSucceed(err)
	mustSucceed(d.Start(context.Background()))
	f.daemons = append(f.daemons, d)
}

// benchCaller generates the traffic of one carrier, spread evenly over the targets.
type benchCaller struct {
	fleet   *benchFleet
	carried *carriedService
	rng     *rand.Rand
}

func (c *benchCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(time.Second) / (benchRate * benchTargets)))
		target := c.carried.service.Load().Targets[c.rng.IntN(benchTargets)].ID
		took := time.Duration(float64(benchServiceTime) * math.Exp(c.rng.NormFloat64()/4))
		c.fleet.generators.Go(func() { c.request(target, took) })
	}
}

// targetFault states the share of requests that a target fails and the factor by
// which its latency rises.
type targetFault struct{ failureRatio, slowFactor float64 }

func (c *benchCaller) request(target fleet.TargetID, took time.Duration) {
	result, fault := detect.OK, c.fleet.fault.Load()
	if fault != nil && target == faultyTarget {
		took = time.Duration(float64(took) * fault.slowFactor)
		if rand.Float64() < fault.failureRatio {
			result = detect.Failed
		}
	}
	grant, err := c.carried.carrier.Limiter().Acquire(context.Background(), limit.Request{Kind: fleet.Lookup, Idempotent: true})
	mustSucceed(err)
	time.Sleep(took)
	grant.Release(limit.Served)
	c.carried.carrier.Recorder().Record(target, result, took)
}

func (f *benchFleet) sentReports() (n int64) {
	for _, d := range f.daemons {
		n += int64(d.components.Members.Counters().Sent)
	}
	return n
}

// startTraffic starts the traffic and waits until the detection has evidence. The
// returned function stops the traffic.
func (f *benchFleet) startTraffic(seed uint64) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	for i, d := range f.daemons {
		for _, cs := range *d.components.Controller.carried.Load() {
			c := &benchCaller{f, cs, rand.New(rand.NewPCG(seed, uint64(i)))}
			f.generators.Go(func() { c.run(ctx) })
		}
	}
	time.Sleep(20 * time.Second)
	return stop
}

// measure returns the reports, bytes and packets sent during measureTime.
func (f *benchFleet) measure() (reports, bytes, packets int64) {
	stop := f.startTraffic(1)
	reports, bytes, packets = -f.sentReports(), -f.counter.bytes.Load(), -f.counter.packets.Load()
	time.Sleep(measureTime)
	reports, bytes, packets = reports+f.sentReports(), bytes+f.counter.bytes.Load(), packets+f.counter.packets.Load()
	stop()
	f.generators.Wait()
	return reports, bytes, packets
}

func (f *benchFleet) close() {
	for _, d := range f.daemons {
		d.Kill()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	synctest.Wait()
}

// runInBubble runs f in a synctest bubble, on virtual time.
func runInBubble(b *testing.B, f func()) {
	b.Helper()
	all := func(string, string) (bool, error) { return true, nil }
	bubble := func(t *testing.T) { synctest.Test(t, func(*testing.T) { f() }) }
	if !testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: bubble}}) {
		b.Fatal("the bubble failed")
	}
}

// BenchmarkTraffic reports the network traffic of the inner protocol between six
// daemons with ordinary traffic, and with a target that stays suspect because an
// outage of the table prevents its ejection. From both it derives the traffic of a
// daemon with the planned number of links, of which the five of one service carry
// reports about a suspect target.
func BenchmarkTraffic(b *testing.B) {
	ordinary := benchTraffic(b, "ordinary", nil)
	suspect := benchTraffic(b, "suspect", &targetFault{0.5, 1})
	b.Run("daemon", func(b *testing.B) {
		b.ReportMetric(ordinary*benchLinks, "bytes/s/ordinary")
		b.ReportMetric(ordinary*(benchLinks-benchCarriers+1)+suspect*(benchCarriers-1), "bytes/s/one-suspect")
	})
}

func benchTraffic(b *testing.B, name string, fault *targetFault) (bytesPerLink float64) {
	b.Run(name, func(b *testing.B) {
		var reports, bytes, packets int64
		for b.Loop() {
			runInBubble(b, func() {
				f := &benchFleet{}
				f.start()
				time.Sleep(5 * time.Second)
				if f.fault.Store(fault); fault != nil {
					f.platform.SetFaults(stand.PlatformFaults{TableDown: true})
				}
				reports, bytes, packets = f.measure()
				f.close()
			})
		}
		perLink := 2 / float64(benchCarriers*(benchCarriers-1)) / measureTime.Seconds()
		bytesPerLink = float64(bytes+(packets+reports)*packetHeaderSize) * perLink
		b.ReportMetric(float64(bytes)/float64(reports), "tls-bytes/report")
		b.ReportMetric(float64(packets)/float64(reports), "packets/report")
		b.ReportMetric(float64(reports)*perLink/2, "reports/s/way")
		b.ReportMetric(bytesPerLink, "bytes/s/link")
	})
	return bytesPerLink
}

// measureDetection returns the time from the start of the fault until each daemon
// stops using the faulty target. Daemons that do not stop within measureTime are left
// out.
func (f *benchFleet) measureDetection(seed uint64, s targetFault) (took []time.Duration) {
	stop := f.startTraffic(seed)
	f.fault.Store(&s)
	began, seen := time.Now(), map[*Daemon]bool{}
	for time.Since(began) < measureTime && len(seen) < benchCarriers {
		time.Sleep(assessInterval / 5)
		for _, d := range f.daemons {
			if state, _, _ := d.TargetState(faultyTarget); !seen[d] && (state == "avoided" || state == "ejected") {
				seen[d] = true
				took = append(took, time.Since(began))
			}
		}
	}
	stop()
	f.generators.Wait()
	return took
}

// BenchmarkDetection reports the time from the start of a fault until a carrier
// stops using the target, over ten seeds and six carriers.
func BenchmarkDetection(b *testing.B) {
	for name, s := range map[string]targetFault{"failing": {1, 1}, "half-failing": {0.5, 1}, "slow": {0, 8}} {
		b.Run(name, func(b *testing.B) {
			var all []time.Duration
			for b.Loop() {
				for seed := range uint64(10) {
					runInBubble(b, func() {
						f := &benchFleet{}
						f.start()
						time.Sleep(5 * time.Second)
						all = append(all, f.measureDetection(seed, s)...)
						f.close()
					})
				}
			}
			slices.Sort(all)
			for _, q := range []int{50, 90, 100} {
				b.ReportMetric(all[(len(all)-1)*q/100].Seconds(), fmt.Sprintf("p%d-s", q))
			}
			b.ReportMetric(float64(len(all))/float64(b.N*10*benchCarriers), "detected")
		})
	}
}
