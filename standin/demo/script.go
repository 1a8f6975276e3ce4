package demo

import (
	"context"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
)

// step is one act of the script.
type step struct {
	after time.Duration
	act   func(d *Demo, ctx context.Context)
}

const reportEvery = 2 * time.Second

func (d *Demo) play(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for _, s := range script() {
		timer := time.NewTimer(s.after)
		for waiting := true; waiting; {
			select {
			case <-ticker.C:
				d.say("%s", d.tally.line())
			case <-timer.C:
				waiting = false
			case <-ctx.Done():
				return
			}
		}
		s.act(d, ctx)
	}
}

func script() []step {
	return []step{
		{4 * time.Second, (*Demo).failTargets},
		{8 * time.Second, (*Demo).healTargets},
		{8 * time.Second, (*Demo).truncate},
		{5 * time.Second, (*Demo).race},
		{2 * time.Second, (*Demo).loseReply},
		{2 * time.Second, (*Demo).startOutage},
		{2 * time.Second, (*Demo).bootDuringOutage},
		{4 * time.Second, (*Demo).endOutage},
		{2 * time.Second, (*Demo).drainTarget},
		{2 * time.Second, (*Demo).leaveDaemon},
		{4 * time.Second, (*Demo).killDaemon},
		{9 * time.Second, (*Demo).finish},
	}
}

// sick returns the first target of each service.
func (d *Demo) sick() []fleet.TargetID {
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

func (d *Demo) misbehave(f stand.TargetFaults) {
	for _, id := range d.sick() {
		d.fleet.Target(id).SetFaults(f)
	}
}

func (d *Demo) failTargets(context.Context) {
	d.say("FAULT  targets %v answer probes but fail their work", d.sick())
	d.misbehave(stand.TargetFaults{FailWork: true})
	d.watchTargets()
}

func (d *Demo) healTargets(context.Context) {
	d.say("HEAL   targets %v are well again", d.sick())
	d.misbehave(stand.TargetFaults{})
}

func (d *Demo) truncate(context.Context) {
	d.say("FAULT  targets %v cut their answers short", d.sick())
	d.misbehave(stand.TargetFaults{CutShort: true})
	d.watchTargets()
}

func (d *Demo) startOutage(context.Context) {
	d.misbehave(stand.TargetFaults{})
	d.say("FAULT  table service, object store and VM list are away")
	d.fleet.Platform.SetFaults(stand.PlatformFaults{TableDown: true, ObjectsDown: true, VMsDown: true})
}

func (d *Demo) bootDuringOutage(ctx context.Context) {
	_, _ = d.startDaemon(ctx, "new-1", d.fleet.Centres[0])
}

// startDaemon adds a daemon and tells when it is ready.
func (d *Demo) startDaemon(ctx context.Context, id fleet.VMID, centre fleet.DataCentre) (*Node, error) {
	began := time.Now()
	n, err := d.fleet.AddDaemon(ctx, id, centre)
	if err != nil {
		d.say("daemon %s did not start: %v", id, err)
		return nil, err
	}
	go bootWatch{demo: d, node: n, began: began}.run(ctx)
	return n, nil
}

// bootWatch tells when a daemon is ready.
type bootWatch struct {
	demo  *Demo
	node  *Node
	began time.Time
}

const bootLimit = 10 * time.Second

func (b bootWatch) run(ctx context.Context) {
	for time.Since(b.began) < bootLimit {
		if b.node.Ready() {
			b.demo.say("       daemon %s is ready after %.1fs: %s", b.node.VM.ID, time.Since(b.began).Seconds(), b.node.settingsReason())
			return
		}
		if !pause(ctx, readyPoll) {
			return
		}
	}
	b.demo.say("       daemon %s is not ready: %v", b.node.VM.ID, b.node.State("settings"))
}

func (d *Demo) endOutage(context.Context) {
	d.say("HEAL   the platform is back")
	d.fleet.Platform.SetFaults(stand.PlatformFaults{})
}

// drainTarget lets a target announce that it leaves and counts the work that
// reaches it afterwards.
func (d *Demo) drainTarget(ctx context.Context) {
	id := d.sick()[0]
	d.say("LEAVE  target %s starts to leave", id)
	d.fleet.Target(id).SetFaults(stand.TargetFaults{Leaving: true})
	go leaveWatch{demo: d, target: id}.run(ctx)
}

// leaveWatch tells when a leaving target gets no more work.
type leaveWatch struct {
	demo   *Demo
	target fleet.TargetID
}

const leaveSettle = 3 * time.Second

func (l leaveWatch) run(ctx context.Context) {
	t := l.demo.fleet.Target(l.target)
	if !pause(ctx, leaveSettle) {
		return
	}
	before := t.Served()
	if !pause(ctx, leaveSettle) {
		return
	}
	l.demo.say("       target %s got %d requests between %v and %v after it started to leave", l.target, t.Served()-before, leaveSettle, 2*leaveSettle)
}

// leaveDaemon shuts a daemon down in the usual way while callers use it.
func (d *Demo) leaveDaemon(ctx context.Context) {
	n := d.fleet.Nodes()[0]
	d.say("LEAVE  daemon %s shuts down", n.VM.ID)
	_ = d.fleet.Platform.RemoveVM(ctx, n.VM.ID)
	go stopWatch{demo: d, node: n}.run(ctx)
}

type stopWatch struct {
	demo *Demo
	node *Node
}

func (s stopWatch) run(ctx context.Context) {
	began := time.Now()
	err := s.node.Stop(ctx)
	s.demo.say("       daemon %s ended after %.1fs (error: %v)", s.node.VM.ID, time.Since(began).Seconds(), err)
}

func (d *Demo) killDaemon(ctx context.Context) {
	n := d.fleet.Nodes()[3]
	d.say("FAULT  daemon %s is lost at once, with the orders of its callers in progress", n.VM.ID)
	n.Kill()
	_ = d.fleet.Platform.RemoveVM(ctx, n.VM.ID)
}

func (d *Demo) finish(context.Context) {
	d.say("%s", d.tally.line())
}

// watchTargets prints the states of the sick targets as one daemon sees them.
func (d *Demo) watchTargets() {
	go targetWatch{demo: d, targets: d.sick()}.run()
}

type targetWatch struct {
	demo    *Demo
	targets []fleet.TargetID
}

const (
	watchFor   = 7 * time.Second
	watchEvery = 100 * time.Millisecond
)

func (w targetWatch) run() {
	seen := map[fleet.TargetID]string{}
	for end := time.Now().Add(watchFor); time.Now().Before(end); {
		for _, id := range w.targets {
			state, reason := w.demo.fleet.stateOf(id)
			if state != seen[id] && state != "ready" && state != "" {
				w.demo.say("       target %s is %s: %s", id, state, reason)
			}
			seen[id] = state
		}
		pause(context.Background(), watchEvery)
	}
}
