package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/gossip"
	"wisteriarelay.example/core/watch"
)

// eraConfigStore is a store with one configuration, which may come back from an older copy.
type eraConfigStore struct {
	mu  sync.Mutex
	era watch.Era
	// version is the store version, writtenAt that at which the configuration was written.
	version, writtenAt int64
	config             int64
	// size is the length of the configuration in bytes.
	size int
	// reads is the number of reads of the whole configuration.
	reads int
}

// set replaces the era, the version and the version at which the configuration was written.
func (s *eraConfigStore) set(e watch.Era, version, writtenAt, config int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.version, s.writtenAt, s.config = e, version, writtenAt, config
}

func (s *eraConfigStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// result is the answer to a read of the whole configuration. s.mu is held.
func (s *eraConfigStore) result() ConfigResult {
	r := configVersion(s.config)
	r.Raw = make([]byte, s.size)
	r.Era, r.StoreVersion = s.era, s.version
	return r
}

func (s *eraConfigStore) read(context.Context) (ConfigResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.result(), nil
}

// poll waits in the way of a store that does not end long polls when it comes back.
func (s *eraConfigStore) poll(ctx context.Context, after int64, wait time.Duration) (ConfigResult, error) {
	for end := time.Now().Add(wait); ; sleep(ctx, 10*time.Millisecond) {
		s.mu.Lock()
		r, writtenAt := s.result(), s.writtenAt
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return ConfigResult{}, fault.New(fault.StoreUnavailable, "no answer")
		case writtenAt > after:
			return r, nil
		case !time.Now().Before(end):
			return ConfigResult{StoreVersion: r.StoreVersion, Era: r.Era}, nil
		}
	}
}

// largeConfig is the size of a configuration that checks do not read whole each time.
const largeConfig = 4 << 20

// Guards against a change that is not in force for as long as a reader relies on a version of
// an earlier era: the versions of the new era have passed it, so that no read fails, and the
// change was written at a lower one.
func TestChangeInNewEraIsInForce(t *testing.T) {
	readers := map[string]func(ctx context.Context, n *Node){
		"checker": func(ctx context.Context, n *Node) {
			c := &configChecker{Node: n}
			go c.loop(ctx)
		},
		"long poll": func(ctx context.Context, n *Node) {
			f := newConfigFollower(n)
			f.position = watch.Position{Era: oldEra, Version: 100}
			go (&configPolls{f}).loop(ctx)
		},
	}
	for name, start := range readers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := &eraConfigStore{era: oldEra, version: 100, writtenAt: 90, config: 1, size: largeConfig}
				n := newTestNode(g, highShare, &configWriter{start: time.Now()})
				defer n.gossipConn.Close()
				n.platform.ReadConfig, n.platform.LongPollConfig = s.read, s.poll
				n.noticeEra(fromStore, oldEra)
				first, _ := s.read(t.Context())
				n.applyConfig(fromStore, first, time.Now())
				ctx, cancel := context.WithCancel(t.Context())
				start(ctx, n)
				time.Sleep(2 * time.Second)
				s.set(newEra, 150, 80, 2)
				n.noticeEra("vm-1", newEra)
				time.Sleep(configBound)
				version, reads := n.configVersion(), s.readCount()
				cancel()
				synctest.Wait()
				g.Expect(version).To(Equal(int64(2)))
				g.Expect(reads).To(BeNumerically("<=", 3), "a large configuration is not read more often than needed")
			})
		})
	}
}

// configPolls makes the calls of a follower without its checker.
type configPolls struct{ *configFollower }

func (p *configPolls) loop(ctx context.Context) {
	for ctx.Err() == nil {
		p.step(ctx)
	}
}

// Guards against relying on an answer to a call for changes that comes in another era than
// that of the position, if nothing else has told of the era.
func TestAnswerOfOtherEraIsNoAnswer(t *testing.T) {
	cases := map[string]struct {
		position, answer watch.Era
		accepted         bool
	}{
		"same era":                 {oldEra, oldEra, true},
		"later era":                {oldEra, newEra, false},
		"earlier era":              {newEra, oldEra, false},
		"store names no era":       {0, 0, true},
		"answer names no era":      {oldEra, 0, true},
		"store begins to name one": {0, oldEra, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := &eraConfigStore{era: c.answer, version: 150, writtenAt: 80, config: 2}
			n := newTestNode(g, highShare, &configWriter{start: time.Now()})
			defer n.gossipConn.Close()
			n.platform.LongPollConfig = s.poll
			_, err := n.pollConfig(t.Context(), watch.Position{Era: c.position, Version: 100}, 0)
			g.Expect(err == nil).To(Equal(c.accepted))
			g.Expect(err == nil || fault.Is(err, fault.HistoryGone)).To(BeTrue())
		})
	}
}

// Guards against a removed key or route that comes back because the copy holds an older
// configuration, and against a daemon that does not take the newest one once it is written
// again.
func TestOlderConfigurationOfCopyIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &eraConfigStore{era: oldEra, version: 100, writtenAt: 90, config: 7}
		n := newTestNode(g, highShare, &configWriter{start: time.Now()})
		defer n.gossipConn.Close()
		n.platform.ReadConfig, n.platform.LongPollConfig = s.read, s.poll
		n.noticeEra(fromStore, oldEra)
		n.handleConfig("vm-0", gossip.Document{Version: 7, Data: []byte("7")})
		ctx, cancel := context.WithCancel(t.Context())
		f := newConfigFollower(n)
		go f.loop(ctx)
		time.Sleep(2 * time.Second)
		s.set(newEra, 50, 40, 6)
		n.noticeEra(fromStore, newEra)
		time.Sleep(time.Second)
		g.Expect(n.configVersion()).To(Equal(int64(7)))
		s.set(newEra, 51, 51, 8)
		time.Sleep(configBound)
		version := n.configVersion()
		cancel()
		synctest.Wait()
		g.Expect(version).To(Equal(int64(8)))
	})
}
