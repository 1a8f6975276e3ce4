package order

import (
	"context"
	"time"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/stand"
)

// trouble makes daemons, network and platform fail.
type trouble struct {
	sim  *sim
	ctx  context.Context
	done chan struct{}
}

func (t *trouble) run() {
	defer close(t.done)
	sleep(t.ctx, 0)
	for !t.sim.over() {
		sleep(t.ctx, t.sim.upTo(1500*time.Millisecond))
		t.step()
	}
}

func (t *trouble) step() {
	s := t.sim
	slot, p := s.slot()
	switch s.intN(7) {
	case 0:
		p.kill()
		s.boot(slot)
	case 1:
		t.leave(slot, p)
	case 2:
		p.paused.Store(time.Now().Add(s.upTo(time.Second)).UnixNano())
	case 3:
		p.paused.Store(time.Now().Add(s.upTo(20 * time.Second)).UnixNano())
	case 4:
		cut := map[[2]fleet.Incarnation]bool{}
		for range s.intN(4) {
			_, other := s.slot()
			cut[[2]fleet.Incarnation{p.manager.self, other.manager.self}] = true
		}
		s.mu.Lock()
		s.cut = cut
		s.mu.Unlock()
	case 5:
		loss := []float64{0, 0, 0.05, 0.4}[s.intN(4)]
		s.mu.Lock()
		s.loss = loss
		s.mu.Unlock()
	default:
		s.platform.Misbehave(t.weather())
	}
}

func (p *proc) kill() {
	p.dead.Store(true)
	p.stop()
}

func (t *trouble) weather() stand.PlatformFaults {
	late, slow := t.sim.upTo(3*time.Second), 2*t.sim.upTo(simAsk)
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

// leave hands the ledger of a process over while its last requests still run.
func (t *trouble) leave(slot int, p *proc) {
	s := t.sim
	parts := p.manager.Export()
	for range 2 {
		_, to := s.slot()
		for _, part := range parts {
			if to == p || s.chance(s.lossNow()) {
				continue
			}
			var in LedgerPart
			recode(part, &in)
			if to.manager.Import(in) == nil {
				s.handed++
			}
		}
	}
	s.boot(slot)
	sleep(t.ctx, s.upTo(time.Second))
	p.kill()
}
