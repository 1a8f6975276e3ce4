package gossip

import (
	"testing"

	"wisteriarelay.example/core/quota"
)

// Guards against a datagram that makes the daemon panic or allocate memory without
// bound.
func FuzzReport(f *testing.F) {
	heartbeat := Report{VM: "vm", DataCentre: "a", CallerAddress: "10.0.0.1:80", Ready: true, Carries: []string{"group-0"}, Cores: 0.3}
	quotaRequest := Report{VM: "vm", QuotaRequest: &quota.RequestMsg{Seq: 1, Tokens: []quota.TokenRequest{{Workspace: 1, Count: 1}}}}
	fragments, err := (&Document{Version: 1, Data: []byte("configuration")}).split()
	if err != nil {
		f.Fatal(err)
	}
	for _, r := range []Report{heartbeat, {VM: "vm", EventBatch: &EventBatch{FirstSeq: 1, Events: []EncodedEvent{{Target: 7}}}}, quotaRequest, {VM: "vm", ConfigFragment: &fragments[0]}} {
		data, err := r.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xa1, 0x0f, 0x85, 0x01, 0x01, 0x00, 0x1a, 0x7f, 0xff, 0xff, 0xff, 0x40})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		if r.EventBatch != nil {
			for i := range r.EventBatch.Events {
				_ = r.EventBatch.Events[i].decode(TargetRef{})
			}
		}
		if r.ConfigFragment == nil {
			return
		}
		var a reassembler
		d, err := a.add(r.ConfigFragment)
		if err == nil && d != nil && len(d.Data) > maxDocumentBytes {
			t.Fatalf("document of %d bytes", len(d.Data))
		}
	})
}
