package memory_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/memory"
)

// smallVM is the memory of the smallest VMs in bytes.
const smallVM = 184 << 20

// Guards against requests that are refused while responses are still buffered, and
// against a bound that leaves no memory for work that runs already.
func TestBufferingStopsBeforeRequestsAreRefused(t *testing.T) {
	g := NewWithT(t)
	l := memory.LimitsOf(smallVM)
	g.Expect(l.Buffer).To(BeNumerically("<", l.Admit))
	g.Expect(l.Admit).To(BeNumerically("<", l.Total))
	b := memory.New(l)
	for b.Reserve(memory.Responses, 540<<10) {
	}
	g.Expect(b.Total()).To(BeNumerically(">", l.Buffer-540<<10))
	g.Expect(b.Reserve(memory.Requests, 64<<10)).To(BeTrue())
	for b.Reserve(memory.Requests, 64<<10) {
	}
	g.Expect(b.Total()).To(BeNumerically(">", l.Admit-64<<10))
	g.Expect(b.Total()).To(BeNumerically("<=", l.Admit))
	g.Expect(b.Reserve(memory.Heads, 16<<10)).To(BeTrue(), "a refused request is read for the log")
	g.Expect(b.Denied(memory.Responses)).To(Equal(int64(1)))
	g.Expect(b.Denied(memory.Requests)).To(Equal(int64(1)))
}

// Guards against memory that is counted twice or never returned, whatever the order of
// reservations, and against reservations beyond their limit.
func TestReservationsStayWithinLimits(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	l := memory.LimitsOf(smallVM)
	b := memory.New(l)
	type reservation struct {
		kind  memory.Kind
		bytes int64
	}
	var open []reservation
	for range 20_000 {
		if len(open) > 0 && random.IntN(3) == 0 {
			i := random.IntN(len(open))
			b.Release(open[i].kind, open[i].bytes)
			open[i] = open[len(open)-1]
			open = open[:len(open)-1]
			continue
		}
		r := reservation{memory.Kinds()[random.IntN(len(memory.Kinds()))], random.Int64N(600 << 10)}
		if b.Reserve(r.kind, r.bytes) {
			open = append(open, r)
		}
		g.Expect(b.Total()).To(BeNumerically("<=", l.Total))
	}
	for _, r := range open {
		b.Release(r.kind, r.bytes)
	}
	g.Expect(b.Total()).To(BeZero())
	for _, k := range memory.Kinds() {
		g.Expect(b.Held(k)).To(BeZero())
	}
	g.Expect(b.State().Peak).To(BeNumerically(">", l.Buffer))
}

// Guards against deployments without a known memory whose bodies and responses are
// limited by more than the limit of their kind.
func TestKindLimitsApplyAlone(t *testing.T) {
	g := NewWithT(t)
	b := memory.New(memory.Limits{Bodies: 10, Responses: 20})
	g.Expect(b.Bounded()).To(BeFalse())
	g.Expect(b.Reserve(memory.Bodies, 11)).To(BeFalse())
	g.Expect(b.Reserve(memory.Bodies, 10)).To(BeTrue())
	g.Expect(b.Reserve(memory.Responses, 20)).To(BeTrue())
	g.Expect(b.Reserve(memory.Responses, 1)).To(BeFalse())
	g.Expect(b.Reserve(memory.Connections, 1<<40)).To(BeTrue())
}

// BenchmarkReserve measures what a request costs: six reservations with their releases.
func BenchmarkReserve(b *testing.B) {
	budget := memory.New(memory.LimitsOf(smallVM))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			for range 6 {
				budget.Reserve(memory.Responses, 90<<10)
				budget.Release(memory.Responses, 90<<10)
			}
		}
	})
	b.ReportMetric(float64(budget.State().Peak), "peak-B")
}
