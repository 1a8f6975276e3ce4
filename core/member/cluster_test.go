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

// cluster is a fleet of tables on an in-memory network with a VM list.
type cluster struct {
	g   *gomega.WithT
	ctx context.Context

	running sync.WaitGroup

	mu      sync.Mutex
	list    []fleet.VM
	version uint64
	away    bool
	cut     map[[2]fleet.VMID]bool
	nodes   map[fleet.VMID]*node
	seed    uint64
	sends   []send
}

type node struct {
	*Table
	cluster  *cluster
	stop     context.CancelFunc
	suspect  bool
	evidence []byte
	block    time.Duration
	got      []delivery
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
	return fleet.VM{ID: fleet.VMID(id), Region: "r", DataCentre: fleet.DataCentre("dc-" + id[:1]), Caller: id + ":80", Inner: id + ":81"}
}

func makeService(id string) *fleet.Service {
	return &fleet.Service{ID: fleet.ServiceID(id), Region: "r", Policy: fleet.Policy{Carriers: 3, AddressTTL: 30 * time.Second}}
}

// newCluster starts the VMs with one service, which they all carry up to 3.
func newCluster(t *testing.T, ids ...string) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	w := &cluster{g: gomega.NewWithT(t), ctx: ctx, cut: map[[2]fleet.VMID]bool{}, nodes: map[fleet.VMID]*node{}}
	t.Cleanup(func() {
		cancel()
		w.running.Wait()
	})
	for _, id := range ids {
		w.setListed(makeVM(id))
	}
	for _, id := range ids {
		w.start(makeVM(id))
	}
	return w
}

func (w *cluster) start(vm fleet.VM) *node {
	n := &node{cluster: w}
	w.seed++
	n.Table = New(vm, fleet.NewIncarnation(vm.ID), Hooks{
		Send:      n.send,
		List:      store.VMList{Since: w.since},
		Collect:   n.collect,
		Deliver:   n.deliver,
		IsSuspect: n.isSuspect,
		IsReady:   func() bool { return true },
		Revision:  func() uint64 { return 7 },
	}, WithSeed(w.seed))
	n.SetServices([]*fleet.Service{makeService("s")})
	w.do(func() { w.nodes[vm.ID] = n })
	ctx, cancel := context.WithCancel(w.ctx)
	n.stop = cancel
	w.running.Go(func() { n.Run(ctx) })
	return n
}

func (n *node) collect(fleet.ServiceID) inner.ServiceReport {
	var block time.Duration
	var r inner.ServiceReport
	n.cluster.do(func() { block, r.Evidence = n.block, n.evidence })
	time.Sleep(block)
	return r
}

func (n *node) isSuspect(fleet.ServiceID) (suspect bool) {
	n.cluster.do(func() { suspect = n.suspect })
	return suspect
}

func (n *node) deliver(id fleet.ServiceID, from Sender, r *inner.ServiceReport) {
	n.cluster.do(func() { n.got = append(n.got, delivery{id, from, *r}) })
}

// send carries a report if the way there is open, and its reply if the way back is.
func (n *node) send(ctx context.Context, to inner.Peer, m *inner.ReportMsg) (*inner.ReportReplyMsg, error) {
	w, from := n.cluster, n.self.ID
	w.mu.Lock()
	w.sends = append(w.sends, send{time.Now(), from, to.VM, m})
	target, lost, replyLost := w.nodes[to.VM], w.cut[[2]fleet.VMID{from, to.VM}], w.cut[[2]fleet.VMID{to.VM, from}]
	w.mu.Unlock()
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

// do runs f while no goroutine of the fleet reads or changes the cluster.
func (w *cluster) do(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *cluster) since(context.Context, uint64) (store.VMChanges, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.away {
		return store.VMChanges{}, fault.New(fault.StoreUnavailable, "list is away")
	}
	return store.VMChanges{Version: w.version, Full: true, Live: slices.Clone(w.list)}, nil
}

func (w *cluster) setListed(vm fleet.VM) {
	w.unlist(vm.ID)
	w.do(func() { w.list = append(w.list, vm) })
}

func (w *cluster) unlist(id fleet.VMID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.list = slices.DeleteFunc(w.list, func(v fleet.VM) bool { return v.ID == id })
}

func (w *cluster) setCut(from, to fleet.VMID, on bool) {
	w.do(func() { w.cut[[2]fleet.VMID{from, to}] = on })
}

// isolate cuts the VM off from all others, or connects it again.
func (w *cluster) isolate(id fleet.VMID, on bool) {
	for other := range w.nodes {
		w.setCut(id, other, on)
		w.setCut(other, id, on)
	}
}

// kill stops the daemon on the VM without a word.
func (w *cluster) kill(id fleet.VMID) {
	n := w.nodes[id]
	w.do(func() { delete(w.nodes, id) })
	n.stop()
}

func (w *cluster) peer(at, of fleet.VMID) *Peer {
	p, ok := w.nodes[at].View().Peer(of)
	w.g.Expect(ok).To(gomega.BeTrue(), "%s does not know %s", at, of)
	return p
}

// conclusions are those of one VM about another: evidence, prober, addresses.
func (w *cluster) conclusions(at, of fleet.VMID) [3]bool {
	p, now := w.peer(at, of), time.Now()
	return [3]bool{p.IsUsableForEvidence(now), p.IsUsableAsProber(now), p.IsUsableForAddresses(now)}
}

func (w *cluster) addresses(at fleet.VMID) []fleet.VMID {
	var ids []fleet.VMID
	for _, vm := range w.nodes[at].View().Addresses("s", place.Caller{}, time.Now()) {
		ids = append(ids, vm.ID)
	}
	slices.Sort(ids)
	return ids
}

func (w *cluster) deliveries(at fleet.VMID) (got []delivery) {
	w.do(func() { got = slices.Clone(w.nodes[at].got) })
	return got
}

func (w *cluster) reports() (sends []send) {
	w.do(func() { sends = slices.Clone(w.sends) })
	return sends
}

func (w *cluster) sent(from, to fleet.VMID, since time.Time) (n int) {
	for _, s := range w.reports() {
		if s.from == from && s.to == to && s.at.After(since) {
			n++
		}
	}
	return n
}

func ids(vms ...string) (list []fleet.VMID) {
	for _, id := range vms {
		list = append(list, fleet.VMID(id))
	}
	return list
}

var (
	all  = [3]bool{true, true, true}
	none = [3]bool{}
	// evidenceOnly is the conclusion about a peer that is heard but does not hear.
	evidenceOnly = [3]bool{true, false, false}
)
