package node

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/memory"
)

// Guards against a bound on the memory that is not derived from the VM's memory, or that
// applies where that is not known, and against a bound that operators cannot see.
func TestMemoryBoundIsDerivedFromMemoryOfVM(t *testing.T) {
	g := NewWithT(t)
	for megabytes, bounded := range map[int64]bool{0: false, 184: true} {
		settings := &Settings{VM: "vm", DataCentre: "a", PeerAddress: "127.0.0.1:0", ShutdownSeconds: 1, RetryBudget: RetryBudget{WindowSeconds: 1}, MemoryMB: megabytes}
		n, err := New(settings, &Platform{})
		g.Expect(err).NotTo(HaveOccurred())
		defer n.gossipConn.Close()
		g.Expect(n.memory != nil).To(Equal(bounded))
		n.registerState()
		out := httptest.NewRecorder()
		n.metrics.ServeHTTP(out, nil)
		if !bounded {
			g.Expect(out.Body.String()).NotTo(ContainSubstring("memory_"))
			continue
		}
		g.Expect(n.memory.Limits()).To(Equal(memory.LimitsOf(184 << 20)))
		n.memory.Add(memory.Bodies, 7)
		n.metrics.ServeHTTP(out, nil)
		g.Expect(out.Body.String()).To(ContainSubstring("memory_bound_bytes 72351744\n"))
		g.Expect(out.Body.String()).To(ContainSubstring(`memory_held_bytes{kind="bodies"} 7` + "\n"))
		g.Expect(out.Body.String()).To(ContainSubstring(`memory_denied_total{kind="requests"} 0` + "\n"))
		g.Expect(n.stateDump.Read("memory")).NotTo(BeNil())
	}
}
