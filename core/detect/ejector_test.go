package detect

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/store"
)

// fakeTable is a table service with one row. If set, applyFault decides for
// each Apply whether it takes effect and which error is returned; getFault does
// the latter for each Get.
type fakeTable struct {
	delay         time.Duration
	mu            sync.Mutex
	row           store.Row
	gets, applies int
	getFault      func() error
	applyFault    func() (effect bool, err error)
}

func (f *fakeTable) table() store.Table {
	return store.Table{Get: f.get, Apply: f.apply}
}

func (f *fakeTable) get(context.Context, string) (store.Row, error) {
	time.Sleep(f.delay / 4)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gets++
	if f.getFault != nil {
		if err := f.getFault(); err != nil {
			return store.Row{}, err
		}
	}
	if f.row.Version == 0 {
		return store.Row{}, fault.New(fault.RowMissing, "no row")
	}
	return f.row, nil
}

func (f *fakeTable) apply(_ context.Context, tx store.Tx) error {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applies++
	applied, err := true, error(nil)
	if f.applyFault != nil {
		applied, err = f.applyFault()
	}
	if applied && tx.Conds[0].Version != f.row.Version {
		return fault.New(fault.StoreConflict, "version %d", f.row.Version)
	}
	if applied {
		f.row = store.Row{Key: tx.Puts[0].Key, Version: f.row.Version + 1, Value: tx.Puts[0].Value}
	}
	return err
}

func (f *fakeTable) list(t *testing.T, id fleet.ServiceID) Ejections {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.row.Version == 0 {
		return NewEjections(id)
	}
	j, err := DecodeEjections(id, f.row.Value)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// setFaults replaces the faults of Apply and Get.
func (f *fakeTable) setFaults(applyFault func() (bool, error), getFault func() error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyFault, f.getFault = applyFault, getFault
}

func (f *fakeTable) counts() (gets, applies int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gets, f.applies
}

func ambiguousError() error   { return fault.New(fault.StoreAmbiguous, "reply lost") }
func unavailableError() error { return fault.New(fault.StoreUnavailable, "down") }

// runEjectors runs body in a synctest bubble with n ejectors on one table; the
// rank of each is its index.
func runEjectors(t *testing.T, n int, body func(g *gomega.WithT, f *fakeTable, es []*Ejector)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeTable{delay: 10 * time.Millisecond}
		var es []*Ejector
		for i := range n {
			e := NewEjector("reservas", fleet.NewIncarnation(vmName(i)), f.table(), WithRank(func(fleet.TargetID) int { return i }))
			e.Start(ctx)
			es = append(es, e)
		}
		body(gomega.NewWithT(t), f, es)
		cancel()
		for _, e := range es {
			e.Wait()
		}
	})
}

func submitAll(es []*Ejector, svc *fleet.Service, vs ...Verdict) {
	for _, e := range es {
		e.Submit(Assessment{Service: svc, Verdicts: vs, MedianLatency: 10 * time.Millisecond})
	}
}

// Guards against redundant writes of the same ejection by all six carriers.
func TestEjectorsWriteAnEjectionOnce(t *testing.T) {
	runEjectors(t, 6, func(g *gomega.WithT, f *fakeTable, es []*Ejector) {
		submitAll(es, testService(6), condemnedVerdict("a"), condemnedVerdict("b"))
		time.Sleep(3 * time.Second)
		j := f.list(t, "reservas")
		g.Expect(j.Entries).To(gomega.HaveLen(2))
		_, applies := f.counts()
		g.Expect(applies).To(gomega.Equal(1), "one write for both targets")
		g.Expect(es[5].Current().Entries).To(gomega.HaveLen(2))
	})
}

// Guards against a target that stays in service because the first carrier in
// rank has failed.
func TestEjectorOfNextRankWrites(t *testing.T) {
	runEjectors(t, 3, func(g *gomega.WithT, f *fakeTable, es []*Ejector) {
		submitAll(es[1:], testService(6), condemnedVerdict("a"))
		time.Sleep(time.Second)
		g.Expect(f.list(t, "reservas").Entries).To(gomega.HaveLen(1))
	})
}

// Guards against a duplicate ejection, and a wrong answer to the operator,
// after the reply to a write was lost.
func TestEjectorResolvesLostReplies(t *testing.T) {
	for _, applied := range []bool{true, false} {
		runEjectors(t, 1, func(g *gomega.WithT, f *fakeTable, es []*Ejector) {
			submitAll(es, testService(6))
			first := true
			f.setFaults(func() (bool, error) {
				if first {
					first = false
					return applied, ambiguousError()
				}
				return true, nil
			}, nil)
			g.Expect(es[0].EjectByHand(context.Background(), "a", "alma", "disk swap")).To(gomega.Succeed())
			j := f.list(t, "reservas")
			g.Expect(j.Sequence).To(gomega.Equal(uint64(1)))
			g.Expect(j.Entries[0].By).To(gomega.Equal("alma"))
			g.Expect(es[0].ReturnByHand(context.Background(), "a", "alma", "done")).To(gomega.Succeed())
			g.Expect(f.list(t, "reservas").Entries).To(gomega.BeEmpty())
		})
	}
}

// Guards against reporting a definite result for a write whose effect cannot be
// known.
func TestEjectorReportsUnresolvedWrite(t *testing.T) {
	runEjectors(t, 1, func(g *gomega.WithT, f *fakeTable, es []*Ejector) {
		submitAll(es, testService(6))
		time.Sleep(time.Second)
		f.setFaults(func() (bool, error) { return true, ambiguousError() }, unavailableError)
		err := es[0].EjectByHand(context.Background(), "a", "alma", "disk swap")
		g.Expect(fault.Is(err, fault.StoreAmbiguous)).To(gomega.BeTrue())
		f.setFaults(nil, nil)
		time.Sleep(time.Second)
		g.Expect(es[0].Current().Entries).To(gomega.HaveLen(1), "read back as soon as the store answers")
	})
}

// Guards against a busy loop of retries while the store is down, and against
// ejections that are not made after the outage.
func TestEjectorBacksOff(t *testing.T) {
	runEjectors(t, 1, func(g *gomega.WithT, f *fakeTable, es []*Ejector) {
		f.setFaults(func() (bool, error) { return false, unavailableError() }, nil)
		for range 60 {
			submitAll(es, testService(6), condemnedVerdict("a"))
			time.Sleep(time.Second)
		}
		_, applies := f.counts()
		g.Expect(applies).To(gomega.BeNumerically("<", 20))
		f.setFaults(nil, nil)
		for range 16 {
			submitAll(es, testService(6), condemnedVerdict("a"))
			time.Sleep(time.Second)
		}
		g.Expect(f.list(t, "reservas").Entries).To(gomega.HaveLen(1))
	})
}

// Guards against acting after a pause on verdicts from before it.
func TestEjectorIgnoresOutdatedVerdicts(t *testing.T) {
	runEjectors(t, 1, func(g *gomega.WithT, f *fakeTable, es []*Ejector) {
		f.setFaults(nil, unavailableError)
		submitAll(es, testService(6), condemnedVerdict("a"))
		time.Sleep(2 * maxAssessmentAge)
		f.setFaults(nil, nil)
		time.Sleep(maxBackoff * 2)
		g.Expect(f.list(t, "reservas").Entries).To(gomega.BeEmpty())
	})
}

// Guards against a daemon that keeps using an old row although a peer reports a
// newer version.
func TestEjectorReadsNewerRow(t *testing.T) {
	runEjectors(t, 2, func(g *gomega.WithT, f *fakeTable, es []*Ejector) {
		time.Sleep(time.Second)
		submitAll(es[:1], testService(6), condemnedVerdict("a"))
		time.Sleep(time.Second)
		own := es[0].Current()
		g.Expect(es[1].Current().Version).To(gomega.BeZero())
		es[1].RecordPeerVersion(own.Version)
		time.Sleep(100 * time.Millisecond)
		g.Expect(es[1].Current().Version).To(gomega.Equal(own.Version))
		before, _ := f.counts()
		es[1].RecordPeerVersion(own.Version + 7)
		time.Sleep(refreshInterval / 2)
		after, _ := f.counts()
		g.Expect(after-before).To(gomega.BeNumerically("<=", 2), "a version that the table does not have is forgotten")
		g.Expect(es[1].OfferRow(9, []byte(`{"service":"x"}`))).NotTo(gomega.Succeed())
		g.Expect(es[1].OfferRow(own.Version-1, own.Value)).To(gomega.Succeed())
		g.Expect(es[1].Current().Version).To(gomega.Equal(own.Version))
	})
}

// Guards against targets that stay ejected for good, and targets that return
// although they still fail.
func TestEjectorRunsTrials(t *testing.T) {
	runEjectors(t, 1, func(g *gomega.WithT, f *fakeTable, es []*Ejector) {
		e, svc := es[0], testService(6)
		submitAll(es, svc, condemnedVerdict("a"), condemnedVerdict("b"), condemnedVerdict("c"))
		time.Sleep(time.Second)
		submitAll(es, svc)
		time.Sleep(11 * time.Second)
		for _, id := range []fleet.TargetID{"a", "b", "c"} {
			entry, _ := e.Current().Find(id)
			g.Expect(entry.Phase).To(gomega.Equal(PhaseTrial))
		}
		for range trialSuccesses {
			e.RecordTrialRequest("a", OK, 10*time.Millisecond)
			e.RecordTrialRequest("b", OK, time.Second)
		}
		e.RecordTrialProbe("c", OK)
		time.Sleep(time.Second)
		j := e.Current().Ejections
		states := States(svc, j, nil, nil, nil, time.Now())
		g.Expect(stateOf(states, "a")).To(gomega.Equal(SlowStart))
		g.Expect(stateOf(states, "b")).To(gomega.Equal(Ejected), "as slow as before")
		entry, _ := j.Find("b")
		g.Expect(entry.Period()).To(gomega.Equal(20 * time.Second))
		g.Expect(stateOf(states, "c")).To(gomega.Equal(Trial))
		e.RecordTrialProbe("c", OK)
		e.RecordTrialProbe("c", OK)
		time.Sleep(trialProbeGrace)
		_, listed := e.Current().Find("c")
		g.Expect(listed).To(gomega.BeFalse(), "probes decide where no request may be tried")
	})
}
