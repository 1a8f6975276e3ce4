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

// calls returns the number of calls that reached the platform.
func (s *session) calls() int64 {
	c := s.platform.Counts()
	return c.TableReads + c.TableWrites + c.ObjectReads + c.ObjectWrites + c.VMReads + c.VMWrites
}

// TestPlatformAwayForAnHour guards against an outage of the platform that stops
// serving, ejects a target, changes settings or runs an order without a claim.
func TestPlatformAwayForAnHour(t *testing.T) {
	playFleet(t, 2, func(s *session) {
		revision := s.daemons[0].components.Controller.revision()
		s.platformAway()
		for minute := range 60 {
			time.Sleep(time.Minute)
			i := minute % len(s.daemons)
			s.g.Expect(s.look(i).status).To(Equal(200))
			s.g.Expect(s.order(i, s.tokenAt(i)+".a").outcome).To(Equal("run"))
			own := fmt.Sprintf("counter-3-%d", minute)
			r := s.order(i, own)
			s.g.Expect(r.outcome).To(Equal("unknown"), "%+v", r)
			s.g.Expect(s.runs(own)).To(BeZero())
			s.g.Expect(s.daemons[i].components.Controller.revision()).To(Equal(revision))
		}
		s.loadAll()
		time.Sleep(fastWindow)
		s.fail(0)
		s.within(detectTime, "avoided", func() bool { return s.states(0)[0] == "avoided" })
		s.throughout(30*time.Second, func() { s.g.Expect(s.states(0)).NotTo(ContainElement("ejected")) })
		s.platform.Misbehave(stand.PlatformFaults{})
		// The breaker's longest wait is 20 s and a half.
		s.within(30*time.Second+agreeTime, "ejected after the outage", func() bool { return s.states(0)[0] == "ejected" })
	})
}

// TestPlatformBack guards against daemons that press a platform that is away,
// and against a burst of calls when it is back, while callers go on to send
// orders with their own keys. A daemon reads the head, the VM list and its one
// ejection row, each less than once a second, and writes twice for an order.
func TestPlatformBack(t *testing.T) {
	playFleet(t, mostDaemons, func(s *session) {
		const polls, writes = 3 * mostDaemons, 2 * mostDaemons * int64(time.Second/loadEvery)
		for i := range s.daemons {
			s.startLoad(&load{i: i, orders: true})
		}
		time.Sleep(time.Second)
		s.platformAway()
		time.Sleep(10 * time.Second)
		s.callsWithin(50, polls)
		s.platform.Misbehave(stand.PlatformFaults{})
		s.callsWithin(30, polls+writes)
		for i, d := range s.daemons {
			s.g.Expect(time.Since(d.components.Controller.follower.State().HeadReadAt)).To(BeNumerically("<", settingsTime), "daemon %d", i)
			s.g.Expect(s.order(i, fmt.Sprintf("after-%d", i)).outcome).To(Equal("run"))
		}
	})
}

// callsWithin checks the calls that reach the platform in each second.
func (s *session) callsWithin(seconds int, most int64) {
	for second := range seconds {
		before := s.calls()
		time.Sleep(time.Second)
		s.g.Expect(s.calls()-before).To(BeNumerically("<=", most), "second %d", second)
	}
}

// TestSettingsInForce guards against a change that is late or reverts at a
// daemon that is cut off from the platform or sees an old state of it.
func TestSettingsInForce(t *testing.T) {
	var lag atomic.Bool
	playFleet(t, mostDaemons, func(s *session) {
		s.net.cut(host(5), platformHost)
		s.net.cut(platformHost, host(5))
		lag.Store(true)
		lagging := time.Now()
		highest := make([]settle.Revision, len(s.daemons))
		for _, text := range []string{"7s", "9s", "6s"} {
			revision := s.change(ttl(text)...)
			began := time.Now()
			s.throughout(20*time.Second, func() {
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
		s.g.Expect(read).To(BeTemporally("<", lagging.Add(settingsTime)), "an old head counts as a recent read")
		lag.Store(false)
		s.net.mendAll()
		time.Sleep(settingsTime)
		for i := range s.daemons {
			s.g.Expect(s.ask(i, "GET", "/v1/addresses?service=reservas", "").TTL).To(Equal(6))
		}
	}, lagged(&lag))
}

// lagged lets the first daemon read old rows while lag is set.
func lagged(lag *atomic.Bool) func(i int, p Platform) Platform {
	var old sync.Map
	return func(i int, p Platform) Platform {
		get := p.Table.Get
		p.Table.Get = func(ctx context.Context, key string) (store.Row, error) {
			row, err := get(ctx, key)
			if was, ok := old.Load(key); ok && i == 0 && lag.Load() {
				return was.(store.Row), err
			}
			if err == nil && !lag.Load() {
				old.Store(key, row)
			}
			return row, err
		}
		return p
	}
}

// TestSettingsAfterOutage guards against a change that is late where a daemon
// hears of it from the platform only, once that is back.
func TestSettingsAfterOutage(t *testing.T) {
	playFleet(t, mostDaemons, func(s *session) {
		for i := range s.daemons {
			for j := range s.daemons {
				s.net.cut(host(i), host(j))
			}
		}
		s.platformAway()
		time.Sleep(3 * time.Minute)
		s.platform.Misbehave(stand.PlatformFaults{})
		revision := s.change(ttl("7s")...)
		s.within(settingsTime, "in force at all daemons", func() bool {
			return !slices.ContainsFunc(s.daemons, func(d *Daemon) bool { return d.components.Controller.follower.Current().Revision != revision })
		})
	})
}
