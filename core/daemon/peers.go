package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/member"
	"wisteriarelay.example/core/order"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/store"
)

const (
	// maxAsked bounds the peers that are asked for settings at once, beside the seeds.
	maxAsked = 8
	// ledgerCopies is the number of carriers that take over the ledger of a
	// daemon that leaves.
	ledgerCopies = 2
	// ledgerTimeout bounds the hand-over of one part of a ledger.
	ledgerTimeout = 2 * time.Second
	// seedTimeout lets several seeds be asked within the time of one read of the VM list.
	seedTimeout = 800 * time.Millisecond
)

// peers calls the other daemons.
type peers struct {
	self    fleet.VM
	client  *inner.Client
	members *member.Table
	seeds   []string
	logger  log.Logger
}

// askHome asks the daemon that runs as the incarnation about an order.
func (p *peers) askHome(ctx context.Context, to fleet.Incarnation, ask order.KeyQuery) (order.KeyReply, error) {
	vm, ok := p.find(to.VM())
	if !ok {
		return order.KeyReply{}, fault.New(fault.PeerUnreachable, "VM %s is not known", to.VM())
	}
	reply, err := p.client.Order(ctx, inner.Peer{VM: vm.ID, Address: vm.PeerAddress}, &ask)
	if err != nil {
		return order.KeyReply{}, err
	}
	return *reply, nil
}

func (p *peers) find(id fleet.VMID) (fleet.VM, bool) {
	view := p.members.View()
	if peer, ok := view.Peer(id); ok {
		return peer.VM, true
	}
	for _, vm := range view.Live {
		if vm.ID == id {
			return vm, true
		}
	}
	return fleet.VM{}, false
}

// holders returns the incarnations that may hold the ledger of one that left.
func (p *peers) holders(fleet.Incarnation) []fleet.Incarnation {
	var out []fleet.Incarnation
	now := time.Now()
	view := p.members.View()
	for i := range view.Peers {
		if peer := &view.Peers[i]; peer.Incarnation != "" && peer.IsHeard(now) {
			out = append(out, peer.Incarnation)
		}
	}
	return append(out, view.Incarnation)
}

// askRevisions asks the seeds and some known VMs for revisions above have.
func (p *peers) askRevisions(ctx context.Context, have settle.Revision) []settle.PeerReply {
	calls := p.revisionCalls()
	replies := make(chan *settle.PeerReply, len(calls))
	for _, c := range calls {
		c.have = have
		c.replies = replies
		go c.run(ctx)
	}
	var out []settle.PeerReply
	for range calls {
		select {
		case r := <-replies:
			if r != nil {
				out = append(out, *r)
			}
		case <-ctx.Done():
			return out
		}
	}
	return out
}

func (p *peers) revisionCalls() []*revisionCall {
	seeds := make(map[string]bool, len(p.seeds))
	for _, address := range p.seeds {
		seeds[address] = true
	}
	var calls []*revisionCall
	live := p.members.View().Live
	others := 0
	for _, i := range rand.Perm(len(live)) {
		vm := live[i]
		if vm.ID == p.self.ID || !seeds[vm.PeerAddress] && others >= maxAsked {
			continue
		}
		if !seeds[vm.PeerAddress] {
			others++
		}
		calls = append(calls, &revisionCall{peers: p, vm: vm, seed: seeds[vm.PeerAddress]})
		delete(seeds, vm.PeerAddress)
	}
	for address := range seeds {
		if address != p.self.PeerAddress {
			calls = append(calls, &revisionCall{peers: p, vm: fleet.VM{PeerAddress: address}, seed: true})
		}
	}
	return calls
}

// revisionCall asks one peer for settings.
type revisionCall struct {
	peers   *peers
	vm      fleet.VM
	seed    bool
	have    settle.Revision
	replies chan<- *settle.PeerReply
}

func (c *revisionCall) run(ctx context.Context) {
	msg, err := c.peers.client.Revision(ctx, inner.Peer{VM: c.vm.ID, Address: c.vm.PeerAddress}, &settle.RevisionRequestMsg{Have: c.have})
	if err != nil {
		_ = level.Debug(c.peers.logger).Log("msg", "peer did not answer about settings", "address", c.vm.PeerAddress, "detail", err)
		c.replies <- nil
		return
	}
	c.replies <- &settle.PeerReply{From: c.vm.ID, DataCentre: c.vm.DataCentre, Seed: c.seed, Msg: *msg}
}

// listVMs reads the platform's VM list. A daemon that has never read it asks its
// peers instead, so that it can start while the platform is away; version 0
// makes the next read of the platform a full one.
func (p *peers) listVMs(list store.VMList) store.VMList {
	return store.VMList{ChangesSince: func(ctx context.Context, version uint64) (store.VMChanges, error) {
		changes, err := list.ChangesSince(ctx, version)
		if err == nil || version != 0 {
			return changes, err
		}
		vms := p.askVMs(ctx)
		if len(vms) == 0 {
			return changes, err
		}
		return store.VMChanges{Full: true, Live: vms}, nil
	}}
}

// askVMs returns the VMs that the first answering seed knows.
func (p *peers) askVMs(ctx context.Context) []fleet.VM {
	for _, i := range rand.Perm(len(p.seeds)) {
		if p.seeds[i] == p.self.PeerAddress {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, seedTimeout)
		reply, err := p.client.VMs(callCtx, inner.Peer{Address: p.seeds[i]}, &inner.VMsRequestMsg{})
		cancel()
		if err == nil && len(reply.VMs) > 0 {
			return reply.VMs
		}
	}
	return nil
}

// handOver sends the ledger to other carriers, which then answer for this
// incarnation.
func (p *peers) handOver(ctx context.Context, parts []order.LedgerPart) int {
	copies := 0
	for _, to := range p.successors() {
		if copies == ledgerCopies {
			break
		}
		if err := p.sendParts(ctx, to, parts); err != nil {
			_ = level.Warn(p.logger).Log("msg", "order records not handed over", "to", to.VM, "detail", err)
			continue
		}
		copies++
	}
	return copies
}

// successors returns the peers that may take over the ledger, those first that are
// heard in both directions.
func (p *peers) successors() []inner.Peer {
	now := time.Now()
	var both, other []inner.Peer
	view := p.members.View()
	for i := range view.Peers {
		peer := &view.Peers[i]
		to := inner.Peer{VM: peer.VM.ID, Address: peer.VM.PeerAddress}
		switch {
		case peer.VM.Leaving || !peer.IsHeard(now):
		case peer.HearsUs(now):
			both = append(both, to)
		default:
			other = append(other, to)
		}
	}
	return append(both, other...)
}

func (p *peers) sendParts(ctx context.Context, to inner.Peer, parts []order.LedgerPart) error {
	for i := range parts {
		callCtx, cancel := context.WithTimeout(ctx, ledgerTimeout)
		_, err := p.client.Ledger(callCtx, to, &parts[i])
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
