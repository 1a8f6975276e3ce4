package demo

import (
	"context"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
)

// step is one step of the script. The delay is the time since the previous step.
type step struct {
	delay time.Duration
	run   func(d *Demo, ctx context.Context)
}

const reportInterval = 2 * time.Second

// runScript runs the steps of the script and prints a summary of the outcomes at
// every reportInterval.
func (d *Demo) runScript(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for _, s := range script() {
		timer := time.NewTimer(s.delay)
		for waiting := true; waiting; {
			select {
			case <-ticker.C:
				d.logf("%s", d.recorder.summary())
			case <-timer.C:
				waiting = false
			case <-ctx.Done():
				return
			}
		}
		s.run(d, ctx)
	}
}

func script() []step {
	return []step{
		{4 * time.Second, (*Demo).failTargets},
		{8 * time.Second, (*Demo).healTargets},
		{8 * time.Second, (*Demo).truncateResponses},
		{5 * time.Second, (*Demo).raceCommits},
		{2 * time.Second, (*Demo).loseCommitReply},
		{2 * time.Second, (*Demo).startOutage},
		{2 * time.Second, (*Demo).startDaemonDuringOutage},
		{4 * time.Second, (*Demo).endOutage},
		{2 * time.Second, (*Demo).announceTargetLeaving},
		{2 * time.Second, (*Demo).shutDownDaemon},
		{4 * time.Second, (*Demo).killDaemon},
		{9 * time.Second, (*Demo).printSummary},
	}
}

// faultyTargets returns the targets into which the script injects faults: the first
// of each service.
func (d *Demo) faultyTargets() []fleet.TargetID {
	catalog, err := d.fleet.Doc.Catalog()
	if err != nil {
		return nil
	}
	var out []fleet.TargetID
	for _, s := range catalog.Services() {
		out = append(out, s.Targets[0].ID)
	}
	return out
}

func (d *Demo) setTargetFaults(f stand.TargetFaults) {
	for _, id := range d.faultyTargets() {
		d.fleet.Target(id).SetFaults(f)
	}
}

func (d *Demo) failTargets(context.Context) {
	d.logf("FAULT  targets %v answer probes but fail their work", d.faultyTargets())
	d.setTargetFaults(stand.TargetFaults{FailWork: true})
	d.watchTargetStates()
}

func (d *Demo) healTargets(context.Context) {
	d.logf("HEAL   targets %v have recovered", d.faultyTargets())
	d.setTargetFaults(stand.TargetFaults{})
}

func (d *Demo) truncateResponses(context.Context) {
	d.logf("FAULT  targets %v truncate their responses", d.faultyTargets())
	d.setTargetFaults(stand.TargetFaults{CutShort: true})
	d.watchTargetStates()
}

func (d *Demo) startOutage(context.Context) {
	d.setTargetFaults(stand.TargetFaults{})
	d.logf("FAULT  table service, object store and VM list are unavailable")
	d.fleet.Platform.SetFaults(stand.PlatformFaults{TableDown: true, ObjectsDown: true, VMsDown: true})
}

func (d *Demo) startDaemonDuringOutage(ctx context.Context) {
	_, _ = d.startDaemon(ctx, "new-1", d.fleet.DataCentres[0])
}

// startDaemon adds a daemon and prints when it is ready.
func (d *Demo) startDaemon(ctx context.Context, id fleet.VMID, dataCentre fleet.DataCentre) (*Node, error) {
	startedAt := time.Now()
	n, err := d.fleet.AddDaemon(ctx, id, dataCentre)
	if err != nil {
		d.logf("daemon %s did not start: %v", id, err)
		return nil, err
	}
	go readinessWatch{demo: d, node: n, startedAt: startedAt}.run(ctx)
	return n, nil
}

// readinessWatch waits until a daemon is ready and prints how long it took.
type readinessWatch struct {
	demo      *Demo
	node      *Node
	startedAt time.Time
}

const readyTimeout = 10 * time.Second

func (w readinessWatch) run(ctx context.Context) {
	for time.Since(w.startedAt) < readyTimeout {
		if w.node.Ready() {
			w.demo.logf("       daemon %s is ready after %.1fs: %s", w.node.VM.ID, time.Since(w.startedAt).Seconds(), w.node.settingsReason())
			return
		}
		if !sleep(ctx, readyPollInterval) {
			return
		}
	}
	w.demo.logf("       daemon %s is not ready: %v", w.node.VM.ID, w.node.State("settings"))
}

func (d *Demo) endOutage(context.Context) {
	d.logf("HEAL   the platform is back")
	d.fleet.Platform.SetFaults(stand.PlatformFaults{})
}

// announceTargetLeaving lets a target announce that it is leaving and counts the
// requests that reach it afterwards.
func (d *Demo) announceTargetLeaving(ctx context.Context) {
	id := d.faultyTargets()[0]
	d.logf("LEAVE  target %s starts to leave", id)
	d.fleet.Target(id).SetFaults(stand.TargetFaults{Leaving: true})
	go leavingTargetWatch{demo: d, target: id}.run(ctx)
}

// leavingTargetWatch prints how many requests a leaving target still gets in the
// second leavingInterval after the announcement. The first one leaves the daemons
// time to notice it.
type leavingTargetWatch struct {
	demo   *Demo
	target fleet.TargetID
}

const leavingInterval = 3 * time.Second

func (w leavingTargetWatch) run(ctx context.Context) {
	t := w.demo.fleet.Target(w.target)
	if !sleep(ctx, leavingInterval) {
		return
	}
	before := t.Served()
	if !sleep(ctx, leavingInterval) {
		return
	}
	w.demo.logf("       target %s got %d requests between %v and %v after it started to leave", w.target, t.Served()-before, leavingInterval, 2*leavingInterval)
}

// shutDownDaemon shuts a daemon down gracefully while callers use it.
func (d *Demo) shutDownDaemon(ctx context.Context) {
	n := d.fleet.Nodes()[0]
	d.logf("LEAVE  daemon %s shuts down", n.VM.ID)
	_ = d.fleet.Platform.RemoveVM(ctx, n.VM.ID)
	go shutdownWatch{demo: d, node: n}.run(ctx)
}

// shutdownWatch shuts a daemon down and prints how long it took.
type shutdownWatch struct {
	demo *Demo
	node *Node
}

func (w shutdownWatch) run(ctx context.Context) {
	startedAt := time.Now()
	err := w.node.Stop(ctx)
	w.demo.logf("       daemon %s ended after %.1fs (error: %v)", w.node.VM.ID, time.Since(startedAt).Seconds(), err)
}

func (d *Demo) killDaemon(ctx context.Context) {
	n := d.fleet.Nodes()[3]
	d.logf("FAULT  daemon %s is killed while orders of its callers are in progress", n.VM.ID)
	n.Kill()
	_ = d.fleet.Platform.RemoveVM(ctx, n.VM.ID)
}

func (d *Demo) printSummary(context.Context) {
	d.logf("%s", d.recorder.summary())
}

// watchTargetStates prints the states of the faulty targets as they change.
func (d *Demo) watchTargetStates() {
	go targetStateWatch{demo: d, targets: d.faultyTargets()}.run()
}

// targetStateWatch prints each change of a target's state to another one than ready,
// as seen by a daemon that carries its service.
type targetStateWatch struct {
	demo    *Demo
	targets []fleet.TargetID
}

const (
	watchDuration = 7 * time.Second
	watchInterval = 100 * time.Millisecond
)

func (w targetStateWatch) run() {
	seen := map[fleet.TargetID]string{}
	for end := time.Now().Add(watchDuration); time.Now().Before(end); {
		for _, id := range w.targets {
			state, reason := w.demo.fleet.targetState(id)
			if state != seen[id] && state != "ready" && state != "" {
				w.demo.logf("       target %s is %s: %s", id, state, reason)
			}
			seen[id] = state
		}
		sleep(context.Background(), watchInterval)
	}
}
