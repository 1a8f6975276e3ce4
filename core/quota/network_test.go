package quota_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wisteriarelay.example/core/quota"
)

// network carries messages between the daemons of a test by function calls.
type network struct {
	mu    sync.Mutex
	rand  *rand.Rand
	delay time.Duration
	// lossRate and lateRate are the parts of the messages that are lost or arrive late by
	// up to lateDelay.
	lossRate, lateRate float64
	lateDelay          time.Duration
	// cut reports whether messages from one daemon to another are dropped.
	cut func(from, to *daemon) bool
	// traffic counts the messages between different daemons.
	traffic traffic
}

// traffic counts messages and the bytes of their datagrams.
type traffic struct{ messages, bytes int }

// since returns the traffic since an earlier count.
func (t traffic) since(o traffic) traffic {
	return traffic{t.messages - o.messages, t.bytes - o.bytes}
}

// datagramBytes is the size of a datagram without the message of the quotas: the headers
// of IP and UDP, and a report of core/gossip with the name of a VM of 22 bytes.
const datagramBytes = 28 + 37

// count returns the traffic until now.
func (n *network) count() traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.traffic
}

// add counts a message.
func (n *network) add(out quota.Addressed) {
	data, err := cbor.Marshal(out.Request)
	if out.Request == nil {
		data, err = cbor.Marshal(out.Reply)
	}
	if err != nil {
		panic(err)
	}
	n.traffic.messages++
	n.traffic.bytes += len(data) + datagramBytes
}

// setCut sets which links are cut.
func (n *network) setCut(cut func(from, to *daemon) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// setFaults sets which parts of the messages are lost or late.
func (n *network) setFaults(lost, late float64, by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate, n.lateRate, n.lateDelay = lost, late, by
}

// send passes a message to another daemon, unless the network loses it.
func (d *daemon) send(out quota.Addressed) {
	i := slices.IndexFunc(d.fleet.daemons, func(o *daemon) bool { return o.member.VM == out.To.VM })
	to := d.fleet.daemons[i]
	n := &d.fleet.network
	n.mu.Lock()
	n.add(out)
	delay, lost := n.delay, n.rand.Float64() < n.lossRate || n.cut(d, to)
	if n.rand.Float64() < n.lateRate {
		delay += time.Duration(n.rand.Float64() * float64(n.lateDelay))
	}
	n.mu.Unlock()
	if lost || d.dead.Load() {
		return
	}
	manager := to.manager.Load()
	time.AfterFunc(delay, func() {
		to.await()
		if to.dead.Load() || to.manager.Load() != manager && out.Request == nil {
			return
		}
		if out.Request != nil {
			to.manager.Load().HandleRequest(d.member, out.Request)
			return
		}
		to.manager.Load().HandleReply(d.member, out.Reply)
	})
}
