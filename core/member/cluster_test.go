package member

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/place"
	"wisteriarelay.example/core/store"
)

// cluster is a fleet of tables with an in-memory network and a VM list.
type cluster struct {
	g   *gomega.WithT
	ctx context.Context

	running sync.WaitGroup

	mu              sync.Mutex
	list            []fleet.VM
	version         uint64
	listUnavailable bool
	linkDown        map[[2]fleet.VMID]bool
	nodes           map[fleet.VMID]*node
	seed            uint64
	sends           []send
}

type node struct {
	*Table
	cluster      *cluster
	stop         context.CancelFunc
	suspect      bool
	evidence     []byte
	collectDelay time.Duration
	delivered    []delivery
}

type send struct {
	at       time.Time
	from, to fleet.VMID
	m        *inner.ReportMsg
}

type delivery struct {
	service fleet.ServiceID
	from    Sender
	report  inner.ServiceReport
}

func makeVM(id string) fleet.VM {
	return fleet.VM{ID: fleet.VMID(id), Region: "r", DataCentre: fleet.DataCentre("dc-" + id[:1]), CallerAddress: id + ":80", PeerAddress: id + ":81"}
}

func makeService(id string) *fleet.Service {
	return &fleet.Service{ID: fleet.ServiceID(id), Region: "r", Policy: fleet.Policy{Carriers: 3, AddressTTL: 30 * time.Second}}
}

// newCluster starts the VMs with one service that up to 3 of them carry.
func newCluster(t *testing.T, ids ...string) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	cl := &cluster{g: gomega.NewWithT(t), ctx: ctx, linkDown: map[[2]fleet.VMID]bool{}, nodes: map[fleet.VMID]*node{}}
	t.Cleanup(func() {
		cancel()
		cl.running.Wait()
	})
	for _, id := range ids {
		cl.setListed(makeVM(id))
	}
	for _, id := range ids {
		cl.start(makeVM(id))
	}
	return cl
}

func (cl *cluster) start(vm fleet.VM) *node {
	n := &node{cluster: cl}
	cl.seed++
	n.Table = New(vm, fleet.NewIncarnation(vm.ID), Hooks{
		Send:      n.send,
		List:      store.VMList{ChangesSince: cl.listSince},
		Collect:   n.collect,
		Deliver:   n.deliver,
		IsSuspect: n.isSuspect,
		IsReady:   func() bool { return true },
		Revision:  func() uint64 { return 7 },
	}, WithSeed(cl.seed))
	n.SetServices([]*fleet.Service{makeService("s")})
	cl.withLock(func() { cl.nodes[vm.ID] = n })
	ctx, cancel := context.WithCancel(cl.ctx)
	n.stop = cancel
	cl.running.Go(func() { n.Run(ctx) })
	return n
}

func (n *node) collect(fleet.ServiceID) inner.ServiceReport {
	var delay time.Duration
	var r inner.ServiceReport
	n.cluster.withLock(func() { delay, r.Evidence = n.collectDelay, n.evidence })
	time.Sleep(delay)
	return r
}

func (n *node) isSuspect(fleet.ServiceID) (suspect bool) {
	n.cluster.withLock(func() { suspect = n.suspect })
	return suspect
}

func (n *node) deliver(id fleet.ServiceID, from Sender, r *inner.ServiceReport) {
	n.cluster.withLock(func() { n.delivered = append(n.delivered, delivery{id, from, *r}) })
}

// send delivers a report if the link to the receiver is up, and returns the reply if
// the link back is up.
func (n *node) send(ctx context.Context, to inner.Peer, m *inner.ReportMsg) (*inner.ReportReplyMsg, error) {
	cl, from := n.cluster, n.self.ID
	cl.mu.Lock()
	cl.sends = append(cl.sends, send{time.Now(), from, to.VM, m})
	target, lost, replyLost := cl.nodes[to.VM], cl.linkDown[[2]fleet.VMID{from, to.VM}], cl.linkDown[[2]fleet.VMID{to.VM, from}]
	cl.mu.Unlock()
	var reply *inner.ReportReplyMsg
	err := io.ErrUnexpectedEOF
	if target != nil && !lost {
		reply, err = target.Receive(ctx, from, m)
	}
	if err != nil || replyLost {
		time.Sleep(inner.DefaultCallTimeout)
		return nil, io.ErrUnexpectedEOF
	}
	return reply, nil
}

// withLock calls f while it holds the lock of the cluster.
func (cl *cluster) withLock(f func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	f()
}

func (cl *cluster) listSince(context.Context, uint64) (store.VMChanges, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.listUnavailable {
		return store.VMChanges{}, fault.New(fault.StoreUnavailable, "VM list is unavailable")
	}
	return store.VMChanges{Version: cl.version, Full: true, Live: slices.Clone(cl.list)}, nil
}

func (cl *cluster) setListed(vm fleet.VM) {
	cl.removeListed(vm.ID)
	cl.withLock(func() { cl.list = append(cl.list, vm) })
}

func (cl *cluster) removeListed(id fleet.VMID) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.version++
	cl.list = slices.DeleteFunc(cl.list, func(v fleet.VM) bool { return v.ID == id })
}

func (cl *cluster) setLinkDown(from, to fleet.VMID, down bool) {
	cl.withLock(func() { cl.linkDown[[2]fleet.VMID{from, to}] = down })
}

// isolate disconnects the VM from all others, or reconnects it if isolated is false.
func (cl *cluster) isolate(id fleet.VMID, isolated bool) {
	for other := range cl.nodes {
		cl.setLinkDown(id, other, isolated)
		cl.setLinkDown(other, id, isolated)
	}
}

// kill stops the daemon on the VM without a graceful leave.
func (cl *cluster) kill(id fleet.VMID) {
	n := cl.nodes[id]
	cl.withLock(func() { delete(cl.nodes, id) })
	n.stop()
}

func (cl *cluster) peer(at, of fleet.VMID) *Peer {
	p, ok := cl.nodes[at].View().Peer(of)
	cl.g.Expect(ok).To(gomega.BeTrue(), "%s does not know %s", at, of)
	return p
}

// usability returns whether VM at may use VM of for evidence, as prober and for addresses.
func (cl *cluster) usability(at, of fleet.VMID) [3]bool {
	p, now := cl.peer(at, of), time.Now()
	return [3]bool{p.IsUsableForEvidence(now), p.IsUsableAsProber(now), p.IsUsableForAddresses(now)}
}

func (cl *cluster) addresses(at fleet.VMID) []fleet.VMID {
	var ids []fleet.VMID
	for _, vm := range cl.nodes[at].View().Addresses("s", place.Caller{}, time.Now()) {
		ids = append(ids, vm.ID)
	}
	slices.Sort(ids)
	return ids
}

func (cl *cluster) deliveries(at fleet.VMID) (got []delivery) {
	cl.withLock(func() { got = slices.Clone(cl.nodes[at].delivered) })
	return got
}

func (cl *cluster) sentReports() (sends []send) {
	cl.withLock(func() { sends = slices.Clone(cl.sends) })
	return sends
}

func (cl *cluster) countSent(from, to fleet.VMID, since time.Time) (n int) {
	for _, s := range cl.sentReports() {
		if s.from == from && s.to == to && s.at.After(since) {
			n++
		}
	}
	return n
}

func vmIDs(vms ...string) (list []fleet.VMID) {
	for _, id := range vms {
		list = append(list, fleet.VMID(id))
	}
	return list
}

var (
	usableForAll = [3]bool{true, true, true}
	unusable     = [3]bool{}
	// evidenceOnly is the usability of a peer that is heard but does not hear this VM.
	evidenceOnly = [3]bool{true, false, false}
)
