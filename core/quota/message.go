package quota

import (
	"time"

	"wisteriarelay.example/core/fault"
)

const (
	// MaxTokenRequests and maxLeases bound the entries of a message, so that it fits in
	// a datagram.
	MaxTokenRequests = 48
	maxLeases        = ShardCount
	// maxTokens is the largest number of tokens that one request asks for.
	maxTokens = 1 << 14
	// maxHolders is the largest number of holders among which a quota is divided.
	maxHolders = 1 << 10
	// maxWaitMillis is the longest time until the next token in a message.
	maxWaitMillis = 1 << 30
)

// RequestMsg is sent to a coordinator. It asks for tokens and leases out shares.
type RequestMsg struct {
	_ struct{} `cbor:",toarray"`
	// Seq identifies the message in the reply.
	Seq uint64
	// Epoch identifies the run of the sender.
	Epoch  uint64
	Tokens []TokenRequest
	Leases []LeaseOffer
}

// TokenRequest asks for tokens of a workspace.
type TokenRequest struct {
	_         struct{} `cbor:",toarray"`
	Workspace WorkspaceHash
	Count     int
}

// LeaseOffer leases the sender's share of a shard to the receiver, or ends the lease.
type LeaseOffer struct {
	_     struct{} `cbor:",toarray"`
	Shard Shard
	// Number increases with each offer of the sender for the shard.
	Number uint64
	// Epoch and Stamp are from the last reply of the receiver. The lease is for the run
	// of that epoch and begins at that stamp. With an epoch of 0, which only asks for a
	// reply, nothing is leased.
	Epoch uint64
	Stamp int64
	// Holders is the number of equal shares of the quota, of which the sender has one.
	Holders int
	// Release ends the lease.
	Release bool
}

// ReplyMsg answers a RequestMsg. A coordinator that leaves sends one without a request.
type ReplyMsg struct {
	_ struct{} `cbor:",toarray"`
	// Seq is that of the request; 0 if there was none.
	Seq uint64
	// Epoch identifies the run of the sender, Stamp is its time in milliseconds since
	// that run began, plus 1.
	Epoch uint64
	Stamp int64
	// Leaving says that the sender has returned all shares and accepts no further ones.
	Leaving bool
	Grants  []Grant
	Returns []LeaseReturn
}

// GrantState says why a coordinator granted fewer tokens than were asked for.
type GrantState uint8

const (
	// BucketEmpty means that the workspace has used its quota.
	BucketEmpty GrantState = iota
	// BucketFilling means that the coordinator has only just received its shares, and so
	// does not know what was used before.
	BucketFilling
	// NoShares means that the coordinator cannot grant tokens for the workspace now.
	NoShares
	grantStateCount
)

// Grant is the answer to a TokenRequest.
type Grant struct {
	_         struct{} `cbor:",toarray"`
	Workspace WorkspaceHash
	Count     int
	State     GrantState
	// WaitMillis is the time until the next token if fewer were granted than asked for.
	WaitMillis int64
}

// LeaseReturn confirms that the sender no longer uses the receiver's share of a shard, nor
// will because of an offer up to the number.
type LeaseReturn struct {
	_      struct{} `cbor:",toarray"`
	Shard  Shard
	Number uint64
}

// Validate fails with fault.MessageInvalid if a value is outside its range.
func (m *RequestMsg) Validate() error {
	if len(m.Tokens) > MaxTokenRequests || len(m.Leases) > maxLeases {
		return fault.New(fault.MessageInvalid, "request has %d token requests and %d leases", len(m.Tokens), len(m.Leases))
	}
	for _, t := range m.Tokens {
		if t.Count < 1 || t.Count > maxTokens {
			return fault.New(fault.MessageInvalid, "request for %d tokens", t.Count)
		}
	}
	for _, l := range m.Leases {
		if l.Shard >= ShardCount || l.Holders < 1 || l.Holders > maxHolders || l.Stamp < 0 {
			return fault.New(fault.MessageInvalid, "lease of shard %d with %d holders and stamp %d", l.Shard, l.Holders, l.Stamp)
		}
	}
	return nil
}

// Validate fails with fault.MessageInvalid if a value is outside its range.
func (m *ReplyMsg) Validate() error {
	if len(m.Grants) > MaxTokenRequests || len(m.Returns) > maxLeases || m.Epoch == 0 || m.Stamp < 1 {
		return fault.New(fault.MessageInvalid, "reply has %d grants, %d returns, epoch %d and stamp %d", len(m.Grants), len(m.Returns), m.Epoch, m.Stamp)
	}
	for _, g := range m.Grants {
		if g.Count < 0 || g.Count > maxTokens || g.State >= grantStateCount || g.WaitMillis < 0 || g.WaitMillis > maxWaitMillis {
			return fault.New(fault.MessageInvalid, "grant of %d tokens with state %d and wait %d", g.Count, g.State, g.WaitMillis)
		}
	}
	for _, r := range m.Returns {
		if r.Shard >= ShardCount {
			return fault.New(fault.MessageInvalid, "return of shard %d", r.Shard)
		}
	}
	return nil
}

func (g *Grant) wait() time.Duration {
	return time.Duration(g.WaitMillis) * time.Millisecond
}
