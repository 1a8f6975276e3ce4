package inner

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"

	"storj.io/drpc"
)

// fuzzDecode checks that any input either fails to decode or yields a message that
// can be encoded and decoded again.
func fuzzDecode(f *testing.F, kind drpc.Message) {
	for _, m := range samples() {
		if reflect.TypeOf(m) == reflect.TypeOf(kind) {
			buf, _ := Codec{}.Marshal(m)
			f.Add(buf)
		}
	}
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := empty(kind)
		if (Codec{}).Unmarshal(data, m) != nil {
			return
		}
		buf, err := Codec{}.Marshal(m)
		if err != nil {
			t.Fatalf("accepted message cannot be encoded: %v", err)
		}
		if err := (Codec{}).Unmarshal(buf, empty(kind)); err != nil {
			t.Fatalf("encoded message is rejected: %v", err)
		}
	})
}

func FuzzReport(f *testing.F)        { fuzzDecode(f, new(ReportMsg)) }
func FuzzReportReply(f *testing.F)   { fuzzDecode(f, new(ReportReplyMsg)) }
func FuzzOrderAsk(f *testing.F)      { fuzzDecode(f, new(OrderRequestMsg)) }
func FuzzOrderReply(f *testing.F)    { fuzzDecode(f, new(OrderReplyMsg)) }
func FuzzLedger(f *testing.F)        { fuzzDecode(f, new(LedgerMsg)) }
func FuzzLedgerReply(f *testing.F)   { fuzzDecode(f, new(LedgerReplyMsg)) }
func FuzzRevisionAsk(f *testing.F)   { fuzzDecode(f, new(RevisionRequestMsg)) }
func FuzzRevisionReply(f *testing.F) { fuzzDecode(f, new(RevisionReplyMsg)) }
func FuzzVMsReply(f *testing.F)      { fuzzDecode(f, new(VMsReplyMsg)) }
func FuzzStateAsk(f *testing.F)      { fuzzDecode(f, new(StateRequestMsg)) }
func FuzzStateReply(f *testing.F)    { fuzzDecode(f, new(StateReplyMsg)) }

// BenchmarkReport measures the size and the encoding cost of a report with requests
// in flight at all targets. The planned size is 1 service with 27 targets.
func BenchmarkReport(b *testing.B) {
	for _, services := range []int{1, 2, 4, 8} {
		for _, targets := range []int{10, 27, 40} {
			m := makeReport(services, targets)
			buf, err := Codec{}.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("encode/services=%d/targets=%d", services, targets), func(b *testing.B) {
				b.ReportAllocs()
				var out []byte
				for b.Loop() {
					out, _ = Codec{}.MarshalAppend(out[:0], m)
				}
				b.ReportMetric(float64(len(out)), "bytes/report")
				runtime.KeepAlive(out)
			})
			b.Run(fmt.Sprintf("decode/services=%d/targets=%d", services, targets), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := (Codec{}).Unmarshal(buf, new(ReportMsg)); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
