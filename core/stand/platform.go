package stand

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// PlatformFaults orders how the platform misbehaves; the zero value is a healthy platform.
type PlatformFaults struct {
	// TableDown, ObjectsDown and VMsDown refuse every request to one part, without effect.
	TableDown   bool `json:"table-down,omitempty"`
	ObjectsDown bool `json:"objects-down,omitempty"`
	VMsDown     bool `json:"vms-down,omitempty"`
	// Delay is added to each request, half before its effect and half after it.
	Delay time.Duration `json:"delay-ns,omitempty"`
	// RefuseWrites refuses writes to the table and the object store, without effect.
	RefuseWrites bool `json:"refuse-writes,omitempty"`
	// LoseReplies is the number of next writes that take effect while their reply is lost.
	LoseReplies int `json:"lose-replies,omitempty"`
	// DownAfterLoss turns the table down after the last of LoseReplies, so that
	// the outcome of that write cannot be read back either.
	DownAfterLoss bool `json:"down-after-loss,omitempty"`
	// LoseReplyRate is the probability that the reply of a write is lost after its effect.
	LoseReplyRate float64 `json:"lose-reply-rate,omitempty"`
	// LoseRequests is the number of next writes that are lost before their effect.
	LoseRequests int `json:"lose-requests,omitempty"`
	// LoseRequestRate is the probability that a write is lost before its effect.
	LoseRequestRate float64 `json:"lose-request-rate,omitempty"`
	// LateBy delays the effect of a table write whose reply is lost, so that
	// the write takes effect after a reader has seen it missing.
	LateBy time.Duration `json:"late-by-ns,omitempty"`
	// OneWay lets requests arrive and take effect while no reply returns.
	OneWay bool `json:"one-way,omitempty"`
	// VMLag is the age that a change of the VM list has before it is listed.
	VMLag time.Duration `json:"vm-lag-ns,omitempty"`
}

// PlatformCounts holds the numbers of requests that reached the platform,
// whether or not they were answered.
type PlatformCounts struct {
	TableReads, TableWrites   int64
	ObjectReads, ObjectWrites int64
	VMReads, VMWrites         int64
}

// Platform is a stand-in for the table service, the object store and the VM
// list, in memory. It serves HTTP by the protocol in docs/platform.md.
type Platform struct {
	router *mux.Router
	faults atomic.Pointer[PlatformFaults]

	tableReads, tableWrites   atomic.Int64
	objectReads, objectWrites atomic.Int64
	vmReads, vmWrites         atomic.Int64

	mu           sync.Mutex
	rng          *rand.Rand
	loseReplies  int
	loseRequests int
	version      uint64
	rows         map[string]store.Row
	keys         []string
	keysStale    bool
	objects      map[string][]byte
	vms          vmLog
}

// PlatformOption changes a stand-in platform.
type PlatformOption func(*Platform)

const (
	defaultVMLog  = 1024
	platformSeeds = 2
)

// WithSeed sets the seed of the random faults.
func WithSeed(seed uint64) PlatformOption {
	return func(p *Platform) { p.rng = rand.New(rand.NewPCG(seed, platformSeeds)) }
}

// WithVMLog sets how many changes of the VM list are kept.
func WithVMLog(n int) PlatformOption {
	return func(p *Platform) { p.vms.bound = n }
}

// NewPlatform returns a healthy, empty platform.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{
		rng:     rand.New(rand.NewPCG(1, platformSeeds)),
		rows:    map[string]store.Row{},
		objects: map[string][]byte{},
		vms:     vmLog{bound: defaultVMLog, base: map[fleet.VMID]fleet.VM{}},
	}
	p.faults.Store(&PlatformFaults{})
	for _, o := range opts {
		o(p)
	}
	p.router = p.routes()
	return p
}

// NewTable returns the table of a healthy, empty platform, for tests that need nothing else.
func NewTable() store.Table {
	return NewPlatform().Table()
}

// Misbehave replaces the platform's faults.
func (p *Platform) Misbehave(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseReplies, p.loseRequests = f.LoseReplies, f.LoseRequests
	p.faults.Store(&f)
}

// Counts returns the numbers of requests since the start.
func (p *Platform) Counts() PlatformCounts {
	return PlatformCounts{
		TableReads: p.tableReads.Load(), TableWrites: p.tableWrites.Load(),
		ObjectReads: p.objectReads.Load(), ObjectWrites: p.objectWrites.Load(),
		VMReads: p.vmReads.Load(), VMWrites: p.vmWrites.Load(),
	}
}

// ServeHTTP serves the platform's protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

var (
	errDown = fault.New(fault.StoreUnavailable, "the platform is down")
	// errNoReply is returned by reads whose reply is lost; over HTTP the connection is cut instead.
	errNoReply = fault.New(fault.StoreUnavailable, "no reply from the platform")
	errLost    = fault.New(fault.StoreAmbiguous, "no reply from the platform")
)

// read carries out one read with the faults in force.
func (p *Platform) read(ctx context.Context, down bool, effect func() error) error {
	f := p.faults.Load()
	if down {
		return errDown
	}
	if f.OneWay {
		hold(ctx)
		return errNoReply
	}
	if !pause(ctx, f.Delay) {
		return errNoReply
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return effect()
}

// write carries out one write with the faults in force. A caller that gives up
// during the delay doesn't stop the write, since its request has arrived.
func (p *Platform) write(ctx context.Context, down bool, effect func() error) error {
	f := p.faults.Load()
	if down || f.RefuseWrites {
		return errDown
	}
	waited := pause(ctx, f.Delay/2)
	requestLost, replyLost := p.drawLoss(f)
	if requestLost {
		return errLost
	}
	if replyLost && f.LateBy > 0 {
		time.AfterFunc(f.LateBy, func() { _ = p.locked(effect) })
		return errLost
	}
	err := p.locked(effect)
	if f.OneWay {
		hold(ctx)
	}
	if f.OneWay || replyLost || !waited || !pause(ctx, f.Delay/2) {
		return errLost
	}
	return err
}

func (p *Platform) locked(effect func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return effect()
}

func (p *Platform) drawLoss(f *PlatformFaults) (request, reply bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loseRequests > 0 {
		p.loseRequests--
		return true, false
	}
	if p.loseReplies > 0 {
		p.loseReplies--
		if p.loseReplies == 0 && f.DownAfterLoss {
			down := *f
			down.TableDown = true
			p.faults.Store(&down)
		}
		return false, true
	}
	request = f.LoseRequestRate > 0 && p.rng.Float64() < f.LoseRequestRate
	reply = f.LoseReplyRate > 0 && p.rng.Float64() < f.LoseReplyRate
	return request, reply
}

// hold waits until the caller gives up; a caller that never gives up isn't held.
func hold(ctx context.Context) {
	if ctx.Done() != nil {
		<-ctx.Done()
	}
}

// Objects returns the platform's object store.
func (p *Platform) Objects() store.Objects {
	return store.Objects{Get: p.getObject, Put: p.putObject}
}

func (p *Platform) getObject(ctx context.Context, name string) (data []byte, err error) {
	p.objectReads.Add(1)
	err = p.read(ctx, p.faults.Load().ObjectsDown, func() error {
		d, ok := p.objects[name]
		if !ok {
			return fault.New(fault.NotFound, "object %q", name)
		}
		data = slices.Clone(d)
		return nil
	})
	return data, err
}

func (p *Platform) putObject(ctx context.Context, name string, data []byte) error {
	p.objectWrites.Add(1)
	return p.write(ctx, p.faults.Load().ObjectsDown, func() error {
		p.objects[name] = slices.Clone(data)
		return nil
	})
}

// ObjectNames returns the names of the stored objects, in order.
func (p *Platform) ObjectNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.objects))
}
