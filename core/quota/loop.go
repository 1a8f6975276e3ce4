package quota

import (
	"context"
	"time"

	"wisteriarelay.example/core/roster"
)

// loop runs the periodic checks until ctx ends.
func (m *Manager) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		case <-timer.C:
		}
		m.refresh(time.Now())
		timer.Reset(time.Until(m.check()))
	}
}

// refresh reads the members, if that is due.
func (m *Manager) refresh(now time.Time) {
	if now.Before(m.refreshAt) || !m.sources.Active() {
		return
	}
	m.refreshAt = now.Add(refreshInterval)
	holders := m.sources.Holders()
	var candidates [ShardCount][]roster.Member
	for i := range candidates {
		candidates[i] = m.sources.Candidates(Shard(i))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holding.update(now, min(holders, maxHolders))
	m.peers.candidates = candidates
	m.peers.prune()
}

// check adds the probes, offers and requests for tokens that are due to the outbox, sends
// it, and returns when to check again.
func (m *Manager) check() (next time.Time) {
	active := m.sources.Active()
	m.mu.Lock()
	now := time.Now()
	paused := !m.nextCheck.IsZero() && now.Sub(m.nextCheck) >= pauseThreshold
	if !active {
		m.client.admitAll()
	} else {
		for _, to := range m.peers.check(now, paused) {
			m.request(now, to)
		}
		m.choose(now)
		m.lend(now)
		if at := m.client.nextAsk(); !at.IsZero() && !at.After(now) {
			m.client.ask(now, m.ask)
		}
	}
	if !now.Before(m.forgetAt) {
		m.forgetAt = now.Add(forgetInterval)
		m.client.forget(now)
		m.coordinator.forget(now)
	}
	next = now.Add(checkInterval)
	if !active {
		next = now.Add(inactiveInterval)
	}
	if at := m.client.nextAsk(); !at.IsZero() && at.Before(next) {
		next = at
	}
	m.nextCheck = next
	m.unlockAndSend()
	return next
}

// choose determines the coordinators, and asks a new one for the tokens that requests wait
// for.
func (m *Manager) choose(now time.Time) {
	for i := range m.current {
		c, _ := m.peers.coordinator(Shard(i))
		if c.VM != m.current[i].VM {
			m.client.askAgain(now, Shard(i))
		}
		m.current[i] = c
	}
}

// lend adds the offers of shares that are due to the outbox.
func (m *Manager) lend(now time.Time) {
	mayLease := m.holding.mayLease(now)
	for i := range m.lendings {
		to, offer, ok := m.lendings[i].step(now, m.current[i], m.holding.holders, mayLease)
		if !ok {
			continue
		}
		r := m.request(now, to)
		r.Leases = append(r.Leases, offer)
	}
}

// ask adds a request for tokens to the outbox; ok is false if there is no coordinator.
func (m *Manager) ask(a *account, count int) (seq uint64, ok bool) {
	to := m.current[a.hash.Shard()]
	if to.VM == "" {
		return 0, false
	}
	r := m.request(time.Now(), to)
	r.Tokens = append(r.Tokens, TokenRequest{Workspace: a.hash, Count: count})
	return r.Seq, true
}
