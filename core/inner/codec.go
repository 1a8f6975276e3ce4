package inner

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"wisteriarelay.example/core/fault"
)

// maxNesting limits the depth of nested CBOR arrays and maps. It is deeper than a
// report with its services and their rows, so that later versions can add fields.
const maxNesting = 8

var (
	encMode = must(cbor.EncOptions{}.UserBufferEncMode())
	// Unknown keys are ignored, because peers of a later version may send them.
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
		panic(err) // the options above are constant, so an error would fail every test
	}
	return v
}

// Codec implements drpc.Encoding for the messages of the inner protocol.
type Codec struct{}

// Marshal validates and encodes a message. It fails with fault.MessageInvalid if
// the message is invalid or exceeds a size limit.
func (c Codec) Marshal(msg drpc.Message) ([]byte, error) {
	return c.MarshalAppend(nil, msg)
}

// MarshalAppend is like Marshal, but appends the encoded message to buf. drpc calls
// it to reuse the buffer of a connection.
func (Codec) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	if err := validateMessage(msg); err != nil {
		return nil, err
	}
	b := bytes.NewBuffer(buf)
	if err := encMode.MarshalToBuffer(msg, b); err != nil {
		return nil, fault.Wrap(err, fault.MessageInvalid, "message cannot be encoded")
	}
	if limit := maxEncodedSize(msg); b.Len()-len(buf) > limit {
		return nil, fault.New(fault.MessageInvalid, "message of %d bytes exceeds %d", b.Len()-len(buf), limit)
	}
	return b.Bytes(), nil
}

// Unmarshal decodes and validates a message. It fails with fault.MessageInvalid.
func (Codec) Unmarshal(buf []byte, msg drpc.Message) error {
	if limit := maxEncodedSize(msg); len(buf) > limit {
		return fault.New(fault.MessageInvalid, "message of %d bytes exceeds %d", len(buf), limit)
	}
	if err := decMode.Unmarshal(buf, msg); err != nil {
		return fault.Wrap(err, fault.MessageInvalid, "message cannot be decoded")
	}
	return validateMessage(msg)
}

// maxEncodedSize returns the size limit of the encoded message. Only replies with
// settings or state dumps may exceed MaxRequestBytes.
func maxEncodedSize(msg drpc.Message) int {
	switch msg.(type) {
	case *RevisionReplyMsg, *StateReplyMsg:
		return MaxReplyBytes
	default:
		return MaxRequestBytes
	}
}

// validateMessage validates a message of any type of the protocol.
func validateMessage(msg drpc.Message) error {
	switch m := msg.(type) {
	case *ReportMsg:
		return m.Validate()
	case *ReportReplyMsg:
		return m.Validate()
	case *OrderRequestMsg:
		return m.Validate()
	case *OrderReplyMsg:
		return m.Validate()
	case *LedgerMsg:
		return m.Validate()
	case *LedgerReplyMsg:
		return m.Validate()
	case *RevisionRequestMsg:
		return nil
	case *RevisionReplyMsg:
		return m.Validate()
	case *VMsRequestMsg:
		return m.Validate()
	case *VMsReplyMsg:
		return m.Validate()
	case *StateRequestMsg:
		return m.Validate()
	case *StateReplyMsg:
		return m.Validate()
	default:
		return fault.New(fault.MessageInvalid, "%T is not a message of the inner protocol", msg)
	}
}
