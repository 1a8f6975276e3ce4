package quota

import "time"

const (
	// maxAllWaiters is the largest number of requests of all workspaces that wait for
	// tokens.
	maxAllWaiters = 4096
	// accountTTL is how long the account of a workspace without requests is kept.
	accountTTL = time.Minute
	// maxAccounts is the largest number of accounts. It is above the number of
	// workspaces that is expected in a configuration.
	maxAccounts = 1 << 16
)

// Client asks coordinators for tokens. It is not safe for concurrent use.
type Client struct {
	accounts map[string]*account
	byHash   map[WorkspaceHash]*account
	// due holds the accounts that want to ask for tokens.
	due []*account
	// waiting is the number of waiting requests of all accounts.
	waiting int
	// counters returns the metrics of a workspace.
	counters func(workspace string) Counters
}

// NewClient returns a client without tokens; counters returns the metrics of a workspace.
func NewClient(counters func(workspace string) Counters) *Client {
	return &Client{accounts: map[string]*account{}, byHash: map[WorkspaceHash]*account{}, counters: counters}
}

// account returns the account of a workspace, creating it on first use; nil if there are
// too many.
func (c *Client) account(name string, limit Limit) *account {
	a := c.accounts[name]
	if a == nil {
		if len(c.accounts) >= maxAccounts {
			return nil
		}
		a = &account{name: name, hash: HashWorkspace(name), lastState: NoShares, counters: c.counters(name)}
		c.accounts[name], c.byHash[a.hash] = a, a
	}
	a.limit = limit
	return a
}

// schedule makes the account ask for tokens at the given time or before.
func (c *Client) schedule(a *account, at time.Time) {
	if a.askAt.IsZero() {
		c.due = append(c.due, a)
		a.askAt = at
		return
	}
	if at.Before(a.askAt) {
		a.askAt = at
	}
}

// admit processes the arrival of a request. It returns a waiter if the request has to wait,
// and an error if it is refused.
func (c *Client) admit(now time.Time, a *account) (*waiter, error) {
	if a.arrive(now) {
		if a.wants(now) > 0 {
			c.schedule(a, now.Add(prefetchDelay))
		}
		return nil, nil
	}
	if now.Before(a.refuseUntil) {
		return nil, a.overQuota(now)
	}
	if len(a.waiters) >= a.maxWaiters() || c.waiting >= maxAllWaiters {
		return nil, a.unavailable("too many requests wait for tokens")
	}
	w := &waiter{outcome: make(chan error, 1)}
	a.waiters = append(a.waiters, w)
	c.waiting++
	c.schedule(a, now.Add(batchDelay))
	return w, nil
}

// abandon ends the wait of a request. It reports false if the request has its outcome
// already.
func (c *Client) abandon(a *account, w *waiter) bool {
	if !a.remove(w) {
		return false
	}
	c.waiting--
	return true
}

// expire returns the error of a request that has waited for too long. It is over the quota
// only if a coordinator with shares said so.
func (c *Client) expire(now time.Time, a *account) error {
	if a.lastState == BucketFilling {
		return a.overQuota(now)
	}
	return a.unavailable("no answer to the request for tokens")
}

// nextAsk returns when the next request for tokens is due; zero if none is.
func (c *Client) nextAsk() time.Time {
	var next time.Time
	for _, a := range c.due {
		if next.IsZero() || a.askAt.Before(next) {
			next = a.askAt
		}
	}
	return next
}

// ask calls send for each account that asks for tokens now or soon, so that they share a
// message.
func (c *Client) ask(now time.Time, send func(a *account, count int) (seq uint64, ok bool)) {
	due := c.due
	c.due = nil
	for _, a := range due {
		if a.askAt.Sub(now) > prefetchDelay {
			c.due = append(c.due, a)
			continue
		}
		a.askAt = time.Time{}
		a.tokens.expire(now)
		if count := a.wants(now); count > 0 && a.canAsk(now) {
			if seq, ok := send(a, count); ok {
				a.record(now, seq, count)
			}
		}
		if len(a.waiters) > 0 {
			c.schedule(a, now.Add(repeatInterval))
		}
	}
}

// admitAll admits all waiting requests, because no workspace has a limit any more.
func (c *Client) admitAll() {
	for _, a := range c.due {
		a.admitWaiters()
		a.askAt = time.Time{}
	}
	c.due = nil
	c.waiting = 0
}

// handleGrant processes the answer to a request for tokens.
func (c *Client) handleGrant(now time.Time, seq uint64, g *Grant) {
	a := c.byHash[g.Workspace]
	if a == nil {
		return
	}
	asked, ok := a.answered(now, seq)
	if !ok {
		return
	}
	before := len(a.waiters)
	askIn := a.handleGrant(now, asked, g)
	c.waiting -= before - len(a.waiters)
	if askIn > 0 {
		c.schedule(a, now.Add(askIn))
	}
}

// askAgain makes all accounts with waiting requests ask again, because the coordinator of
// their shard is another one now.
func (c *Client) askAgain(now time.Time, s Shard) {
	for _, a := range c.accounts {
		if a.hash.Shard() == s && len(a.waiters) > 0 {
			a.pending, a.lastState = nil, NoShares
			c.schedule(a, now)
		}
	}
}

// forget removes the accounts of workspaces without recent requests.
func (c *Client) forget(now time.Time) {
	for name, a := range c.accounts {
		if len(a.waiters) == 0 && a.askAt.IsZero() && now.Sub(a.lastUsed) >= accountTTL {
			delete(c.accounts, name)
			delete(c.byHash, a.hash)
		}
	}
}
