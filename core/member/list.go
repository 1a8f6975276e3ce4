package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"

	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// poller reads the VM list.
type poller struct {
	table   *Table
	running *sync.WaitGroup
	rng     *rand.Rand
	pause   *backoff.ExponentialBackOff
}

// Streams of random numbers from the seed of a table.
const (
	streamPoller uint64 = iota
	streamSender
)

func newPoller(t *Table, running *sync.WaitGroup) *poller {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = pollRetryMin, pollRetryMax
	return &poller{table: t, running: running, rng: rand.New(rand.NewPCG(t.seed, streamPoller)), pause: pause}
}

// loop polls every 5 s with jitter, and with backoff while the list is away.
func (p *poller) loop(ctx context.Context) {
	defer p.running.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(p.poll(ctx))
		}
	}
}

// poll returns the time until the next poll.
func (p *poller) poll(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	changes, err := p.table.hooks.List.Since(ctx, p.table.View().ListVersion)
	if err != nil {
		_ = level.Warn(p.table.log).Log("msg", "VM list is unavailable", "detail", err)
		return p.pause.NextBackOff()
	}
	p.pause.Reset()
	p.table.apply(changes, time.Now())
	return spread(p.rng, pollInterval)
}

// spread returns d with jitter.
func spread(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*rng.Float64()-1)))
}

// apply merges changes of the VM list.
func (t *Table) apply(c store.VMChanges, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A replica of the list that lags behind an earlier answer would undo
	// changes. An empty full list can only be a fault of the platform, because
	// this daemon's VM lives.
	if !c.Full && c.Version < t.listVersion || c.Full && len(c.Live) == 0 {
		_ = level.Warn(t.log).Log("msg", "VM list is ignored", "version", c.Version, "have", t.listVersion, "full", c.Full)
		return
	}
	changed := !t.known
	if c.Full {
		changed = t.dropUnlisted(c.Live, now) || changed
	}
	for _, vm := range c.Live {
		changed = t.list(vm) || changed
	}
	for _, id := range c.Gone {
		changed = t.unlist(id, now) || changed
	}
	t.known, t.listVersion, t.listReadAt = true, c.Version, now
	if changed {
		t.rebuild(now)
	} else {
		t.republish(now)
	}
}

func (t *Table) dropUnlisted(live []fleet.VM, now time.Time) (changed bool) {
	kept := make(map[fleet.VMID]bool, len(live))
	for _, vm := range live {
		kept[vm.ID] = true
	}
	for id := range t.listed {
		if !kept[id] {
			changed = t.unlist(id, now) || changed
		}
	}
	return changed
}

func (t *Table) list(vm fleet.VM) (changed bool) {
	delete(t.gone, vm.ID)
	old, ok := t.listed[vm.ID]
	if ok && old == vm {
		return false
	}
	t.listed[vm.ID] = vm
	if r, ok := t.records[vm.ID]; ok {
		r.known = false
	}
	return true
}

func (t *Table) unlist(id fleet.VMID, now time.Time) (changed bool) {
	vm, ok := t.listed[id]
	if !ok {
		return false
	}
	delete(t.listed, id)
	t.gone[id] = now
	// A VM that is still heard keeps its entry as long as it is heard.
	if r, ok := t.records[id]; ok && !r.known {
		r.vm, r.known = vm, true
	}
	return true
}
