package node

import (
	"context"
	"sync"
	"time"

	"wisteriarelay.example/core/roster"
)

const (
	// inquiryWait is the longest time for which a request waits for what carriers
	// believe; they are in the same data centre.
	inquiryWait = 10 * time.Millisecond
	// inquiryTTL is how long an answer counts. Targets fail in spells of seconds.
	inquiryTTL = time.Second
	// inquiryPeers is the number of carriers that are asked.
	inquiryPeers = 2
)

// inquiries ask carriers what is believed of the targets of services that this
// daemon does not carry. Load pattern: callers with an old address reach daemons
// that hear no results; every third target is in a spell, and they would send
// orders there.
type inquiries struct {
	node *Node
	mu   sync.Mutex
	open map[string]*inquiry
}

// inquiry is one question about a service.
type inquiry struct {
	askedAt  time.Time
	answered chan struct{}
	once     sync.Once
}

func newInquiries(n *Node) *inquiries {
	return &inquiries{node: n, open: map[string]*inquiry{}}
}

// await asks about the targets of the service if this daemon does not hear of
// them, and waits a moment for the answer. A single request that can be sent again
// needs no answer, and finds out what nobody knows.
func (q *inquiries) await(ctx context.Context, service string, repeatable bool) {
	if q.node.relay.Pool(service).Informed() || repeatable && q.node.relay.Recent(service) < strayRequests {
		return
	}
	i := q.ask(service)
	timer := time.NewTimer(time.Until(i.askedAt.Add(inquiryWait)))
	defer timer.Stop()
	select {
	case <-i.answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ask returns the last inquiry about the service, or a new one if that is too old.
func (q *inquiries) ask(service string) *inquiry {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if i := q.open[service]; i != nil && now.Sub(i.askedAt) < inquiryTTL {
		return i
	}
	i := &inquiry{askedAt: now, answered: make(chan struct{})}
	q.open[service] = i
	carriers := q.node.nearestCarriers(now, service)
	if len(carriers) == 0 {
		i.end()
		return i
	}
	q.node.peers.AskBeliefs(carriers, service)
	return i
}

// answer ends the inquiry about the service.
func (q *inquiries) answer(service string) {
	q.mu.Lock()
	i := q.open[service]
	q.mu.Unlock()
	if i != nil {
		i.end()
	}
}

func (i *inquiry) end() {
	i.once.Do(func() { close(i.answered) })
}

// nearestCarriers returns the first daemons that carry the service in the own data
// centre, or in others if none does.
func (n *Node) nearestCarriers(now time.Time, service string) []roster.Member {
	group, cores := n.plan().Group(service)
	for _, dc := range n.roster.DataCentres() {
		if members := n.roster.Carriers(now, group, dc, cores); len(members) > 0 {
			return members[:min(len(members), inquiryPeers)]
		}
	}
	return nil
}

// asked tells a peer what is believed of the targets of a service.
func (n *Node) asked(peer roster.Member, service string) {
	if t := n.relay.Table(); t == nil {
		return
	} else if _, known := t.Service(service); !known {
		return
	}
	if pool := n.relay.Pool(service); pool.Informed() {
		n.peers.TellBeliefs(peer, service, pool.Beliefs())
	}
}
