package detect

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/fleet"
)

const (
	// suspectInterval is the probe interval of a target under suspicion.
	suspectInterval = time.Second
	// assignInterval is how often the assignment of targets is looked at.
	assignInterval = time.Second
	// maxProbeBody is read so that the connection can be used again.
	maxProbeBody = 4 << 10
	// LeavingHeader is the response header by which a target says that it leaves.
	LeavingHeader = "Wisteria-Leaving"
)

// ProbeAnswer is what one probe found.
type ProbeAnswer struct {
	Result Result
	// Leaving is meant only if Answered is set: a target that does not answer
	// says nothing about its leaving.
	Leaving, Answered bool
}

// ProbeReport is the result of one probe of one target.
type ProbeReport struct {
	ProbeAnswer
	Target  fleet.TargetID
	Latency time.Duration
	At      time.Time
}

// Prober probes the targets that are assigned to this daemon, each one by one
// goroutine, so that no target gets a second probe while one is on its way.
type Prober struct {
	service  atomic.Pointer[fleet.Service]
	assigned func(fleet.TargetID) bool
	suspect  func(fleet.TargetID) bool
	probe    func(ctx context.Context, t fleet.Target, p fleet.Probe) ProbeAnswer
	report   func(ProbeReport)
	done     chan struct{}
}

// ProberOption changes a Prober.
type ProberOption func(*Prober)

// WithAssigned sets which targets this daemon probes; none by default.
func WithAssigned(f func(fleet.TargetID) bool) ProberOption {
	return func(p *Prober) { p.assigned = f }
}

// WithSuspect sets which targets are probed each second, such as those under
// suspicion and in trial.
func WithSuspect(f func(fleet.TargetID) bool) ProberOption {
	return func(p *Prober) { p.suspect = f }
}

// WithReport sets the function that takes each result; Observe makes one.
func WithReport(f func(ProbeReport)) ProberOption {
	return func(p *Prober) { p.report = f }
}

// NewProber returns a prober that asks with probe, such as one of HTTPProbe.
func NewProber(svc *fleet.Service, probe func(context.Context, fleet.Target, fleet.Probe) ProbeAnswer, opts ...ProberOption) *Prober {
	p := &Prober{
		assigned: func(fleet.TargetID) bool { return false },
		suspect:  func(fleet.TargetID) bool { return false },
		probe:    probe,
		report:   func(ProbeReport) {},
		done:     make(chan struct{}),
	}
	for _, o := range opts {
		o(p)
	}
	p.service.Store(svc)
	return p
}

// Observe returns a report function that feeds the recorder, the leaving signs
// and the trials; ejector may be nil.
func Observe(rec *Recorder, leaving *LeavingTracker, ejector *Ejector) func(ProbeReport) {
	return func(r ProbeReport) {
		if r.Answered {
			leaving.Probe(r.Target, r.Leaving, r.At)
		}
		if r.Leaving || leaving.Is(r.Target) {
			return
		}
		rec.RecordProbe(r.Target, r.Result, r.Latency)
		if ejector != nil {
			ejector.TrialProbe(r.Target, r.Result)
		}
	}
}

// Update takes over new settings.
func (p *Prober) Update(svc *fleet.Service) {
	p.service.Store(svc)
}

// Start probes until ctx ends.
func (p *Prober) Start(ctx context.Context) {
	go p.run(ctx)
}

// Wait returns once all probes have ended.
func (p *Prober) Wait() {
	<-p.done
}

// probing is one target's loop.
type probing struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func (g probing) isDone() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// run keeps one loop for each assigned target. A target that is taken away and
// comes back gets a new loop only after the old one has ended.
func (p *Prober) run(ctx context.Context) {
	defer close(p.done)
	loops := map[fleet.TargetID]probing{}
	defer p.stop(loops)
	ticker := time.NewTicker(assignInterval)
	defer ticker.Stop()
	for {
		p.assign(ctx, loops)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Prober) assign(ctx context.Context, loops map[fleet.TargetID]probing) {
	svc := p.service.Load()
	for id, g := range loops {
		if !p.assigned(id) || !lists(svc, id) {
			g.cancel()
		}
		if g.isDone() {
			delete(loops, id)
		}
	}
	for i := range svc.Targets {
		id := svc.Targets[i].ID
		if _, ok := loops[id]; ok || !p.assigned(id) {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		g := probing{cancel: cancel, done: make(chan struct{})}
		loops[id] = g
		go p.loop(loopCtx, id, g.done)
	}
}

func (p *Prober) stop(loops map[fleet.TargetID]probing) {
	for _, g := range loops {
		g.cancel()
	}
	for _, g := range loops {
		<-g.done
	}
}

// loop probes one target. The first probe comes after a random part of the
// interval, so that daemons that start together do not probe in step.
func (p *Prober) loop(ctx context.Context, id fleet.TargetID, done chan struct{}) {
	defer close(done)
	last := time.Now().Add(-jitterAll(p.service.Load().Policy.Probe.Interval))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if t, policy, ok := p.target(id); ok && p.isDue(id, policy, last) {
			last = time.Now()
			p.once(ctx, t, policy)
		}
		timer.Reset(jitter(suspectInterval))
	}
}

func (p *Prober) target(id fleet.TargetID) (fleet.Target, fleet.Probe, bool) {
	svc := p.service.Load()
	for i := range svc.Targets {
		if svc.Targets[i].ID == id {
			return svc.Targets[i], svc.Policy.Probe, true
		}
	}
	return fleet.Target{}, fleet.Probe{}, false
}

func (p *Prober) isDue(id fleet.TargetID, policy fleet.Probe, last time.Time) bool {
	return p.suspect(id) || time.Since(last) >= jitter(policy.Interval)
}

func (p *Prober) once(ctx context.Context, t fleet.Target, policy fleet.Probe) {
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

// HTTPProbe returns a probe that asks for the probe path over HTTP. A 2xx
// status is good, 429 is a shed load, and anything else is a failure; the
// header Wisteria-Leaving says that the target leaves, whatever the status.
// A redirect is not followed, since it would probe something else.
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
			return ProbeAnswer{Result: probeError(ctx)}
		}
		defer resp.Body.Close()
		_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBody)
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

func probeError(ctx context.Context) Result {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Unreachable
}
