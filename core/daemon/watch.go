package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wisteriarelay.example/core/choose"
	"wisteriarelay.example/core/detect"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/limit"
	"wisteriarelay.example/core/place"
	"wisteriarelay.example/core/proxy"
	"wisteriarelay.example/core/store"
)

// watchTick is how often evidence is judged and target states are renewed; it
// bounds how long a daemon's own evidence waits.
const watchTick = 250 * time.Millisecond

// maxPendingTicks bounds the evidence that waits for a report, in ticks; older
// evidence would be outside every detection window.
const maxPendingTicks = 48

// watch keeps one carried service: its evidence, ejection list, probes and the
// target states that the request path reads.
type watch struct {
	self    fleet.VM
	service atomic.Pointer[fleet.Service]
	carrier *proxy.Upstream
	sink    proxy.AttemptFunc
	// reportNow tells the peers of a target that starts or ceases to leave.
	reportNow func(fleet.ServiceID)
	evidence  *detect.Detector
	ejector   *detect.Ejector
	prober    *detect.Prober
	leaving   *detect.LeavingTracker
	states    atomic.Pointer[[]detect.TargetState]
	carriers  atomic.Pointer[[]fleet.VMID]
	wake      chan struct{}
	stop      context.CancelFunc
	done      chan struct{}

	mu sync.Mutex
	// pending holds the own rows that no report has carried yet.
	pending [][]detect.IntervalStats
	held    *heldRows
	// sentEjections is the version of the row that was last sent whole.
	sentEjections uint64
	peers         map[fleet.VMID]fleet.DataCentre
}

// watchParts are what a watch needs from its daemon.
type watchParts struct {
	self        fleet.VM
	incarnation fleet.Incarnation
	table       store.Table
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	// onAttempt takes the end of each attempt, for metrics and logs.
	onAttempt proxy.AttemptFunc
	// reportNow sends the service's report to the peers out of turn.
	reportNow func(fleet.ServiceID)
	probe     func(context.Context, fleet.Target, fleet.Probe) detect.ProbeAnswer
}

func newWatch(p watchParts, service *fleet.Service) *watch {
	w := &watch{
		self:     p.self,
		evidence: detect.NewDetector(service, p.self.ID),
		leaving:  detect.NewLeavingTracker(),
		held:     newHeldRows(),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	w.service.Store(service)
	w.states.Store(&[]detect.TargetState{})
	w.carriers.Store(&[]fleet.VMID{})
	w.sink = p.onAttempt
	w.reportNow = p.reportNow
	w.carrier = proxy.NewUpstream(p.self, service, proxy.WithTargetDial(p.dial), proxy.WithLeavingFunc(w.onResponse), proxy.WithAttemptFunc(w.onAttempt))
	w.ejector = detect.NewEjector(service.ID, p.incarnation, p.table,
		detect.WithRank(w.rank),
		detect.WithOnChange(func(detect.CachedRow) { w.nudge() }))
	w.prober = detect.NewProber(service, p.probe,
		detect.WithAssigned(w.isProber),
		detect.WithSuspect(w.isSuspect),
		detect.WithReport(detect.NewReportFunc(w.carrier.Recorder(), w.leaving, w.ejector)))
	return w
}

func (w *watch) start(ctx context.Context) {
	ctx, w.stop = context.WithCancel(ctx)
	w.ejector.Start(ctx)
	w.prober.Start(ctx)
	w.tick(time.Now())
	go w.run(ctx)
}

func (w *watch) close() {
	w.stop()
	<-w.done
	w.ejector.Wait()
	w.prober.Wait()
	w.carrier.Close()
}

func (w *watch) run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.wake:
		case <-w.leaving.Changed():
			w.reportNow(w.service.Load().ID)
		}
		w.tick(time.Now())
	}
}

func (w *watch) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// update takes over new settings and carriers.
func (w *watch) update(service *fleet.Service, carriers []*fleet.VM) {
	ids := make([]fleet.VMID, 0, len(carriers))
	places := make(map[fleet.VMID]fleet.DataCentre, len(carriers))
	for _, vm := range carriers {
		ids = append(ids, vm.ID)
		places[vm.ID] = vm.DataCentre
	}
	// A daemon that winds the service down is no longer among the carriers, but
	// its own evidence still serves its own requests.
	places[w.self.ID] = w.self.DataCentre
	w.carriers.Store(&ids)
	w.evidence.SetCarriers(places)
	if w.service.Swap(service) != service {
		w.evidence.Update(service, time.Now())
		w.prober.Update(service)
		w.updateHeld(service)
	}
	w.forgetPeers(places)
	w.nudge()
}

func (w *watch) updateHeld(service *fleet.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held.update(service)
}

func (w *watch) forgetPeers(carriers map[fleet.VMID]fleet.DataCentre) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for vm := range w.peers {
		if _, ok := carriers[vm]; !ok {
			w.carrier.Limiter().RemovePeer(vm)
		}
	}
	w.peers = carriers
}

// members returns the daemons that share the targets' slots.
func (w *watch) members() map[fleet.VMID]fleet.DataCentre {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peers
}

// tick judges the evidence and renews the target states.
func (w *watch) tick(now time.Time) {
	service := w.service.Load()
	rows := w.carrier.Recorder().Collect()
	w.evidence.Add(w.self.ID, w.self.DataCentre, rows, now)
	w.keepRows(rows)
	w.leaving.SetDrained(drained(service), now)
	w.leaving.Expire(now)
	signs := w.leaving.Signals()
	listing := w.ejector.Current()
	w.evidence.SetOutOfService(listing.Ejections, signs, now)
	verdicts := w.evidence.Assess(now)
	w.ejector.Submit(detect.Assessment{Service: service, Verdicts: verdicts, Signals: signs, MedianLatency: w.evidence.MedianLatency()})
	states := detect.States(service, listing.Ejections, signs, verdicts, w.evidence.StartTimes(), now)
	w.states.Store(&states)
	w.carrier.Update(service, w.gateTargets(service, states), w.members())
	w.carrier.Prune(now)
}

func drained(s *fleet.Service) []fleet.TargetID {
	var ids []fleet.TargetID
	for _, t := range s.Targets {
		if t.Drained {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

var gateStates = map[detect.State]choose.State{
	detect.Ready:     choose.Ready,
	detect.SlowStart: choose.SlowStart,
	detect.Trial:     choose.Trial,
	detect.Avoided:   choose.Avoided,
	detect.Ejected:   choose.Unavailable,
	detect.Leaving:   choose.Unavailable,
}

// trialShare is the share of idempotent requests that a target in trial gets.
const trialShare = 0.05

func (w *watch) gateTargets(service *fleet.Service, states []detect.TargetState) []limit.Target {
	unconfirmed := w.evidence.UndersampledSuspects()
	targets := make([]limit.Target, 0, len(states))
	for _, s := range states {
		t := service.Targets[s.Index]
		g := limit.Target{
			ID:             s.Target,
			Slots:          t.Slots,
			State:          gateStates[s.State],
			Weight:         s.Weight,
			SameDataCentre: t.DataCentre == w.self.DataCentre,
			DataCentre:     t.DataCentre,
		}
		if s.State == detect.Trial {
			g.Weight = trialShare
			g.TrialAllowed = w.isProber(s.Target)
		} else {
			g.NeedsEvidence = unconfirmed[s.Target] && !g.SameDataCentre
		}
		targets = append(targets, g)
	}
	return targets
}

func (w *watch) onResponse(id fleet.TargetID, leaving bool) {
	w.leaving.RecordResponse(id, leaving, time.Now())
}

// onAttempt hands the results of requests to targets in trial to the ejector.
func (w *watch) onAttempt(m proxy.AttemptReport) {
	w.ejector.RecordTrialRequest(m.Target, m.TargetResult, m.Latency)
	w.sink(m)
}

func (w *watch) isProber(id fleet.TargetID) bool {
	return w.rank(id) == 0
}

// rank is this daemon's place in the duty for a target.
func (w *watch) rank(id fleet.TargetID) int {
	return place.ProberRank(w.service.Load().ID, id, *w.carriers.Load(), w.self.ID)
}

// isSuspect reports whether the target is watched more closely: it is under
// suspicion, avoided or in trial.
func (w *watch) isSuspect(id fleet.TargetID) bool {
	if w.evidence.Suspects()[id] {
		return true
	}
	for _, s := range *w.states.Load() {
		if s.Target == id {
			return s.State == detect.Avoided || s.State == detect.Trial
		}
	}
	return false
}

// hasNews reports whether evidence about a suspect target waits for a report,
// which is then sent out of turn. Most carriers avoid a suspect target and have
// nothing to say about it; their reports in turn suffice.
func (w *watch) hasNews() bool {
	suspects := w.evidence.Suspects()
	if len(suspects) == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, rows := range w.pending {
		for i := range rows {
			if suspects[rows[i].Target] {
				return true
			}
		}
	}
	return false
}

func (w *watch) keepRows(rows []detect.IntervalStats) {
	if len(rows) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, rows)
	if len(w.pending) > maxPendingTicks {
		w.pending = w.pending[1:]
	}
}

// collect returns what the next round of reports says about the service.
func (w *watch) collect() inner.ServiceReport {
	service := w.service.Load()
	listing := w.ejector.Current()
	report := inner.ServiceReport{
		Service:         service.ID,
		Leaving:         w.leaving.LocallyObserved(time.Now()),
		EjectionVersion: listing.Version,
	}
	for _, l := range w.carrier.Limiter().MeanLoads() {
		if load, ok := inner.NewTargetLoad(l.Target, l.InFlight); ok {
			report.InFlight = append(report.InFlight, load)
		}
	}
	w.mu.Lock()
	rows := w.held.pick(detect.MergeStats(w.pending...))
	w.pending = nil
	if w.sentEjections != listing.Version {
		w.sentEjections = listing.Version
		report.Ejections = listing.Value
	}
	w.mu.Unlock()
	if len(rows) > 0 {
		report.Evidence = detect.EncodeStats(detect.NewTargetIndex(service), rows)
	}
	return report
}

// deliver takes what a peer's report says about the service.
func (w *watch) deliver(from fleet.VMID, dc fleet.DataCentre, report *inner.ServiceReport, now time.Time) error {
	service := w.service.Load()
	w.carrier.Limiter().SetPeerLoads(from, loads(service, report.InFlight), now)
	w.ejector.RecordPeerVersion(report.EjectionVersion)
	if len(report.Leaving) > 0 {
		w.leaving.RecordPeerSignals(report.Leaving, now)
		w.nudge()
	}
	if len(report.Ejections) > 0 {
		if err := w.ejector.OfferRow(report.EjectionVersion, report.Ejections); err != nil {
			return err
		}
	}
	if len(report.Evidence) == 0 {
		return nil
	}
	return w.evidence.AddWire(from, dc, report.Evidence, now)
}

func loads(service *fleet.Service, reported []inner.TargetLoad) []limit.Load {
	work := make(map[uint32]float64, len(reported))
	for _, l := range reported {
		work[l.Target] = l.InFlight()
	}
	var out []limit.Load
	for _, t := range service.Targets {
		if n, ok := work[inner.TargetHash(t.ID)]; ok {
			out = append(out, limit.Load{Target: t.ID, InFlight: n})
		}
	}
	return out
}

// serviceState is the state of a carried service for the dump.
type serviceState struct {
	Carriers []fleet.VMID        `json:"carriers"`
	Targets  []targetState       `json:"targets"`
	Carrier  proxy.UpstreamState `json:"carrier"`
	Ejection detect.Ejections    `json:"ejections"`
	Version  uint64              `json:"ejections-version"`
}

type targetState struct {
	Target     fleet.TargetID   `json:"target"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	State      string           `json:"state"`
	Weight     float64          `json:"weight"`
	Reason     string           `json:"reason,omitempty"`
	Since      time.Time        `json:"since,omitzero"`
}

func (w *watch) targetStates() []targetState {
	service := w.service.Load()
	var out []targetState
	for _, s := range *w.states.Load() {
		if s.Index >= len(service.Targets) {
			continue
		}
		out = append(out, targetState{
			Target:     s.Target,
			DataCentre: service.Targets[s.Index].DataCentre,
			State:      s.State.String(),
			Weight:     s.Weight,
			Reason:     s.Reason,
			Since:      s.Since,
		})
	}
	return out
}

func (w *watch) state() serviceState {
	listing := w.ejector.Current()
	return serviceState{
		Carriers: *w.carriers.Load(),
		Targets:  w.targetStates(),
		Carrier:  w.carrier.State(),
		Ejection: listing.Ejections,
		Version:  listing.Version,
	}
}
