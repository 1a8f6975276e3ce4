package gossip

import (
	"testing"
)

// Guards against a datagram that ends the daemon or takes memory without bound.
func FuzzReport(f *testing.F) {
	beat := Report{VM: "vm", DataCentre: "a", Callers: "10.0.0.1:80", Ready: true, Carries: []string{"group-0"}, Cores: 0.3}
	pieces, err := (&Document{Version: 1, Data: []byte("configuration")}).split()
	if err != nil {
		f.Fatal(err)
	}
	for _, r := range []Report{beat, {VM: "vm", Results: &Results{First: 1, Events: []Event{{Target: 7}}}}, {VM: "vm", Piece: &pieces[0]}} {
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
		if r.Results != nil {
			for i := range r.Results.Events {
				_ = r.Results.Events[i].decoded(TargetRef{})
			}
		}
		if r.Piece == nil {
			return
		}
		var j joiner
		d, err := j.add(r.Piece)
		if err == nil && d != nil && len(d.Data) > maxDocument {
			t.Fatalf("document of %d bytes", len(d.Data))
		}
	})
}
