package tree

import (
	"encoding/json"
	"testing"
)

// FuzzDecodeOps guards against ops that DecodeOps accepts and that make Apply
// panic or yield a document that changes when it is encoded and decoded.
func FuzzDecodeOps(f *testing.F) {
	for _, seed := range []string{
		`[]`, `[{"path":"/","key":"floor","value":1}]`, `[{"path":"/workspace/w"},{"path":"/workspace/w","unset":true}]`,
		`[{"path":"/workspace/w/service/s/route/r","key":"methods","value":["GET"]}]`, `[{"path":"/","key":"floor","unset":true}]`,
		`[{"path":"//"},{"path":"/","key":"refusal","value":null}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ops, err := DecodeOps(data)
		if err != nil {
			return
		}
		doc, err := New().Apply(ops)
		if err != nil {
			return
		}
		checkRoundTrip(t, doc)
	})
}

// FuzzDecode guards against documents that change when they are encoded and decoded.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		sampleSettings, `{}`, `{"/":{"owners":["a","b"]}}`, `{"/region/r":{"floor":"1e1%"}}`, `{"/":{"floor":1},"/":{}}`, `[1]`,
		`{"/workspace/w":{},"/workspace/w/service/s":{"region":"r","targets":[]},"/region/r":{}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := ParseFile(data)
		if err != nil {
			return
		}
		checkRoundTrip(t, doc)
	})
}

func checkRoundTrip(t *testing.T, doc *Document) {
	t.Helper()
	raw, err := json.Marshal(doc)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	decoded, err := Decode(raw)
	if err != nil {
		t.Fatalf("decode of %s: %v", raw, err)
	}
	if ops := OpsBetween(doc, decoded); len(ops) > 0 {
		t.Fatalf("%s changed by encoding: %v", raw, ops)
	}
}
