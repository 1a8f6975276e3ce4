package gossip

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/quota"
)

// quotaVM is a long name of a VM.
const quotaVM = "front-lautoka-north-12"

// Guards against messages of the quotas that do not fit in a datagram, and are never sent.
func TestFullQuotaMessagesFitInADatagram(t *testing.T) {
	g := NewWithT(t)
	request, reply := quota.RequestMsg{Seq: 1 << 40, Epoch: math.MaxUint64}, quota.ReplyMsg{Seq: 1 << 40, Epoch: math.MaxUint64, Stamp: 1 << 40}
	for range quota.MaxTokenRequests {
		request.Tokens = append(request.Tokens, quota.TokenRequest{Workspace: math.MaxUint64, Count: 1 << 14})
		reply.Grants = append(reply.Grants, quota.Grant{Workspace: math.MaxUint64, Count: 1 << 14, State: quota.NoShares, WaitMillis: 1 << 30})
	}
	for range quota.ShardCount {
		request.Leases = append(request.Leases, quota.LeaseOffer{Number: 1 << 40, Epoch: math.MaxUint64, Stamp: 1 << 40, Holders: 1 << 10})
		reply.Returns = append(reply.Returns, quota.LeaseReturn{Number: 1 << 40})
	}
	for _, r := range []Report{{VM: quotaVM, StartMillis: 1 << 41, QuotaRequest: &request}, {VM: quotaVM, StartMillis: 1 << 41, QuotaReply: &reply}} {
		data, err := r.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		decoded, err := Decode(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(&r))
	}
}

// Guards against a message of a peer whose values are out of range.
func TestInvalidQuotaMessagesAreDropped(t *testing.T) {
	g := NewWithT(t)
	reports := []Report{
		{QuotaRequest: &quota.RequestMsg{Tokens: []quota.TokenRequest{{Count: -1}}}},
		{QuotaRequest: &quota.RequestMsg{Leases: []quota.LeaseOffer{{Shard: quota.ShardCount, Holders: 1}}}},
		{QuotaRequest: &quota.RequestMsg{Leases: []quota.LeaseOffer{{Holders: 0}}}},
		{QuotaReply: &quota.ReplyMsg{Epoch: 1, Stamp: 1, Grants: []quota.Grant{{Count: math.MaxInt}}}},
		{QuotaReply: &quota.ReplyMsg{Epoch: 1, Stamp: 1, Returns: []quota.LeaseReturn{{Shard: quota.ShardCount}}}},
	}
	for i, r := range reports {
		r.VM = quotaVM
		data, err := r.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		_, err = Decode(data)
		g.Expect(err).To(HaveOccurred(), "report %d", i)
	}
}

// BenchmarkQuotaMessageSize measures the encoded sizes of usual messages, without the 28
// bytes of the IP and UDP headers.
func BenchmarkQuotaMessageSize(b *testing.B) {
	tokens := []quota.TokenRequest{{Workspace: math.MaxUint64, Count: 3}}
	grants := []quota.Grant{{Workspace: math.MaxUint64, Count: 3}}
	leases := []quota.LeaseOffer{{Number: 1000, Epoch: math.MaxUint64, Stamp: 1 << 20, Holders: 16}}
	sizes := map[string]Report{
		"request-B": {QuotaRequest: &quota.RequestMsg{Seq: 1 << 20, Epoch: math.MaxUint64, Tokens: tokens}},
		"grant-B":   {QuotaReply: &quota.ReplyMsg{Seq: 1 << 20, Epoch: math.MaxUint64, Stamp: 1 << 20, Grants: grants}},
		"lease-B":   {QuotaRequest: &quota.RequestMsg{Seq: 1 << 20, Epoch: math.MaxUint64, Leases: leases}},
		"renewed-B": {QuotaReply: &quota.ReplyMsg{Seq: 1 << 20, Epoch: math.MaxUint64, Stamp: 1 << 20}},
	}
	for b.Loop() {
		for unit, r := range sizes {
			r.VM, r.StartMillis = quotaVM, 1<<41
			data, err := r.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), unit)
		}
	}
}
