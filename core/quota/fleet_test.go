package quota_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wisteriarelay.example/core/quota"
	"wisteriarelay.example/core/roster"
)

// policy is the bound of the deployments with quotas.
var policy = quota.Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// holdersPerDataCentre is as in core/roster.
const holdersPerDataCentre = 4

// daemon is a manager in a test fleet.
type daemon struct {
	fleet   *fleet
	member  roster.Member
	index   int
	side    int
	holder  bool
	dead    atomic.Bool
	leaving atomic.Bool
	// manager is that of the present run, which cancel ends.
	manager atomic.Pointer[quota.Manager]
	cancel  atomic.Pointer[context.CancelFunc]
	// resumed is closed when a paused daemon goes on; nil if it runs.
	resumed chan struct{}
}

// fleet is a number of daemons in data centres.
type fleet struct {
	t       testing.TB
	network network
	daemons []*daemon
	mu      sync.Mutex
	limits  map[quota.WorkspaceHash]quota.Limit
	stop    context.CancelFunc
	ctx     context.Context
}

// newFleet starts daemons that are spread evenly over data centres, and waits until shares
// are leased and buckets are full.
func newFleet(t testing.TB, size, dataCentres int, limits map[string]quota.Limit) *fleet {
	f := &fleet{t: t, limits: map[quota.WorkspaceHash]quota.Limit{}}
	f.network = network{rand: rand.New(rand.NewPCG(1, 2)), delay: time.Millisecond, cut: func(_, _ *daemon) bool { return false }}
	f.ctx, f.stop = context.WithCancel(t.Context())
	for name, l := range limits {
		f.limits[quota.HashWorkspace(name)] = l
	}
	for i := range size {
		dc := i % dataCentres
		d := &daemon{fleet: f, index: i, side: dc % 2, holder: i/dataCentres < holdersPerDataCentre}
		d.member = roster.Member{VM: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprint(dc), PeerAddress: fmt.Sprint(i)}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		d.start()
	}
	time.Sleep(3 * time.Second)
	return f
}

// close ends the goroutines of all daemons.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.resume()
	}
	f.stop()
	time.Sleep(time.Second)
}

// start starts a new run of the daemon.
func (d *daemon) start() {
	d.dead.Store(false)
	d.leaving.Store(false)
	m := quota.NewManager(d.member, policy, quota.Sources{
		Send:       d.send,
		Candidates: d.fleet.candidates,
		Holders:    d.holders,
		Limit:      d.fleet.limit,
		Active:     d.active,
		Counters:   func(string) quota.Counters { return quota.NopCounters() },
	})
	ctx, cancel := context.WithCancel(d.fleet.ctx)
	d.manager.Store(m)
	d.cancel.Store(&cancel)
	m.Start(ctx)
}

// kill ends the daemon without notice.
func (d *daemon) kill() {
	d.dead.Store(true)
	(*d.cancel.Load())()
}

// pause stops the daemon until resume.
func (d *daemon) pause() {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if d.resumed == nil {
		d.resumed = make(chan struct{})
	}
}

func (d *daemon) resume() {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	if d.resumed != nil {
		close(d.resumed)
		d.resumed = nil
	}
}

// await waits while the daemon is paused.
func (d *daemon) await() {
	d.fleet.mu.Lock()
	resumed := d.resumed
	d.fleet.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// active stops the loop of a paused daemon.
func (d *daemon) active() bool {
	d.await()
	return true
}

func (f *fleet) limit(h quota.WorkspaceHash) (quota.Limit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok := f.limits[h]
	return l, ok
}

func (f *fleet) setLimit(name string, l quota.Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits[quota.HashWorkspace(name)] = l
}

// candidates returns all holders, dead or not, in an order that differs between shards.
func (f *fleet) candidates(s quota.Shard) []roster.Member {
	var out []roster.Member
	for _, d := range f.daemons {
		if d.holder && !d.leaving.Load() {
			out = append(out, d.member)
		}
	}
	weight := func(m roster.Member) int {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, s, m.VM)
		return int(h.Sum64() >> 1)
	}
	slices.SortFunc(out, func(a, b roster.Member) int { return weight(a) - weight(b) })
	return out
}

func (d *daemon) holders() int {
	if !d.holder {
		return 0
	}
	n := 0
	for _, o := range d.fleet.daemons {
		if o.holder {
			n++
		}
	}
	return n
}

// coordinator returns the running daemon that holds the largest fraction of the shard of a
// workspace.
func (f *fleet) coordinator(workspace string) *daemon {
	var best *daemon
	largest := 0.0
	for _, d := range f.daemons {
		if d.dead.Load() {
			continue
		}
		if fraction := d.manager.Load().Fraction(quota.HashWorkspace(workspace).Shard()); fraction > largest {
			best, largest = d, fraction
		}
	}
	return best
}

// shares returns the sum of the fractions that all daemons may use now, alive or not,
// connected or not.
func (f *fleet) shares(s quota.Shard) float64 {
	sum := 0.0
	for _, d := range f.daemons {
		if !d.dead.Load() {
			sum += d.manager.Load().Fraction(s)
		}
	}
	return sum
}
