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

// poller reads the VM list at regular intervals.
type poller struct {
	table        *Table
	running      *sync.WaitGroup
	rng          *rand.Rand
	retryBackoff *backoff.ExponentialBackOff
}

// PCG streams: the poller and the reporter use the same seed but must draw
// independent random numbers.
const (
	streamPoller uint64 = iota
	streamReporter
)

func newPoller(t *Table, running *sync.WaitGroup) *poller {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = pollRetryMin, pollRetryMax
	return &poller{table: t, running: running, rng: rand.New(rand.NewPCG(t.seed, streamPoller)), retryBackoff: retryBackoff}
}

// loop polls every 5 s with jitter, or with backoff while the list is unavailable.
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

// poll reads and applies the changes of the VM list, and returns the time until the
// next poll.
func (p *poller) poll(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	changes, err := p.table.hooks.List.ChangesSince(ctx, p.table.View().ListVersion)
	if err != nil {
		_ = level.Warn(p.table.log).Log("msg", "cannot read VM list", "detail", err)
		return p.retryBackoff.NextBackOff()
	}
	p.retryBackoff.Reset()
	p.table.applyListChanges(changes, time.Now())
	return withJitter(p.rng, pollInterval)
}

// withJitter returns d with a random deviation of up to jitterRatio.
func withJitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterRatio*(2*rng.Float64()-1)))
}

// applyListChanges applies changes of the VM list, or a full list.
func (t *Table) applyListChanges(c store.VMChanges, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Changes with an older version come from a lagging replica of the list and would
	// undo newer changes. A full list that is empty is a fault of the platform,
	// because at least this daemon's VM exists.
	if !c.Full && c.Version < t.listVersion || c.Full && len(c.Live) == 0 {
		_ = level.Warn(t.log).Log("msg", "ignoring outdated or empty VM list", "version", c.Version, "have", t.listVersion, "full", c.Full)
		return
	}
	changed := !t.vmsKnown
	if c.Full {
		changed = t.removeUnlisted(c.Live, now) || changed
	}
	for _, vm := range c.Live {
		changed = t.addListed(vm) || changed
	}
	for _, id := range c.Removed {
		changed = t.removeListed(id, now) || changed
	}
	t.vmsKnown, t.listVersion, t.listReadAt = true, c.Version, now
	if changed {
		t.rebuild(now)
	} else {
		t.republish(now)
	}
}

// removeUnlisted removes the VMs that a full list no longer contains.
func (t *Table) removeUnlisted(live []fleet.VM, now time.Time) (changed bool) {
	listed := make(map[fleet.VMID]bool, len(live))
	for _, vm := range live {
		listed[vm.ID] = true
	}
	for id := range t.listed {
		if !listed[id] {
			changed = t.removeListed(id, now) || changed
		}
	}
	return changed
}

func (t *Table) addListed(vm fleet.VM) (changed bool) {
	delete(t.removedAt, vm.ID)
	old, ok := t.listed[vm.ID]
	if ok && old == vm {
		return false
	}
	t.listed[vm.ID] = vm
	if r, ok := t.peerStates[vm.ID]; ok {
		r.hasVM = false
	}
	return true
}

func (t *Table) removeListed(id fleet.VMID, now time.Time) (changed bool) {
	vm, ok := t.listed[id]
	if !ok {
		return false
	}
	delete(t.listed, id)
	t.removedAt[id] = now
	// The peer state keeps the entry, because the VM remains live while it is heard.
	if r, ok := t.peerStates[id]; ok && !r.hasVM {
		r.vm, r.hasVM = vm, true
	}
	return true
}
