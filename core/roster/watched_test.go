package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/roster"
)

const (
	beat       = 200 * time.Millisecond
	quietBeats = 5
	groupName  = "all"
)

// quarter is the daemons of one data centre that tell each other of themselves.
type quarter struct {
	now   time.Time
	round int
	all   []roster.Member
	views map[string]*roster.Roster
	dead  map[string]bool
	// deaf daemons hear nobody.
	deaf map[string]bool
	// sent counts the heartbeats of the last round, heard those for each receiver.
	sent  int
	heard map[string]int
}

// newQuarter returns so many weak daemons and two strong ones that know each other
// by name only.
func newQuarter(weak int) *quarter {
	q := &quarter{now: begin, views: map[string]*roster.Roster{}, dead: map[string]bool{}, deaf: map[string]bool{}}
	for i := range weak + 2 {
		m := sized(i, 0.16)
		if i < 2 {
			m.Cores = 0.8
		}
		q.all = append(q.all, m)
	}
	for _, m := range q.all {
		v := roster.New(m)
		v.SetSelf(true, false)
		for _, o := range q.all {
			v.Add(o)
		}
		q.views[m.VM] = v
	}
	return q
}

// beat lets one interval pass.
func (q *quarter) beat() {
	q.now = q.now.Add(beat)
	q.round++
	q.sent, q.heard = 0, map[string]int{}
	for i, m := range q.all {
		if !q.dead[m.VM] {
			q.send(m, (q.round+i)%quietBeats == 0)
		}
	}
}

func (q *quarter) send(m roster.Member, quietDue bool) {
	to := q.views[m.VM].Watched(q.now, map[string]float64{groupName: 1})
	quiet := true
	for _, o := range to {
		quiet = quiet && o.VM != m.VM
	}
	if !quiet {
		to = q.all
	}
	if quiet && !quietDue {
		return
	}
	for _, o := range to {
		if o.VM == m.VM || q.dead[o.VM] || q.deaf[o.VM] {
			continue
		}
		q.sent++
		q.heard[o.VM]++
		q.views[o.VM].Heard(q.now, m, roster.Standing{Ready: true, Quiet: quiet}, nil)
	}
}

func (q *quarter) pass(d time.Duration) {
	for range int(d / beat) {
		q.beat()
	}
}

// carriers returns whom the daemon takes for the carriers.
func (q *quarter) carriers(vm string) []string {
	return names(q.views[vm].Carriers(q.now, groupName, "a", 1))
}

// expectAgreement checks that all living daemons that hear take the same living
// ones for the carriers.
func (q *quarter) expectAgreement(g *WithT, want int) {
	first := ""
	for _, m := range q.all {
		if q.dead[m.VM] || q.deaf[m.VM] {
			continue
		}
		if first == "" {
			first = m.VM
		}
		carriers := q.carriers(m.VM)
		g.Expect(carriers).To(HaveLen(want))
		g.Expect(carriers).To(ConsistOf(q.carriers(first)))
		for _, c := range carriers {
			g.Expect(q.dead[c]).To(BeFalse())
		}
	}
}

// Guards against heartbeats that grow with the square of a data centre: a daemon of
// the planned size (138 in a data centre) would send and receive 690 a second.
func TestHeartbeatsOfALargeDataCentre(t *testing.T) {
	for _, size := range []int{20, 60, 138} {
		g := NewWithT(t)
		q := newQuarter(size)
		q.pass(10 * time.Second)
		q.expectAgreement(g, 2)
		most := 0
		for _, m := range q.all[2:] {
			if !q.isWatched(m.VM) {
				most = max(most, q.heard[m.VM])
			}
		}
		// Carriers, readers and the spares of each.
		g.Expect(most).To(BeNumerically("<=", 12), "whatever the size")
		g.Expect(q.sent).To(BeNumerically("<", 14*size))
	}
}

func (q *quarter) isWatched(vm string) bool {
	for _, m := range q.views[vm].Watched(q.now, map[string]float64{groupName: 1}) {
		if m.VM == vm {
			return true
		}
	}
	return false
}

// Load pattern: the daemons that carry die, one after the other and at once with
// their spares. Guards against callers who are sent to dead ones for longer than a
// few heartbeats, and against daemons that disagree on who comes next.
func TestWatchedDaemonsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	q := newQuarter(60)
	q.pass(5 * time.Second)
	for range 2 {
		q.dead[q.carriers("a-40")[0]] = true
		q.pass(1200 * time.Millisecond)
		q.expectAgreement(g, len(q.carriers("a-40")))
	}
	for _, m := range q.views["a-40"].Watched(q.now, map[string]float64{groupName: 1}) {
		q.dead[m.VM] = m.VM != "a-40"
	}
	q.pass(3 * time.Second)
	q.expectAgreement(g, 7)
}

// Guards against a daemon that is taken for dead because it is not heard by daemons
// that need not hear it, and so never carries when its turn comes.
func TestQuietDaemonsAreKnownToTheWatched(t *testing.T) {
	g := NewWithT(t)
	q := newQuarter(60)
	q.pass(20 * time.Second)
	carrier := q.carriers("a-0")[0]
	g.Expect(q.views[carrier].Carriers(q.now, groupName, "a", 100)).To(HaveLen(62))
}

// Guards against a daemon that hears nobody and stays unknown to the others when it
// hears again.
func TestDaemonThatHearsAgainFindsTheOthers(t *testing.T) {
	g := NewWithT(t)
	q := newQuarter(20)
	q.pass(5 * time.Second)
	q.deaf["a-7"] = true
	q.pass(5 * time.Second)
	g.Expect(q.isWatched("a-7")).To(BeTrue(), "it takes itself for alone")
	q.deaf["a-7"] = false
	q.pass(2 * time.Second)
	q.expectAgreement(g, 2)
	g.Expect(q.isWatched("a-7")).To(BeFalse())
}
