package quota

import "time"

// ShardState is the state of one shard in the state dump.
type ShardState struct {
	// Coordinator is the VM that this daemon asks for tokens.
	Coordinator string `json:"coordinator"`
	// LeasedTo is the VM to which this daemon's share is leased; empty if to none.
	LeasedTo string `json:"leased-to,omitempty"`
	// Fraction is the fraction of the shares that this daemon has on lease as a
	// coordinator.
	Fraction float64 `json:"fraction,omitempty"`
}

// State is the state of a manager in the state dump.
type State struct {
	// Holders is the number of shares of each quota; 0 if this daemon has none.
	Holders    int                    `json:"holders"`
	Shards     [ShardCount]ShardState `json:"shards"`
	Workspaces map[string]Counts      `json:"workspaces"`
}

// State returns the state for the state dump.
func (m *Manager) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	s := State{Holders: m.holding.holders, Workspaces: make(map[string]Counts, len(m.client.accounts))}
	for i := range s.Shards {
		s.Shards[i] = ShardState{
			Coordinator: m.current[i].VM,
			LeasedTo:    m.lendings[i].leasedTo(now),
			Fraction:    m.coordinator.Fraction(now, Shard(i)),
		}
	}
	for name, a := range m.client.accounts {
		s.Workspaces[name] = a.counts
	}
	return s
}

// Fraction returns the fraction of the shares of a shard that this daemon has on lease.
func (m *Manager) Fraction(s Shard) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coordinator.Fraction(time.Now(), s)
}

// Leased reports whether this daemon's share of a shard is leased to a coordinator.
func (m *Manager) Leased(s Shard) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lendings[s].leased(time.Now())
}
