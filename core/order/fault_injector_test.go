package order

import (
	"context"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
)

// faultInjector makes daemons, the network and the platform fail at random times.
type faultInjector struct {
	sim  *sim
	ctx  context.Context
	done chan struct{}
}

func (t *faultInjector) run() {
	defer close(t.done)
	sleep(t.ctx, 0)
	for !t.sim.isOver() {
		sleep(t.ctx, t.sim.randomDuration(1500*time.Millisecond))
		t.injectFault()
	}
}

func (t *faultInjector) injectFault() {
	s := t.sim
	vm, p := s.randomVM()
	switch s.intN(7) {
	case 0:
		p.kill()
		s.startProcess(vm)
	case 1:
		t.replaceProcess(vm, p)
	case 2:
		p.paused.Store(time.Now().Add(s.randomDuration(time.Second)).UnixNano())
	case 3:
		p.paused.Store(time.Now().Add(s.randomDuration(20 * time.Second)).UnixNano())
	case 4:
		broken := map[[2]fleet.Incarnation]bool{}
		for range s.intN(4) {
			_, other := s.randomVM()
			broken[[2]fleet.Incarnation{p.manager.self, other.manager.self}] = true
		}
		s.mu.Lock()
		s.brokenLinks = broken
		s.mu.Unlock()
	case 5:
		loss := []float64{0, 0, 0.05, 0.4}[s.intN(4)]
		s.mu.Lock()
		s.loss = loss
		s.mu.Unlock()
	default:
		s.platform.SetFaults(t.randomPlatformFaults())
	}
}

func (p *process) kill() {
	p.dead.Store(true)
	p.stop()
}

func (t *faultInjector) randomPlatformFaults() stand.PlatformFaults {
	late, slow := t.sim.randomDuration(3*time.Second), 2*t.sim.randomDuration(simQueryTimeout)
	return []stand.PlatformFaults{
		{},
		{},
		{},
		{TableDown: true},
		{RefuseWrites: true},
		{Delay: slow},
		{LoseReplyRate: 0.3, LoseRequestRate: 0.1},
		{LoseReplyRate: 0.3, LateBy: late},
		{OneWay: true},
	}[t.sim.intN(9)]
}

// replaceProcess exports the ledger of a process to others and starts its
// successor while its last requests still run.
func (t *faultInjector) replaceProcess(vm int, p *process) {
	s := t.sim
	parts := p.manager.ExportLedgers()
	for range 2 {
		_, to := s.randomVM()
		for _, part := range parts {
			if to == p || s.chance(s.currentLoss()) {
				continue
			}
			var in LedgerPart
			reencode(part, &in)
			if to.manager.ImportLedgerPart(in) == nil {
				s.importedParts++
			}
		}
	}
	s.startProcess(vm)
	sleep(t.ctx, s.randomDuration(time.Second))
	p.kill()
}
