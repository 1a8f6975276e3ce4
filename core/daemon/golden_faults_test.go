package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

// booker sends one booking.
type booker struct {
	s       *session
	key, id string
	done    chan struct{}
}

func (b booker) run() {
	defer close(b.done)
	b.s.book(b.key, b.id)
}

// TestSessionShutdown guards against a shutdown that cuts a booking on its way
// or keeps drawing new callers.
func TestSessionShutdown(t *testing.T) {
	play(t, "shutdown", func(s *session) {
		s.start()
		s.start()
		time.Sleep(5 * time.Second)
		s.forget()
		for _, target := range s.targets {
			target.Misbehave(stand.Faults{Delay: 1500 * time.Millisecond})
		}
		b := booker{s, s.token() + ".counter-3-1", "b1", make(chan struct{})}
		go b.run()
		time.Sleep(100 * time.Millisecond)
		s.note("mdp-1 is told to stop while the booking is on its way")
		done := s.stop(0)
		time.Sleep(300 * time.Millisecond)
		const ask = "GET /v1/addresses?service=reservas&data-centre=mdp HTTP/1.1\nX-Request-Id: "
		s.callAt(1, ask+"a1", "")
		s.call(ask+"a2", "")
		<-b.done
		<-done
		s.note("mdp-1 has ended")
	})
}

// TestSessionColdBoot guards against a daemon that cannot start while the
// platform is away although its peers serve.
func TestSessionColdBoot(t *testing.T) {
	play(t, "cold-boot", func(s *session) {
		for range 3 {
			s.start()
		}
		time.Sleep(5 * time.Second)
		s.note("the platform goes away")
		s.platform.Misbehave(stand.PlatformFaults{TableDown: true, ObjectsDown: true, VMsDown: true})
		time.Sleep(time.Minute)
		s.seeds = []string{host(0) + ":7100", host(1) + ":7100", host(2) + ":7100"}
		s.forget()
		s.note("mdp-2 starts and knows only its seeds")
		s.start()
		time.Sleep(10 * time.Second)
		s.forget()
		state := s.daemons[3].components.Controller.follower.State()
		s.note("mdp-2 ready: %v, revision %d, %s", s.daemons[3].Ready(), state.Revision, state.Reason)
		s.callAt(3, lookup("l1"), "")
	})
}

// TestSessionColdBootAlone guards against a daemon that serves from nothing.
func TestSessionColdBootAlone(t *testing.T) {
	play(t, "cold-boot-alone", func(s *session) {
		s.platform.Misbehave(stand.PlatformFaults{TableDown: true, ObjectsDown: true, VMsDown: true})
		s.seeds = []string{host(1) + ":7100", host(2) + ":7100"}
		s.start()
		time.Sleep(10 * time.Second)
		s.forget()
		s.note("mdp-1 ready: %v", s.daemons[0].Ready())
		s.call(lookup("l1"), "")
	})
}

// ttl is a change of the address lifetime of the service.
func ttl(text string) []tree.Op {
	value, _ := json.Marshal(text)
	return []tree.Op{{Path: "/workspace/cortavientos/service/reservas", Key: "address-ttl", Value: value}}
}

// propose returns the id of a change that its author has approved.
func (s *session) propose(b *settle.Changelog, author string, ops []tree.Op) string {
	c, err := b.Propose(context.Background(), settle.Proposal{Ops: ops, Author: author})
	s.g.Expect(err).NotTo(HaveOccurred())
	_, err = b.Approve(context.Background(), c.ID, author)
	s.g.Expect(err).NotTo(HaveOccurred())
	return c.ID
}

func (s *session) commit(b *settle.Changelog, owner, id string) {
	revision, err := b.Commit(context.Background(), id)
	var conflict *settle.Conflict
	switch {
	case errors.As(err, &conflict):
		s.note("%s commits: conflict, base %d, head %d, overlapping changes: %d", owner, conflict.Base, conflict.Head, len(conflict.Overlaps))
	case err != nil:
		s.note("%s commits: %v", owner, err)
	default:
		s.note("%s commits: accepted as revision %d", owner, revision)
	}
}

// TestSessionOwnersRace guards against two accepted changes to one setting on
// the same base, and against a daemon that takes the loser.
func TestSessionOwnersRace(t *testing.T) {
	play(t, "owners-race", func(s *session) {
		s.startReady()
		marta, hector := s.operator(), s.operator()
		first := s.propose(marta, "marta", ttl("7s"))
		second := s.propose(hector, "hector", ttl("9s"))
		s.commit(hector, "hector", second)
		s.commit(marta, "marta", first)
		c, err := marta.Change(context.Background(), first)
		s.note("marta's change is %s, error %v", c.State, err)
		time.Sleep(7 * time.Second)
		s.forgetLogs()
		s.call("GET /v1/addresses?service=reservas HTTP/1.1\nX-Request-Id: a1", "")
	})
}

// sessionLostReply covers a commit after which the table is away, so that the
// owner's client cannot read back at once what became of it.
func sessionLostReply(t *testing.T, name string, f stand.PlatformFaults) {
	play(t, name, func(s *session) {
		s.startReady()
		table := s.platform.Table()
		id := s.propose(settle.NewChangelog(table), "marta", ttl("7s"))
		apply := table.Apply
		table.Apply = func(ctx context.Context, tx store.Tx) error {
			err := apply(ctx, tx)
			s.platform.Misbehave(stand.PlatformFaults{TableDown: true})
			return err
		}
		book := settle.NewChangelog(table)
		s.platform.Misbehave(f)
		s.commit(book, "marta", id)
		r, err := book.Resolve(context.Background(), id)
		s.note("asked while the table is away: %s, error %v", r.Outcome, err)
		s.platform.Misbehave(stand.PlatformFaults{})
		r, err = s.operator().Resolve(context.Background(), id)
		s.note("asked when the table is back: %s, error %v", r.Outcome, err)
		s.commit(s.operator(), "marta", id)
		s.commit(s.operator(), "marta", id)
		head, _, err := s.operator().Head(context.Background())
		s.note("head %d, error %v", head, err)
		time.Sleep(7 * time.Second)
		s.forgetLogs()
		s.call("GET /v1/addresses?service=reservas HTTP/1.1\nX-Request-Id: a1", "")
	})
}

// TestSessionCommitApplied guards against a commit that is applied twice.
func TestSessionCommitApplied(t *testing.T) {
	sessionLostReply(t, "commit-reply-lost", stand.PlatformFaults{LoseReplies: 1})
}

// TestSessionCommitNotApplied guards against a commit that is reported as
// accepted although its request never arrived.
func TestSessionCommitNotApplied(t *testing.T) {
	sessionLostReply(t, "commit-request-lost", stand.PlatformFaults{LoseRequests: 1})
}
