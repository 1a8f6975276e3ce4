package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/roster"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	reducedRateEvery  = 5
	groupName         = "all"
)

// simulation runs the daemons of one data centre, which send each other heartbeats.
type simulation struct {
	now     time.Time
	round   int
	members []roster.Member
	rosters map[string]*roster.Roster
	dead    map[string]bool
	// isolated daemons receive no heartbeats.
	isolated map[string]bool
	// sent is the number of heartbeats delivered in the last round, received the same
	// by receiver.
	sent     int
	received map[string]int
}

// newSimulation returns two large daemons and the given number of small ones. They
// know each other from the store only.
func newSimulation(small int) *simulation {
	s := &simulation{now: startTime, rosters: map[string]*roster.Roster{}, dead: map[string]bool{}, isolated: map[string]bool{}}
	for i := range small + 2 {
		m := memberWithCores(i, 0.16)
		if i < 2 {
			m.Cores = 0.8
		}
		s.members = append(s.members, m)
	}
	for _, m := range s.members {
		r := roster.New(m)
		r.SetStatus(true, false)
		for _, o := range s.members {
			r.Add(o)
		}
		s.rosters[m.VM] = r
	}
	return s
}

// step lets one heartbeat interval pass.
func (s *simulation) step() {
	s.now = s.now.Add(heartbeatInterval)
	s.round++
	s.sent, s.received = 0, map[string]int{}
	for i, m := range s.members {
		if !s.dead[m.VM] {
			s.send(m, (s.round+i)%reducedRateEvery == 0)
		}
	}
}

func (s *simulation) send(m roster.Member, reducedDue bool) {
	to := s.rosters[m.VM].Monitored(s.now, map[string]float64{groupName: 1})
	reduced := true
	for _, o := range to {
		reduced = reduced && o.VM != m.VM
	}
	if !reduced {
		to = s.members
	}
	if reduced && !reducedDue {
		return
	}
	for _, o := range to {
		if o.VM == m.VM || s.dead[o.VM] || s.isolated[o.VM] {
			continue
		}
		s.sent++
		s.received[o.VM]++
		s.rosters[o.VM].RecordHeartbeat(s.now, m, roster.Status{Ready: true, ReducedRate: reduced}, nil)
	}
}

func (s *simulation) advance(d time.Duration) {
	for range int(d / heartbeatInterval) {
		s.step()
	}
}

// carriers returns the carriers as the daemon determines them.
func (s *simulation) carriers(vm string) []string {
	return vmNames(s.rosters[vm].Carriers(s.now, groupName, "a", 1))
}

// expectAgreement checks that all daemons that are alive and not isolated determine
// the same carriers, that there are as many as wanted, and that these are alive.
func (s *simulation) expectAgreement(g *WithT, want int) {
	first := ""
	for _, m := range s.members {
		if s.dead[m.VM] || s.isolated[m.VM] {
			continue
		}
		if first == "" {
			first = m.VM
		}
		carriers := s.carriers(m.VM)
		g.Expect(carriers).To(HaveLen(want))
		g.Expect(carriers).To(ConsistOf(s.carriers(first)))
		for _, c := range carriers {
			g.Expect(s.dead[c]).To(BeFalse())
		}
	}
}

// Guards against heartbeats that grow with the square of the size of a data centre: at
// the planned size of 138 daemons in a data centre, each would send and receive 690 a
// second.
func TestHeartbeatCountInLargeDataCentre(t *testing.T) {
	for _, size := range []int{20, 60, 138} {
		g := NewWithT(t)
		s := newSimulation(size)
		s.advance(10 * time.Second)
		s.expectAgreement(g, 2)
		maxReceived := 0
		for _, m := range s.members[2:] {
			if !s.isMonitored(m.VM) {
				maxReceived = max(maxReceived, s.received[m.VM])
			}
		}
		// Carriers, readers of the store, and the standbys of each.
		g.Expect(maxReceived).To(BeNumerically("<=", 12), "whatever the size")
		g.Expect(s.sent).To(BeNumerically("<", 14*size))
	}
}

func (s *simulation) isMonitored(vm string) bool {
	for _, m := range s.rosters[vm].Monitored(s.now, map[string]float64{groupName: 1}) {
		if m.VM == vm {
			return true
		}
	}
	return false
}

// The carriers fail, first one after the other and then together with their standbys.
// Guards against callers who are directed to failed daemons for longer than a few
// heartbeats, and against daemons that disagree on the replacements.
func TestFailedMonitoredDaemonsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(60)
	s.advance(5 * time.Second)
	for range 2 {
		s.dead[s.carriers("a-40")[0]] = true
		s.advance(1200 * time.Millisecond)
		s.expectAgreement(g, len(s.carriers("a-40")))
	}
	for _, m := range s.rosters["a-40"].Monitored(s.now, map[string]float64{groupName: 1}) {
		s.dead[m.VM] = m.VM != "a-40"
	}
	s.advance(3 * time.Second)
	s.expectAgreement(g, 7)
}

// Guards against a daemon that counts as failed because daemons that need not receive
// its heartbeats do not receive them, and which therefore never becomes a carrier.
func TestMonitoredDaemonsKnowUnmonitoredOnes(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(60)
	s.advance(20 * time.Second)
	carrier := s.carriers("a-0")[0]
	g.Expect(s.rosters[carrier].Carriers(s.now, groupName, "a", 100)).To(HaveLen(62))
}

// A daemon receives no heartbeats for a while. Guards against it staying unknown to
// the others once it receives them again.
func TestIsolatedDaemonRejoins(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(20)
	s.advance(5 * time.Second)
	s.isolated["a-7"] = true
	s.advance(5 * time.Second)
	g.Expect(s.isMonitored("a-7")).To(BeTrue(), "it takes itself for alone")
	s.isolated["a-7"] = false
	s.advance(2 * time.Second)
	s.expectAgreement(g, 2)
	g.Expect(s.isMonitored("a-7")).To(BeFalse())
}
