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

// assessInterval is the time between two assessments of a service's targets. It
// bounds how long this daemon's own evidence waits before it takes effect.
const assessInterval = 250 * time.Millisecond

// maxPendingIntervals bounds the evidence that waits for the next report, in
// assessment intervals. Older evidence would be outside every detection window.
const maxPendingIntervals = 48

// carriedService is the run-time state of one service that this daemon carries
// or winds down: its evidence, ejection list and probes, and the target states
// that the request path reads.
type carriedService struct {
	self    fleet.VM
	service atomic.Pointer[fleet.Service]
	carrier *proxy.Upstream
	sink    proxy.AttemptFunc
	// reportNow sends the service's report to the peers at once. It is called when
	// a target starts or stops leaving.
	reportNow func(fleet.ServiceID)
	evidence  *detect.Detector
	ejector   *detect.Ejector
	prober    *detect.Prober
	leaving   *detect.LeavingTracker
	states    atomic.Pointer[[]detect.TargetState]
	carriers  atomic.Pointer[[]fleet.VMID]
	assessNow chan struct{}
	stop      context.CancelFunc
	done      chan struct{}

	mu sync.Mutex
	// pending holds this daemon's statistics since the last report, one entry for
	// each assessment that found any.
	pending   [][]detect.IntervalStats
	rowBuffer *rowBuffer
	// sentEjectionsVersion is the version of the ejection list that was last put
	// into a report with its value. Other reports state the version only.
	sentEjectionsVersion uint64
	// dataCentres holds the data centres of the carriers and of this daemon.
	dataCentres map[fleet.VMID]fleet.DataCentre
}

// serviceDeps holds what a carriedService needs from its daemon.
type serviceDeps struct {
	self        fleet.VM
	incarnation fleet.Incarnation
	table       store.Table
	dial        func(ctx context.Context, network, address string) (net.Conn, error)
	// onAttempt receives the end of each attempt, for metrics and logs.
	onAttempt proxy.AttemptFunc
	// reportNow sends a service's report to the peers without waiting for the next
	// interval.
	reportNow func(fleet.ServiceID)
	probe     func(context.Context, fleet.Target, fleet.Probe) detect.ProbeAnswer
}

func newCarriedService(deps serviceDeps, service *fleet.Service) *carriedService {
	cs := &carriedService{
		self:      deps.self,
		evidence:  detect.NewDetector(service, deps.self.ID),
		leaving:   detect.NewLeavingTracker(),
		rowBuffer: newRowBuffer(),
		assessNow: make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	cs.service.Store(service)
	cs.states.Store(&[]detect.TargetState{})
	cs.carriers.Store(&[]fleet.VMID{})
	cs.sink = deps.onAttempt
	cs.reportNow = deps.reportNow
	cs.carrier = proxy.NewUpstream(deps.self, service, proxy.WithTargetDial(deps.dial), proxy.WithLeavingFunc(cs.onResponse), proxy.WithAttemptFunc(cs.onAttempt))
	cs.ejector = detect.NewEjector(service.ID, deps.incarnation, deps.table,
		detect.WithRank(cs.proberRank),
		detect.WithOnChange(func(detect.CachedRow) { cs.requestAssessment() }))
	cs.prober = detect.NewProber(service, deps.probe,
		detect.WithAssigned(cs.isProber),
		detect.WithSuspect(cs.needsFrequentProbes),
		detect.WithReport(detect.NewReportFunc(cs.carrier.Recorder(), cs.leaving, cs.ejector)))
	return cs
}

func (cs *carriedService) start(ctx context.Context) {
	ctx, cs.stop = context.WithCancel(ctx)
	cs.ejector.Start(ctx)
	cs.prober.Start(ctx)
	cs.assess(time.Now())
	go cs.run(ctx)
}

func (cs *carriedService) close() {
	cs.stop()
	<-cs.done
	cs.ejector.Wait()
	cs.prober.Wait()
	cs.carrier.Close()
}

func (cs *carriedService) run(ctx context.Context) {
	defer close(cs.done)
	ticker := time.NewTicker(assessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-cs.assessNow:
		case <-cs.leaving.Changed():
			cs.reportNow(cs.service.Load().ID)
		}
		cs.assess(time.Now())
	}
}

// requestAssessment makes run assess the targets without waiting for the next
// interval.
func (cs *carriedService) requestAssessment() {
	select {
	case cs.assessNow <- struct{}{}:
	default:
	}
}

// update replaces the settings and the carriers.
func (cs *carriedService) update(service *fleet.Service, carriers []*fleet.VM) {
	ids := make([]fleet.VMID, 0, len(carriers))
	dataCentres := make(map[fleet.VMID]fleet.DataCentre, len(carriers))
	for _, vm := range carriers {
		ids = append(ids, vm.ID)
		dataCentres[vm.ID] = vm.DataCentre
	}
	// A daemon that winds the service down is no longer among the carriers, but
	// still assesses the targets of its own requests by its own evidence.
	dataCentres[cs.self.ID] = cs.self.DataCentre
	cs.carriers.Store(&ids)
	cs.evidence.SetCarriers(dataCentres)
	if cs.service.Swap(service) != service {
		cs.evidence.Update(service, time.Now())
		cs.prober.Update(service)
		cs.updateRowBuffer(service)
	}
	cs.setDataCentres(dataCentres)
	cs.requestAssessment()
}

func (cs *carriedService) updateRowBuffer(service *fleet.Service) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.rowBuffer.update(service)
}

// setDataCentres replaces the data centres and removes the load that former
// carriers reported.
func (cs *carriedService) setDataCentres(dataCentres map[fleet.VMID]fleet.DataCentre) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for vm := range cs.dataCentres {
		if _, ok := dataCentres[vm]; !ok {
			cs.carrier.Limiter().RemovePeer(vm)
		}
	}
	cs.dataCentres = dataCentres
}

// members returns the daemons that share the targets' slots, with their data
// centres.
func (cs *carriedService) members() map[fleet.VMID]fleet.DataCentre {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.dataCentres
}

// assess assesses the targets by the evidence up to now and updates their states
// in the request path.
func (cs *carriedService) assess(now time.Time) {
	service := cs.service.Load()
	rows := cs.carrier.Recorder().Collect()
	cs.evidence.Add(cs.self.ID, cs.self.DataCentre, rows, now)
	cs.addPending(rows)
	cs.leaving.SetDrained(drainedTargets(service), now)
	cs.leaving.Expire(now)
	signals := cs.leaving.Signals()
	listing := cs.ejector.Current()
	cs.evidence.SetOutOfService(listing.Ejections, signals, now)
	verdicts := cs.evidence.Assess(now)
	cs.ejector.Submit(detect.Assessment{Service: service, Verdicts: verdicts, Signals: signals, MedianLatency: cs.evidence.MedianLatency()})
	states := detect.States(service, listing.Ejections, signals, verdicts, cs.evidence.StartTimes(), now)
	cs.states.Store(&states)
	cs.carrier.Update(service, cs.limiterTargets(service, states), cs.members())
	cs.carrier.Prune(now)
}

func drainedTargets(s *fleet.Service) []fleet.TargetID {
	var ids []fleet.TargetID
	for _, t := range s.Targets {
		if t.Drained {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// limiterStates maps the state of a target to the way in which requests are assigned
// to it.
var limiterStates = map[detect.State]choose.State{
	detect.Ready:     choose.Ready,
	detect.SlowStart: choose.SlowStart,
	detect.Trial:     choose.Trial,
	detect.Avoided:   choose.Avoided,
	detect.Ejected:   choose.Unavailable,
	detect.Leaving:   choose.Unavailable,
}

// trialShare is the share of the idempotent requests that a target in trial
// receives.
const trialShare = 0.05

// limiterTargets returns the targets and their states in the form that the limiter uses.
func (cs *carriedService) limiterTargets(service *fleet.Service, states []detect.TargetState) []limit.Target {
	unconfirmed := cs.evidence.UndersampledSuspects()
	targets := make([]limit.Target, 0, len(states))
	for _, s := range states {
		t := service.Targets[s.Index]
		g := limit.Target{
			ID:             s.Target,
			Slots:          t.Slots,
			State:          limiterStates[s.State],
			Weight:         s.Weight,
			SameDataCentre: t.DataCentre == cs.self.DataCentre,
			DataCentre:     t.DataCentre,
		}
		if s.State == detect.Trial {
			g.Weight = trialShare
			g.TrialAllowed = cs.isProber(s.Target)
		} else {
			g.NeedsEvidence = unconfirmed[s.Target] && !g.SameDataCentre
		}
		targets = append(targets, g)
	}
	return targets
}

// onResponse records whether the response of a target carries the leaving signal.
func (cs *carriedService) onResponse(id fleet.TargetID, leaving bool) {
	cs.leaving.RecordResponse(id, leaving, time.Now())
}

// onAttempt passes the end of an attempt to the ejector, which uses those on
// targets in trial, and to the daemon's metrics and logs.
func (cs *carriedService) onAttempt(m proxy.AttemptReport) {
	cs.ejector.RecordTrialRequest(m.Target, m.TargetResult, m.Latency)
	cs.sink(m)
}

func (cs *carriedService) isProber(id fleet.TargetID) bool {
	return cs.proberRank(id) == 0
}

// proberRank returns this daemon's rank among the carriers as prober of the
// target. Rank 0 probes it and is the first to write its ejection.
func (cs *carriedService) proberRank(id fleet.TargetID) int {
	return place.ProberRank(cs.service.Load().ID, id, *cs.carriers.Load(), cs.self.ID)
}

// needsFrequentProbes reports whether the target is probed each second: it is
// suspect, avoided or in trial.
func (cs *carriedService) needsFrequentProbes(id fleet.TargetID) bool {
	if cs.evidence.Suspects()[id] {
		return true
	}
	for _, s := range *cs.states.Load() {
		if s.Target == id {
			return s.State == detect.Avoided || s.State == detect.Trial
		}
	}
	return false
}

// hasUrgentEvidence reports whether evidence about a suspect target waits for a
// report, which is then sent without waiting for the next interval. Most carriers
// avoid a suspect target and have no evidence about it; their regular reports
// suffice.
func (cs *carriedService) hasUrgentEvidence() bool {
	suspects := cs.evidence.Suspects()
	if len(suspects) == 0 {
		return false
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, rows := range cs.pending {
		for i := range rows {
			if suspects[rows[i].Target] {
				return true
			}
		}
	}
	return false
}

// addPending keeps the statistics for the next report. If there are too many, it
// drops the oldest.
func (cs *carriedService) addPending(rows []detect.IntervalStats) {
	if len(rows) == 0 {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.pending = append(cs.pending, rows)
	if len(cs.pending) > maxPendingIntervals {
		cs.pending = cs.pending[1:]
	}
}

// collectReport returns the service's part of the next round of reports, and clears
// the pending statistics.
func (cs *carriedService) collectReport() inner.ServiceReport {
	service := cs.service.Load()
	listing := cs.ejector.Current()
	report := inner.ServiceReport{
		Service:         service.ID,
		Leaving:         cs.leaving.LocallyObserved(time.Now()),
		EjectionVersion: listing.Version,
	}
	for _, l := range cs.carrier.Limiter().MeanLoads() {
		if load, ok := inner.NewTargetLoad(l.Target, l.InFlight); ok {
			report.InFlight = append(report.InFlight, load)
		}
	}
	cs.mu.Lock()
	rows := cs.rowBuffer.nextReport(detect.MergeStats(cs.pending...))
	cs.pending = nil
	if cs.sentEjectionsVersion != listing.Version {
		cs.sentEjectionsVersion = listing.Version
		report.Ejections = listing.Value
	}
	cs.mu.Unlock()
	if len(rows) > 0 {
		report.Evidence = detect.EncodeStats(detect.NewTargetIndex(service), rows)
	}
	return report
}

// deliverReport processes the service's part of a peer's report.
func (cs *carriedService) deliverReport(from fleet.VMID, dc fleet.DataCentre, report *inner.ServiceReport, now time.Time) error {
	service := cs.service.Load()
	cs.carrier.Limiter().SetPeerLoads(from, peerLoads(service, report.InFlight), now)
	cs.ejector.RecordPeerVersion(report.EjectionVersion)
	if len(report.Leaving) > 0 {
		cs.leaving.RecordPeerSignals(report.Leaving, now)
		cs.requestAssessment()
	}
	if len(report.Ejections) > 0 {
		if err := cs.ejector.OfferRow(report.EjectionVersion, report.Ejections); err != nil {
			return err
		}
	}
	if len(report.Evidence) == 0 {
		return nil
	}
	return cs.evidence.AddWire(from, dc, report.Evidence, now)
}

// peerLoads returns the load that a peer reports, by target id. Reports identify
// targets by a hash; those of unknown targets are dropped.
func peerLoads(service *fleet.Service, reported []inner.TargetLoad) []limit.Load {
	inFlight := make(map[uint32]float64, len(reported))
	for _, l := range reported {
		inFlight[l.Target] = l.InFlight()
	}
	var out []limit.Load
	for _, t := range service.Targets {
		if n, ok := inFlight[inner.TargetHash(t.ID)]; ok {
			out = append(out, limit.Load{Target: t.ID, InFlight: n})
		}
	}
	return out
}

// serviceDump is a carried service in the state dump.
type serviceDump struct {
	Carriers []fleet.VMID        `json:"carriers"`
	Targets  []targetDump        `json:"targets"`
	Carrier  proxy.UpstreamState `json:"carrier"`
	Ejection detect.Ejections    `json:"ejections"`
	Version  uint64              `json:"ejections-version"`
}

// targetDump is the state of one target in the state dump.
type targetDump struct {
	Target     fleet.TargetID   `json:"target"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	State      string           `json:"state"`
	Weight     float64          `json:"weight"`
	Reason     string           `json:"reason,omitempty"`
	Since      time.Time        `json:"since,omitzero"`
}

func (cs *carriedService) targetDumps() []targetDump {
	service := cs.service.Load()
	var out []targetDump
	for _, s := range *cs.states.Load() {
		if s.Index >= len(service.Targets) {
			continue
		}
		out = append(out, targetDump{
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

func (cs *carriedService) dump() serviceDump {
	listing := cs.ejector.Current()
	return serviceDump{
		Carriers: *cs.carriers.Load(),
		Targets:  cs.targetDumps(),
		Carrier:  cs.carrier.State(),
		Ejection: listing.Ejections,
		Version:  listing.Version,
	}
}
