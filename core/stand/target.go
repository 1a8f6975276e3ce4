package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers that a Target reads or sends.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderShed           = "X-Shed"
	HeaderLeaving        = "Wisteria-Leaving"
	HeaderLoad           = "X-Load"
)

// TargetFaults are the faults that a target injects. The zero value injects none.
type TargetFaults struct {
	// Delay is added to each work request.
	Delay time.Duration `json:"delay-ns,omitempty"`
	// FailWork answers work requests with status 500 without executing the work, while
	// probes succeed.
	FailWork bool `json:"fail-work,omitempty"`
	// FailAfterRun executes the work and then answers with status 500.
	FailAfterRun bool `json:"fail-after-run,omitempty"`
	// FailProbe answers probes with status 503.
	FailProbe bool `json:"fail-probe,omitempty"`
	// CutShort closes the connection in the middle of the response body.
	CutShort bool `json:"cut-short,omitempty"`
	// CutBefore closes the connection before the work is executed.
	CutBefore bool `json:"cut-before,omitempty"`
	// CutAfter closes the connection after the work is executed and before a response
	// is sent.
	CutAfter bool `json:"cut-after,omitempty"`
	// BodyFailure answers work requests with status 200 and an error in the body.
	BodyFailure bool `json:"body-failure,omitempty"`
	// ShedAll rejects all work requests before the work starts.
	ShedAll bool `json:"shed-all,omitempty"`
	// Load, if set, is reported instead of the real load.
	Load *float64 `json:"load,omitempty"`
	// Leaving announces in each response that the target is leaving the service.
	Leaving bool `json:"leaving,omitempty"`
	// Hang leaves work requests without a response until the caller gives up.
	Hang bool `json:"hang,omitempty"`
	// FlapEvery turns all other faults except Leaving off and on again in turn, each
	// time for this period.
	FlapEvery time.Duration `json:"flap-every-ns,omitempty"`
}

// Execution records that the work of an order was executed.
type Execution struct {
	Key       string
	RequestID string
	At        time.Time
}

// Target is a fake target of a service. It works on a limited number of requests at
// once (slots), queues a limited number and sheds the others.
type Target struct {
	id             string
	workDuration   time.Duration
	probeDuration  time.Duration
	coldStartEnd   time.Time
	coldStartDelay time.Duration
	maxQueueLength int64
	slots          chan struct{}
	waiting        atomic.Int64
	served         atomic.Int64
	faults         atomic.Pointer[TargetFaults]
	started        time.Time

	mu         sync.Mutex
	executions []Execution
}

// TargetOption configures a Target.
type TargetOption func(*Target)

const (
	defaultWorkDuration  = 2 * time.Millisecond
	defaultProbeDuration = 25 * time.Millisecond
	defaultSlots         = 2
	defaultQueueLength   = 16
)

// WithSlots sets how many requests the target works on at once.
func WithSlots(n int) TargetOption {
	return func(t *Target) { t.slots = make(chan struct{}, n) }
}

// WithWorkDuration sets how long the work of a request takes.
func WithWorkDuration(d time.Duration) TargetOption {
	return func(t *Target) { t.workDuration = d }
}

// WithQueueLength sets how many requests may wait for a slot. The target sheds
// further work requests and fails further probes.
func WithQueueLength(n int) TargetOption {
	return func(t *Target) { t.maxQueueLength = int64(n) }
}

// WithColdStart adds a delay to each work request during the given period after the
// target was created.
func WithColdStart(period, delay time.Duration) TargetOption {
	return func(t *Target) {
		t.coldStartEnd = t.started.Add(period)
		t.coldStartDelay = delay
	}
}

// NewTarget returns a target without faults, with 2 slots unless an option changes that.
func NewTarget(id string, opts ...TargetOption) *Target {
	t := &Target{
		id:             id,
		workDuration:   defaultWorkDuration,
		probeDuration:  defaultProbeDuration,
		maxQueueLength: defaultQueueLength,
		slots:          make(chan struct{}, defaultSlots),
		started:        time.Now(),
	}
	t.faults.Store(&TargetFaults{})
	for _, o := range opts {
		o(t)
	}
	return t
}

// SetFaults replaces the target's faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.faults.Store(&f)
}

// Served returns the number of work requests that got a slot, including those that
// then failed because of a fault.
func (t *Target) Served() int64 {
	return t.served.Load()
}

// Executions returns the executed orders in the sequence of their execution.
func (t *Target) Executions() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution(nil), t.executions...)
}

// activeFaults returns the faults that apply now. With FlapEvery they are turned off
// in every second period.
func (t *Target) activeFaults() TargetFaults {
	f := *t.faults.Load()
	if f.FlapEvery > 0 && int64(time.Since(t.started)/f.FlapEvery)%2 == 1 {
		return TargetFaults{Leaving: f.Leaving}
	}
	return f
}

// ServeHTTP serves health probes on /health, the load on /load and work requests on
// all other paths.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := t.activeFaults()
	w.Header().Set(HeaderLoad, strconv.FormatFloat(t.load(f), 'f', 2, 64))
	if f.Leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	switch r.URL.Path {
	case "/health":
		t.serveProbe(w, r, f)
	case "/load":
		fmt.Fprintf(w, "{\"load\":%.2f}\n", t.load(f))
	default:
		t.serveWork(w, r, f)
	}
}

// load returns the share of slots in use, or the load that the faults set.
func (t *Target) load(f TargetFaults) float64 {
	if f.Load != nil {
		return *f.Load
	}
	return float64(len(t.slots)) / float64(cap(t.slots))
}

func (t *Target) serveProbe(w http.ResponseWriter, r *http.Request, f TargetFaults) {
	if f.FailProbe {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	if !t.acquireSlot(r.Context()) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer t.releaseSlot()
	sleep(r.Context(), t.probeDuration)
	fmt.Fprintln(w, `{"status":"ok"}`)
}

func (t *Target) serveWork(w http.ResponseWriter, r *http.Request, f TargetFaults) {
	if f.ShedAll || !t.acquireSlot(r.Context()) {
		w.Header().Set(HeaderShed, "true")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer t.releaseSlot()
	t.served.Add(1)
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if f.CutBefore {
		panic(http.ErrAbortHandler)
	}
	if f.FailWork {
		http.Error(w, "failed before start", http.StatusInternalServerError)
		return
	}
	delay := t.workDuration + f.Delay
	if time.Now().Before(t.coldStartEnd) {
		delay += t.coldStartDelay
	}
	if !sleep(r.Context(), delay) {
		return
	}
	t.recordExecution(r)
	t.respond(w, r, f)
}

// recordExecution records POST requests, which are orders.
func (t *Target) recordExecution(r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	execution := Execution{Key: r.Header.Get(HeaderIdempotencyKey), RequestID: r.Header.Get(HeaderRequestID), At: time.Now()}
	t.mu.Lock()
	t.executions = append(t.executions, execution)
	t.mu.Unlock()
}

// WorkResponse is the body of a successful response to a work request.
type WorkResponse struct {
	Target    string `json:"target"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request-id"`
	Key       string `json:"key,omitempty"`
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, f TargetFaults) {
	switch {
	case f.CutAfter:
		panic(http.ErrAbortHandler)
	case f.FailAfterRun:
		http.Error(w, "failed after the work", http.StatusInternalServerError)
		return
	}
	a := WorkResponse{Target: t.id, Method: r.Method, Path: r.URL.Path, RequestID: r.Header.Get(HeaderRequestID), Key: r.Header.Get(HeaderIdempotencyKey)}
	body, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if f.BodyFailure {
		body = []byte(`{"error":"internal-error","message":"the work could not be finished"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.CutShort {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// acquireSlot waits in the queue for a slot. It returns false if the queue is full or
// ctx ends first.
func (t *Target) acquireSlot(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	if t.waiting.Add(1) > t.maxQueueLength {
		t.waiting.Add(-1)
		return false
	}
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) releaseSlot() {
	<-t.slots
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
