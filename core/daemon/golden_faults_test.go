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

// asyncBooking sends a booking in the background.
type asyncBooking struct {
	scenario *scenario
	key, id  string
	done     chan struct{}
}

func (b asyncBooking) run() {
	defer close(b.done)
	b.scenario.sendRawOrder(b.key, b.id)
}

// TestScenarioShutdown guards against a shutdown that interrupts a booking in progress,
// or during which the daemon's address is still given to callers.
func TestScenarioShutdown(t *testing.T) {
	runScenario(t, "shutdown", func(s *scenario) {
		s.startDaemon()
		s.startDaemon()
		time.Sleep(5 * time.Second)
		s.clearTranscript()
		for _, target := range s.targets {
			target.SetFaults(stand.TargetFaults{Delay: 1500 * time.Millisecond})
		}
		b := asyncBooking{s, s.newToken() + ".counter-3-1", "b1", make(chan struct{})}
		go b.run()
		time.Sleep(100 * time.Millisecond)
		s.transcribe("mdp-1 is told to stop while the booking is on its way")
		done := s.stopAsync(0)
		time.Sleep(300 * time.Millisecond)
		const ask = "GET /v1/addresses?service=reservas&data-centre=mdp HTTP/1.1\nX-Request-Id: "
		s.sendRawTo(1, ask+"a1", "")
		s.sendRaw(ask+"a2", "")
		<-b.done
		<-done
		s.transcribe("mdp-1 has ended")
	})
}

// TestScenarioColdBoot guards against a daemon that cannot start during an outage of
// the platform although its peers are ready.
func TestScenarioColdBoot(t *testing.T) {
	runScenario(t, "cold-boot", func(s *scenario) {
		for range 3 {
			s.startDaemon()
		}
		time.Sleep(5 * time.Second)
		s.transcribe("the platform goes away")
		s.platform.SetFaults(stand.PlatformFaults{TableDown: true, ObjectsDown: true, VMsDown: true})
		time.Sleep(time.Minute)
		s.seeds = []string{daemonHost(0) + ":7100", daemonHost(1) + ":7100", daemonHost(2) + ":7100"}
		s.clearTranscript()
		s.transcribe("mdp-2 starts and knows only its seeds")
		s.startDaemon()
		time.Sleep(10 * time.Second)
		s.clearTranscript()
		state := s.daemons[3].components.Controller.follower.State()
		s.transcribe("mdp-2 ready: %v, revision %d, %s", s.daemons[3].Ready(), state.Revision, state.Reason)
		s.sendRawTo(3, rawLookup("l1"), "")
	})
}

// TestScenarioColdBootWithoutPeers guards against a daemon that is ready without
// settings, when neither the platform nor a seed replies.
func TestScenarioColdBootWithoutPeers(t *testing.T) {
	runScenario(t, "cold-boot-alone", func(s *scenario) {
		s.platform.SetFaults(stand.PlatformFaults{TableDown: true, ObjectsDown: true, VMsDown: true})
		s.seeds = []string{daemonHost(1) + ":7100", daemonHost(2) + ":7100"}
		s.startDaemon()
		time.Sleep(10 * time.Second)
		s.clearTranscript()
		s.transcribe("mdp-1 ready: %v", s.daemons[0].Ready())
		s.sendRaw(rawLookup("l1"), "")
	})
}

// setAddressTTL returns the ops that set the address lifetime of the service.
func setAddressTTL(text string) []tree.Op {
	value, _ := json.Marshal(text)
	return []tree.Op{{Path: "/workspace/cortavientos/service/reservas", Key: "address-ttl", Value: value}}
}

// propose returns the id of a change that its author has approved.
func (s *scenario) propose(changelog *settle.Changelog, author string, ops []tree.Op) string {
	c, err := changelog.Propose(context.Background(), settle.Proposal{Ops: ops, Author: author})
	s.g.Expect(err).NotTo(HaveOccurred())
	_, err = changelog.Approve(context.Background(), c.ID, author)
	s.g.Expect(err).NotTo(HaveOccurred())
	return c.ID
}

func (s *scenario) tryCommit(changelog *settle.Changelog, owner, id string) {
	revision, err := changelog.Commit(context.Background(), id)
	var conflict *settle.Conflict
	switch {
	case errors.As(err, &conflict):
		s.transcribe("%s commits: conflict, base %d, head %d, overlapping changes: %d", owner, conflict.Base, conflict.Head, len(conflict.OverlappingOps))
	case err != nil:
		s.transcribe("%s commits: %v", owner, err)
	default:
		s.transcribe("%s commits: accepted as revision %d", owner, revision)
	}
}

// TestScenarioConcurrentCommits guards against two changes of one setting that are
// both accepted on the same base revision, and against a daemon that applies the one
// that was not accepted.
func TestScenarioConcurrentCommits(t *testing.T) {
	runScenario(t, "owners-race", func(s *scenario) {
		s.startReadyDaemon()
		marta, hector := s.newChangelog(), s.newChangelog()
		first := s.propose(marta, "marta", setAddressTTL("7s"))
		second := s.propose(hector, "hector", setAddressTTL("9s"))
		s.tryCommit(hector, "hector", second)
		s.tryCommit(marta, "marta", first)
		c, err := marta.Change(context.Background(), first)
		s.transcribe("marta's change is %s, error %v", c.State, err)
		time.Sleep(7 * time.Second)
		s.dropLogLines()
		s.sendRaw("GET /v1/addresses?service=reservas HTTP/1.1\nX-Request-Id: a1", "")
	})
}

// runCommitOutage covers a commit during which an outage of the table starts, so that
// the owner's client cannot read its outcome immediately.
func runCommitOutage(t *testing.T, name string, f stand.PlatformFaults) {
	runScenario(t, name, func(s *scenario) {
		s.startReadyDaemon()
		table := s.platform.Table()
		id := s.propose(settle.NewChangelog(table), "marta", setAddressTTL("7s"))
		apply := table.Apply
		table.Apply = func(ctx context.Context, tx store.Tx) error {
			err := apply(ctx, tx)
			s.platform.SetFaults(stand.PlatformFaults{TableDown: true})
			return err
		}
		changelog := settle.NewChangelog(table)
		s.platform.SetFaults(f)
		s.tryCommit(changelog, "marta", id)
		r, err := changelog.Resolve(context.Background(), id)
		s.transcribe("asked while the table is away: %s, error %v", r.Outcome, err)
		s.platform.SetFaults(stand.PlatformFaults{})
		r, err = s.newChangelog().Resolve(context.Background(), id)
		s.transcribe("asked when the table is back: %s, error %v", r.Outcome, err)
		s.tryCommit(s.newChangelog(), "marta", id)
		s.tryCommit(s.newChangelog(), "marta", id)
		head, _, err := s.newChangelog().Head(context.Background())
		s.transcribe("head %d, error %v", head, err)
		time.Sleep(7 * time.Second)
		s.dropLogLines()
		s.sendRaw("GET /v1/addresses?service=reservas HTTP/1.1\nX-Request-Id: a1", "")
	})
}

// TestScenarioCommitApplied guards against a commit that is applied twice.
func TestScenarioCommitApplied(t *testing.T) {
	runCommitOutage(t, "commit-reply-lost", stand.PlatformFaults{LoseReplies: 1})
}

// TestScenarioCommitNotApplied guards against a commit that is reported as
// accepted although its request never arrived.
func TestScenarioCommitNotApplied(t *testing.T) {
	runCommitOutage(t, "commit-request-lost", stand.PlatformFaults{LoseRequests: 1})
}
