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

// fixture is a server "b" and a client "a" on an in-memory network.
type fixture struct {
	g         *gomega.WithT
	net       *pipeNet
	authority *Authority
	client    *Client
	peer      Peer
	end       context.CancelFunc
}

func newFixture(t *testing.T, h Handlers, opts ...ClientOption) *fixture {
	r := &fixture{g: gomega.NewWithT(t), net: newPipeNet(), peer: Peer{VM: "b", Address: "b:1"}}
	var err error
	r.authority, err = NewAuthority()
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.serve(t, h)
	r.client = NewClient(r.issue(r.authority, "a"), append(opts, WithDial(r.net.dial))...)
	t.Cleanup(r.client.Close)
	return r
}

func (r *fixture) issue(a *Authority, vm fleet.VMID) Identity {
	id, err := a.Issue(vm)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	return id
}

func (r *fixture) serve(t *testing.T, h Handlers, opts ...ServerOption) {
	s, err := NewServer(r.issue(r.authority, "b"), h, opts...)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	lis := r.net.listen("b:1")
	var running sync.WaitGroup
	r.end = func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(r.end)
	running.Go(func() { _ = s.Serve(ctx, lis) })
}

// mustReport sends a report that has to succeed.
func (r *fixture) mustReport() *ReportReplyMsg {
	reply, err := r.report()
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	return reply
}

func (r *fixture) report() (*ReportReplyMsg, error) {
	return r.client.Report(context.Background(), r.peer, makeReport(1, 1))
}

func (r *fixture) expectFault(err error, k fault.Kind) {
	r.g.Expect(fault.Is(err, k)).To(gomega.BeTrue(), "%v", err)
}

func answerReport(context.Context, fleet.VMID, *ReportMsg) (*ReportReplyMsg, error) {
	return &ReportReplyMsg{Run: 2}, nil
}

func TestCallsReachTheirHandlers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var from fleet.VMID
		r := newFixture(t, Handlers{
			Report: func(_ context.Context, vm fleet.VMID, m *ReportMsg) (*ReportReplyMsg, error) {
				from = vm
				return &ReportReplyMsg{Run: 2, Revision: m.Revision + 1}, nil
			},
			OrderAsk: func(context.Context, fleet.VMID, *OrderAskMsg) (*OrderReplyMsg, error) {
				return nil, fault.New(fault.OrderClosed, "closed: for good")
			},
			Ledger: func(_ context.Context, _ fleet.VMID, m *LedgerMsg) (*LedgerReplyMsg, error) {
				return &LedgerReplyMsg{Kept: uint32(len(m.Records))}, nil
			},
			RevisionAsk: func(context.Context, fleet.VMID, *RevisionAskMsg) (*RevisionReplyMsg, error) {
				return &RevisionReplyMsg{Revision: 1, Snapshot: make([]byte, MaxSnapshot)}, nil
			},
		})
		ctx := context.Background()
		reply := r.mustReport()
		r.g.Expect(reply.Revision).To(gomega.Equal(uint64(4_001)))
		r.g.Expect(from).To(gomega.Equal(fleet.VMID("a")))
		_, err := r.client.OrderAsk(ctx, r.peer, &OrderAskMsg{Ledger: fleet.IncarnationOf("b", 1), Epoch: 1, Key: order.Hash{1}})
		r.expectFault(err, fault.OrderClosed)
		r.g.Expect(fault.From(err).Detail).To(gomega.Equal("closed: for good"))
		kept, err := r.client.Ledger(ctx, r.peer, ledgerPart(1))
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		r.g.Expect(kept.Kept).To(gomega.Equal(uint32(1)))
		revision, err := r.client.RevisionAsk(ctx, r.peer, &RevisionAskMsg{})
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		r.g.Expect(revision.Snapshot).To(gomega.HaveLen(MaxSnapshot))
		_, err = r.client.StateAsk(ctx, r.peer, &StateAskMsg{})
		r.expectFault(err, fault.NotReady)
		r.g.Expect(r.net.dials.Load()).To(gomega.BeEquivalentTo(1), "all calls, also refused ones, share one connection")
	})
}

// Guards against a peer without a certificate of the fleet's authority, and
// against other certificates of the same authority.
func TestUnknownPeersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		r := newFixture(t, Handlers{Report: func(ctx context.Context, vm fleet.VMID, m *ReportMsg) (*ReportReplyMsg, error) {
			calls.Add(1)
			return answerReport(ctx, vm, m)
		}})
		other, err := NewAuthority()
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		foreign := r.issue(other, "a")
		foreign.Authority = r.issue(r.authority, "x").Authority // its holder trusts the fleet
		none := foreign
		none.Certificate = tls.Certificate{}
		for _, id := range []Identity{foreign, none, r.issue(other, "a")} {
			c := NewClient(id, WithDial(r.net.dial))
			_, err := c.Report(context.Background(), r.peer, makeReport(1, 1))
			r.expectFault(err, fault.PeerUnreachable)
			c.Close()
		}
		_, err = r.authority.issue("operator", "wisteriactl")
		r.expectFault(err, fault.Unauthenticated)
		r.peer.VM = "c" // another VM took over the address
		_, err = r.report()
		r.expectFault(err, fault.PeerUnreachable)
		r.g.Expect(calls.Load()).To(gomega.BeZero())
	})
}

// Guards against raw bytes of an admitted peer that are too large or no message:
// the first ends its connection, the second its call only.
func TestOversizedAndMalformedCallsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, Handlers{Report: answerReport})
		conn, err := r.client.connect(context.Background(), r.peer)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		err = conn.Invoke(context.Background(), rpcReport, rawCodec{}, []byte{0xa1, 0x01}, new(ReportReplyMsg))
		r.expectFault(remoteFault(err), fault.MessageInvalid)
		err = conn.Invoke(context.Background(), rpcReport, rawCodec{}, make([]byte, MaxAsk+1), new(ReportReplyMsg))
		r.g.Expect(err).To(gomega.HaveOccurred())
		synctest.Wait()
		r.g.Expect(isClosed(conn)).To(gomega.BeTrue())
		r.mustReport()
	})
}

// rawCodec sends bytes as they are.
type rawCodec struct{ Codec }

func (rawCodec) Marshal(msg drpc.Message) ([]byte, error) { return msg.([]byte), nil }

func (rawCodec) MarshalAppend(_ []byte, msg drpc.Message) ([]byte, error) { return msg.([]byte), nil }

// Guards against calls that hang on a paused peer, and against its late reply
// on a reused connection.
func TestCallToPausedPeerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var run atomic.Uint64
		r := newFixture(t, Handlers{Report: func(ctx context.Context, _ fleet.VMID, _ *ReportMsg) (*ReportReplyMsg, error) {
			n := run.Add(1)
			if n == 1 {
				time.Sleep(5 * time.Second)
			}
			return &ReportReplyMsg{Run: n}, nil
		}})
		start := time.Now()
		_, err := r.report()
		r.expectFault(err, fault.PeerUnreachable)
		r.g.Expect(time.Since(start)).To(gomega.Equal(DefaultCallTimeout))
		reply := r.mustReport()
		r.g.Expect(reply.Run).To(gomega.Equal(uint64(2)))
		time.Sleep(5 * time.Second)
	})
}

// Guards against an unauthenticated peer that holds a connection without a handshake.
func TestSilentConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, Handlers{})
		conn, err := r.net.dial(context.Background(), "b:1")
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		start := time.Now()
		_, err = conn.Read(make([]byte, 1))
		r.g.Expect(err).To(gomega.Equal(io.EOF))
		r.g.Expect(time.Since(start)).To(gomega.Equal(handshakeTimeout))
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, Handlers{Report: answerReport})
		r.end()
		r.serve(t, Handlers{Report: answerReport}, WithMaxConns(1))
		r.mustReport()
		conn, err := r.net.dial(context.Background(), "b:1")
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		r.g.Expect(err).To(gomega.Equal(io.EOF))
	})
}

// Guards against a dial storm on a dead peer, and against a peer that stays
// away long after its return.
func TestDialsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, Handlers{Report: answerReport})
		r.end()
		for range 600 {
			_, err := r.report()
			r.expectFault(err, fault.PeerUnreachable)
			time.Sleep(100 * time.Millisecond)
		}
		// In a minute the pauses are 250 ms at first and 2 to 6 s at the end.
		r.g.Expect(r.net.dials.Load()).To(gomega.BeNumerically("~", 20, 10))
		r.serve(t, Handlers{Report: answerReport})
		start := time.Now()
		for {
			if _, err := r.report(); err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		r.g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", retryMax*3/2+100*time.Millisecond))
	})
}

// Guards against a failed call when the peer has restarted since the last one.
func TestRestartedPeerIsCalledOnNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, Handlers{Report: answerReport})
		for range 3 {
			r.mustReport()
			r.end()
			r.serve(t, Handlers{Report: answerReport})
		}
		r.g.Expect(r.net.dials.Load()).To(gomega.BeEquivalentTo(3))
	})
}

func TestIdleConnectionsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, Handlers{Report: answerReport}, WithIdle(10*time.Second))
		r.mustReport()
		time.Sleep(9 * time.Second)
		r.mustReport()
		r.g.Expect(r.net.dials.Load()).To(gomega.BeEquivalentTo(1))
		time.Sleep(16 * time.Second)
		synctest.Wait()
		r.client.mu.Lock()
		r.g.Expect(r.client.pools).To(gomega.BeEmpty())
		r.client.mu.Unlock()
		r.mustReport()
		r.g.Expect(r.net.dials.Load()).To(gomega.BeEquivalentTo(2))
		r.client.Close()
		_, err := r.report()
		r.expectFault(err, fault.PeerUnreachable)
	})
}

// Guards against a connection that outlives its client because a call used it
// while the client closed.
func TestEndedPoolKeepsNoConnection(t *testing.T) {
	g, closed := gomega.NewWithT(t), 0
	dial := func(context.Context) (int, error) { return 7, nil }
	p := newPool(1, dial, func(int) bool { return false }, func(c int) { closed += c })
	conn, fresh, err := p.get(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(fresh).To(gomega.BeTrue())
	g.Expect(p.sweep(time.Now(), true)).To(gomega.BeTrue())
	p.put(conn, true)
	g.Expect(closed).To(gomega.Equal(7))
}

// countedConn counts what a client writes and reads.
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

// BenchmarkCall measures a report of the planning size over TLS on loopback,
// with the bytes of TLS and drpc but without TCP/IP headers.
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
