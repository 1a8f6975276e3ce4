package settle

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/tree"
)

func sampleDelta() *Delta {
	return &Delta{Revision: 3, Change: "c1", Author: "ana", Ops: []tree.Op{tree.Set(stockService, "floor", 1), tree.Remove(stockService)}}
}

// FuzzRows guards against rows that can be decoded but not encoded again.
func FuzzRows(f *testing.F) {
	delta, _ := json.Marshal(sampleDelta())
	change, _ := json.Marshal(Change{ID: "c1", Author: "ana", State: StateProposed, Ops: sampleDelta().Ops})
	for _, seed := range []string{string(delta), string(change), `{"revision":1,"change":"c"}`, `{}`, `[]`, `{"revision":-1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Delta
		if json.Unmarshal(data, &d) == nil {
			raw, err := json.Marshal(d)
			if err != nil || json.Unmarshal(raw, &d) != nil {
				t.Fatalf("delta %s changed by encoding: %s, %v", data, raw, err)
			}
		}
		var c Change
		if json.Unmarshal(data, &c) == nil {
			raw, err := json.Marshal(c)
			if err != nil || json.Unmarshal(raw, &c) != nil {
				t.Fatalf("change %s changed by encoding: %s, %v", data, raw, err)
			}
		}
		var h Head
		if json.Unmarshal(data, &h) == nil && h.Revision == 0 {
			t.Fatalf("head %s has no revision", data)
		}
	})
}

// FuzzReply guards against a peer's reply that crashes the follower or leaves it
// without a catalog.
func FuzzReply(f *testing.F) {
	snap, err := encodeSnapshot(7, baseDoc())
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []RevisionReplyMsg{
		{},
		{Revision: 3, Ready: true, HeadRead: true, HeadAge: 5, Deltas: []*Delta{sampleDelta()}},
		{Revision: 7, Snapshot: snap},
	} {
		raw, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m RevisionReplyMsg
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		follower := NewFollower(newFakePlatform().table())
		follower.applyReply(&m)
		if held := follower.held.Load(); held.Revision > 0 && held.Catalog == nil {
			t.Fatalf("revision %d without catalog", held.Revision)
		}
	})
}
