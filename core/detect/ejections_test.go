package detect

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
)

func condemnedVerdict(id fleet.TargetID) Verdict {
	return Verdict{Target: id, Action: Condemn, Severity: 2, Reason: "5 of 6 requests failed"}
}

func stateOf(states []TargetState, id fleet.TargetID) State {
	for _, s := range states {
		if s.Target == id {
			return s.State
		}
	}
	return stateCount
}

var _ = Describe("Ejections", func() {
	svc := testService(6)
	eject := func(j Ejections, id fleet.TargetID, now time.Time) Ejections {
		n, err := j.Eject(svc, nil, condemnedVerdict(id), "vm1", now)
		Expect(err).NotTo(HaveOccurred())
		return n
	}

	It("refuses the entry that would break the floor", func() {
		j := NewEjections(svc.ID)
		for _, id := range []fleet.TargetID{"a", "b", "c"} {
			j = eject(j, id, epoch)
		}
		_, err := j.Eject(svc, nil, condemnedVerdict("d"), "vm1", epoch)
		Expect(fault.Is(err, fault.FloorReached)).To(BeTrue())
		_, err = j.EjectByHand(svc, nil, "d", "alma", "bad disk", epoch)
		Expect(fault.Is(err, fault.FloorReached)).To(BeTrue())
	})

	It("counts leaving and drained targets against the floor", func() {
		j := eject(NewEjections(svc.ID), "a", epoch)
		signals := LeavingSignals{"e": {}, "f": {}}
		_, err := j.Eject(svc, signals, condemnedVerdict("b"), "vm1", epoch)
		Expect(fault.Is(err, fault.FloorReached)).To(BeTrue())
	})

	It("doubles the period of a target that flaps, up to the maximum", func() {
		j, now := NewEjections(svc.ID), epoch
		for _, want := range []int64{10, 20, 40, 80, 160, 300, 300} {
			j = eject(j, "a", now)
			e, _ := j.Find("a")
			Expect(e.PeriodMS).To(Equal(want * 1000))
			now = e.Until
			j, _ = j.BeginTrial(svc, "a", now)
			j, _ = j.EndTrial(svc, "a", true, "vm1", now)
			Expect(j.Entries).To(BeEmpty())
			now = now.Add(flapFactor * e.Period())
		}
		now = now.Add(time.Second)
		Expect(eject(j, "a", now).Entries[0].PeriodMS).To(Equal(int64(10_000)), "forgotten after 10 periods")
	})

	It("drops the youngest entries when the floor is raised", func() {
		j := eject(NewEjections(svc.ID), "a", epoch)
		j = eject(j, "b", epoch.Add(time.Second))
		raised := *svc
		raised.Policy.Floor = fleet.Floor{Count: 5}
		n := j.ApplySettings(&raised, epoch.Add(2*time.Second))
		Expect(n.Validate()).To(Succeed())
		Expect(n.Entries).To(HaveLen(1))
		Expect(n.Entries[0].Target).To(Equal(fleet.TargetID("a")))
		states := States(&raised, j, nil, nil, nil, epoch.Add(2*time.Second))
		Expect(stateOf(states, "a")).To(Equal(Ejected))
		Expect(stateOf(states, "b")).To(Equal(Avoided))
	})

	It("survives encoding and decoding unchanged", func() {
		j := eject(NewEjections(svc.ID), "a", epoch).WithWriteID("vm1.7")
		j, err := j.EjectByHand(svc, nil, "b", "alma", "disk swap", epoch)
		Expect(err).NotTo(HaveOccurred())
		data, err := j.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(`"period-ms":10000`))
		back, err := DecodeEjections(svc.ID, data)
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(Equal(j))
		_, err = DecodeEjections("otro", data)
		Expect(fault.Is(err, fault.MessageInvalid)).To(BeTrue())
	})

	It("keeps rows readable whatever an operator writes", func() {
		for _, reason := range []string{"a" + strings.Repeat("ñ", 400), strings.Repeat("\xff", 400), strings.Repeat("\xff", 900)} {
			j, err := NewEjections(svc.ID).EjectByHand(svc, nil, "a", "íñigo", reason, epoch)
			Expect(err).NotTo(HaveOccurred())
			data, err := j.Encode()
			Expect(err).NotTo(HaveOccurred())
			Expect(DecodeEjections(svc.ID, data)).To(Equal(j))
		}
	})

	It("rejects a row with more entries than its own floor allows", func() {
		j := eject(NewEjections(svc.ID), "a", epoch)
		j.Floor = 6
		_, err := j.Encode()
		Expect(fault.Is(err, fault.MessageInvalid)).To(BeTrue())
	})
})

func FuzzDecodeEjections(f *testing.F) {
	svc := testService(6)
	j, _ := NewEjections(svc.ID).Eject(svc, nil, condemnedVerdict("a"), "vm1", epoch)
	whole, _ := j.WithWriteID("vm1.1").Encode()
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add(bytes.Replace(whole, []byte(`"floor":3`), []byte(`"floor":6`), 1))
	f.Add([]byte(`{"service":"reservas","entries":null,"extra":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		j, err := DecodeEjections(svc.ID, data)
		if err != nil {
			return
		}
		if len(j.Entries) > j.Targets-j.Floor {
			t.Fatalf("accepted %d entries with floor %d of %d", len(j.Entries), j.Floor, j.Targets)
		}
		again, err := j.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeEjections(svc.ID, again); err != nil {
			t.Fatal(err)
		}
		if n := j.ApplySettings(svc, epoch); n.Validate() != nil {
			t.Fatalf("fitted row is not valid: %v", n.Validate())
		}
	})
}
