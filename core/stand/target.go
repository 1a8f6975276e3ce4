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

// Headers that the stand-in targets understand or send.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderID      = "X-Request-Id"
	HeaderShed    = "X-Shed"
	HeaderLeaving = "Wisteria-Leaving"
	HeaderLoad    = "X-Load"
)

// Faults orders how a target misbehaves; the zero value is a healthy target.
type Faults struct {
	// Delay is added to each request for work.
	Delay time.Duration `json:"delay-ns,omitempty"`
	// FailWork answers work with status 500, while probes stay good.
	FailWork bool `json:"fail-work,omitempty"`
	// FailAfterRun runs the work and then answers with status 500.
	FailAfterRun bool `json:"fail-after-run,omitempty"`
	// FailProbe answers probes with status 503.
	FailProbe bool `json:"fail-probe,omitempty"`
	// CutShort ends the connection in the middle of the answer's body.
	CutShort bool `json:"cut-short,omitempty"`
	// CutBefore ends the connection before the work is run.
	CutBefore bool `json:"cut-before,omitempty"`
	// CutAfter ends the connection after the work is run and before any answer.
	CutAfter bool `json:"cut-after,omitempty"`
	// BodyFailure answers work with status 200 and a failure in the body.
	BodyFailure bool `json:"body-failure,omitempty"`
	// ShedAll refuses all work before it starts.
	ShedAll bool `json:"shed-all,omitempty"`
	// Load replaces the reported load if it is set, so that the report lies.
	Load *float64 `json:"load,omitempty"`
	// Leaving announces that the target drains.
	Leaving bool `json:"leaving,omitempty"`
	// Hang holds work until the caller gives up.
	Hang bool `json:"hang,omitempty"`
	// FlapEvery alternates between the faults above and good health.
	FlapEvery time.Duration `json:"flap-every-ns,omitempty"`
}

// Run is one execution of an order.
type Run struct {
	Key       string
	RequestID string
	At        time.Time
}

// Target is a stand-in for one target of a service.
type Target struct {
	id        string
	work      time.Duration
	probeCost time.Duration
	coldUntil time.Time
	coldDelay time.Duration
	queueMax  int64
	slots     chan struct{}
	waiting   atomic.Int64
	served    atomic.Int64
	faults    atomic.Pointer[Faults]
	started   time.Time

	mu   sync.Mutex
	runs []Run
}

// TargetOption changes a stand-in target.
type TargetOption func(*Target)

const (
	defaultWork      = 2 * time.Millisecond
	defaultProbeCost = 25 * time.Millisecond
	defaultSlots     = 2
	defaultQueueMax  = 16
)

// WithSlots sets how many requests the target works on at once.
func WithSlots(n int) TargetOption {
	return func(t *Target) { t.slots = make(chan struct{}, n) }
}

// WithWork sets how long one request takes.
func WithWork(d time.Duration) TargetOption {
	return func(t *Target) { t.work = d }
}

// WithQueue sets how many requests wait for a slot before the target sheds.
func WithQueue(n int) TargetOption {
	return func(t *Target) { t.queueMax = int64(n) }
}

// WithColdStart adds delay to each request for the given time after the start.
func WithColdStart(period, delay time.Duration) TargetOption {
	return func(t *Target) {
		t.coldUntil = t.started.Add(period)
		t.coldDelay = delay
	}
}

// NewTarget returns a healthy target with 2 slots.
func NewTarget(id string, opts ...TargetOption) *Target {
	t := &Target{
		id:        id,
		work:      defaultWork,
		probeCost: defaultProbeCost,
		queueMax:  defaultQueueMax,
		slots:     make(chan struct{}, defaultSlots),
		started:   time.Now(),
	}
	t.faults.Store(&Faults{})
	for _, o := range opts {
		o(t)
	}
	return t
}

// Misbehave replaces the target's faults.
func (t *Target) Misbehave(f Faults) {
	t.faults.Store(&f)
}

// Served returns the number of requests for work that the target answered or ran.
func (t *Target) Served() int64 {
	return t.served.Load()
}

// Runs returns the orders that the target executed, in order.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

func (t *Target) current() Faults {
	f := *t.faults.Load()
	if f.FlapEvery > 0 && int64(time.Since(t.started)/f.FlapEvery)%2 == 1 {
		return Faults{Leaving: f.Leaving}
	}
	return f
}

// ServeHTTP answers probes on /health, load on /load and work on any other path.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := t.current()
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

func (t *Target) load(f Faults) float64 {
	if f.Load != nil {
		return *f.Load
	}
	return float64(len(t.slots)) / float64(cap(t.slots))
}

func (t *Target) serveProbe(w http.ResponseWriter, r *http.Request, f Faults) {
	if f.FailProbe {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	if !t.acquire(r.Context()) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer t.release()
	pause(r.Context(), t.probeCost)
	fmt.Fprintln(w, `{"status":"ok"}`)
}

func (t *Target) serveWork(w http.ResponseWriter, r *http.Request, f Faults) {
	if f.ShedAll || !t.acquire(r.Context()) {
		w.Header().Set(HeaderShed, "true")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer t.release()
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
	delay := t.work + f.Delay
	if time.Now().Before(t.coldUntil) {
		delay += t.coldDelay
	}
	if !pause(r.Context(), delay) {
		return
	}
	t.execute(r)
	t.answer(w, r, f)
}

func (t *Target) execute(r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	run := Run{Key: r.Header.Get(HeaderKey), RequestID: r.Header.Get(HeaderID), At: time.Now()}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
}

// WorkAnswer is the body of a target's good answer.
type WorkAnswer struct {
	Target    string `json:"target"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request-id"`
	Key       string `json:"key,omitempty"`
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, f Faults) {
	switch {
	case f.CutAfter:
		panic(http.ErrAbortHandler)
	case f.FailAfterRun:
		http.Error(w, "failed after the work", http.StatusInternalServerError)
		return
	}
	a := WorkAnswer{Target: t.id, Method: r.Method, Path: r.URL.Path, RequestID: r.Header.Get(HeaderID), Key: r.Header.Get(HeaderKey)}
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

func (t *Target) acquire(ctx context.Context) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	if t.waiting.Add(1) > t.queueMax {
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

func (t *Target) release() {
	<-t.slots
}

// pause waits for d and returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
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
