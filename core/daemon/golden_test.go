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

func decodeJSON(g *WithT, resp *http.Response, into any) {
	g.Expect(json.NewDecoder(resp.Body).Decode(into)).To(Succeed())
}

// runScenario runs the steps in a synctest bubble and compares the transcript with
// the golden file of the name.
func runScenario(t *testing.T, name string, steps func(s *scenario)) {
	synctest.Test(t, func(t *testing.T) {
		s := newScenario(t, scenarioSettings)
		defer s.close()
		steps(s)
		s.compareGolden(name, s.transcript())
	})
}

func TestScenarioLookup(t *testing.T) {
	runScenario(t, "lookup", func(s *scenario) {
		s.startReadyDaemon()
		s.sendRaw("GET /v1/addresses?service=reservas&data-centre=mdp HTTP/1.1\nX-Request-Id: a1", "")
		s.sendRawLookup("l1")
	})
}

func TestScenarioBooking(t *testing.T) {
	runScenario(t, "booking", func(s *scenario) {
		s.startReadyDaemon()
		key := s.newToken() + ".counter-3-1"
		s.sendRawOrder(key, "b1")
		s.transcribe("the counter lost the answer and asks again")
		s.sendRawOrder(key, "b2")
	})
}

func TestScenarioFailingTargets(t *testing.T) {
	runScenario(t, "sick-target", func(s *scenario) {
		s.startReadyDaemon()
		s.targets[0].SetFaults(stand.TargetFaults{FailWork: true})
		s.targets[1].SetFaults(stand.TargetFaults{FailWork: true})
		s.sendRawLookup("l1")
		s.targets[1].SetFaults(stand.TargetFaults{})
		for _, id := range []string{"l2", "l3", "l4"} {
			s.sendRawLookup(id)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// runTargetFault covers a booking whose targets have the fault, and its repeat once
// they are healthy again.
func runTargetFault(t *testing.T, name string, f stand.TargetFaults) {
	runScenario(t, name, func(s *scenario) {
		s.startReadyDaemon()
		for _, target := range s.targets {
			target.SetFaults(f)
		}
		key := s.newToken() + ".counter-3-1"
		s.sendRawOrder(key, "b1")
		s.transcribe("the counter asks again once the targets are well")
		for _, target := range s.targets {
			target.SetFaults(stand.TargetFaults{})
		}
		s.sendRawOrder(key, "b2")
		s.transcribe("orders run by the targets: %d", len(s.targets[0].Executions())+len(s.targets[1].Executions()))
	})
}

func TestScenarioTargetRefusesBeforeStart(t *testing.T) {
	runTargetFault(t, "booking-refused", stand.TargetFaults{ShedAll: true})
}

func TestScenarioTargetDiesBeforeWork(t *testing.T) {
	runTargetFault(t, "booking-died-before", stand.TargetFaults{CutBefore: true})
}

func TestScenarioTargetDiesDuringResponse(t *testing.T) {
	runTargetFault(t, "booking-died-during", stand.TargetFaults{CutShort: true})
}

func TestScenarioTargetDiesAfterWork(t *testing.T) {
	runTargetFault(t, "booking-died-after", stand.TargetFaults{CutAfter: true})
}
