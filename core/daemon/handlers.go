package daemon

import (
	"context"
	"encoding/json"
	"time"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
	"wisteriarelay.example/core/member"
	"wisteriarelay.example/core/order"
	"wisteriarelay.example/core/proxy"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stats"
)

// newHandlers returns the handlers of the requests from peers.
func newHandlers(m *member.Table, manager *order.Manager, f *settle.Follower, sc *serviceController, dump *stats.StateDump) inner.Handlers {
	h := &peerHandlers{manager: manager, follower: f, controller: sc, dump: dump}
	return inner.Handlers{
		Report:   m.Receive,
		Order:    h.orderAsk,
		Ledger:   h.ledger,
		Revision: h.revisionAsk,
		VMs: func(context.Context, fleet.VMID, *inner.VMsRequestMsg) (*inner.VMsReplyMsg, error) {
			return &inner.VMsReplyMsg{VMs: m.View().Live}, nil
		},
		State: h.stateAsk,
	}
}

// peerHandlers answers the requests from peers that need more than the membership.
type peerHandlers struct {
	manager    *order.Manager
	follower   *settle.Follower
	controller *serviceController
	dump       *stats.StateDump
}

func (h *peerHandlers) orderAsk(_ context.Context, _ fleet.VMID, m *inner.OrderRequestMsg) (*inner.OrderReplyMsg, error) {
	reply := h.manager.AnswerQuery(*m)
	return &reply, nil
}

func (h *peerHandlers) ledger(_ context.Context, _ fleet.VMID, m *inner.LedgerMsg) (*inner.LedgerReplyMsg, error) {
	if err := h.manager.ImportLedgerPart(*m); err != nil {
		return nil, err
	}
	return &inner.LedgerReplyMsg{Kept: uint32(len(m.Records))}, nil
}

func (h *peerHandlers) revisionAsk(_ context.Context, _ fleet.VMID, m *inner.RevisionRequestMsg) (*inner.RevisionReplyMsg, error) {
	reply := h.follower.Answer(*m)
	return &reply, nil
}

func (h *peerHandlers) stateAsk(_ context.Context, _ fleet.VMID, m *inner.StateRequestMsg) (*inner.StateReplyMsg, error) {
	data, err := json.Marshal(h.dump.Read(m.Part))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "state %q cannot be encoded", m.Part)
	}
	return &inner.StateReplyMsg{Revision: h.controller.revision(), Dump: data}, nil
}

// daemonDump is the part of the state dump about the process.
type daemonDump struct {
	VM          fleet.VM          `json:"vm"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Started     time.Time         `json:"started"`
	Ready       bool              `json:"ready"`
	Leaving     bool              `json:"leaving"`
	Active      int64             `json:"active"`
	Revision    uint64            `json:"revision"`
}

// registerDumps adds the parts of the state dump, and the gauges of active requests
// and of the settings revision.
func registerDumps(s *config.Settings, inc fleet.Incarnation, p Platform, m *member.Table, f *settle.Follower, sc *serviceController, manager *order.Manager, rl *proxy.Relay, dump *stats.StateDump, set *stats.Registry) {
	started := time.Now()
	dump.Add("daemon", func() any {
		return daemonDump{
			VM: s.Self(), Incarnation: inc, Started: started, Ready: sc.isReady(), Leaving: sc.leaving.Load(),
			Active: rl.ActiveRequests(), Revision: sc.revision(),
		}
	})
	dump.Add("process-settings", func() any { return s })
	dump.Add("services", sc.dump)
	dump.Add("settings", func() any { return f.State() })
	dump.Add("members", func() any { return m.Dump(time.Now()) })
	dump.Add("reports", func() any { return m.Counters() })
	dump.Add("orders", func() any { return manager.Dump() })
	if p.State != nil {
		dump.Add("platform", p.State)
	}
	set.Gauge("wisteria_requests_active", rl.ActiveRequests)
	set.Gauge("wisteria_settings_revision", func() int64 { return int64(sc.revision()) })
}
