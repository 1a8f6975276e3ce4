package daemon

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/stand"
)

func decode(g *WithT, resp *http.Response, into any) {
	g.Expect(json.NewDecoder(resp.Body).Decode(into)).To(Succeed())
}

// play runs one session in a bubble and compares it with its golden file.
func play(t *testing.T, name string, act func(s *session)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSession(t, sessionSettings)
		defer s.close()
		act(s)
		s.golden(name, s.transcript())
	})
}

func TestSessionLookup(t *testing.T) {
	play(t, "lookup", func(s *session) {
		s.startReady()
		s.call("GET /v1/addresses?service=reservas&data-centre=mdp HTTP/1.1\nX-Request-Id: a1", "")
		s.show("l1")
	})
}

func TestSessionBooking(t *testing.T) {
	play(t, "booking", func(s *session) {
		s.startReady()
		key := s.token() + ".counter-3-1"
		s.book(key, "b1")
		s.note("the counter lost the answer and asks again")
		s.book(key, "b2")
	})
}

func TestSessionSickTarget(t *testing.T) {
	play(t, "sick-target", func(s *session) {
		s.startReady()
		s.targets[0].SetFaults(stand.TargetFaults{FailWork: true})
		s.targets[1].SetFaults(stand.TargetFaults{FailWork: true})
		s.show("l1")
		s.targets[1].SetFaults(stand.TargetFaults{})
		for _, id := range []string{"l2", "l3", "l4"} {
			s.show(id)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// sessionDeath covers a booking whose target dies before, during and after its work.
func sessionDeath(t *testing.T, name string, f stand.TargetFaults) {
	play(t, name, func(s *session) {
		s.startReady()
		for _, target := range s.targets {
			target.SetFaults(f)
		}
		key := s.token() + ".counter-3-1"
		s.book(key, "b1")
		s.note("the counter asks again once the targets are well")
		for _, target := range s.targets {
			target.SetFaults(stand.TargetFaults{})
		}
		s.book(key, "b2")
		s.note("orders run by the targets: %d", len(s.targets[0].Executions())+len(s.targets[1].Executions()))
	})
}

func TestSessionTargetRefusesBeforeStart(t *testing.T) {
	sessionDeath(t, "booking-refused", stand.TargetFaults{ShedAll: true})
}

func TestSessionTargetDiesBefore(t *testing.T) {
	sessionDeath(t, "booking-died-before", stand.TargetFaults{CutBefore: true})
}

func TestSessionTargetDiesDuring(t *testing.T) {
	sessionDeath(t, "booking-died-during", stand.TargetFaults{CutShort: true})
}

func TestSessionTargetDiesAfter(t *testing.T) {
	sessionDeath(t, "booking-died-after", stand.TargetFaults{CutAfter: true})
}
