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
		ctx context.Context
		p   *platform
		b   *Changelog
	)
	BeforeEach(func() {
		ctx = context.Background()
		p, b = opened(Default)
	})

	propose := func(author string, ops ...tree.Op) Change {
		GinkgoHelper()
		c, err := b.Propose(ctx, Proposal{Ops: ops, Author: author})
		Expect(err).NotTo(HaveOccurred())
		return c
	}
	queue := func(n int) tree.Op { return tree.Set(stock, "queue-length", n) }
	kindOf := func(err error) fault.Kind {
		GinkgoHelper()
		Expect(err).To(HaveOccurred())
		return fault.From(err).Kind
	}
	accepted := func(id string) int {
		GinkgoHelper()
		deltas, err := b.History(ctx, 0, 1000)
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
		r, created, err := b.Bootstrap(ctx, baseDoc(), "luis")
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(Revision(1)))
		Expect(created).To(BeFalse())
		_, _, err = NewChangelog(newPlatform().table()).Bootstrap(ctx, tree.New(), "ana")
		Expect(kindOf(err)).To(Equal(fault.SettingsInvalid))
		empty := NewChangelog(newPlatform().table())
		_, err = empty.Propose(ctx, Proposal{Ops: []tree.Op{queue(1)}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.NotFound))
	})

	It("bootstraps through a lost reply in both forms", func() {
		for _, form := range []string{"applied", "dropped"} {
			p := newPlatform()
			p.loseReply = form
			r, created, err := NewChangelog(p.table()).Bootstrap(ctx, baseDoc(), "ana")
			Expect(err).NotTo(HaveOccurred(), form)
			Expect(r).To(Equal(Revision(1)))
			Expect(created).To(BeTrue(), form)
		}
	})

	It("lets exactly one of two owners win and keeps the other's proposal", func() {
		// Guards against a change that is lost or overwritten in a race.
		ana, luis := propose("ana", queue(10)), propose("luis", queue(20))
		var wg sync.WaitGroup
		revisions, failures := make([]Revision, 2), make([]error, 2)
		for i, id := range []string{ana.ID, luis.ID} {
			wg.Go(func() { revisions[i], failures[i] = b.Commit(ctx, id) })
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
		Expect(conflict.Since).To(HaveLen(1))
		Expect(conflict.Overlaps).To(HaveLen(1))
		kept, err := b.Change(ctx, lost.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(kept.State).To(Equal(StateProposed))
		_, err = b.Rebase(ctx, lost.ID, lost.Author)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Commit(ctx, lost.ID)).To(Equal(Revision(3)))
	})

	It("loses to a commit that lands between its reads and its write", func() {
		ana, luis := propose("ana", queue(10)), propose("luis", queue(20))
		p.beforeApply = func() {
			_, err := NewChangelog(p.table()).Commit(ctx, luis.ID)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := b.Commit(ctx, ana.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsConflict))
		Expect(accepted(ana.ID)).To(BeZero())
	})

	It("drops approvals on a rebase only if what changed overlaps", func() {
		far := propose("luis", tree.Set("/workspace/strict", "floor", 1))
		near := propose("luis", tree.Set("/workspace/strict", "floor", 2))
		for _, c := range []Change{far, near} {
			_, err := b.Approve(ctx, c.ID, "ana")
			Expect(err).NotTo(HaveOccurred())
		}
		settleOps(Default, b, queue(5))
		rebased, err := b.Rebase(ctx, far.ID, "ana")
		Expect(err).NotTo(HaveOccurred())
		Expect(rebased.Approvals).To(HaveLen(1))
		Expect(b.Commit(ctx, far.ID)).To(Equal(Revision(3)))
		_, err = b.Rebase(ctx, near.ID, "ana")
		Expect(kindOf(err)).To(Equal(fault.Forbidden))
		rebased, err = b.Rebase(ctx, near.ID, "luis")
		Expect(err).NotTo(HaveOccurred())
		Expect(rebased.Approvals).To(BeEmpty())
		_, err = b.Commit(ctx, near.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
	})

	DescribeTable("resolves a lost commit reply", func(form string) {
		c := propose("ana", queue(10))
		p.loseReply = form
		r, err := b.Commit(ctx, c.ID)
		Expect(err).NotTo(HaveOccurred())
		Expect(r).To(Equal(Revision(2)))
		Expect(b.Commit(ctx, c.ID)).To(Equal(Revision(2)))
		Expect(b.Resolve(ctx, c.ID)).To(Equal(Resolution{Outcome: Accepted, Revision: 2}))
		Expect(p.execute(p.late)).To(Or(Succeed(), MatchError(ContainSubstring("store-conflict"))))
		Expect(accepted(c.ID)).To(Equal(1))
		head, _, err := b.Head(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(head).To(Equal(Revision(2)))
	},
		Entry("of a write that was applied", "applied"),
		Entry("of a write that was dropped", "dropped"),
		Entry("of a write that arrives late", "delayed"),
	)

	It("reports a lost commit as not yet known while the store is away", func() {
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
		Expect(b.Resolve(ctx, c.ID)).To(Equal(Resolution{Outcome: NotYetKnown}))
		p.setDown(false)
		// Guards against "not accepted" for a write that arrives afterwards.
		Expect(b.Resolve(ctx, c.ID)).To(Equal(Resolution{Outcome: NotAccepted}))
		Expect(fault.Is(p.execute(p.late), fault.StoreConflict)).To(BeTrue())
		Expect(accepted(c.ID)).To(BeZero())
		Expect(b.Commit(ctx, c.ID)).To(Equal(Revision(2)))
		_, err = b.Resolve(ctx, "nobody")
		Expect(kindOf(err)).To(Equal(fault.NotFound))
	})

	It("refuses everything while the store is away and keeps the proposals", func() {
		c := propose("ana", queue(10))
		p.setDown(true)
		_, err := b.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.StoreUnavailable))
		_, err = b.Approve(ctx, c.ID, "luis")
		Expect(kindOf(err)).To(Equal(fault.StoreUnavailable))
		p.setDown(false)
		Expect(b.Commit(ctx, c.ID)).To(Equal(Revision(2)))
	})

	It("does not report a write in doubt as not applied", func() {
		// Guards against store-unavailable, which means not applied, after a
		// first write whose reply was lost.
		c := propose("ana", queue(10))
		inner := p.table()
		table := inner
		table.Apply = func(ctx context.Context, tx store.Tx) error {
			p.loseReply = "delayed"
			err := inner.Apply(ctx, tx)
			p.setDown(true)
			return err
		}
		doubtful := NewChangelog(table)
		_, err := doubtful.Approve(ctx, c.ID, "luis")
		Expect(kindOf(err)).To(Equal(fault.StoreAmbiguous))
		p.setDown(false)
		_, err = doubtful.Propose(ctx, Proposal{Ops: []tree.Op{queue(11)}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.StoreAmbiguous))
		p = newPlatform()
		inner = p.table()
		table.Get, table.Scan = inner.Get, inner.Scan
		_, _, err = NewChangelog(table).Bootstrap(ctx, baseDoc(), "ana")
		Expect(kindOf(err)).To(Equal(fault.StoreAmbiguous))
	})

	It("resolves a change that lost as not accepted", func() {
		lost := propose("luis", queue(20))
		settleOps(Default, b, queue(10))
		Expect(b.Resolve(ctx, lost.ID)).To(Equal(Resolution{Outcome: NotAccepted}))
	})

	It("reports a revision row that cannot be decoded", func() {
		settleOps(Default, b, queue(10))
		p.rows[revisionKey(2)] = store.Row{Key: revisionKey(2), Version: 1, Value: []byte("{")}
		_, _, err := NewChangelog(p.table()).Head(ctx)
		Expect(kindOf(err)).To(Equal(fault.SettingsInvalid))
		Expect(err).To(MatchError(ContainSubstring("revision 2")))
	})

	It("takes a repeated proposal and a lost reply of one once", func() {
		for _, form := range []string{"applied", "dropped"} {
			p.loseReply = form
			in := Proposal{ID: "id-" + form, Ops: []tree.Op{queue(3)}, Author: "ana"}
			_, err := b.Propose(ctx, in)
			Expect(err).NotTo(HaveOccurred())
			_, err = b.Propose(ctx, in)
			Expect(err).NotTo(HaveOccurred())
			in.Author = "luis"
			_, err = b.Propose(ctx, in)
			Expect(kindOf(err)).To(Equal(fault.BadRequest))
		}
		Expect(b.Changes(ctx, "", 10)).To(HaveLen(2))
	})

	It("counts each owner once and other people never", func() {
		c := propose("ana", tree.Set("/workspace/strict", "floor", 1))
		for range 2 {
			_, err := b.Approve(ctx, c.ID, "ana")
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := b.Approve(ctx, c.ID, "driver")
		Expect(kindOf(err)).To(Equal(fault.Forbidden))
		_, err = b.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
		Expect(err).To(MatchError(ContainSubstring("luis")))
		p.loseReply = "applied"
		approved, err := b.Approve(ctx, c.ID, "luis")
		Expect(err).NotTo(HaveOccurred())
		Expect(approved.Approvals).To(HaveLen(2))
		Expect(b.Commit(ctx, c.ID)).To(Equal(Revision(2)))
		other := propose("driver", queue(1))
		_, err = b.Commit(ctx, other.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
	})

	DescribeTable("demands both owners", func(prepare []tree.Op, ops ...tree.Op) {
		if len(prepare) > 0 {
			c := propose("ana", prepare...)
			_, err := b.Approve(ctx, c.ID, "luis")
			Expect(err).NotTo(HaveOccurred())
			_, err = b.Commit(ctx, c.ID)
			Expect(err).NotTo(HaveOccurred())
		}
		c := propose("ana", ops...)
		_, err := b.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
		_, err = b.Approve(ctx, c.ID, "luis")
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Commit(ctx, c.ID)
		Expect(err).NotTo(HaveOccurred())
	},
		Entry("at the deployment", nil, tree.Set("/", "approval", "one")),
		Entry("at the workspace", nil, tree.Set("/workspace/strict", "approval", "one")),
		Entry("by unsetting it", nil, tree.Unset("/workspace/strict", "approval")),
		Entry("by removing the path", nil, tree.Remove("/workspace/strict")),
		Entry("by removing a path above", []tree.Op{tree.Set(stock, "approval", "both")}, tree.Remove("/workspace/team")),
		Entry("by another rule between", []tree.Op{tree.Set("/region/costa", "approval", "both")}, tree.Set("/workspace/team", "approval", "one")),
		Entry("by a new service in a strict region", []tree.Op{tree.Set("/region/costa", "approval", "both")},
			tree.Set("/workspace/team/service/new", "region", "costa"), tree.Set("/workspace/team/service/new", "targets", []tree.TargetEntry{})),
		Entry("by other owners", []tree.Op{tree.Set("/", "approval", "one")}, tree.Set("/", "owners", []string{"ana", "friend"})),
	)

	It("takes a stricter rule from one owner where one is enough", func() {
		settleOps(Default, b, tree.Set("/workspace/team", "approval", "both"))
		c := propose("ana", queue(1))
		_, err := b.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsUnsettled))
	})

	It("refuses a document without owners", func() {
		// Guards against settings that nobody could approve a change of.
		_, err := b.Propose(ctx, Proposal{Ops: []tree.Op{tree.Unset("/", "owners")}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.SettingsInvalid))
	})

	It("keeps withdrawn and rejected changes out", func() {
		mine, theirs := propose("ana", queue(1)), propose("ana", queue(2))
		_, err := b.Withdraw(ctx, mine.ID, "luis")
		Expect(kindOf(err)).To(Equal(fault.Forbidden))
		_, err = b.Withdraw(ctx, mine.ID, "ana")
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Withdraw(ctx, mine.ID, "ana")
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Reject(ctx, theirs.ID, "luis", "season starts")
		Expect(err).NotTo(HaveOccurred())
		for _, id := range []string{mine.ID, theirs.ID} {
			_, err = b.Commit(ctx, id)
			Expect(kindOf(err)).To(Equal(fault.SettingsDecided))
			_, err = b.Approve(ctx, id, "luis")
			Expect(kindOf(err)).To(Equal(fault.SettingsDecided))
			Expect(b.Resolve(ctx, id)).To(Equal(Resolution{Outcome: NotAccepted}))
		}
	})

	It("does not commit a change that is withdrawn at the same moment", func() {
		c := propose("ana", queue(1))
		p.beforeApply = func() {
			_, err := NewChangelog(p.table()).Withdraw(ctx, c.ID, "ana")
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := b.Commit(ctx, c.ID)
		Expect(kindOf(err)).To(Equal(fault.SettingsDecided))
	})

	It("rolls back by a new revision and shows history and differences", func() {
		settleOps(Default, b, queue(10))
		settleOps(Default, b, queue(20), tree.Declare("/workspace/new"))
		c, err := b.Rollback(ctx, 2, "ana", "too long")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Commit(ctx, c.ID)).To(Equal(Revision(4)))
		Expect(b.Diff(ctx, 2, 4)).To(BeEmpty())
		Expect(b.Diff(ctx, 2, 3)).To(HaveLen(2))
		deltas, err := b.History(ctx, 0, 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(deltas).To(HaveLen(2))
		Expect(deltas[0].Revision).To(Equal(Revision(4)))
		Expect(deltas[0].Approvals).To(Equal([]string{"ana"}))
		Expect(b.History(ctx, 2, 10)).To(HaveLen(1))
		_, err = b.Rollback(ctx, 4, "ana", "")
		Expect(kindOf(err)).To(Equal(fault.BadRequest))
		_, err = b.Doc(ctx, 9)
		Expect(kindOf(err)).To(Equal(fault.NotFound))
	})

	It("refuses a proposal that is not valid or has no possible base", func() {
		_, err := b.Propose(ctx, Proposal{Ops: []tree.Op{tree.Set(stock, "floor", 7)}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.SettingsInvalid))
		_, err = b.Propose(ctx, Proposal{Base: 5, Ops: []tree.Op{queue(1)}, Author: "ana"})
		Expect(kindOf(err)).To(Equal(fault.BadRequest))
	})
})
