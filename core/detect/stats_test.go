package detect

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
)

var _ = Describe("The wire form of statistics", func() {
	svc := testService(27)
	index := NewTargetIndex(svc)
	rec := func(fill func(r *Recorder)) []IntervalStats {
		r := NewRecorder(svc)
		fill(r)
		return r.Collect()
	}

	It("takes at most 6 bytes for a target with ordinary traffic", func() {
		rows := rec(func(r *Recorder) {
			for i := range svc.Targets {
				for range 200 {
					r.Record(svc.Targets[i].ID, OK, 3*time.Millisecond)
				}
				r.Record(svc.Targets[i].ID, Cancelled, 0)
			}
		})
		data := EncodeStats(index, rows)
		Expect(len(data)).To(BeNumerically("<=", 6*len(svc.Targets)))
		Expect(EncodeStats(index, nil)).To(HaveLen(6), "without statistics only the header is sent")
	})

	It("carries all counts, latency and probes", func() {
		rows := rec(func(r *Recorder) {
			for res := range resultCount {
				r.Record("c", res, 20*time.Millisecond)
			}
			r.RecordProbe("z", OK, 25*time.Millisecond)
			r.RecordProbe("z", TimedOut, 0)
		})
		back, err := DecodeStats(index, EncodeStats(index, rows))
		Expect(err).NotTo(HaveOccurred())
		rows[0].Counts[Cancelled] = 0
		Expect(back).To(Equal(rows))
		Expect(back[0].Latency.Latency()).To(BeNumerically("~", 20*time.Millisecond, time.Millisecond))
	})

	It("loses no count between recording, draining and an update of the list", func() {
		const workers, each = 8, 2000
		r := NewRecorder(svc)
		var wg sync.WaitGroup
		for range workers {
			wg.Go(func() {
				for range each {
					r.Record("c", OK, time.Millisecond)
				}
			})
		}
		total := uint32(0)
		drain := func() {
			for _, row := range r.Collect() {
				total += row.Counts[OK]
				Expect(row.Latency).To(Equal(LatencyCodeOf(time.Millisecond)), "a count goes with its latency")
			}
		}
		for range 50 {
			drain()
			r.Update(svc)
		}
		wg.Wait()
		drain()
		Expect(total).To(Equal(uint32(workers * each)))
	})

	It("rejects statistics of another target list", func() {
		data := EncodeStats(index, rec(func(r *Recorder) { r.Record("a", Failed, 0) }))
		_, err := DecodeStats(NewTargetIndex(testService(26)), data)
		Expect(fault.Is(err, fault.MessageInvalid)).To(BeTrue())
	})
})

func FuzzDecodeRows(f *testing.F) {
	svc := testService(27)
	index := NewTargetIndex(svc)
	r := NewRecorder(svc)
	r.Record("a", OK, time.Millisecond)
	r.Record("f", Short, 0)
	r.RecordProbe("h", OK, time.Millisecond)
	whole := EncodeStats(index, r.Collect())
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(append(append([]byte{}, whole...), 0))
	f.Add(EncodeStats(index, nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := DecodeStats(index, data)
		if err != nil {
			return
		}
		again, err := DecodeStats(index, EncodeStats(index, rows))
		if err != nil || len(again) != len(rows) {
			t.Fatalf("rows %v do not survive encoding: %v", rows, err)
		}
		for i := range rows {
			if rows[i] != again[i] {
				t.Fatalf("row %v became %v", rows[i], again[i])
			}
		}
	})
}
