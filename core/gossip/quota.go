package gossip

import (
	"wisteriarelay.example/core/quota"
	"wisteriarelay.example/core/roster"
)

// SendQuota sends a message of the quotas to a daemon.
func (n *Transport) SendQuota(m quota.Addressed) {
	n.sendReport(&Report{VM: n.self.VM, StartMillis: n.self.StartMillis, QuotaRequest: m.Request, QuotaReply: m.Reply}, []roster.Member{m.To})
}

// handleQuota calls the handlers for the messages of the quotas in a report.
func (r *receiver) handleQuota(report *Report, from string) {
	if report.QuotaRequest == nil && report.QuotaReply == nil {
		return
	}
	peer := roster.Member{VM: report.VM, StartMillis: report.StartMillis, PeerAddress: from}
	if report.QuotaRequest != nil {
		r.handlers.QuotaRequest(peer, report.QuotaRequest)
	}
	if report.QuotaReply != nil {
		r.handlers.QuotaReply(peer, report.QuotaReply)
	}
}
