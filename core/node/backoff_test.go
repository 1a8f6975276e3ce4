package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

// hangingStore is a store that does not answer calls until a point in time.
type hangingStore struct {
	availableAt time.Time
	list        watch.Delta
}

// catchUpTime is the time after which a daemon that could not read the store has to know
// of the targets that left meanwhile.
const catchUpTime = 3 * time.Second

// hangTimeout is how long a caller waits for the store.
const hangTimeout = 1500 * time.Millisecond

func (s *hangingStore) read(ctx context.Context, _ int64) (watch.Delta, []error, error) {
	if time.Now().Before(s.availableAt) {
		sleep(ctx, hangTimeout)
		return watch.Delta{}, nil, fault.New(fault.StoreUnavailable, "no answer")
	}
	return s.list, nil, nil
}

// Guards against requests to a leaving target after a daemon could not read the store
// for a while and missed changes meanwhile: it counts as able to know of the target 3 s
// after it can read again, but a call without an answer and the backoff took 3.5 s.
func TestMissedChangeEndsBackoff(t *testing.T) {
	for phase := range 8 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			available := time.Now().Add(12*time.Second + time.Duration(phase)*500*time.Millisecond)
			n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
			defer n.gossipConn.Close()
			store := &hangingStore{availableAt: available, list: watch.Delta{Since: 12, Version: 20}}
			n.platform.ReadTargetChanges = store.read
			n.applyList(fromStore, testTargetList(0))
			ctx, cancel := context.WithCancel(t.Context())
			f := &targetListFollower{Node: n}
			go f.loop(ctx)
			for tick := 0; !n.hasList(store.list.Version); tick++ {
				if tick%8 == 0 {
					n.hearPeers("vm-1", "vm-2", "vm-3")
					n.handleListPart("vm-1", watch.Part{Delta: watch.Delta{Since: 15, Version: 20, Uptime: time.Hour}, Count: 1})
				}
				time.Sleep(100 * time.Millisecond)
			}
			cancel()
			g.Expect(time.Since(available)).To(BeNumerically("<", catchUpTime))
			synctest.Wait()
		})
	}
}

// hasList reports whether the target list has the version.
func (n *Node) hasList(version int64) bool {
	position, _ := n.targetList.Position()
	return position.Version == version
}

// hearPeers delivers a heartbeat of each VM, whose daemons precede this one as readers.
func (n *Node) hearPeers(vms ...string) {
	for _, vm := range vms {
		m := roster.Member{VM: vm, DataCentre: n.self.DataCentre, PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", StartMillis: 1, Cores: 1}
		n.handleHeartbeat(m, &gossip.Report{VM: vm, DataCentre: n.self.DataCentre, Ready: true})
	}
}
