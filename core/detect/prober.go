package detect

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/head"
)

const (
	// suspectInterval is the probe interval of a suspect.
	suspectInterval = time.Second
	// assignInterval is how often the prober checks which targets are assigned
	// to it.
	assignInterval = time.Second
	// maxProbeHead bounds the size of each head, of a response or of an interim one.
	maxProbeHead = 64 << 10
	// maxProbeBody bounds how much of a response body is read. The body is read
	// so that the connection can be reused, and because a truncated one is no answer.
	maxProbeBody = 4 << 10
	// LeavingHeader is the response header by which a target announces that it
	// is leaving.
	LeavingHeader = "Wisteria-Leaving"
)

// ProbeAnswer is the outcome of one probe.
type ProbeAnswer struct {
	Result Result
	// Leaving is valid only if Answered is set: a target that does not answer
	// gives no leaving signal.
	Leaving, Answered bool
}

// ProbeReport is the outcome of one probe of one target, with its time and
// latency.
type ProbeReport struct {
	ProbeAnswer
	Target  fleet.TargetID
	Latency time.Duration
	At      time.Time
}

// Prober probes the targets that are assigned to this daemon. Each target has
// its own goroutine, so a target never gets a second probe while one is in
// flight.
type Prober struct {
	service    atomic.Pointer[fleet.Service]
	isAssigned func(fleet.TargetID) bool
	isSuspect  func(fleet.TargetID) bool
	probe      func(ctx context.Context, t fleet.Target, p fleet.Probe) ProbeAnswer
	report     func(ProbeReport)
	done       chan struct{}
}

// ProberOption configures a Prober.
type ProberOption func(*Prober)

// WithAssigned sets the function that reports whether this daemon probes a
// target; by default it probes none.
func WithAssigned(f func(fleet.TargetID) bool) ProberOption {
	return func(p *Prober) { p.isAssigned = f }
}

// WithSuspect sets the function that reports whether a target is probed each
// second, such as a suspect or a target in trial.
func WithSuspect(f func(fleet.TargetID) bool) ProberOption {
	return func(p *Prober) { p.isSuspect = f }
}

// WithReport sets the function that receives each result, such as the one that
// NewReportFunc returns.
func WithReport(f func(ProbeReport)) ProberOption {
	return func(p *Prober) { p.report = f }
}

// NewProber returns a prober that sends probes with the given function, such as
// one that HTTPProbe returns.
func NewProber(svc *fleet.Service, probe func(context.Context, fleet.Target, fleet.Probe) ProbeAnswer, opts ...ProberOption) *Prober {
	p := &Prober{
		isAssigned: func(fleet.TargetID) bool { return false },
		isSuspect:  func(fleet.TargetID) bool { return false },
		probe:      probe,
		report:     func(ProbeReport) {},
		done:       make(chan struct{}),
	}
	for _, o := range opts {
		o(p)
	}
	p.service.Store(svc)
	return p
}

// NewReportFunc returns a report function that passes results to the recorder, the
// leaving tracker and the trials; ejector may be nil.
func NewReportFunc(rec *Recorder, leaving *LeavingTracker, ejector *Ejector) func(ProbeReport) {
	return func(r ProbeReport) {
		if r.Answered {
			leaving.RecordProbe(r.Target, r.Leaving, r.At)
		}
		if r.Leaving || leaving.IsLeaving(r.Target) {
			return
		}
		rec.RecordProbe(r.Target, r.Result, r.Latency)
		if ejector != nil {
			ejector.RecordTrialProbe(r.Target, r.Result)
		}
	}
}

// Update replaces the settings.
func (p *Prober) Update(svc *fleet.Service) {
	p.service.Store(svc)
}

// Start starts probing, which lasts until ctx ends.
func (p *Prober) Start(ctx context.Context) {
	go p.run(ctx)
}

// Wait returns once all probes have ended.
func (p *Prober) Wait() {
	<-p.done
}

// probeLoop is the handle of the goroutine that probes one target.
type probeLoop struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (l probeLoop) isDone() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// run keeps one probe loop for each assigned target. A target that is
// unassigned and assigned again gets a new loop only after the old one has
// ended.
func (p *Prober) run(ctx context.Context) {
	defer close(p.done)
	loops := map[fleet.TargetID]probeLoop{}
	defer p.stopLoops(loops)
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	for {
		p.syncLoops(ctx, loops)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncLoops cancels the loops of targets that are no longer assigned and starts
// those that are missing.
func (p *Prober) syncLoops(ctx context.Context, loops map[fleet.TargetID]probeLoop) {
	svc := p.service.Load()
	for id, l := range loops {
		if !p.isAssigned(id) || !hasTarget(svc, id) {
			l.cancel()
		}
		if l.isDone() {
			delete(loops, id)
		}
	}
	for i := range svc.Targets {
		id := svc.Targets[i].ID
		if _, ok := loops[id]; ok || !p.isAssigned(id) {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		l := probeLoop{cancel: cancel, done: make(chan struct{})}
		loops[id] = l
		go p.loop(loopCtx, id, l.done)
	}
}

// stopLoops cancels all loops and waits for them.
func (p *Prober) stopLoops(loops map[fleet.TargetID]probeLoop) {
	for _, l := range loops {
		l.cancel()
	}
	for _, l := range loops {
		<-l.done
	}
}

// loop probes one target. The first probe is sent after a random part of the
// interval, so that daemons that start together do not probe at the same times.
func (p *Prober) loop(ctx context.Context, id fleet.TargetID, done chan struct{}) {
	defer close(done)
	last := time.Now().Add(-fullJitter(p.service.Load().Policy.Probe.Interval))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if t, policy, ok := p.findTarget(id); ok && p.isDue(id, policy, last) {
			last = time.Now()
			p.probeOnce(ctx, t, policy)
		}
		timer.Reset(jitter(suspectInterval))
	}
}

func (p *Prober) findTarget(id fleet.TargetID) (fleet.Target, fleet.Probe, bool) {
	svc := p.service.Load()
	for i := range svc.Targets {
		if svc.Targets[i].ID == id {
			return svc.Targets[i], svc.Policy.Probe, true
		}
	}
	return fleet.Target{}, fleet.Probe{}, false
}

func (p *Prober) isDue(id fleet.TargetID, policy fleet.Probe, last time.Time) bool {
	return p.isSuspect(id) || time.Since(last) >= jitter(policy.Interval)
}

func (p *Prober) probeOnce(ctx context.Context, t fleet.Target, policy fleet.Probe) {
	probeCtx, cancel := context.WithTimeout(ctx, policy.Timeout)
	defer cancel()
	start := time.Now()
	answer := p.probe(probeCtx, t, policy)
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	p.report(ProbeReport{ProbeAnswer: answer, Target: t.ID, Latency: now.Sub(start), At: now})
}

// NewProbeClient returns a client for HTTPProbe that opens connections with dial.
func NewProbeClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: head.NewTransport(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxProbeHead,
	})}
}

// HTTPProbe returns a probe that requests the probe path over HTTP. A 2xx
// status is OK, 429 is Shed, and anything else is a failure; the header
// Wisteria-Leaving states that the target is leaving, whatever the status. A
// response whose body ends too early is no answer.
// Redirects are not followed, since they would probe something else.
func HTTPProbe(client *http.Client) func(context.Context, fleet.Target, fleet.Probe) ProbeAnswer {
	direct := *client
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return func(ctx context.Context, t fleet.Target, p fleet.Probe) ProbeAnswer {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+p.Path, nil)
		if err != nil {
			return ProbeAnswer{Result: Failed}
		}
		resp, err := direct.Do(req)
		if err != nil {
			return ProbeAnswer{Result: transportErrorResult(ctx)}
		}
		defer resp.Body.Close()
		if _, err := io.CopyN(io.Discard, resp.Body, maxProbeBody); err != nil && !errors.Is(err, io.EOF) {
			return ProbeAnswer{Result: transportErrorResult(ctx)}
		}
		a := ProbeAnswer{Result: Failed, Answered: true, Leaving: resp.Header.Get(LeavingHeader) == "true"}
		switch {
		case resp.StatusCode/100 == 2:
			a.Result = OK
		case resp.StatusCode == http.StatusTooManyRequests:
			a.Result = Shed
		}
		return a
	}
}

func transportErrorResult(ctx context.Context) Result {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Unreachable
}
