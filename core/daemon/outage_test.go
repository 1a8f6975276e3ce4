package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/store"
)

// platformRequests returns the number of requests that reached the platform.
func (s *scenario) platformRequests() int64 {
	c := s.platform.RequestCounts()
	return c.TableReads + c.TableWrites + c.ObjectReads + c.ObjectWrites + c.VMReads + c.VMWrites
}

// TestPlatformOutage guards against daemons that, during an outage of the platform of
// one hour, stop serving, eject a target, change settings or run an order without a
// claim.
func TestPlatformOutage(t *testing.T) {
	runFleet(t, 2, func(s *scenario) {
		revision := s.daemons[0].components.Controller.revision()
		s.failPlatform()
		for minute := range 60 {
			time.Sleep(time.Minute)
			i := minute % len(s.daemons)
			s.g.Expect(s.sendLookup(i).status).To(Equal(200))
			s.g.Expect(s.sendOrder(i, s.newTokenFrom(i)+".a").outcome).To(Equal("run"))
			own := fmt.Sprintf("counter-3-%d", minute)
			r := s.sendOrder(i, own)
			s.g.Expect(r.outcome).To(Equal("unknown"), "%+v", r)
			s.g.Expect(s.runs(own)).To(BeZero())
			s.g.Expect(s.daemons[i].components.Controller.revision()).To(Equal(revision))
		}
		s.startLoad()
		time.Sleep(fastWindow)
		s.failTargets(0)
		s.eventually(detectionTime, "avoided", func() bool { return s.states(0)[0] == "avoided" })
		s.consistently(30*time.Second, func() { s.g.Expect(s.states(0)).NotTo(ContainElement("ejected")) })
		s.platform.SetFaults(stand.PlatformFaults{})
		// The circuit breaker waits at most 20 s plus one half of that.
		s.eventually(30*time.Second+agreementTime, "ejected after the outage", func() bool { return s.states(0)[0] == "ejected" })
	})
}

// TestPlatformRecovery guards against daemons that overload a platform in an outage,
// and against a burst of requests when it is back, while callers continue to send
// orders with keys of their own. A daemon reads the head, the VM list and its one
// ejection row, each less than once a second, and writes twice for each order.
func TestPlatformRecovery(t *testing.T) {
	runFleet(t, maxDaemons, func(s *scenario) {
		const polls, writes = 3 * maxDaemons, 2 * maxDaemons * int64(time.Second/loadInterval)
		for i := range s.daemons {
			s.startGenerator(&loadGenerator{daemon: i, orders: true})
		}
		time.Sleep(time.Second)
		s.failPlatform()
		time.Sleep(10 * time.Second)
		s.expectRequestRate(50, polls)
		s.platform.SetFaults(stand.PlatformFaults{})
		s.expectRequestRate(30, polls+writes)
		for i, d := range s.daemons {
			s.g.Expect(time.Since(d.components.Controller.follower.State().HeadReadAt)).To(BeNumerically("<", settingsTime), "daemon %d", i)
			s.g.Expect(s.sendOrder(i, fmt.Sprintf("after-%d", i)).outcome).To(Equal("run"))
		}
	})
}

// expectRequestRate checks that at most limit requests reach the platform in each second.
func (s *scenario) expectRequestRate(seconds int, limit int64) {
	for second := range seconds {
		before := s.platformRequests()
		time.Sleep(time.Second)
		s.g.Expect(s.platformRequests()-before).To(BeNumerically("<=", limit), "second %d", second)
	}
}

// TestSettingsRollOut guards against a change of the settings that is late, or is
// reverted, at a daemon that cannot reach the platform or reads stale rows from it.
func TestSettingsRollOut(t *testing.T) {
	var stale atomic.Bool
	runFleet(t, maxDaemons, func(s *scenario) {
		s.net.block(daemonHost(5), platformHost)
		s.net.block(platformHost, daemonHost(5))
		stale.Store(true)
		staleSince := time.Now()
		highest := make([]settle.Revision, len(s.daemons))
		for _, text := range []string{"7s", "9s", "6s"} {
			revision := s.commitChange(setAddressTTL(text)...)
			began := time.Now()
			s.consistently(20*time.Second, func() {
				for i, d := range s.daemons {
					now := d.components.Controller.follower.Current().Revision
					s.g.Expect(now).To(BeNumerically(">=", highest[i]), "daemon %d reverts", i)
					highest[i] = now
					if time.Since(began) >= settingsTime {
						s.g.Expect(now).To(Equal(revision), "daemon %d", i)
					}
				}
			})
		}
		read := s.daemons[0].components.Controller.follower.State().HeadReadAt
		s.g.Expect(read).To(BeTemporally("<", staleSince.Add(settingsTime)), "an old head counts as a recent read")
		stale.Store(false)
		s.net.unblockAll()
		time.Sleep(settingsTime)
		for i := range s.daemons {
			s.g.Expect(s.send(i, "GET", "/v1/addresses?service=reservas", "").TTL).To(Equal(6))
		}
	}, serveStaleRows(&stale))
}

// serveStaleRows makes the first daemon read the rows of earlier reads while stale is
// set.
func serveStaleRows(stale *atomic.Bool) func(i int, p Platform) Platform {
	var staleRows sync.Map
	return func(i int, p Platform) Platform {
		get := p.Table.Get
		p.Table.Get = func(ctx context.Context, key string) (store.Row, error) {
			row, err := get(ctx, key)
			if staleRow, ok := staleRows.Load(key); ok && i == 0 && stale.Load() {
				return staleRow.(store.Row), err
			}
			if err == nil && !stale.Load() {
				staleRows.Store(key, row)
			}
			return row, err
		}
		return p
	}
}

// TestSettingsAfterOutage guards against a change of the settings after an outage that
// is late at daemons which can learn of it only from the platform, not from peers.
func TestSettingsAfterOutage(t *testing.T) {
	runFleet(t, maxDaemons, func(s *scenario) {
		for i := range s.daemons {
			for j := range s.daemons {
				s.net.block(daemonHost(i), daemonHost(j))
			}
		}
		s.failPlatform()
		time.Sleep(3 * time.Minute)
		s.platform.SetFaults(stand.PlatformFaults{})
		revision := s.commitChange(setAddressTTL("7s")...)
		s.eventually(settingsTime, "in force at all daemons", func() bool {
			return !slices.ContainsFunc(s.daemons, func(d *Daemon) bool { return d.components.Controller.follower.Current().Revision != revision })
		})
	})
}
