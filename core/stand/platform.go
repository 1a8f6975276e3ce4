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

// PlatformFaults are the faults that the platform injects. The zero value injects none.
type PlatformFaults struct {
	// TableDown, ObjectsDown and VMsDown fail every request to the table, the
	// object store or the VM list, without effect.
	TableDown   bool `json:"table-down,omitempty"`
	ObjectsDown bool `json:"objects-down,omitempty"`
	VMsDown     bool `json:"vms-down,omitempty"`
	// Delay is added to each request. A write is delayed by one half before it takes
	// effect and by the other half before its reply.
	Delay time.Duration `json:"delay-ns,omitempty"`
	// RefuseWrites fails every write, without effect.
	RefuseWrites bool `json:"refuse-writes,omitempty"`
	// LoseReplies is the number of writes, from the next one on, that take effect and
	// whose reply is lost.
	LoseReplies int `json:"lose-replies,omitempty"`
	// DownAfterLoss sets TableDown at the last write that LoseReplies counts, so that
	// the outcome of that write cannot be read back either.
	DownAfterLoss bool `json:"down-after-loss,omitempty"`
	// LoseReplyRate is the probability that a write takes effect and its reply is lost.
	LoseReplyRate float64 `json:"lose-reply-rate,omitempty"`
	// LoseRequests is the number of writes, from the next one on, that are lost before
	// they take effect.
	LoseRequests int `json:"lose-requests,omitempty"`
	// LoseRequestRate is the probability that a write is lost before it takes effect.
	LoseRequestRate float64 `json:"lose-request-rate,omitempty"`
	// LateBy delays the effect of a write whose reply is lost. The write then takes
	// effect after a reader has found that it is missing.
	LateBy time.Duration `json:"late-by-ns,omitempty"`
	// OneWay loses all replies: requests arrive and writes take effect, but the caller
	// waits for a reply until its context ends.
	OneWay bool `json:"one-way,omitempty"`
	// VMLag is the time that passes before a change of the VM list becomes visible.
	VMLag time.Duration `json:"vm-lag-ns,omitempty"`
}

// RequestCounts are the numbers of requests that reached the platform, whether or
// not they succeeded.
type RequestCounts struct {
	TableReads, TableWrites   int64
	ObjectReads, ObjectWrites int64
	VMReads, VMWrites         int64
}

// Platform is an in-memory fake of the table service, the object store and the VM
// list. It serves the HTTP protocol of docs/platform.md.
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
	rowVersion   uint64
	rows         map[string]store.Row
	sortedKeys   []string
	keysStale    bool
	objects      map[string][]byte
	vms          vmLog
}

// PlatformOption configures a Platform.
type PlatformOption func(*Platform)

const (
	defaultVMLogLength = 1024
	pcgStream          = 2
)

// WithSeed sets the seed of the random generator that LoseReplyRate and
// LoseRequestRate use.
func WithSeed(seed uint64) PlatformOption {
	return func(p *Platform) { p.rng = rand.New(rand.NewPCG(seed, pcgStream)) }
}

// WithVMLogLength sets how many changes of the VM list are kept. A caller that knows an
// older version gets the full list.
func WithVMLogLength(n int) PlatformOption {
	return func(p *Platform) { p.vms.maxLength = n }
}

// NewPlatform returns an empty platform without faults.
func NewPlatform(opts ...PlatformOption) *Platform {
	p := &Platform{
		rng:     rand.New(rand.NewPCG(1, pcgStream)),
		rows:    map[string]store.Row{},
		objects: map[string][]byte{},
		vms:     vmLog{maxLength: defaultVMLogLength, snapshot: map[fleet.VMID]fleet.VM{}},
	}
	p.faults.Store(&PlatformFaults{})
	for _, o := range opts {
		o(p)
	}
	p.router = p.routes()
	return p
}

// NewTable returns the table of a new platform, for tests that need nothing else.
func NewTable() store.Table {
	return NewPlatform().Table()
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseReplies, p.loseRequests = f.LoseReplies, f.LoseRequests
	p.faults.Store(&f)
}

// RequestCounts returns the numbers of requests since the platform was created.
func (p *Platform) RequestCounts() RequestCounts {
	return RequestCounts{
		TableReads: p.tableReads.Load(), TableWrites: p.tableWrites.Load(),
		ObjectReads: p.objectReads.Load(), ObjectWrites: p.objectWrites.Load(),
		VMReads: p.vmReads.Load(), VMWrites: p.vmWrites.Load(),
	}
}

// ServeHTTP serves the platform's HTTP protocol.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

var (
	errDown = fault.New(fault.StoreUnavailable, "the platform is down")
	// errReadReplyLost is returned by reads whose reply is lost. Over HTTP the
	// connection is closed instead.
	errReadReplyLost = fault.New(fault.StoreUnavailable, "no reply from the platform")
	// errOutcomeUnknown is returned by writes whose request or reply is lost. Over
	// HTTP the connection is closed instead.
	errOutcomeUnknown = fault.New(fault.StoreAmbiguous, "no reply from the platform")
)

// read runs a read operation and injects the current faults.
func (p *Platform) read(ctx context.Context, down bool, operation func() error) error {
	f := p.faults.Load()
	if down {
		return errDown
	}
	if f.OneWay {
		waitForCancel(ctx)
		return errReadReplyLost
	}
	if !sleep(ctx, f.Delay) {
		return errReadReplyLost
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return operation()
}

// write runs a write operation and injects the current faults. A caller that
// gives up during the delay does not stop the write, because the platform has
// already received the request.
func (p *Platform) write(ctx context.Context, down bool, operation func() error) error {
	f := p.faults.Load()
	if down || f.RefuseWrites {
		return errDown
	}
	callerWaits := sleep(ctx, f.Delay/2)
	requestLost, replyLost := p.decideLoss(f)
	if requestLost {
		return errOutcomeUnknown
	}
	if replyLost && f.LateBy > 0 {
		time.AfterFunc(f.LateBy, func() { _ = p.withLock(operation) })
		return errOutcomeUnknown
	}
	err := p.withLock(operation)
	if f.OneWay {
		waitForCancel(ctx)
	}
	if f.OneWay || replyLost || !callerWaits || !sleep(ctx, f.Delay/2) {
		return errOutcomeUnknown
	}
	return err
}

func (p *Platform) withLock(operation func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return operation()
}

// decideLoss decides whether the request or the reply of the next write is lost.
func (p *Platform) decideLoss(f *PlatformFaults) (requestLost, replyLost bool) {
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
	requestLost = f.LoseRequestRate > 0 && p.rng.Float64() < f.LoseRequestRate
	replyLost = f.LoseReplyRate > 0 && p.rng.Float64() < f.LoseReplyRate
	return requestLost, replyLost
}

// waitForCancel waits until ctx is cancelled. It returns at once if ctx cannot be
// cancelled.
func waitForCancel(ctx context.Context) {
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

// ObjectNames returns the names of the stored objects, sorted.
func (p *Platform) ObjectNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.objects))
}
