package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/roster"
)

const (
	// maxWait and maxWaitPart bound how long a request waits for a token: at most
	// maxWait, and at most that part of its remaining time.
	maxWait     = 700 * time.Millisecond
	maxWaitPart = 0.5
	// refreshInterval is the time between two readings of the members.
	refreshInterval = 200 * time.Millisecond
	// checkInterval is the longest time between two checks.
	checkInterval = 50 * time.Millisecond
	// inactiveInterval replaces checkInterval while no workspace has a limit.
	inactiveInterval = 250 * time.Millisecond
	// forgetInterval is the time between two removals of unused accounts and buckets.
	forgetInterval = 10 * time.Second
	// pauseThreshold is how late a check has to be for this daemon to count as paused.
	pauseThreshold = 100 * time.Millisecond
)

// Sources connect a Manager with the daemon. The functions must not block, and must not
// call the Manager.
type Sources struct {
	// Send sends a message to another daemon.
	Send func(Addressed)
	// Candidates returns the candidates for the coordinator of a shard, in order,
	// without those that are leaving.
	Candidates func(Shard) []roster.Member
	// Holders returns the number of shares into which each quota is divided; 0 if this
	// daemon holds none.
	Holders func() int
	// Limit returns the limit of a workspace; ok is false if the configuration does not
	// contain it.
	Limit func(WorkspaceHash) (l Limit, ok bool)
	// Active reports whether any workspace has a limit.
	Active func() bool
	// Counters returns the metrics of a workspace.
	Counters func(workspace string) Counters
}

// Addressed is a message to a daemon: a request or a reply.
type Addressed struct {
	To      roster.Member
	Request *RequestMsg
	Reply   *ReplyMsg
}

// Manager checks the quotas of the requests at one daemon, leases out the daemon's shares
// and grants tokens for the shards of which it is the coordinator. It is safe for
// concurrent use.
type Manager struct {
	self    roster.Member
	sources Sources
	epoch   uint64
	wake    chan struct{}

	mu          sync.Mutex
	client      *Client
	coordinator *Coordinator
	lendings    [ShardCount]lending
	holding     holding
	peers       peers
	// current holds the coordinators that the daemon uses.
	current [ShardCount]roster.Member
	seq     uint64
	outbox  []Addressed
	// nextCheck is when the loop wakes up next.
	nextCheck time.Time
	refreshAt time.Time
	forgetAt  time.Time
}

// NewManager returns a manager; Start must be called.
func NewManager(self roster.Member, p Policy, sources Sources) *Manager {
	now := time.Now()
	m := &Manager{
		self:    self,
		sources: sources,
		epoch:   rand.Uint64() | 1,
		wake:    make(chan struct{}, 1),
		client:  NewClient(sources.Counters),
		holding: holding{startedAt: now},
		peers:   peers{byVM: map[string]*peerState{}},
	}
	m.coordinator = NewCoordinator(p, sources.Limit, m.epoch, now)
	for i := range m.lendings {
		m.lendings[i].shard = Shard(i)
	}
	return m
}

// Start starts the manager's goroutine, which ends with ctx.
func (m *Manager) Start(ctx context.Context) {
	go m.loop(ctx)
}

// SetPolicy changes the bound of all quotas.
func (m *Manager) SetPolicy(p Policy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.coordinator.policy = p
}

// Acquire takes a token for a request of a workspace, for which it may wait. It fails with
// fault.QuotaExceeded, fault.QuotaUnavailable, or fault.CallerGone if ctx ends.
func (m *Manager) Acquire(ctx context.Context, workspace string, deadline time.Time) error {
	limit, known := m.sources.Limit(HashWorkspace(workspace))
	if !known || limit.Rate <= 0 {
		return nil
	}
	m.mu.Lock()
	now := time.Now()
	a := m.client.account(workspace, limit)
	if a == nil {
		m.mu.Unlock()
		return fault.New(fault.QuotaUnavailable, "too many workspaces have requests")
	}
	w, err := m.client.admit(now, a)
	early := !a.askAt.IsZero() && a.askAt.Before(m.nextCheck)
	m.mu.Unlock()
	if early {
		m.notify()
	}
	if w == nil {
		return err
	}
	return m.await(ctx, a, w, min(maxWait, time.Duration(maxWaitPart*float64(deadline.Sub(now)))))
}

// await waits for the outcome of a request that has no token yet.
func (m *Manager) await(ctx context.Context, a *account, w *waiter, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case err := <-w.outcome:
		return err
	case <-ctx.Done():
		return m.endWait(a, w, func(time.Time) error { return fault.New(fault.CallerGone, "caller closed the connection") })
	case <-timer.C:
		return m.endWait(a, w, func(now time.Time) error { return m.client.expire(now, a) })
	}
}

// endWait ends the wait of a request with the error, unless it has its outcome already.
func (m *Manager) endWait(a *account, w *waiter, result func(now time.Time) error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.client.abandon(a, w) {
		return result(time.Now())
	}
	return <-w.outcome
}

// notify wakes the loop.
func (m *Manager) notify() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// HandleRequest processes a request of a daemon.
func (m *Manager) HandleRequest(from roster.Member, msg *RequestMsg) {
	m.mu.Lock()
	m.answer(from, msg)
	m.unlockAndSend()
}

// answer adds the reply to a request to the outbox.
func (m *Manager) answer(from roster.Member, msg *RequestMsg) {
	m.outbox = append(m.outbox, Addressed{To: from, Reply: m.coordinator.Answer(time.Now(), from, msg)})
}

// HandleReply processes a reply of a coordinator.
func (m *Manager) HandleReply(from roster.Member, msg *ReplyMsg) {
	m.mu.Lock()
	m.receive(from, msg)
	m.unlockAndSend()
}

// receive processes a reply. One with a number that this run has not sent answers an earlier
// run; only a coordinator that leaves sends one without a request.
func (m *Manager) receive(from roster.Member, msg *ReplyMsg) {
	now := time.Now()
	if m.peers.byVM[from.VM] == nil || msg.Seq > m.seq || msg.Seq == 0 && !msg.Leaving {
		return
	}
	m.peers.answered(now, from.VM, msg)
	for i := range m.lendings {
		m.lendings[i].handleReply(now, from, msg)
	}
	for _, r := range msg.Returns {
		m.lendings[r.Shard].handleReturn(now, msg, r.Number)
	}
	for i := range msg.Grants {
		m.client.handleGrant(now, msg.Seq, &msg.Grants[i])
	}
	m.choose(now)
	m.lend(now)
	if next := m.client.nextAsk(); !next.IsZero() && next.Before(m.nextCheck) {
		m.notify()
	}
}

// Leave returns the shares that this daemon has on lease, and makes other daemons use
// other coordinators.
func (m *Manager) Leave() {
	m.mu.Lock()
	m.outbox = append(m.outbox, m.coordinator.Leave(time.Now())...)
	m.unlockAndSend()
	m.notify()
}

// unlockAndSend unlocks m.mu and sends the messages of the outbox; those to this daemon
// are processed at once.
func (m *Manager) unlockAndSend() {
	for i := 0; i < len(m.outbox); i++ {
		out := m.outbox[i]
		switch {
		case out.To.VM != m.self.VM:
		case out.Request != nil:
			m.answer(m.self, out.Request)
		default:
			m.receive(m.self, out.Reply)
		}
	}
	outbox := m.outbox
	m.outbox = nil
	m.mu.Unlock()
	for _, out := range outbox {
		if out.To.VM != m.self.VM {
			m.sources.Send(out)
		}
	}
}

// request returns the unsent request to a candidate that has room for another entry.
func (m *Manager) request(now time.Time, to roster.Member) *RequestMsg {
	for _, out := range m.outbox {
		if r := out.Request; r != nil && out.To == to && len(r.Tokens) < MaxTokenRequests && len(r.Leases) < maxLeases {
			return r
		}
	}
	m.seq++
	r := &RequestMsg{Seq: m.seq, Epoch: m.epoch}
	m.outbox = append(m.outbox, Addressed{To: to, Request: r})
	m.peers.sent(now, to.VM)
	return r
}
