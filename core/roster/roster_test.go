package roster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/roster"
)

// carriers is the demand in cores that the least number of carriers meets.
const carriers = 0

// leastCarriers is that number.
const leastCarriers = 2

var begin = time.Unix(1000, 0)

func member(dc string, n int) roster.Member {
	return roster.Member{VM: fmt.Sprintf("%s-%d", dc, n), DataCentre: dc, Inner: fmt.Sprintf("10.0.%d.1:1", n), Callers: fmt.Sprintf("10.0.%d.1:2", n), Born: 1}
}

// newRoster returns the view of a-0 that has heard nine daemons of its data centre.
func newRoster(now time.Time) *roster.Roster {
	r := roster.New(member("a", 0))
	r.SetSelf(true, false)
	for i := 1; i < 10; i++ {
		r.Heard(now, member("a", i), roster.Standing{Ready: true}, nil)
	}
	return r
}

func names(members []roster.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.VM)
	}
	return out
}

// Guards against daemons that hear the same and disagree on who carries a service.
func TestDaemonsAgreeOnCarriers(t *testing.T) {
	g := NewWithT(t)
	mine := newRoster(begin)
	other := roster.New(member("a", 5))
	other.SetSelf(true, false)
	for i := range 10 {
		other.Heard(begin, member("a", i), roster.Standing{Ready: true}, nil)
	}
	g.Expect(names(mine.Carriers(begin, "orders", "a", carriers))).To(Equal(names(other.Carriers(begin, "orders", "a", carriers))))
}

// Load pattern: a carrier dies. Guards against callers who are sent to it, and
// against a change of the carriers of other services.
func TestDeadCarrierIsReplaced(t *testing.T) {
	g := NewWithT(t)
	r := newRoster(begin)
	before := r.Carriers(begin, "orders", "a", carriers)
	dead := before[0].VM
	now := begin.Add(time.Second)
	for i := 1; i < 10; i++ {
		if m := member("a", i); m.VM != dead {
			r.Heard(now, m, roster.Standing{Ready: true}, nil)
		}
	}
	after := names(r.Carriers(now, "orders", "a", carriers))
	g.Expect(after).NotTo(ContainElement(dead))
	g.Expect(after).To(ContainElement(before[1].VM))
}

// Guards against callers who are sent to a daemon that is leaving or not ready.
func TestLeavingDaemonIsNotAnswered(t *testing.T) {
	g := NewWithT(t)
	r := newRoster(begin)
	first := r.Carriers(begin, "orders", "a", carriers)[0]
	if first.VM == "a-0" {
		r.SetSelf(true, true)
	} else {
		r.Heard(begin, first, roster.Standing{Ready: true, Leaving: true}, nil)
	}
	g.Expect(r.Answer(begin, "orders", "a", carriers)).NotTo(ContainElement(first.Callers))
}

// Guards against callers without an answer when their data centre is lost.
func TestOtherDataCentreTakesOver(t *testing.T) {
	g := NewWithT(t)
	r := newRoster(begin)
	g.Expect(r.Answer(begin, "orders", "lost", carriers)).To(HaveLen(leastCarriers))
	r.SetSelf(false, false)
	g.Expect(r.Answer(begin.Add(time.Minute), "orders", "lost", carriers)).To(BeEmpty())
}

// Guards against a late message of an earlier run that is taken for the new one.
func TestEarlierRunIsIgnored(t *testing.T) {
	g := NewWithT(t)
	r := newRoster(begin)
	restarted := member("a", 3)
	restarted.Born = 2
	begun, ok := r.Heard(begin, restarted, roster.Standing{Ready: true}, []string{"orders"})
	g.Expect(ok).To(BeTrue())
	g.Expect(begun).To(Equal([]string{"orders"}))
	_, ok = r.Heard(begin, member("a", 3), roster.Standing{Ready: true}, nil)
	g.Expect(ok).To(BeFalse())
}

// Guards against evidence that reaches no carrier of another data centre before
// its daemons were heard, and against sending to daemons that stay silent.
func TestGroupTrustsUnheardDaemonsForAWhile(t *testing.T) {
	g := NewWithT(t)
	r := newRoster(begin)
	for i := range 4 {
		r.Add(member("b", i))
	}
	far := func(now time.Time) int {
		n := 0
		for _, m := range r.Group(now, "orders", carriers) {
			if m.DataCentre == "b" {
				n++
			}
		}
		return n
	}
	g.Expect(far(begin)).To(Equal(leastCarriers))
	g.Expect(far(begin.Add(10 * time.Second))).To(BeNumerically("<", leastCarriers+1))
}

// Guards against evidence of a daemon that carries nothing which never reaches the
// carriers of other data centres, because their heartbeats go to carriers only;
// and against hearsay that makes a dead daemon an address for callers.
func TestCarriersOfOtherDataCentresAreKnownByHearsay(t *testing.T) {
	g := NewWithT(t)
	now := begin.Add(time.Minute)
	first := newRoster(now)
	lead := first.Carriers(now, "orders", "a", 100)[0]
	r := roster.New(lead)
	r.SetSelf(true, false)
	r.Heard(now, member("b", 1), roster.Standing{Ready: true}, []string{"orders"})
	far := r.FarCarriers(now, "orders", carriers)
	g.Expect(names(far)).To(Equal([]string{"b-1"}))

	stray := roster.New(member("a", 77))
	stray.Heard(now, lead, roster.Standing{Ready: true}, []string{"orders"})
	g.Expect(names(stray.Group(now, "orders", carriers))).NotTo(ContainElement("b-1"))
	stray.Told(now, "orders", far)
	g.Expect(names(stray.Group(now, "orders", carriers))).To(ContainElement("b-1"))
	later := now.Add(time.Minute)
	stray.Told(later, "orders", far)
	g.Expect(stray.Answer(later, "orders", "b", carriers)).To(BeEmpty())
	g.Expect(names(stray.Group(later.Add(4*time.Second), "orders", carriers))).NotTo(ContainElement("b-1"))

	second := roster.New(first.Carriers(now, "orders", "a", 100)[1])
	second.SetSelf(true, false)
	second.Heard(now, lead, roster.Standing{Ready: true}, nil)
	second.Heard(now, member("b", 1), roster.Standing{Ready: true}, []string{"orders"})
	g.Expect(second.FarCarriers(now, "orders", carriers)).To(BeEmpty(), "only the first carrier tells")
}

// Guards against a daemon that is restarted alone and spends what its predecessor
// already spent of the fleet's retry budget; and against taking a start of the
// whole fleet, with clocks that differ by seconds, for one.
func TestDaemonKnowsWhetherItWasRestartedAlone(t *testing.T) {
	g := NewWithT(t)
	young := member("a", 0)
	young.Born = 100_000
	r := roster.New(young)
	g.Expect(r.YoungerThanMost()).To(BeFalse())
	for i := 1; i < 6; i++ {
		m := member("a", i)
		m.Born = young.Born - 3000
		r.Add(m)
	}
	g.Expect(r.YoungerThanMost()).To(BeFalse())
	for i := 1; i < 7; i++ {
		m := member("b", i)
		m.Born = young.Born - 30_000
		r.Add(m)
	}
	g.Expect(r.YoungerThanMost()).To(BeTrue())
}
