package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/roster"
	"wisteriarelay.example/core/watch"
)

// memberStore is a store of the rows of members.
type memberStore struct {
	// notice is called with the era of each answer.
	notice func(e watch.Era, err error)

	mu            sync.Mutex
	era           watch.Era
	rows          map[string]roster.Member
	reads, writes int
}

func (s *memberStore) read(context.Context) ([]roster.Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.notice(s.era, nil)
	var out []roster.Member
	for _, m := range s.rows {
		out = append(out, m)
	}
	return out, nil
}

func (s *memberStore) write(_ context.Context, m roster.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.notice(s.era, nil)
	s.rows[m.VM] = m
	return nil
}

// restore begins an era with the members.
func (s *memberStore) restore(e watch.Era, members ...roster.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era, s.rows = e, map[string]roster.Member{}
	for _, m := range members {
		s.rows[m.VM] = m
	}
}

func (s *memberStore) counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

func (s *memberStore) has(m roster.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[m.VM] == m
}

// playRegistration runs the registration, calls play after it has registered, and returns the
// calls that it made since.
func playRegistration(t *testing.T, n *Node, s *memberStore, play func()) (reads, writes int) {
	n.platform.ReadMembers, n.platform.WriteMember = s.read, s.write
	ctx, cancel := context.WithCancel(t.Context())
	r := &registration{Node: n}
	go r.loop(ctx)
	time.Sleep(5 * time.Second)
	readsBefore, writesBefore := s.counts()
	play()
	time.Sleep(registrationCheckSpread + time.Second)
	cancel()
	synctest.Wait()
	reads, writes = s.counts()
	return reads - readsBefore, writes - writesBefore
}

// Guards against daemons that later ones do not find, because the store has come back from a
// copy without their rows, and against a write by each daemon whose row it still has.
func TestLostRegistrationIsWrittenAgain(t *testing.T) {
	other := roster.Member{VM: "vm-9", DataCentre: "a", PeerAddress: "127.0.0.1:1", StartMillis: 1}
	cases := map[string]struct {
		era           watch.Era
		copy          func(self roster.Member) []roster.Member
		reads, writes int
	}{
		"row lost":        {newEra, func(roster.Member) []roster.Member { return []roster.Member{other} }, 2, 1},
		"row of last run": {newEra, func(m roster.Member) []roster.Member { m.StartMillis--; return []roster.Member{m, other} }, 2, 1},
		"row kept":        {newEra, func(m roster.Member) []roster.Member { return []roster.Member{m, other} }, 1, 0},
		"same era":        {oldEra, func(m roster.Member) []roster.Member { return []roster.Member{m} }, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
				defer n.gossipConn.Close()
				s := &memberStore{notice: n.handleStoreEra, era: oldEra, rows: map[string]roster.Member{}}
				reads, writes := playRegistration(t, n, s, func() {
					s.restore(c.era, c.copy(n.self)...)
					n.noticeEra("vm-1", c.era)
				})
				g.Expect([]int{reads, writes}).To(Equal([]int{c.reads, c.writes}))
				g.Expect(s.has(n.self)).To(BeTrue())
				g.Expect(len(n.roster.LocalPeers())).To(Equal(min(c.reads, 1)), "it finds those that started meanwhile")
			})
		})
	}
}

// Guards against a lost row that is not written again because the store came back from a copy
// while the answer to the write was on its way, and another answer told of the new era first.
func TestRowIsWrittenAgainIfAnswerOfWriteIsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := newTestNode(g, lowShare, &configWriter{start: time.Now()})
		defer n.gossipConn.Close()
		s := &memberStore{notice: n.handleStoreEra, era: oldEra, rows: map[string]roster.Member{}}
		n.platform.ReadMembers = s.read
		late := true
		n.platform.WriteMember = func(ctx context.Context, m roster.Member) error {
			if late {
				late = false
				s.restore(newEra)
				n.noticeEra(fromStore, newEra)
				n.noticeEra(fromStore, oldEra)
				return nil
			}
			return s.write(ctx, m)
		}
		ctx, cancel := context.WithCancel(t.Context())
		r := &registration{Node: n}
		go r.loop(ctx)
		time.Sleep(registrationCheckSpread + time.Second)
		cancel()
		synctest.Wait()
		g.Expect(s.has(n.self)).To(BeTrue())
	})
}
