package quota

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/roster"
)

const testHolder, testEpoch = 11, 22

var (
	testPolicy = Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	testLimit  = Limit{Rate: 100, Burst: 100}
	testStart  = time.Unix(1000, 0)
)

// newTestCoordinator returns a coordinator that knows one limit for all workspaces.
func newTestCoordinator() *Coordinator {
	limit := func(WorkspaceHash) (Limit, bool) { return testLimit, true }
	return NewCoordinator(testPolicy, limit, testEpoch, testStart)
}

// offer returns a lease of one of the holders' shares of shard 0.
func offer(number uint64, stamp int64, holders int) LeaseOffer {
	return LeaseOffer{Number: number, Epoch: testEpoch, Stamp: stamp, Holders: holders}
}

func (c *Coordinator) lease(now time.Time, holder uint64, l LeaseOffer) *ReplyMsg {
	return c.Answer(now, roster.Member{VM: "holder"}, &RequestMsg{Seq: 1, Epoch: holder, Leases: []LeaseOffer{l}})
}

func (c *Coordinator) take(now time.Time, count int) Grant {
	m := &RequestMsg{Seq: 1, Epoch: 1, Tokens: []TokenRequest{{Workspace: 0, Count: count}}}
	return c.Answer(now, roster.Member{VM: "client"}, m).Grants[0]
}

// Guards against an offer that was delayed, or queued while the coordinator was paused, and
// is used after the holder has leased the share to another coordinator.
func TestLateOfferIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	c := newTestCoordinator()
	c.lease(testStart.Add(useTime), testHolder, offer(1, 1, 1))
	g.Expect(c.Fraction(testStart.Add(useTime), 0)).To(BeZero())
	c.lease(testStart.Add(useTime-time.Millisecond), testHolder, offer(2, 1, 1))
	g.Expect(c.Fraction(testStart.Add(useTime-time.Millisecond), 0)).To(Equal(1.0))
	g.Expect(c.Fraction(testStart.Add(useTime), 0)).To(BeZero())
}

// Guards against leases that end at once at a coordinator that has run for months.
func TestLeaseAfterLongUptime(t *testing.T) {
	g := NewWithT(t)
	c := newTestCoordinator()
	now := testStart.Add(10000 * time.Hour)
	c.lease(now, testHolder, offer(1, c.stamp(now), 1))
	g.Expect(c.Fraction(now.Add(useTime-time.Millisecond), 0)).To(Equal(1.0))
}

// Guards against a Retry-After that overflows, for quotas that nearly never have a token.
func TestRetryAfterOfTinyQuota(t *testing.T) {
	g := NewWithT(t)
	a := &account{limit: Limit{Rate: 1e-12, Burst: 1e9}, counters: NopCounters()}
	for range 3 {
		wait := fault.From(a.overQuota(testStart)).RetryAfter
		g.Expect(wait).To(And(BeNumerically(">", 0), BeNumerically("<=", 24*time.Hour)))
	}
}

// Guards against callers that all return at the same time.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	a := &account{limit: testLimit, counters: NopCounters()}
	a.grants.add(testStart, 50)
	first, second := fault.From(a.overQuota(testStart)).RetryAfter, fault.From(a.overQuota(testStart)).RetryAfter
	g.Expect(second - first).To(BeNumerically("~", 10*time.Millisecond, time.Millisecond))
}

// Guards against an offer for an earlier run of the coordinator, whose clock it has.
func TestOfferForEarlierRunIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	c := newTestCoordinator()
	l := offer(1, 1, 1)
	l.Epoch++
	g.Expect(c.lease(testStart, testHolder, l).Returns).To(BeEmpty())
	g.Expect(c.Fraction(testStart, 0)).To(BeZero())
}

// Guards against an offer that overtakes the end of the lease that followed it.
func TestOfferBeforeReleaseIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	c := newTestCoordinator()
	c.lease(testStart, testHolder, offer(1, 1, 1))
	end := offer(2, 1, 1)
	end.Release = true
	g.Expect(c.lease(testStart, testHolder, end).Returns).To(ConsistOf(LeaseReturn{Number: 2}))
	c.lease(testStart, testHolder, offer(2, 1, 1))
	g.Expect(c.Fraction(testStart, 0)).To(BeZero())
	c.lease(testStart, testHolder, offer(3, 1, 1))
	g.Expect(c.Fraction(testStart, 0)).To(Equal(1.0))
}

// Guards against tokens that come with a share: a share that moves between coordinators
// would bring its burst each time.
func TestAddedShareBringsNoTokens(t *testing.T) {
	g := NewWithT(t)
	c := newTestCoordinator()
	c.lease(testStart, testHolder, offer(1, 1, 2))
	g.Expect(c.take(testStart, 10).Count).To(BeZero())
	now := testStart.Add(100 * time.Millisecond)
	c.lease(now, testHolder+1, offer(1, 1, 2))
	g.Expect(c.take(now, 100).Count).To(Equal(5))
	now = now.Add(100 * time.Millisecond)
	g.Expect(c.take(now, 100).Count).To(Equal(10))
}

// Guards against a bucket that keeps the tokens of shares which are no longer there.
func TestRemovedShareCutsBucket(t *testing.T) {
	g := NewWithT(t)
	c := newTestCoordinator()
	now := testStart
	for i := range 20 {
		now = testStart.Add(time.Duration(i) * 200 * time.Millisecond)
		c.lease(now, testHolder, offer(uint64(i+1), c.stamp(now), 2))
		c.lease(now, testHolder+1, offer(uint64(i+1), c.stamp(now), 2))
		c.take(now, 1)
	}
	now = now.Add(400 * time.Millisecond)
	c.lease(now, testHolder, offer(21, c.stamp(now), 2))
	now = now.Add(200 * time.Millisecond)
	c.lease(now, testHolder+1, offer(21, c.stamp(now), 2))
	half := testPolicy.capacity(testLimit, 0.5)
	g.Expect(c.take(now, 1000).Count).To(BeNumerically("~", half, 1))
}

// Guards against a wait that is too short, so that callers return in vain, and against a
// message with it that no receiver accepts.
func TestGrantStatesWait(t *testing.T) {
	g := NewWithT(t)
	c := newTestCoordinator()
	c.lease(testStart, testHolder, offer(1, 1, 1))
	g.Expect(c.take(testStart, 1)).To(Equal(Grant{State: BucketFilling, WaitMillis: 10}))
	c.limit = func(WorkspaceHash) (Limit, bool) { return Limit{Rate: 1e-12}, true }
	reply := c.Answer(testStart, roster.Member{}, &RequestMsg{Seq: 1, Epoch: 1, Tokens: []TokenRequest{{Workspace: 4, Count: 1}}})
	g.Expect(reply.Validate()).To(Succeed())
}

// Guards against two daemons in one place: a new holder has to wait until all others know
// that the earlier one is none.
func TestNewHolderWaits(t *testing.T) {
	g := NewWithT(t)
	h := holding{startedAt: testStart}
	h.update(testStart.Add(100*time.Millisecond), 16)
	g.Expect(h.mayLease(testStart.Add(leaseTime - 1))).To(BeFalse())
	g.Expect(h.mayLease(testStart.Add(leaseTime))).To(BeTrue())
	h.update(testStart.Add(time.Second), 0)
	h.update(testStart.Add(2*time.Second), 16)
	g.Expect(h.mayLease(testStart.Add(6 * time.Second))).To(BeFalse())
	g.Expect(h.mayLease(testStart.Add(7 * time.Second))).To(BeTrue())
}

// Guards against a fleet that serves no request for 5 s when its first quota comes into
// force.
func TestFirstQuotaIsInForceAtOnce(t *testing.T) {
	g := NewWithT(t)
	h := holding{startedAt: testStart}
	now := testStart.Add(time.Hour)
	h.update(now, 16)
	g.Expect(h.mayLease(now)).To(BeTrue())
}

// Guards against messages of a peer that make a daemon panic, grant without bound, or keep
// memory without bound.
func FuzzMessages(f *testing.F) {
	request := RequestMsg{Seq: 1, Epoch: 2, Tokens: []TokenRequest{{Workspace: 4, Count: 3}}, Leases: []LeaseOffer{offer(1, 1, 16)}}
	reply := ReplyMsg{Seq: 1, Epoch: 2, Stamp: 1, Grants: []Grant{{Workspace: 4, Count: 3}}, Returns: []LeaseReturn{{Number: 1}}}
	for _, m := range []any{&request, &reply} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newTestCoordinator()
		c.lease(testStart, testHolder, offer(1, 1, 1))
		now := testStart.Add(time.Millisecond)
		var q RequestMsg
		if cbor.Unmarshal(data, &q) == nil && q.Validate() == nil {
			r := c.Answer(now, roster.Member{}, &q)
			if err := r.Validate(); err != nil {
				t.Fatal(err)
			}
		}
		if sum := c.Fraction(now, 0); sum > 1 {
			t.Fatalf("fraction %v", sum)
		}
		var r ReplyMsg
		if cbor.Unmarshal(data, &r) == nil && r.Validate() == nil {
			m := &Manager{peers: peers{byVM: map[string]*peerState{"a": {}}}, coordinator: c, client: NewClient(func(string) Counters { return NopCounters() })}
			m.seq = r.Seq
			m.HandleReply(roster.Member{VM: "a"}, &r)
		}
	})
}
