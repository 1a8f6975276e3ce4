package settle

import (
	"context"
	"errors"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/store"
	"wisteriarelay.example/core/tree"
)

var _ = Describe("Changelog", func() {
	var (
		ctx       context.Context
		p         *fakePlatform
		changelog *Changelog
	)
	BeforeEach(func() {
		ctx = context.Background()
		p, changelog = bootstrapped(Default)
	})

	propose := func(author string, ops ...tree.Op) Change {
		GinkgoHelper()
		c, err := changelog.Propose(ctx, Proposal{Ops: ops, Author: author})
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	queue := func(n int) tree.Op { return tree.Set(stockService, "queue-length", n) }
	kindOf := func(err error) fault.Kind {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		return fault.From(err).Kind
	}
	commits := func(id string) int {
		GinkgoHelper()
		deltas, err := changelog.History(ctx, 0, 1000)
		Expect(err).NotTo(HaveOccurred())
		n := 0
		for _, d := range deltas {
			if d.Change == id {
				n++
			}
		}
		return n
	}

	It("bootstraps once", func() {
		r, created, err := changelog.Bootstrap(ctx, baseDoc(), "luis")
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(Revision(1)))
		Expect(created).To(BeFalse())
		_, _, err = NewChangelog(newFakePlatform().table()).Bootstrap(ctx, tree.New(), "ana")
		Expect(kindOf(err)).To(Equal(fault.SettingsInvalid))
		empty := NewChangelog(newFakePlatform().table())
		_, err = empty.Propose(ctx, Proposal{Ops: []tree.Op{queue(1)}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.NotFound))
	})

	It("bootstraps although the reply is lost, whether or not the write was applied", func() {
		for _, mode := range []string{"applied", "dropped"} {
			p := newFakePlatform()
			p.loseReply = mode
			r, created, err := NewChangelog(p.table()).Bootstrap(ctx, baseDoc(), "ana")
			Expect(err).NotTo(HaveOccurred(), mode)
			Expect(r).To(Equal(Revision(1)))
			Expect(created).To(BeTrue(), mode)
		}
	})

	It("commits exactly one of two concurrent changes and keeps the other one proposed", func() {
		// Guards against a change that is lost or overwritten by a concurrent commit.
		ana, luis := propose("ana", queue(10)), propose("luis", queue(20))
		var wg sync.WaitGroup
		revisions, failures := make([]Revision, 2), make([]error, 2)
		for i, id := range []string{ana.ID, luis.ID} {
			wg.Go(func() { revisions[i], failures[i] = changelog.Commit(ctx, id) })
		}
		wg.Wait()
		winner, loser := 0, 1
		if failures[0] != nil {
			winner, loser = 1, 0
		}
		lost := []Change{ana, luis}[loser]
		Expect(failures[winner]).NotTo(HaveOccurred())
		Expect(revisions[winner]).To(Equal(Revision(2)))
		Expect(kindOf(failures[loser])).To(Equal(fault.SettingsConflict))
		var conflict *Conflict
		Expect(errors.As(failures[loser], &conflict)).To(BeTrue())
		Expect(conflict.DeltasSinceBase).To(HaveLen(1))
		Expect(conflict.OverlappingOps).To(HaveLen(1))
		kept, err := changelog.Change(ctx, lost.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(kept.State).To(Equal(StateProposed))
		_, err = changelog.Rebase(ctx, lost.ID, lost.Author)
		Expect(err).NotTo(HaveOccurred())
		Expect(changelog.Commit(ctx, lost.ID)).To(Equal(Revision(3)))
	})

	It("reports a conflict if another commit takes effect between its reads and its write", func() {
		ana, luis := propose("ana", queue(10)), propose("luis", queue(20))
		p.beforeApply = func() {
			_, err := NewChangelog(p.table()).Commit(ctx, luis.ID)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := changelog.Commit(ctx, ana.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsConflict))
		Expect(commits(ana.ID)).To(BeZero())
	})

	It("drops approvals on a rebase only if a change committed since then overlaps", func() {
		disjoint := propose("luis", tree.Set("/workspace/strict", "floor", 1))
		overlapping := propose("luis", tree.Set("/workspace/strict", "floor", 2))
		for _, c := range []Change{disjoint, overlapping} {
			_, err := changelog.Approve(ctx, c.ID, "ana")
			Expect(err).NotTo(HaveOccurred())
		}
		commitOps(Default, changelog, queue(5))
		rebased, err := changelog.Rebase(ctx, disjoint.ID, "ana")
		Expect(err).NotTo(HaveOccurred())
		Expect(rebased.Approvals).To(HaveLen(1))
		Expect(changelog.Commit(ctx, disjoint.ID)).To(Equal(Revision(3)))
		_, err = changelog.Rebase(ctx, overlapping.ID, "ana")
		Expect(kindOf(err)).To(Equal(fault.Forbidden))
		rebased, err = changelog.Rebase(ctx, overlapping.ID, "luis")
		Expect(err).NotTo(HaveOccurred())
		Expect(rebased.Approvals).To(BeEmpty())
		_, err = changelog.Commit(ctx, overlapping.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
	})

	DescribeTable("determines the outcome of a commit whose reply is lost", func(mode string) {
		c := propose("ana", queue(10))
		p.loseReply = mode
		r, err := changelog.Commit(ctx, c.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(Revision(2)))
		Expect(changelog.Commit(ctx, c.ID)).To(Equal(Revision(2)))
		Expect(changelog.Resolve(ctx, c.ID)).To(Equal(Resolution{Outcome: OutcomeAccepted, Revision: 2}))
		Expect(p.execute(p.delayedTx)).To(Or(Succeed(), MatchError(ContainSubstring("store-conflict"))))
		Expect(commits(c.ID)).To(Equal(1))
		head, _, err := changelog.Head(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head).To(Equal(Revision(2)))
	},
		Entry("write applied", "applied"),
		Entry("write dropped", "dropped"),
		Entry("write delayed", "delayed"),
	)

	It("reports an ambiguous commit as not yet known while the store is unavailable", func() {
		c := propose("ana", queue(10))
		p.loseReply = "delayed"
		inner := p.table()
		table := inner
		table.Apply = func(ctx context.Context, tx store.Tx) error {
			err := inner.Apply(ctx, tx)
			p.setDown(true)
			return err
		}
		_, err := NewChangelog(table).Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.StoreAmbiguous))
		Expect(changelog.Resolve(ctx, c.ID)).To(Equal(Resolution{Outcome: OutcomeNotYetKnown}))
		p.setDown(false)
		// Guards against a delayed commit that takes effect after it was reported as
		// not accepted.
		Expect(changelog.Resolve(ctx, c.ID)).To(Equal(Resolution{Outcome: OutcomeNotAccepted}))
		Expect(fault.Is(p.execute(p.delayedTx), fault.StoreConflict)).To(BeTrue())
		Expect(commits(c.ID)).To(BeZero())
		Expect(changelog.Commit(ctx, c.ID)).To(Equal(Revision(2)))
		_, err = changelog.Resolve(ctx, "nobody")
		Expect(kindOf(err)).To(Equal(fault.NotFound))
	})

	It("fails while the store is unavailable and keeps the proposals", func() {
		c := propose("ana", queue(10))
		p.setDown(true)
		_, err := changelog.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.StoreUnavailable))
		_, err = changelog.Approve(ctx, c.ID, "luis")
		Expect(kindOf(err)).To(Equal(fault.StoreUnavailable))
		p.setDown(false)
		Expect(changelog.Commit(ctx, c.ID)).To(Equal(Revision(2)))
	})

	It("does not report an ambiguous write as not applied", func() {
		// Guards against a first attempt whose reply is lost, followed by one that
		// fails with store-unavailable, which means that nothing was applied.
		c := propose("ana", queue(10))
		inner := p.table()
		table := inner
		table.Apply = func(ctx context.Context, tx store.Tx) error {
			p.loseReply = "delayed"
			err := inner.Apply(ctx, tx)
			p.setDown(true)
			return err
		}
		failing := NewChangelog(table)
		_, err := failing.Approve(ctx, c.ID, "luis")
		Expect(kindOf(err)).To(Equal(fault.StoreAmbiguous))
		p.setDown(false)
		_, err = failing.Propose(ctx, Proposal{Ops: []tree.Op{queue(11)}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.StoreAmbiguous))
		p = newFakePlatform()
		inner = p.table()
		table.Get, table.Scan = inner.Get, inner.Scan
		_, _, err = NewChangelog(table).Bootstrap(ctx, baseDoc(), "ana")
		Expect(kindOf(err)).To(Equal(fault.StoreAmbiguous))
	})

	It("resolves a change with a conflict as not accepted", func() {
		lost := propose("luis", queue(20))
		commitOps(Default, changelog, queue(10))
		Expect(changelog.Resolve(ctx, lost.ID)).To(Equal(Resolution{Outcome: OutcomeNotAccepted}))
	})

	It("reports a revision row that cannot be decoded", func() {
		commitOps(Default, changelog, queue(10))
		p.rows[revisionKey(2)] = store.Row{Key: revisionKey(2), Version: 1, Value: []byte("{")}
		_, _, err := NewChangelog(p.table()).Head(ctx)
		Expect(kindOf(err)).To(Equal(fault.SettingsInvalid))
		Expect(err).To(MatchError(ContainSubstring("revision 2")))
	})

	It("stores a proposal once if it is repeated or its reply is lost", func() {
		for _, mode := range []string{"applied", "dropped"} {
			p.loseReply = mode
			in := Proposal{ID: "id-" + mode, Ops: []tree.Op{queue(3)}, Author: "ana"}
			_, err := changelog.Propose(ctx, in)
			Expect(err).NotTo(HaveOccurred())
			_, err = changelog.Propose(ctx, in)
			Expect(err).NotTo(HaveOccurred())
			in.Author = "luis"
			_, err = changelog.Propose(ctx, in)
			Expect(kindOf(err)).To(Equal(fault.BadRequest))
		}
		Expect(changelog.Changes(ctx, "", 10)).To(HaveLen(2))
	})

	It("counts the approval of each owner once and of nobody else", func() {
		c := propose("ana", tree.Set("/workspace/strict", "floor", 1))
		for range 2 {
			_, err := changelog.Approve(ctx, c.ID, "ana")
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := changelog.Approve(ctx, c.ID, "driver")
		Expect(kindOf(err)).To(Equal(fault.Forbidden))
		_, err = changelog.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
		Expect(err).To(MatchError(ContainSubstring("luis")))
		p.loseReply = "applied"
		approved, err := changelog.Approve(ctx, c.ID, "luis")
		Expect(err).NotTo(HaveOccurred())
		Expect(approved.Approvals).To(HaveLen(2))
		Expect(changelog.Commit(ctx, c.ID)).To(Equal(Revision(2)))
		other := propose("driver", queue(1))
		_, err = changelog.Commit(ctx, other.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
	})

	DescribeTable("requires both owners", func(prepare []tree.Op, ops ...tree.Op) {
		if len(prepare) > 0 {
			c := propose("ana", prepare...)
			_, err := changelog.Approve(ctx, c.ID, "luis")
			Expect(err).NotTo(HaveOccurred())
			_, err = changelog.Commit(ctx, c.ID)
			Expect(err).NotTo(HaveOccurred())
		}
		c := propose("ana", ops...)
		_, err := changelog.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
		_, err = changelog.Approve(ctx, c.ID, "luis")
		Expect(err).NotTo(HaveOccurred())
		_, err = changelog.Commit(ctx, c.ID)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("to change the rule of the deployment", nil, tree.Set("/", "approval", "one")),
		Entry("to change the rule of a workspace", nil, tree.Set("/workspace/strict", "approval", "one")),
		Entry("to unset the rule", nil, tree.Unset("/workspace/strict", "approval")),
		Entry("to remove the path", nil, tree.Remove("/workspace/strict")),
		Entry("to remove a parent path", []tree.Op{tree.Set(stockService, "approval", "both")}, tree.Remove("/workspace/team")),
		Entry("to override the rule of a region with a weaker one at a workspace", []tree.Op{tree.Set("/region/costa", "approval", "both")}, tree.Set("/workspace/team", "approval", "one")),
		Entry("to create a service in a region with the rule both", []tree.Op{tree.Set("/region/costa", "approval", "both")},
			tree.Set("/workspace/team/service/new", "region", "costa"), tree.Set("/workspace/team/service/new", "targets", []tree.TargetEntry{})),
		Entry("to replace the owners", []tree.Op{tree.Set("/", "approval", "one")}, tree.Set("/", "owners", []string{"ana", "friend"})),
	)

	It("lets one owner make the rule stricter where one owner is enough", func() {
		commitOps(Default, changelog, tree.Set("/workspace/team", "approval", "both"))
		c := propose("ana", queue(1))
		_, err := changelog.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
	})

	It("rejects a document without owners", func() {
		// Guards against settings for which nobody could approve a change.
		_, err := changelog.Propose(ctx, Proposal{Ops: []tree.Op{tree.Unset("/", "owners")}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.SettingsInvalid))
	})

	It("does not commit withdrawn or rejected changes", func() {
		mine, theirs := propose("ana", queue(1)), propose("ana", queue(2))
		_, err := changelog.Withdraw(ctx, mine.ID, "luis")
		Expect(kindOf(err)).To(Equal(fault.Forbidden))
		_, err = changelog.Withdraw(ctx, mine.ID, "ana")
		Expect(err).NotTo(HaveOccurred())
		_, err = changelog.Withdraw(ctx, mine.ID, "ana")
		Expect(err).NotTo(HaveOccurred())
		_, err = changelog.Reject(ctx, theirs.ID, "luis", "season starts")
		Expect(err).NotTo(HaveOccurred())
		for _, id := range []string{mine.ID, theirs.ID} {
			_, err = changelog.Commit(ctx, id)
			Expect(kindOf(err)).To(Equal(fault.SettingsDecided))
			_, err = changelog.Approve(ctx, id, "luis")
			Expect(kindOf(err)).To(Equal(fault.SettingsDecided))
			Expect(changelog.Resolve(ctx, id)).To(Equal(Resolution{Outcome: OutcomeNotAccepted}))
		}
	})

	It("does not commit a change that is withdrawn concurrently", func() {
		c := propose("ana", queue(1))
		p.beforeApply = func() {
			_, err := NewChangelog(p.table()).Withdraw(ctx, c.ID, "ana")
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := changelog.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsDecided))
	})

	It("rolls back by creating a revision, and returns history and differences", func() {
		commitOps(Default, changelog, queue(10))
		commitOps(Default, changelog, queue(20), tree.Declare("/workspace/new"))
		c, err := changelog.Rollback(ctx, 2, "ana", "too long")
		Expect(err).NotTo(HaveOccurred())
		Expect(changelog.Commit(ctx, c.ID)).To(Equal(Revision(4)))
		Expect(changelog.Diff(ctx, 2, 4)).To(BeEmpty())
		Expect(changelog.Diff(ctx, 2, 3)).To(HaveLen(2))
		deltas, err := changelog.History(ctx, 0, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(deltas).To(HaveLen(2))
		Expect(deltas[0].Revision).To(Equal(Revision(4)))
		Expect(deltas[0].Approvals).To(Equal([]string{"ana"}))
		Expect(changelog.History(ctx, 2, 10)).To(HaveLen(1))
		_, err = changelog.Rollback(ctx, 4, "ana", "")
		Expect(kindOf(err)).To(Equal(fault.BadRequest))
		_, err = changelog.Doc(ctx, 9)
		Expect(kindOf(err)).To(Equal(fault.NotFound))
	})

	It("rejects a proposal that is invalid or whose base is above the head", func() {
		_, err := changelog.Propose(ctx, Proposal{Ops: []tree.Op{tree.Set(stockService, "floor", 7)}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.SettingsInvalid))
		_, err = changelog.Propose(ctx, Proposal{Base: 5, Ops: []tree.Op{queue(1)}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.BadRequest))
	})
})
