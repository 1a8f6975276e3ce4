package node

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
)

// Guards against a data centre without the store that keeps an old configuration, because
// only daemons that come late in the order of readers hear of the new one: the heartbeats
// of other data centres go to carriers.
func TestLateReaderAsksOtherDataCentreForConfig(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
	defer n.gossipConn.Close()
	n.handleConfig("vm-0", gossip.Document{Version: 1, Data: []byte("1")})
	n.hearPeers("vm-1", "vm-2", "vm-3")
	holder, err := net.ListenPacket("udp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer holder.Close()
	m := roster.Member{VM: "vm-9", DataCentre: "b", PeerAddress: holder.LocalAddr().String(), CallerAddress: "127.0.0.1:2", StartMillis: 1}
	n.handleHeartbeat(m, &gossip.Report{VM: m.VM, DataCentre: m.DataCentre, Ready: true, ConfigVersion: 2})

	c := newConfigCatchUp(n)
	now := time.Now()
	c.step(now)
	c.step(now.Add(firstAttemptDelay + remoteAttemptSpread))
	g.Expect(holder.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	buffer := make([]byte, 2000)
	size, _, err := holder.ReadFrom(buffer)
	g.Expect(err).NotTo(HaveOccurred())
	report, err := gossip.Decode(buffer[:size])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.WantsConfig).To(BeTrue())
	g.Expect(report.ConfigVersion).To(Equal(int64(1)))
}
