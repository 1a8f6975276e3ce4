package inner

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"wisteriarelay.example/core/fault"
)

// maxNesting is the depth of a report with its services and their rows, with
// room for fields that later versions add.
const maxNesting = 8

var (
	encMode = must(cbor.EncOptions{}.UserBufferEncMode())
	// Unknown keys are skipped, because peers of a later version may send them.
	decMode = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constant, so that each test would fail
	}
	return v
}

// Codec is the drpc.Encoding of the inner protocol.
type Codec struct{}

// Marshal returns the encoded message; it fails with fault.MessageInvalid if
// the message exceeds a bound.
func (c Codec) Marshal(msg drpc.Message) ([]byte, error) {
	return c.MarshalAppend(nil, msg)
}

// MarshalAppend appends the encoded message to buf; drpc calls it to reuse the
// buffer of a connection.
func (Codec) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	if err := check(msg); err != nil {
		return nil, err
	}
	b := bytes.NewBuffer(buf)
	if err := encMode.MarshalToBuffer(msg, b); err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "message cannot be encoded")
	}
	if limit := maxEncoded(msg); b.Len()-len(buf) > limit {
		return nil, fault.New(fault.MessageInvalid, "message of %d bytes exceeds %d", b.Len()-len(buf), limit)
	}
	return b.Bytes(), nil
}

// Unmarshal decodes and checks a message; it fails with fault.MessageInvalid.
func (Codec) Unmarshal(buf []byte, msg drpc.Message) error {
	if limit := maxEncoded(msg); len(buf) > limit {
		return fault.New(fault.MessageInvalid, "message of %d bytes exceeds %d", len(buf), limit)
	}
	if err := decMode.Unmarshal(buf, msg); err != nil {
		return fault.Wrap(err, fault.MessageInvalid, "message cannot be decoded")
	}
	return check(msg)
}

// maxEncoded returns the bound of the encoded message. Only replies with
// settings or dumps may exceed MaxAsk.
func maxEncoded(msg drpc.Message) int {
	switch msg.(type) {
	case *RevisionReplyMsg, *StateReplyMsg:
		return MaxReply
	default:
		return MaxAsk
	}
}

func check(msg drpc.Message) error {
	switch m := msg.(type) {
	case *ReportMsg:
		return m.Check()
	case *ReportReplyMsg:
		return m.Check()
	case *OrderAskMsg:
		return m.Validate()
	case *OrderReplyMsg:
		return m.Validate()
	case *LedgerMsg:
		return m.Validate()
	case *LedgerReplyMsg:
		return m.Check()
	case *RevisionAskMsg:
		return nil
	case *RevisionReplyMsg:
		return m.Check()
	case *VMsAskMsg:
		return m.Check()
	case *VMsReplyMsg:
		return m.Check()
	case *StateAskMsg:
		return m.Check()
	case *StateReplyMsg:
		return m.Check()
	default:
		return fault.New(fault.MessageInvalid, "%T is not a message of the inner protocol", msg)
	}
}
