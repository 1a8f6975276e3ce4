package inner

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"storj.io/drpc"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/order"
)

// fixture is a server on VM "b" and a client on VM "a", connected by an in-memory network.
type fixture struct {
	g          *gomega.WithT
	net        *pipeNet
	authority  *Authority
	client     *Client
	peer       Peer
	stopServer context.CancelFunc
}

func newFixture(t *testing.T, h Handlers, opts ...ClientOption) *fixture {
	f := &fixture{g: gomega.NewWithT(t), net: newPipeNet(), peer: Peer{VM: "b", Address: "b:1"}}
	var err error
	f.authority, err = NewAuthority()
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.serve(t, h)
	f.client = NewClient(f.issue(f.authority, "a"), append(opts, WithDial(f.net.dial))...)
	t.Cleanup(f.client.Close)
	return f
}

func (f *fixture) issue(a *Authority, vm fleet.VMID) Identity {
	id, err := a.Issue(vm)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	return id
}

func (f *fixture) serve(t *testing.T, h Handlers, opts ...ServerOption) {
	s, err := NewServer(f.issue(f.authority, "b"), h, opts...)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	lis := f.net.listen("b:1")
	var running sync.WaitGroup
	f.stopServer = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(f.stopServer)
	running.Go(func() { _ = s.Serve(ctx, lis) })
}

// mustReport sends a report that has to succeed.
func (f *fixture) mustReport() *ReportReplyMsg {
	reply, err := f.report()
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	return reply
}

func (f *fixture) report() (*ReportReplyMsg, error) {
	return f.client.Report(context.Background(), f.peer, makeReport(1, 1))
}

func (f *fixture) expectFault(err error, k fault.Kind) {
	f.g.Expect(fault.Is(err, k)).To(gomega.BeTrue(), "%v", err)
}

func answerReport(context.Context, fleet.VMID, *ReportMsg) (*ReportReplyMsg, error) {
	return &ReportReplyMsg{Run: 2}, nil
}

func TestCallsReachHandlers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var from fleet.VMID
		f := newFixture(t, Handlers{
			Report: func(_ context.Context, vm fleet.VMID, m *ReportMsg) (*ReportReplyMsg, error) {
				from = vm
				return &ReportReplyMsg{Run: 2, Revision: m.Revision + 1}, nil
			},
			Order: func(context.Context, fleet.VMID, *OrderRequestMsg) (*OrderReplyMsg, error) {
				return nil, fault.New(fault.OrderClosed, "closed: for good")
			},
			Ledger: func(_ context.Context, _ fleet.VMID, m *LedgerMsg) (*LedgerReplyMsg, error) {
				return &LedgerReplyMsg{Kept: uint32(len(m.Records))}, nil
			},
			Revision: func(context.Context, fleet.VMID, *RevisionRequestMsg) (*RevisionReplyMsg, error) {
				return &RevisionReplyMsg{Revision: 1, Snapshot: make([]byte, MaxSnapshotBytes)}, nil
			},
		})
		ctx := context.Background()
		reply := f.mustReport()
		f.g.Expect(reply.Revision).To(gomega.Equal(uint64(4_001)))
		f.g.Expect(from).To(gomega.Equal(fleet.VMID("a")))
		_, err := f.client.Order(ctx, f.peer, &OrderRequestMsg{Ledger: fleet.IncarnationFromRunID("b", 1), Epoch: 1, Key: order.Hash{1}})
		f.expectFault(err, fault.OrderClosed)
		f.g.Expect(fault.From(err).Detail).To(gomega.Equal("closed: for good"))
		kept, err := f.client.Ledger(ctx, f.peer, ledgerPart(1))
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		f.g.Expect(kept.Kept).To(gomega.Equal(uint32(1)))
		revision, err := f.client.Revision(ctx, f.peer, &RevisionRequestMsg{})
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		f.g.Expect(revision.Snapshot).To(gomega.HaveLen(MaxSnapshotBytes))
		_, err = f.client.State(ctx, f.peer, &StateRequestMsg{})
		f.expectFault(err, fault.NotReady)
		f.g.Expect(f.net.dials.Load()).To(gomega.BeEquivalentTo(1), "all calls share one connection, also failed ones")
	})
}

// Guards against accepting a peer whose certificate is missing, was issued by
// another authority, or was issued by the fleet's authority for another purpose.
func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		f := newFixture(t, Handlers{Report: func(ctx context.Context, vm fleet.VMID, m *ReportMsg) (*ReportReplyMsg, error) {
			calls.Add(1)
			return answerReport(ctx, vm, m)
		}})
		other, err := NewAuthority()
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		foreign := f.issue(other, "a")
		foreign.Authority = f.issue(f.authority, "x").Authority // the client accepts the server, but not the reverse
		none := foreign
		none.Certificate = tls.Certificate{}
		for _, id := range []Identity{foreign, none, f.issue(other, "a")} {
			c := NewClient(id, WithDial(f.net.dial))
			_, err := c.Report(context.Background(), f.peer, makeReport(1, 1))
			f.expectFault(err, fault.PeerUnreachable)
			c.Close()
		}
		_, err = f.authority.issue("operator", "wisteriactl")
		f.expectFault(err, fault.Unauthenticated)
		f.peer.VM = "c" // the address now belongs to another VM
		_, err = f.report()
		f.expectFault(err, fault.PeerUnreachable)
		f.g.Expect(calls.Load()).To(gomega.BeZero())
	})
}

// Guards against invalid bytes from an authenticated peer. A malformed message must
// fail only its call; an oversized one must close the connection.
func TestOversizedAndMalformedRequestsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Handlers{Report: answerReport})
		conn, err := f.client.connect(context.Background(), f.peer)
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		err = conn.Invoke(context.Background(), rpcReport, rawCodec{}, []byte{0xa1, 0x01}, new(ReportReplyMsg))
		f.expectFault(remoteFault(err), fault.MessageInvalid)
		err = conn.Invoke(context.Background(), rpcReport, rawCodec{}, make([]byte, MaxRequestBytes+1), new(ReportReplyMsg))
		f.g.Expect(err).To(gomega.HaveOccurred())
		synctest.Wait()
		f.g.Expect(isClosed(conn)).To(gomega.BeTrue())
		f.mustReport()
	})
}

// rawCodec sends bytes without encoding them.
type rawCodec struct{ Codec }

func (rawCodec) Marshal(msg drpc.Message) ([]byte, error) { return msg.([]byte), nil }

func (rawCodec) MarshalAppend(_ []byte, msg drpc.Message) ([]byte, error) { return msg.([]byte), nil }

// Guards against calls that hang on a paused peer, and against reading its late
// reply as the reply to the next call on the same connection.
func TestCallToPausedPeerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var run atomic.Uint64
		f := newFixture(t, Handlers{Report: func(ctx context.Context, _ fleet.VMID, _ *ReportMsg) (*ReportReplyMsg, error) {
			n := run.Add(1)
			if n == 1 {
				time.Sleep(5 * time.Second)
			}
			return &ReportReplyMsg{Run: n}, nil
		}})
		start := time.Now()
		_, err := f.report()
		f.expectFault(err, fault.PeerUnreachable)
		f.g.Expect(time.Since(start)).To(gomega.Equal(DefaultCallTimeout))
		reply := f.mustReport()
		f.g.Expect(reply.Run).To(gomega.Equal(uint64(2)))
		time.Sleep(5 * time.Second)
	})
}

// Guards against an unauthenticated peer that occupies a connection by never
// starting the TLS handshake.
func TestConnectionWithoutHandshakeIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Handlers{})
		conn, err := f.net.dial(context.Background(), "b:1")
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		start := time.Now()
		_, err = conn.Read(make([]byte, 1))
		f.g.Expect(err).To(gomega.Equal(io.EOF))
		f.g.Expect(time.Since(start)).To(gomega.Equal(handshakeTimeout))
	})
}

func TestConnectionsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Handlers{Report: answerReport})
		f.stopServer()
		f.serve(t, Handlers{Report: answerReport}, WithMaxConns(1))
		f.mustReport()
		conn, err := f.net.dial(context.Background(), "b:1")
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		f.g.Expect(err).To(gomega.Equal(io.EOF))
	})
}

// Guards against frequent dials to a peer that is down, and against a long delay
// before it is called again once it is back.
func TestDialsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Handlers{Report: answerReport})
		f.stopServer()
		for range 600 {
			_, err := f.report()
			f.expectFault(err, fault.PeerUnreachable)
			time.Sleep(100 * time.Millisecond)
		}
		// Within this minute the delay between dials grows from 250 ms to 2 to 6 s.
		f.g.Expect(f.net.dials.Load()).To(gomega.BeNumerically("~", 20, 10))
		f.serve(t, Handlers{Report: answerReport})
		start := time.Now()
		for {
			if _, err := f.report(); err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", dialRetryMax*3/2+100*time.Millisecond))
	})
}

// Guards against a failed call on a pooled connection that was broken by a restart
// of the peer.
func TestRestartedPeerIsCalledOnNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Handlers{Report: answerReport})
		for range 3 {
			f.mustReport()
			f.stopServer()
			f.serve(t, Handlers{Report: answerReport})
		}
		f.g.Expect(f.net.dials.Load()).To(gomega.BeEquivalentTo(3))
	})
}

func TestIdleConnectionsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Handlers{Report: answerReport}, WithIdleTimeout(10*time.Second))
		f.mustReport()
		time.Sleep(9 * time.Second)
		f.mustReport()
		f.g.Expect(f.net.dials.Load()).To(gomega.BeEquivalentTo(1))
		time.Sleep(16 * time.Second)
		synctest.Wait()
		f.client.mu.Lock()
		f.g.Expect(f.client.pools).To(gomega.BeEmpty())
		f.client.mu.Unlock()
		f.mustReport()
		f.g.Expect(f.net.dials.Load()).To(gomega.BeEquivalentTo(2))
		f.client.Close()
		_, err := f.report()
		f.expectFault(err, fault.PeerUnreachable)
	})
}

// Guards against leaking a connection that was in use when the client was closed.
func TestClosedPoolKeepsNoConnection(t *testing.T) {
	g, closed := gomega.NewWithT(t), 0
	dial := func(context.Context) (int, error) { return 7, nil }
	p := newPool(1, dial, func(int) bool { return false }, func(c int) { closed += c })
	conn, fresh, err := p.get(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(fresh).To(gomega.BeTrue())
	g.Expect(p.closeIdle(time.Now(), true)).To(gomega.BeTrue())
	p.put(conn, true)
	g.Expect(closed).To(gomega.Equal(7))
}

// countedConn counts the bytes that a client writes and reads.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// BenchmarkCall measures a call with a report of the planned size over TLS on the
// loopback interface. The bytes include TLS and drpc but no TCP/IP headers.
func BenchmarkCall(b *testing.B) {
	authority, err := NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	server, _ := authority.Issue("b")
	self, _ := authority.Issue("a")
	s, _ := NewServer(server, Handlers{Report: answerReport})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Serve(ctx, lis) })
	var sent, received atomic.Int64
	c := NewClient(self, WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		return countedConn{conn, &sent, &received}, err
	}))
	peer, m := Peer{VM: "b", Address: lis.Addr().String()}, makeReport(1, 27)
	m.Services[0].InFlight = m.Services[0].InFlight[:5]
	if _, err := c.Report(ctx, peer, m); err != nil {
		b.Fatal(err)
	}
	sent.Store(0)
	received.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Report(ctx, peer, m); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(sent.Load())/float64(b.N), "sent-bytes/call")
	b.ReportMetric(float64(received.Load())/float64(b.N), "received-bytes/call")
	c.Close()
	cancel()
	running.Wait()
}
