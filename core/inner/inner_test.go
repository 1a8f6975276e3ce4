package inner

import (
	"bytes"
	"context"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"storj.io/drpc"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/order"
	"wisteriarelay.example/core/settle"
)

func TestInner(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "inner")
}

// pipeNet is an in-memory network with one listener for each address.
type pipeNet struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dials     atomic.Int32
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeNet() *pipeNet {
	return &pipeNet{listeners: map[string]*pipeListener{}}
}

func (n *pipeNet) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *pipeNet) dial(ctx context.Context, address string) (net.Conn, error) {
	n.dials.Add(1)
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}

// makeReport returns a report in which each target has requests in flight and 6 B of
// evidence.
func makeReport(services, targets int) *ReportMsg {
	m := &ReportMsg{Run: 1<<63 + 5, Started: 1_790_000_000_000, Sequence: 70_000, Revision: 4_000, Ready: true}
	for i := range 5 {
		m.Heard = append(m.Heard, IncarnationHash(fleet.IncarnationFromRunID("vm", uint64(i+1))))
	}
	for i := range services {
		s := ServiceReport{Service: fleet.ServiceID("disponible-0" + string(rune('1'+i))), EjectionVersion: 812}
		s.Evidence = bytes.Repeat([]byte{0xa5}, 6*targets)
		for j := range targets {
			s.InFlight = append(s.InFlight, TargetLoad{Target: 0x80000000 + uint32(j), Quarters: 2})
		}
		m.Services = append(m.Services, s)
	}
	return m
}

// ledgerPart returns a part of a ledger with n records.
func ledgerPart(n int) *LedgerMsg {
	p := &LedgerMsg{Ledger: fleet.IncarnationFromRunID("vm-1", 1), Count: 1, FirstEpoch: 1, LastEpoch: 1, Retention: time.Hour, ExportID: 5}
	for i := range n {
		key := order.Hash{1, byte(i), byte(i >> 8)}
		p.Records = append(p.Records, order.Record{Epoch: 1, Key: key, Digest: order.Hash{2}, State: order.StateNotRun})
	}
	return p
}

// samples returns one valid message of each type.
func samples() []drpc.Message {
	home := fleet.NewIncarnation("vm-1")
	report := makeReport(2, 3)
	report.Self = &fleet.VM{ID: "vm-1", Region: "r", DataCentre: "d", CallerAddress: "1.2.3.4:80", PeerAddress: "1.2.3.4:81", Leaving: true}
	report.Services[0].Leaving = []fleet.TargetID{"t1"}
	report.Services[1].Ejections = []byte("list")
	return []drpc.Message{
		report,
		&ReportReplyMsg{Run: 7, Revision: 9, Status: ReportFromUnknownVM},
		&OrderRequestMsg{Ledger: home, Epoch: 2, Key: order.Hash{1}, Digest: order.Hash{2}, OnUnseen: order.UnseenRelease, Grant: &order.Grant{Grantee: home, Epoch: 1}},
		&OrderReplyMsg{State: order.StateRun, Response: &order.Response{Status: 200, Body: []byte("answer")}},
		ledgerPart(2),
		&LedgerReplyMsg{Kept: 2},
		&RevisionRequestMsg{Have: 8},
		&RevisionReplyMsg{Revision: 9, HeadRead: true, HeadAge: 1500, Snapshot: []byte("s")},
		&VMsRequestMsg{},
		&VMsReplyMsg{VMs: []fleet.VM{{ID: "vm-1", PeerAddress: "1.2.3.4:81"}}},
		&StateRequestMsg{Part: "peers"},
		&StateReplyMsg{Revision: 3, Dump: []byte("{}")},
	}
}

// empty returns a new message of the same type.
func empty(m drpc.Message) drpc.Message {
	return reflect.New(reflect.TypeOf(m).Elem()).Interface()
}

var _ = ginkgo.Describe("messages", func() {
	ginkgo.It("survive encoding and decoding", func() {
		for _, m := range samples() {
			buf, err := Codec{}.MarshalAppend([]byte("prefix"), m)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			back := empty(m)
			gomega.Expect(Codec{}.Unmarshal(buf[len("prefix"):], back)).To(gomega.Succeed())
			gomega.Expect(back).To(gomega.BeComparableTo(m))
		}
	})

	// Guards against messages that exhaust a peer's memory or that are accepted
	// although a field is missing.
	ginkgo.DescribeTable("that exceed a size limit or lack a field are rejected in both directions",
		func(m drpc.Message) {
			_, err := Codec{}.Marshal(m)
			gomega.Expect(fault.Is(err, fault.MessageInvalid)).To(gomega.BeTrue(), "%v", err)
			buf, err := encMode.Marshal(m)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			err = Codec{}.Unmarshal(buf, empty(m))
			gomega.Expect(fault.Is(err, fault.MessageInvalid)).To(gomega.BeTrue(), "%v", err)
		},
		ginkgo.Entry("no run", &ReportMsg{Started: 1, Sequence: 1}),
		ginkgo.Entry("no start", &ReportMsg{Run: 1, Sequence: 1}),
		ginkgo.Entry("no sequence", &ReportMsg{Run: 1, Started: 1}),
		ginkgo.Entry("heard list", &ReportMsg{Run: 1, Started: 1, Sequence: 1, Heard: make([]uint32, MaxHeard+1)}),
		ginkgo.Entry("self", &ReportMsg{Run: 1, Started: 1, Sequence: 1, Self: &fleet.VM{ID: "a", PeerAddress: string(make([]byte, MaxAddressLen+1))}}),
		ginkgo.Entry("services", makeReport(MaxServices+1, 0)),
		ginkgo.Entry("service twice", &ReportMsg{Run: 1, Started: 1, Sequence: 1, Services: []ServiceReport{{Service: "a"}, {Service: "a"}}}),
		ginkgo.Entry("service id", &ReportMsg{Run: 1, Started: 1, Sequence: 1, Services: []ServiceReport{{}}}),
		ginkgo.Entry("work in flight", makeReport(1, MaxTargets+1)),
		ginkgo.Entry("evidence", &ReportMsg{Run: 1, Started: 1, Sequence: 1, Services: []ServiceReport{{Service: "a", Evidence: make([]byte, MaxEvidenceBytes+1)}}}),
		ginkgo.Entry("ejections", &ReportMsg{Run: 1, Started: 1, Sequence: 1, Services: []ServiceReport{{Service: "a", Ejections: make([]byte, MaxEjectionsBytes+1)}}}),
		ginkgo.Entry("leaving target", &ReportMsg{Run: 1, Started: 1, Sequence: 1, Services: []ServiceReport{{Service: "a", Leaving: []fleet.TargetID{""}}}}),
		ginkgo.Entry("reply", &ReportReplyMsg{Run: 1, Status: reportStatusCount}),
		ginkgo.Entry("order home", &OrderRequestMsg{Epoch: 1, Key: order.Hash{1}}),
		ginkgo.Entry("order release without asker", &OrderRequestMsg{Ledger: fleet.IncarnationFromRunID("v", 1), Epoch: 1, Key: order.Hash{1}, OnUnseen: order.UnseenRelease}),
		ginkgo.Entry("order response missing", &OrderReplyMsg{State: order.StateReleased}),
		ginkgo.Entry("ledger part", &LedgerMsg{Ledger: fleet.IncarnationFromRunID("v", 1), Index: 2, Count: 2}),
		ginkgo.Entry("ledger size", ledgerPart(MaxRequestBytes/32)),
		ginkgo.Entry("ledger reply", &LedgerReplyMsg{Kept: MaxLedgerRecords + 1}),
		ginkgo.Entry("deltas out of order", &RevisionReplyMsg{Revision: 2, Deltas: []*settle.Delta{{Revision: 2}, {Revision: 2}}}),
		ginkgo.Entry("snapshot", &RevisionReplyMsg{Revision: 1, Snapshot: make([]byte, MaxReplyBytes+1)}),
		ginkgo.Entry("VMs", &VMsReplyMsg{VMs: make([]fleet.VM, MaxVMs+1)}),
		ginkgo.Entry("VM without id", &VMsReplyMsg{VMs: make([]fleet.VM, 1)}),
		ginkgo.Entry("state ask", &StateRequestMsg{Part: string(make([]byte, MaxIDLen+1))}),
		ginkgo.Entry("state reply", &StateReplyMsg{Dump: make([]byte, MaxDumpBytes+1)}),
	)

	ginkgo.DescribeTable("with malformed bytes are rejected",
		func(buf []byte) {
			err := Codec{}.Unmarshal(buf, new(ReportMsg))
			gomega.Expect(fault.Is(err, fault.MessageInvalid)).To(gomega.BeTrue(), "%v", err)
		},
		ginkgo.Entry("empty", []byte{}),
		ginkgo.Entry("truncated", []byte{0xa3, 0x01, 0x01}),
		ginkgo.Entry("key twice", []byte{0xa4, 0x01, 0x01, 0x01, 0x02, 0x02, 0x01, 0x03, 0x01}),
		ginkgo.Entry("bytes after the message", []byte{0xa3, 0x01, 0x01, 0x02, 0x01, 0x03, 0x01, 0x00}),
		ginkgo.Entry("indefinite length", []byte{0xbf, 0x01, 0x01, 0x02, 0x01, 0x03, 0x01, 0xff}),
		ginkgo.Entry("array of 4 billion", []byte{0xa1, 0x07, 0x9a, 0xff, 0xff, 0xff, 0xff}),
		ginkgo.Entry("text for a number", []byte{0xa1, 0x01, 0x61, 0x31}),
		ginkgo.Entry("deep nesting", append(bytes.Repeat([]byte{0x81}, 64), 0x00)),
	)

	ginkgo.It("ignore keys of a later version", func() {
		m := new(ReportMsg)
		gomega.Expect(Codec{}.Unmarshal([]byte{0xa4, 0x01, 0x01, 0x02, 0x01, 0x03, 0x01, 0x18, 0x63, 0x81, 0x01}, m)).To(gomega.Succeed())
		gomega.Expect(m.Sequence).To(gomega.Equal(uint64(1)))
	})

	ginkgo.It("of other types are rejected", func() {
		_, err := Codec{}.Marshal(new(int))
		gomega.Expect(fault.Is(err, fault.MessageInvalid)).To(gomega.BeTrue())
	})
})
