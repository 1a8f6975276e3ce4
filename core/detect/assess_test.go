package detect

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fleet"
)

// assessFixture holds a service with six carriers in three data centres.
type assessFixture struct {
	svc *fleet.Service
	s   *Detector
	now time.Time
}

var carrierDCs = []fleet.DataCentre{"mdp", "mdp", "pinamar", "pinamar", "necochea", "necochea"}

func newAssessFixture(targets int) *assessFixture {
	b := &assessFixture{svc: testService(targets), now: epoch}
	b.s = NewDetector(b.svc, "vm0")
	b.s.SetCarriers(testCarriers())
	return b
}

func testCarriers() map[fleet.VMID]fleet.DataCentre {
	all := map[fleet.VMID]fleet.DataCentre{}
	for i, dc := range carrierDCs {
		all[vmName(i)] = dc
	}
	return all
}

func vmName(i int) fleet.VMID { return fleet.VMID(fmt.Sprintf("vm%d", i)) }

// addRound adds the statistics of one second for all carriers and targets: 5 OK
// requests of 10 ms each, as changed by fill.
func (b *assessFixture) addRound(fill func(carrier, target int, r *IntervalStats)) {
	b.now = b.now.Add(time.Second)
	for c, dc := range carrierDCs {
		var rows []IntervalStats
		for i := range b.svc.Targets {
			r := IntervalStats{Target: targetName(i), Latency: LatencyCodeOf(10 * time.Millisecond)}
			r.Counts[OK] = 5
			fill(c, i, &r)
			rows = append(rows, r)
		}
		b.s.Add(vmName(c), dc, rows, b.now)
	}
}

func setFailing(r *IntervalStats, res Result) {
	r.Counts[OK], r.Counts[res] = 1, 4
}

func summarize(vs []Verdict) []string {
	out := []string{}
	for _, v := range vs {
		out = append(out, fmt.Sprintf("%s %s %s", v.Action, v.Target, v.Cause))
	}
	return out
}

var _ = Describe("Assess", func() {
	var b *assessFixture
	BeforeEach(func() { b = newAssessFixture(9) })
	verdicts := func() []string { return summarize(b.s.Assess(b.now)) }

	DescribeTable("condemns a target that all observers find unhealthy",
		func(res Result, cause string) {
			b.addRound(func(_, i int, r *IntervalStats) {
				if i == 2 {
					setFailing(r, res)
				}
			})
			Expect(verdicts()).To(Equal([]string{"condemn c " + cause}))
		},
		Entry("failing", Failed, "failing"),
		Entry("hanging", TimedOut, "timeouts"),
		Entry("truncating", Short, "short-responses"),
		Entry("failing inside a 200", BodyFailure, "body-failures"),
		Entry("unreachable", Unreachable, "unreachable"),
	)

	// Guards against ejecting a target at which requests queue up for a moment
	// because all carriers send to the target that was last reported idle.
	It("condemns a slow target once it is slow for most of the window, and says why", func() {
		slow := func(_, i int, r *IntervalStats) {
			if i == 2 {
				r.Latency = LatencyCodeOf(50 * time.Millisecond)
			}
		}
		b.addRound(func(_, _ int, r *IntervalStats) {})
		b.addRound(slow)
		Expect(verdicts()).To(BeEmpty())
		b.addRound(slow)
		b.addRound(slow)
		b.addRound(slow)
		vs := b.s.Assess(b.now)
		Expect(summarize(vs)).To(Equal([]string{"condemn c slow"}))
		Expect(vs[0].Reason).To(ContainSubstring("6 observers in 3 data centres agree"))
	})

	It("gives no verdict for shed and cancelled requests", func() {
		b.addRound(func(_, i int, r *IntervalStats) {
			r.Counts[Shed], r.Counts[Cancelled] = 50, 50
		})
		Expect(verdicts()).To(BeEmpty())
	})

	It("only avoids a target that one observer cannot reach", func() {
		b.addRound(func(c, i int, r *IntervalStats) {
			if c == 0 && i == 2 {
				r.Counts[OK], r.Counts[Unreachable] = 0, 5
			}
		})
		Expect(verdicts()).To(Equal([]string{"avoid c unreachable"}))
	})

	It("does not avoid a target for two isolated failures among few requests", func() {
		b.addRound(func(c, i int, r *IntervalStats) {
			if c == 0 && i == 2 {
				r.Counts[OK], r.Counts[Failed] = 2, 2
			}
		})
		Expect(verdicts()).To(BeEmpty())
	})

	It("does not condemn when only observers in one data centre agree", func() {
		b.addRound(func(c, i int, r *IntervalStats) {
			if carrierDCs[c] == "pinamar" && i == 2 {
				setFailing(r, Failed)
			}
		})
		Expect(verdicts()).To(BeEmpty())
	})

	It("does not count observers that fail against most targets", func() {
		b.addRound(func(c, i int, r *IntervalStats) {
			if c < 3 && i < 6 {
				setFailing(r, Unreachable)
			}
		})
		vs := b.s.Assess(b.now)
		Expect(vs).NotTo(BeEmpty(), "vm0 prefers what it reaches")
		for _, v := range vs {
			Expect(v.Action).To(Equal(Avoid), v.Reason)
		}
	})

	DescribeTable("gives no verdicts when the service as a whole is",
		func(degrade func(r *IntervalStats)) {
			b.addRound(func(_, _ int, r *IntervalStats) { degrade(r) })
			Expect(verdicts()).To(BeEmpty())
		},
		Entry("failing", func(r *IntervalStats) { setFailing(r, Failed) }),
		Entry("slow", func(r *IntervalStats) { r.Latency = LatencyCodeOf(time.Second) }),
	)

	It("gives no verdicts when all targets begin to fail and some pass the limit first", func() {
		b.addRound(func(_, _ int, _ *IntervalStats) {})
		b.addRound(func(_, _ int, _ *IntervalStats) {})
		b.now = b.now.Add(time.Second)
		b.addRound(func(_, i int, r *IntervalStats) {
			r.Counts[OK], r.Counts[Failed] = 2, 3
			if i < 3 {
				r.Counts[OK], r.Counts[Failed] = 0, 12
			}
		})
		Expect(verdicts()).To(BeEmpty())
	})

	It("gives no verdicts when most observers fail everywhere", func() {
		b.addRound(func(c, i int, r *IntervalStats) {
			if c < 4 && i < 6 {
				setFailing(r, Failed)
			}
		})
		Expect(verdicts()).To(BeEmpty())
	})

	It("condemns an unhealthy third of the service, the most severe first", func() {
		b.addRound(func(_, i int, r *IntervalStats) {
			if i < 3 {
				setFailing(r, Failed)
			}
			if i == 1 {
				r.Counts[OK], r.Counts[Failed] = 0, 5
			}
		})
		Expect(verdicts()).To(Equal([]string{"condemn b failing", "condemn a failing", "condemn c failing"}))
	})

	It("assesses a target with little traffic by the long window", func() {
		for step := range 8 {
			b.addRound(func(c, i int, r *IntervalStats) {
				r.Counts[OK] = 0
				if i == 2 && step%4 == c%4 {
					r.Counts[Failed] = 1
				} else if step%4 == c%4 {
					r.Counts[OK] = 1
				}
			})
			b.now = b.now.Add(2 * time.Second)
		}
		Expect(verdicts()).To(Equal([]string{"condemn c failing"}))
	})

	It("condemns a target of which four observers saw one failure each and nothing else", func() {
		for round := range 4 {
			b.addRound(func(c, i int, r *IntervalStats) {
				r.Counts[OK] = 0
				if i == 2 && c == round {
					r.Counts[Failed] = 1
				}
			})
			b.now = b.now.Add(5 * time.Second)
		}
		Expect(verdicts()).To(Equal([]string{"condemn c failing"}))
	})

	It("avoids a target without traffic whose probes fail, until one succeeds", func() {
		probe := func(ok, failed uint32) {
			b.now = b.now.Add(time.Second)
			b.s.Add("vm3", "pinamar", []IntervalStats{{Target: "c", ProbesOK: ok, ProbesFailed: failed}}, b.now)
		}
		probe(1, 0)
		probe(0, 1)
		Expect(verdicts()).To(BeEmpty())
		Expect(b.s.Suspects()).To(HaveKey(fleet.TargetID("c")), "probed each second")
		probe(0, 2)
		Expect(verdicts()).To(Equal([]string{"avoid c probes-failing"}))
		probe(1, 0)
		Expect(verdicts()).To(BeEmpty())
	})

	It("gives successful requests precedence over failed probes", func() {
		b.addRound(func(_, _ int, r *IntervalStats) {})
		b.s.Add("vm3", "pinamar", []IntervalStats{{Target: "c", ProbesFailed: 9}}, b.now)
		Expect(verdicts()).To(BeEmpty())
	})

	It("drops the evidence against a target from before it came back", func() {
		b.addRound(func(_, i int, r *IntervalStats) {
			if i == 2 {
				setFailing(r, Failed)
			}
		})
		listed := Ejections{Entries: []Ejection{{Target: "c"}}}
		b.s.SetOutOfService(listed, nil, b.now)
		Expect(verdicts()).To(BeEmpty())
		b.s.SetOutOfService(Ejections{}, nil, b.now)
		Expect(verdicts()).To(BeEmpty())
		Expect(b.s.StartTimes()).To(HaveKey(fleet.TargetID("c")))
	})

	It("condemns a slow target that gets too few requests for one observer to judge", func() {
		for range 3 {
			b.addRound(func(_, _ int, _ *IntervalStats) {})
		}
		for range 6 {
			b.addRound(func(c, i int, r *IntervalStats) {
				if i == 2 {
					r.Counts[OK], r.Latency = 0, LatencyCodeOf(80*time.Millisecond)
					if c%2 == int(b.now.Unix()%2) {
						r.Counts[OK] = 1
					}
				}
			})
		}
		b.now = b.now.Add(500 * time.Millisecond)
		Expect(verdicts()).To(Equal([]string{"condemn c slow"}))
	})

	// Guards against an ejection for a fault of a single network path. It would
	// come about if the verdict of one observer kept the others from using the
	// target and contradicting it.
	It("keeps counting observers that find an avoided target healthy", func() {
		round := 0
		oneWay := func(c, i int, r *IntervalStats) {
			if i != 2 {
				return
			}
			r.Counts[OK] = uint32(round % 2)
			if c == 0 {
				r.Counts[OK], r.Counts[Unreachable] = 0, 1
			}
			if c == 3 && round >= 10 {
				r.Counts[OK], r.Counts[Failed] = 0, 1
			}
		}
		for round = range 12 {
			b.addRound(oneWay)
			Expect(verdicts()).NotTo(ContainElement(ContainSubstring("condemn")))
		}
		Expect(verdicts()).To(Equal([]string{"avoid c unreachable"}))
	})

	It("weighs slowness less while a target starts", func() {
		b.s.SetOutOfService(Ejections{}, LeavingSignals{"c": {}}, b.now)
		b.s.SetOutOfService(Ejections{}, nil, b.now)
		slow := func(_, i int, r *IntervalStats) {
			if i == 2 {
				r.Latency = LatencyCodeOf(60 * time.Millisecond)
			}
		}
		b.addRound(slow)
		Expect(verdicts()).To(BeEmpty())
		b.now = b.now.Add(20 * time.Second)
		for range 4 {
			b.addRound(slow)
		}
		Expect(verdicts()).To(Equal([]string{"condemn c slow"}))
	})

	// Guards against evidence that counts against the wrong target, because two
	// daemons number the targets differently while settings change.
	It("reads rows of the present and the previous target list only", func() {
		old := EncodeStats(NewTargetIndex(b.svc), []IntervalStats{{Target: "c", ProbesFailed: 3}})
		grown := testService(10)
		b.s.Update(grown, b.now)
		Expect(b.s.AddWire("vm3", "pinamar", old, b.now)).To(Succeed())
		Expect(verdicts()).To(Equal([]string{"avoid c probes-failing"}))
		Expect(b.s.AddWire("vm3", "pinamar", EncodeStats(NewTargetIndex(testService(4)), nil), b.now)).NotTo(Succeed())
		states := States(grown, NewEjections(grown.ID), nil, b.s.Assess(b.now), b.s.StartTimes(), b.now.Add(5*time.Second))
		Expect(stateOf(states, "c")).To(Equal(Avoided))
		Expect(states[9].State).To(Equal(SlowStart), "a target that joins starts slowly")
		Expect(states[9].Weight).To(BeNumerically("~", 0.55, 0.001))
	})
})
