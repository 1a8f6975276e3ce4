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

// floorDaemon sees settings, signs and the row late.
type floorDaemon struct {
	ejector  *Ejector
	svc      *fleet.Service
	signs    LeavingSignals
	verdicts []Verdict
	started  map[fleet.TargetID]time.Time
}

// floorWorld draws operations from one seed. The truth is what settings and
// targets are; daemons learn it one by one.
type floorWorld struct {
	rng     *rand.Rand
	now     time.Time
	svc     *fleet.Service
	signs   LeavingSignals
	table   *fakeTable
	daemons []*floorDaemon
	// acting is the daemon of the last operation.
	acting *floorDaemon
	// refused, listed and fallback count how often these cases came up.
	refused, listed, fallback int
}

func newFloorWorld(seed uint64) *floorWorld {
	w := &floorWorld{rng: rand.New(rand.NewPCG(seed, 0)), now: epoch, svc: testService(9), signs: LeavingSignals{}, table: &fakeTable{}}
	w.table.fate = w.applyFate
	w.table.getFate = w.getFate
	for i := range floorDaemons {
		e := NewEjector(w.svc.ID, fleet.Incarnation(vmName(i)), w.table.table())
		w.daemons = append(w.daemons, &floorDaemon{ejector: e, svc: w.svc, signs: w.signs})
	}
	return w
}

func (w *floorWorld) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *floorWorld) applyFate() (bool, error) {
	switch {
	case w.chance(5):
		return true, ambiguous()
	case w.chance(5):
		return false, ambiguous()
	case w.chance(5):
		return false, down()
	default:
		return true, nil
	}
}

func (w *floorWorld) getFate() error {
	if w.chance(10) {
		return down()
	}
	return nil
}

func (w *floorWorld) daemon() *floorDaemon { return w.daemons[w.rng.IntN(len(w.daemons))] }

func (w *floorWorld) target() fleet.TargetID { return targetName(w.rng.IntN(maxTargets)) }

// step does one operation and returns its name.
func (w *floorWorld) step() (string, error) {
	w.now = w.now.Add(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
	d := w.daemon()
	w.acting = d
	switch n := w.rng.IntN(100); {
	case n < 30:
		return "eject", w.write(d, func(j Ejections) (Ejections, error) {
			v := condemned(w.target())
			v.Severity = w.rng.Float64()
			return j.Eject(d.svc, d.signs, v, "daemon", w.now)
		})
	case n < 35:
		return "eject by hand", w.write(d, func(j Ejections) (Ejections, error) {
			return j.EjectByHand(d.svc, d.signs, w.target(), "alma", "test", w.now)
		})
	case n < 40:
		return "return by hand", w.write(d, func(j Ejections) (Ejections, error) {
			return j.ReturnByHand(d.svc, w.target(), "alma", "test", w.now)
		})
	case n < 45:
		return "trial", w.write(d, func(j Ejections) (Ejections, error) { return j.BeginTrial(d.svc, w.target(), w.now) })
	case n < 50:
		passed := w.chance(50)
		return "trial result", w.write(d, func(j Ejections) (Ejections, error) {
			return j.EndTrial(d.svc, w.target(), passed, "daemon", w.now)
		})
	case n < 60:
		w.judge(d)
		return "verdicts", nil
	case n < 70:
		_ = d.ejector.read(context.Background(), w.now)
		return "read", nil
	case n < 78:
		w.leave()
		return "leave or come back", nil
	case n < 84:
		d.signs = w.signs
		return "learn signs", nil
	case n < 92:
		d.svc = w.svc
		return "learn settings", nil
	default:
		w.settings()
		return "settings", nil
	}
}

// write sends a change through the ejector's own compare-and-swap and checks
// what the row holds after it. Refusals and store faults are no failure; a
// list that its own check rejects is one.
func (w *floorWorld) write(d *floorDaemon, change transition) error {
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
	bound := n - d.svc.Policy.Floor.Of(n)
	if len(j.Entries) > bound {
		return fmt.Errorf("row lists %d targets, bound is %d", len(j.Entries), bound)
	}
	if gone := goneIn(j, d.svc, d.signs); len(j.Entries) > listed && gone > bound {
		return fmt.Errorf("target ejected with %d ejected, drained or leaving, bound is %d", gone, bound)
	}
	w.listed += len(j.Entries)
	return nil
}

// goneIn counts the listed, drained and leaving targets of the service.
func goneIn(j Ejections, svc *fleet.Service, signals LeavingSignals) int {
	gone := 0
	for _, t := range svc.Targets {
		_, listed := j.Find(t.ID)
		_, leaving := signals[t.ID]
		if listed || leaving || t.Drained {
			gone++
		}
	}
	return gone
}

func (w *floorWorld) judge(d *floorDaemon) {
	d.verdicts = nil
	d.started = map[fleet.TargetID]time.Time{w.target(): w.now}
	for i := range maxTargets {
		if w.chance(30) {
			d.verdicts = append(d.verdicts, Verdict{Target: targetName(i), Action: Action(w.rng.IntN(2)), Severity: w.rng.Float64()})
		}
	}
}

func (w *floorWorld) leave() {
	next := LeavingSignals{}
	for id, s := range w.signs {
		next[id] = s
	}
	id := w.target()
	if _, ok := next[id]; ok {
		delete(next, id)
	} else {
		next[id] = LeavingSignal{Source: FromPeer, Since: w.now}
	}
	w.signs = next
}

func (w *floorWorld) settings() {
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

// check compares a daemon's states with the floor, by what the daemon knows
// and by what it is about to learn.
func (w *floorWorld) check(d *floorDaemon) error {
	if err := w.checkWith(d, d.svc, d.signs); err != nil {
		return err
	}
	return w.checkWith(d, w.svc, w.signs)
}

func (w *floorWorld) checkWith(d *floorDaemon, svc *fleet.Service, signals LeavingSignals) error {
	j := d.ejector.Current().Ejections
	states := States(svc, j, signals, d.verdicts, d.started, w.now)
	available, inService, full, ownAvoided := 0, 0, 0, 0
	for _, s := range states {
		_, listed := j.Find(s.Target)
		switch s.State {
		case Leaving:
			continue
		case Avoided:
			inService++
			if listed {
				w.fallback++
			} else {
				ownAvoided++
			}
		case Ready, SlowStart:
			inService++
			full++
		}
		available++
	}
	floor := svc.Policy.Floor.Of(len(svc.Targets))
	if inService < min(floor, available) {
		return fmt.Errorf("%d targets in service, floor %d, %d available: %v", inService, floor, available, states)
	}
	if ownAvoided > 0 && full < floor {
		return fmt.Errorf("%d targets avoided with %d in full service, floor %d: %v", ownAvoided, full, floor, states)
	}
	return nil
}

// Guards against any sequence of disagreeing daemons, lost replies, lagging
// lists and changing settings by which ejection takes a service below its
// floor. WISTERIA_FLOOR_OPS=1000000 sets the number of operations.
func TestEjectionKeepsTheFloor(t *testing.T) {
	ops := floorOps
	if s := os.Getenv(floorOpsEnv); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatal(err)
		}
		ops = n
	}
	w := newFloorWorld(floorSeed)
	for i := range ops {
		name, err := w.step()
		if err == nil {
			err = w.check(w.acting)
		}
		if err != nil {
			t.Fatalf("seed %d, operation %d (%s): %v", floorSeed, i, name, err)
		}
	}
	if w.refused == 0 || w.listed == 0 || w.fallback == 0 {
		t.Fatalf("the sequence misses cases: %d refused, %d listed, %d fell back", w.refused, w.listed, w.fallback)
	}
}
