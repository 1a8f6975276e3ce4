package detect

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

const (
	floorOps     = 12_000
	floorOpsEnv  = "WISTERIA_FLOOR_OPS"
	floorSeed    = 20261204
	floorDaemons = 6
	maxTargets   = 16
)

// floorDaemon learns of changes to settings, leaving signals and the row with a
// delay.
type floorDaemon struct {
	ejector  *Ejector
	svc      *fleet.Service
	signals  LeavingSignals
	verdicts []Verdict
	started  map[fleet.TargetID]time.Time
}

// floorSim draws random operations from one seed. It holds the actual settings
// and leaving signals, which the daemons learn one by one.
type floorSim struct {
	rng     *rand.Rand
	now     time.Time
	svc     *fleet.Service
	signals LeavingSignals
	table   *fakeTable
	daemons []*floorDaemon
	// lastDaemon is the daemon of the latest operation.
	lastDaemon *floorDaemon
	// refused, listed and fallbacks count how often these cases occurred.
	refused, listed, fallbacks int
}

func newFloorSim(seed uint64) *floorSim {
	w := &floorSim{rng: rand.New(rand.NewPCG(seed, 0)), now: epoch, svc: testService(9), signals: LeavingSignals{}, table: &fakeTable{}}
	w.table.applyFault = w.applyFault
	w.table.getFault = w.getFault
	for i := range floorDaemons {
		e := NewEjector(w.svc.ID, fleet.Incarnation(vmName(i)), w.table.table())
		w.daemons = append(w.daemons, &floorDaemon{ejector: e, svc: w.svc, signals: w.signals})
	}
	return w
}

func (w *floorSim) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *floorSim) applyFault() (bool, error) {
	switch {
	case w.chance(5):
		return true, ambiguousError()
	case w.chance(5):
		return false, ambiguousError()
	case w.chance(5):
		return false, unavailableError()
	default:
		return true, nil
	}
}

func (w *floorSim) getFault() error {
	if w.chance(10) {
		return unavailableError()
	}
	return nil
}

func (w *floorSim) randomDaemon() *floorDaemon { return w.daemons[w.rng.IntN(len(w.daemons))] }

func (w *floorSim) randomTarget() fleet.TargetID { return targetName(w.rng.IntN(maxTargets)) }

// step performs one operation and returns its name.
func (w *floorSim) step() (string, error) {
	w.now = w.now.Add(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
	d := w.randomDaemon()
	w.lastDaemon = d
	switch n := w.rng.IntN(100); {
	case n < 30:
		return "eject", w.write(d, func(j Ejections) (Ejections, error) {
			v := condemnedVerdict(w.randomTarget())
			v.Severity = w.rng.Float64()
			return j.Eject(d.svc, d.signals, v, "daemon", w.now)
		})
	case n < 35:
		return "eject by hand", w.write(d, func(j Ejections) (Ejections, error) {
			return j.EjectByHand(d.svc, d.signals, w.randomTarget(), "alma", "test", w.now)
		})
	case n < 40:
		return "return by hand", w.write(d, func(j Ejections) (Ejections, error) {
			return j.ReturnByHand(d.svc, w.randomTarget(), "alma", "test", w.now)
		})
	case n < 45:
		return "trial", w.write(d, func(j Ejections) (Ejections, error) { return j.BeginTrial(d.svc, w.randomTarget(), w.now) })
	case n < 50:
		passed := w.chance(50)
		return "trial result", w.write(d, func(j Ejections) (Ejections, error) {
			return j.EndTrial(d.svc, w.randomTarget(), passed, "daemon", w.now)
		})
	case n < 60:
		w.drawVerdicts(d)
		return "verdicts", nil
	case n < 70:
		_ = d.ejector.read(context.Background(), w.now)
		return "read", nil
	case n < 78:
		w.toggleLeaving()
		return "leave or come back", nil
	case n < 84:
		d.signals = w.signals
		return "learn signals", nil
	case n < 92:
		d.svc = w.svc
		return "learn settings", nil
	default:
		w.changeSettings()
		return "settings", nil
	}
}

// write applies a change with the ejector's compare-and-swap and checks the row
// after it. Refusals and store faults are expected; a list that fails its own
// validation is an error.
func (w *floorSim) write(d *floorDaemon, change transition) error {
	before, listed := w.table.row.Version, 0
	if j, err := DecodeEjections(w.svc.ID, w.table.row.Value); err == nil {
		listed = len(j.Entries)
	}
	err := d.ejector.write(context.Background(), change, w.now)
	d.ejector.stale = false
	switch {
	case fault.Is(err, fault.FloorReached):
		w.refused++
	case fault.Is(err, fault.MessageInvalid):
		return err
	}
	if w.table.row.Version == before {
		return nil
	}
	j, err := DecodeEjections(w.svc.ID, w.table.row.Value)
	if err != nil {
		return err
	}
	n := len(d.svc.Targets)
	bound := n - d.svc.Policy.Floor.MinTargets(n)
	if len(j.Entries) > bound {
		return fmt.Errorf("row lists %d targets, bound is %d", len(j.Entries), bound)
	}
	if unavailable := countUnavailable(j, d.svc, d.signals); len(j.Entries) > listed && unavailable > bound {
		return fmt.Errorf("target ejected with %d ejected, drained or leaving, bound is %d", unavailable, bound)
	}
	w.listed += len(j.Entries)
	return nil
}

// countUnavailable counts the listed, drained and leaving targets of the
// service.
func countUnavailable(j Ejections, svc *fleet.Service, signals LeavingSignals) int {
	unavailable := 0
	for _, t := range svc.Targets {
		_, listed := j.Find(t.ID)
		_, leaving := signals[t.ID]
		if listed || leaving || t.Drained {
			unavailable++
		}
	}
	return unavailable
}

func (w *floorSim) drawVerdicts(d *floorDaemon) {
	d.verdicts = nil
	d.started = map[fleet.TargetID]time.Time{w.randomTarget(): w.now}
	for i := range maxTargets {
		if w.chance(30) {
			d.verdicts = append(d.verdicts, Verdict{Target: targetName(i), Action: Action(w.rng.IntN(2)), Severity: w.rng.Float64()})
		}
	}
}

func (w *floorSim) toggleLeaving() {
	next := LeavingSignals{}
	for id, s := range w.signals {
		next[id] = s
	}
	id := w.randomTarget()
	if _, ok := next[id]; ok {
		delete(next, id)
	} else {
		next[id] = LeavingSignal{Source: FromPeer, Since: w.now}
	}
	w.signals = next
}

func (w *floorSim) changeSettings() {
	next := *w.svc
	next.Targets = nil
	for i := range maxTargets {
		if w.chance(70) {
			next.Targets = append(next.Targets, fleet.Target{ID: targetName(i), Drained: w.chance(5)})
		}
	}
	next.Policy.Floor = fleet.Floor{Percent: float64(w.rng.IntN(101))}
	if w.chance(30) {
		next.Policy.Floor = fleet.Floor{Count: w.rng.IntN(maxTargets)}
	}
	w.svc = &next
}

// check checks a daemon's states against the floor, both by the settings and
// signals that it knows and by those that it has yet to learn.
func (w *floorSim) check(d *floorDaemon) error {
	if err := w.checkWith(d, d.svc, d.signals); err != nil {
		return err
	}
	return w.checkWith(d, w.svc, w.signals)
}

func (w *floorSim) checkWith(d *floorDaemon, svc *fleet.Service, signals LeavingSignals) error {
	j := d.ejector.Current().Ejections
	states := States(svc, j, signals, d.verdicts, d.started, w.now)
	available, inService, fullService, ownAvoided := 0, 0, 0, 0
	for _, s := range states {
		_, listed := j.Find(s.Target)
		switch s.State {
		case Leaving:
			continue
		case Avoided:
			inService++
			if listed {
				w.fallbacks++
			} else {
				ownAvoided++
			}
		case Ready, SlowStart:
			inService++
			fullService++
		}
		available++
	}
	floor := svc.Policy.Floor.MinTargets(len(svc.Targets))
	if inService < min(floor, available) {
		return fmt.Errorf("%d targets in service, floor %d, %d available: %v", inService, floor, available, states)
	}
	if ownAvoided > 0 && fullService < floor {
		return fmt.Errorf("%d targets avoided with %d in full service, floor %d: %v", ownAvoided, fullService, floor, states)
	}
	return nil
}

// Guards against a service with fewer targets than its floor, because of
// ejections under any sequence of disagreeing daemons, lost replies, outdated
// lists and changing settings. WISTERIA_FLOOR_OPS=1000000 sets the number of
// operations.
func TestEjectionKeepsTheFloor(t *testing.T) {
	ops := floorOps
	if s := os.Getenv(floorOpsEnv); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		ops = n
	}
	w := newFloorSim(floorSeed)
	for i := range ops {
		name, err := w.step()
		if err == nil {
			err = w.check(w.lastDaemon)
		}
		if err != nil {
			t.Fatalf("seed %d, operation %d (%s): %v", floorSeed, i, name, err)
		}
	}
	if w.refused == 0 || w.listed == 0 || w.fallbacks == 0 {
		t.Fatalf("the operations did not cover all cases: %d refused, %d listed, %d fell back", w.refused, w.listed, w.fallbacks)
	}
}
