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

// The planned scale of section 1 of the design page, for one service.
const (
	planCarriers = 6
	planTargets  = 27
	planRate     = 1.14 // requests per second of one carrier to one target
	planLinks    = 15.65
	planWork     = 40 * time.Millisecond
	// packetHeaders is the size of the TCP/IP headers of a packet with timestamps.
	packetHeaders = 52
	trafficSpan   = time.Minute
	firstTarget   = "disponible-000"
)

// wire counts the bytes and packets of the inner protocol: a message that fits
// into a packet is one write, and each reply is acknowledged by a packet of its own.
type wire struct{ bytes, packets atomic.Int64 }

type wireConn struct {
	net.Conn
	wire *wire
}

func (c wireConn) count(n int, err error) (int, error) {
	if n > 0 {
		c.wire.bytes.Add(int64(n))
		c.wire.packets.Add(1)
	}
	return n, err
}

func (c wireConn) Write(b []byte) (int, error) { return c.count(c.Conn.Write(b)) }
func (c wireConn) Read(b []byte) (int, error)  { return c.count(c.Conn.Read(b)) }

// planFleet is the six carriers of one service of the planned size.
type planFleet struct {
	net      *memNet
	wire     wire
	platform *stand.Platform
	daemons  []*Daemon
	servers  []*http.Server
	traffic  sync.WaitGroup
	// sick changes what the first target of the service does.
	sick atomic.Pointer[sickness]
}

func (f *planFleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := f.net.dialFrom("10.0.0.9")(ctx, network, address)
	if err == nil && strings.HasSuffix(address, ":7100") {
		c = wireConn{c, &f.wire}
	}
	return c, err
}

func healthy(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (f *planFleet) start() {
	f.net, f.platform = newMemNet(), stand.NewPlatform()
	const service = "/workspace/cortavientos/service/disponible-reservas"
	var entries []tree.TargetEntry
	for i := range planTargets {
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
	must(err)
	_, _, err = settle.NewChangelog(f.platform.Table()).Bootstrap(context.Background(), doc, "marta")
	must(err)
	authority, err := inner.NewAuthority()
	must(err)
	for i := range planCarriers {
		f.startDaemon(authority, i+1)
	}
}

func (f *planFleet) startDaemon(authority *inner.Authority, n int) {
	s := config.Defaults()
	s.VM, s.Region, s.DataCentre = fleet.VMID(fmt.Sprintf("mdp-entry-%03d", n)), "ar-costa", "mdp"
	s.CallerAddress, s.InnerAddress, s.AdminAddress = fmt.Sprintf("10.0.0.%d:7000", n), fmt.Sprintf("10.0.0.%d:7100", n), fmt.Sprintf("10.0.0.%d:7200", n)
	s.FleetSecrets = []config.Secret{config.Secret("0123456789abcdef")}
	must(f.platform.PutVM(context.Background(), s.Self()))
	id, err := authority.Issue(s.VM)
	must(err)
	d, err := New(s, WithIdentity(id), WithListen(f.net.listen), WithDial(f.dial),
		WithPlatform(Platform{Table: f.platform.Table(), Objects: f.platform.Objects(), VMs: f.platform.VMList()}))
	must(err)
	must(d.Start(context.Background()))
	f.daemons = append(f.daemons, d)
}

// planCaller is the traffic of one carrier: good requests, spread evenly.
type planCaller struct {
	fleet   *planFleet
	carried *carriedService
	rng     *rand.Rand
}

func (c *planCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(time.Second) / (planRate * planTargets)))
		target := c.carried.service.Load().Targets[c.rng.IntN(planTargets)].ID
		took := time.Duration(float64(planWork) * math.Exp(c.rng.NormFloat64()/4))
		c.fleet.traffic.Go(func() { c.request(target, took) })
	}
}

// sickness is how often a target fails and how much slower it is.
type sickness struct{ failing, slower float64 }

func (c *planCaller) request(target fleet.TargetID, took time.Duration) {
	result, sick := detect.OK, c.fleet.sick.Load()
	if sick != nil && target == firstTarget {
		took = time.Duration(float64(took) * sick.slower)
		if rand.Float64() < sick.failing {
			result = detect.Failed
		}
	}
	grant, err := c.carried.carrier.Gate().Acquire(context.Background(), limit.Ask{Kind: fleet.Lookup, Idempotent: true})
	must(err)
	time.Sleep(took)
	grant.Release(limit.Served)
	c.carried.carrier.Recorder().Record(target, result, took)
}

func (f *planFleet) reports() (n int64) {
	for _, d := range f.daemons {
		n += int64(d.components.Members.Counters().Sent)
	}
	return n
}

// load starts the traffic and lets the fleet settle.
func (f *planFleet) load(seed uint64) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	for i, d := range f.daemons {
		for _, cs := range *d.components.Controller.carried.Load() {
			c := &planCaller{f, cs, rand.New(rand.NewPCG(seed, uint64(i)))}
			f.traffic.Go(func() { c.run(ctx) })
		}
	}
	time.Sleep(20 * time.Second)
	return stop
}

// measure returns the reports, bytes and packets of the span.
func (f *planFleet) measure() (reports, bytes, packets int64) {
	stop := f.load(1)
	reports, bytes, packets = -f.reports(), -f.wire.bytes.Load(), -f.wire.packets.Load()
	time.Sleep(trafficSpan)
	reports, bytes, packets = reports+f.reports(), bytes+f.wire.bytes.Load(), packets+f.wire.packets.Load()
	stop()
	f.traffic.Wait()
	return reports, bytes, packets
}

func (f *planFleet) close() {
	for _, d := range f.daemons {
		d.Kill()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	synctest.Wait()
}

// virtual runs f on the paused clock.
func virtual(b *testing.B, f func()) {
	b.Helper()
	all := func(string, string) (bool, error) { return true, nil }
	bubble := func(t *testing.T) { synctest.Test(t, func(*testing.T) { f() }) }
	if !testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: bubble}}) {
		b.Fatal("the bubble failed")
	}
}

// BenchmarkTraffic reports what the inner protocol takes on the wire between six
// real daemons with ordinary traffic, and while a target is suspect all the time
// because the table is away; and for a daemon with the planned number of links,
// of which the five of one service are suspect.
func BenchmarkTraffic(b *testing.B) {
	ordinary := traffic(b, "ordinary", nil)
	suspect := traffic(b, "suspect", &sickness{0.5, 1})
	b.Run("daemon", func(b *testing.B) {
		b.ReportMetric(ordinary*planLinks, "bytes/s/ordinary")
		b.ReportMetric(ordinary*(planLinks-planCarriers+1)+suspect*(planCarriers-1), "bytes/s/one-suspect")
	})
}

func traffic(b *testing.B, name string, s *sickness) (onLink float64) {
	b.Run(name, func(b *testing.B) {
		var reports, bytes, packets int64
		for b.Loop() {
			virtual(b, func() {
				f := &planFleet{}
				f.start()
				time.Sleep(5 * time.Second)
				if f.sick.Store(s); s != nil {
					f.platform.Misbehave(stand.PlatformFaults{TableDown: true})
				}
				reports, bytes, packets = f.measure()
				f.close()
			})
		}
		perLink := 2 / float64(planCarriers*(planCarriers-1)) / trafficSpan.Seconds()
		onLink = float64(bytes+(packets+reports)*packetHeaders) * perLink
		b.ReportMetric(float64(bytes)/float64(reports), "tls-bytes/report")
		b.ReportMetric(float64(packets)/float64(reports), "packets/report")
		b.ReportMetric(float64(reports)*perLink/2, "reports/s/way")
		b.ReportMetric(onLink, "bytes/s/link")
	})
	return onLink
}

// detect returns the time until each daemon stops using the sick target.
func (f *planFleet) detect(seed uint64, s sickness) (took []time.Duration) {
	stop := f.load(seed)
	f.sick.Store(&s)
	began, seen := time.Now(), map[*Daemon]bool{}
	for time.Since(began) < trafficSpan && len(seen) < planCarriers {
		time.Sleep(assessInterval / 5)
		for _, d := range f.daemons {
			if state, _, _ := d.TargetState(firstTarget); !seen[d] && (state == "avoided" || state == "ejected") {
				seen[d] = true
				took = append(took, time.Since(began))
			}
		}
	}
	stop()
	f.traffic.Wait()
	return took
}

// BenchmarkDetection reports the time from the start of a fault until a carrier
// stops using the target, over ten seeds and six carriers.
func BenchmarkDetection(b *testing.B) {
	for name, s := range map[string]sickness{"failing": {1, 1}, "half-failing": {0.5, 1}, "slow": {0, 8}} {
		b.Run(name, func(b *testing.B) {
			var all []time.Duration
			for b.Loop() {
				for seed := range uint64(10) {
					virtual(b, func() {
						f := &planFleet{}
						f.start()
						time.Sleep(5 * time.Second)
						all = append(all, f.detect(seed, s)...)
						f.close()
					})
				}
			}
			slices.Sort(all)
			for _, q := range []int{50, 90, 100} {
				b.ReportMetric(all[(len(all)-1)*q/100].Seconds(), fmt.Sprintf("p%d-s", q))
			}
			b.ReportMetric(float64(len(all))/float64(b.N*10*planCarriers), "detected")
		})
	}
}
