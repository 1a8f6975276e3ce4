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
	// maxQueriedPeers limits the peers, besides the seeds, from which settings are
	// requested at the same time.
	maxQueriedPeers = 8
	// ledgerCopies is the number of peers that import the ledger of a leaving
	// daemon.
	ledgerCopies = 2
	// ledgerPartTimeout limits the transfer of one part of a ledger.
	ledgerPartTimeout = 2 * time.Second
	// seedTimeout limits the request to one seed, so that several seeds can be tried
	// within the time of one read of the VM list.
	seedTimeout = 800 * time.Millisecond
)

// peerClient sends requests to the other daemons.
type peerClient struct {
	self    fleet.VM
	rpc     *inner.Client
	members *member.Table
	seeds   []string
	logger  log.Logger
}

// queryOrder queries the daemon with the given incarnation about an order.
func (p *peerClient) queryOrder(ctx context.Context, to fleet.Incarnation, query order.KeyQuery) (order.KeyReply, error) {
	vm, ok := p.findVM(to.VM())
	if !ok {
		return order.KeyReply{}, fault.New(fault.PeerUnreachable, "VM %s is not known", to.VM())
	}
	reply, err := p.rpc.Order(ctx, inner.Peer{VM: vm.ID, Address: vm.PeerAddress}, &query)
	if err != nil {
		return order.KeyReply{}, err
	}
	return *reply, nil
}

// findVM returns a VM of the membership, from the peers or from the VM list.
func (p *peerClient) findVM(id fleet.VMID) (fleet.VM, bool) {
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

// ledgerImporters returns the incarnations that may have imported the ledger of an
// incarnation that left: all peers that are heard, and this daemon.
func (p *peerClient) ledgerImporters(fleet.Incarnation) []fleet.Incarnation {
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

// requestRevisions requests the settings revisions above have from the seeds and
// some other live VMs, and returns the replies that arrive before ctx ends.
func (p *peerClient) requestRevisions(ctx context.Context, have settle.Revision) []settle.PeerReply {
	requests := p.revisionRequests()
	replies := make(chan *settle.PeerReply, len(requests))
	for _, r := range requests {
		r.have = have
		r.replies = replies
		go r.run(ctx)
	}
	var out []settle.PeerReply
	for range requests {
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

// revisionRequests returns the requests to send: one to each seed, and up to
// maxQueriedPeers to other VMs chosen at random.
func (p *peerClient) revisionRequests() []*revisionRequest {
	seeds := make(map[string]bool, len(p.seeds))
	for _, address := range p.seeds {
		seeds[address] = true
	}
	var requests []*revisionRequest
	live := p.members.View().Live
	others := 0
	for _, i := range rand.Perm(len(live)) {
		vm := live[i]
		if vm.ID == p.self.ID || !seeds[vm.PeerAddress] && others >= maxQueriedPeers {
			continue
		}
		if !seeds[vm.PeerAddress] {
			others++
		}
		requests = append(requests, &revisionRequest{client: p, vm: vm, seed: seeds[vm.PeerAddress]})
		delete(seeds, vm.PeerAddress)
	}
	for address := range seeds {
		if address != p.self.PeerAddress {
			requests = append(requests, &revisionRequest{client: p, vm: fleet.VM{PeerAddress: address}, seed: true})
		}
	}
	return requests
}

// revisionRequest requests settings from one peer.
type revisionRequest struct {
	client  *peerClient
	vm      fleet.VM
	seed    bool
	have    settle.Revision
	replies chan<- *settle.PeerReply
}

func (r *revisionRequest) run(ctx context.Context) {
	msg, err := r.client.rpc.Revision(ctx, inner.Peer{VM: r.vm.ID, Address: r.vm.PeerAddress}, &settle.RevisionRequestMsg{Have: r.have})
	if err != nil {
		_ = level.Debug(r.client.logger).Log("msg", "peer did not reply to the settings request", "address", r.vm.PeerAddress, "detail", err)
		r.replies <- nil
		return
	}
	r.replies <- &settle.PeerReply{From: r.vm.ID, DataCentre: r.vm.DataCentre, Seed: r.seed, Msg: *msg}
}

// vmListWithFallback returns the platform's VM list with a fallback for a daemon
// that has never read it: if the platform does not respond, it returns the VMs
// that a seed knows, so that the daemon can start during an outage. That result
// has version 0, which makes the next read of the platform a full one.
func (p *peerClient) vmListWithFallback(list store.VMList) store.VMList {
	return store.VMList{ChangesSince: func(ctx context.Context, version uint64) (store.VMChanges, error) {
		changes, err := list.ChangesSince(ctx, version)
		if err == nil || version != 0 {
			return changes, err
		}
		vms := p.requestVMs(ctx)
		if len(vms) == 0 {
			return changes, err
		}
		return store.VMChanges{Full: true, Live: vms}, nil
	}}
}

// requestVMs tries the seeds in random order and returns the VMs known to the
// first that replies.
func (p *peerClient) requestVMs(ctx context.Context) []fleet.VM {
	for _, i := range rand.Perm(len(p.seeds)) {
		if p.seeds[i] == p.self.PeerAddress {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, seedTimeout)
		reply, err := p.rpc.VMs(callCtx, inner.Peer{Address: p.seeds[i]}, &inner.VMsRequestMsg{})
		cancel()
		if err == nil && len(reply.VMs) > 0 {
			return reply.VMs
		}
	}
	return nil
}

// handOverLedger sends the ledger to up to ledgerCopies peers, which then answer
// queries in place of this incarnation. It returns the number of copies made.
func (p *peerClient) handOverLedger(ctx context.Context, parts []order.LedgerPart) int {
	copies := 0
	for _, to := range p.ledgerRecipients() {
		if copies == ledgerCopies {
			break
		}
		if err := p.sendLedger(ctx, to, parts); err != nil {
			_ = level.Warn(p.logger).Log("msg", "order records not handed over", "to", to.VM, "detail", err)
			continue
		}
		copies++
	}
	return copies
}

// ledgerRecipients returns the peers that may import the ledger: those that this
// daemon hears and that are not leaving. Peers that also hear this daemon come
// first.
func (p *peerClient) ledgerRecipients() []inner.Peer {
	now := time.Now()
	var mutual, heardOnly []inner.Peer
	view := p.members.View()
	for i := range view.Peers {
		peer := &view.Peers[i]
		to := inner.Peer{VM: peer.VM.ID, Address: peer.VM.PeerAddress}
		switch {
		case peer.VM.Leaving || !peer.IsHeard(now):
		case peer.HearsUs(now):
			mutual = append(mutual, to)
		default:
			heardOnly = append(heardOnly, to)
		}
	}
	return append(mutual, heardOnly...)
}

// sendLedger sends all parts of the ledger to one peer.
func (p *peerClient) sendLedger(ctx context.Context, to inner.Peer, parts []order.LedgerPart) error {
	for i := range parts {
		callCtx, cancel := context.WithTimeout(ctx, ledgerPartTimeout)
		_, err := p.rpc.Ledger(callCtx, to, &parts[i])
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
