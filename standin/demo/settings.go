package demo

import (
	"context"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/tree"
)

// raceCommits lets two owners propose and commit changes of the same setting that
// start from the same revision. The second commit is refused as a conflict.
func (d *Demo) raceCommits(ctx context.Context) {
	changelog := settle.NewChangelog(d.fleet.Platform.Table())
	owners := d.fleet.Doc.Owners()
	path := d.workspacePath()
	d.logf("OWNERS %s and %s change the floor concurrently", owners[0], owners[1])
	var ids []string
	for i, value := range []string{"55%", "65%"} {
		c, err := changelog.Propose(ctx, settle.Proposal{Ops: []tree.Op{tree.Set(path, "floor", value)}, Author: owners[i]})
		if err != nil {
			d.logf("       proposal refused: %v", err)
			return
		}
		ids = append(ids, c.ID)
	}
	for i, id := range ids {
		revision, err := changelog.Commit(ctx, id)
		switch {
		case err == nil:
			d.logf("       %s's change is revision %d", owners[i], revision)
		case fault.Is(err, fault.SettingsConflict):
			d.logf("       %s is told: %v; the proposal is kept", owners[i], err)
		default:
			d.logf("       %s is told: %v", owners[i], err)
		}
	}
}

// loseCommitReply commits a change while the platform loses its reply to a write,
// and asks for the outcome if the commit does not return it.
func (d *Demo) loseCommitReply(ctx context.Context) {
	changelog := settle.NewChangelog(d.fleet.Platform.Table())
	owner := d.fleet.Doc.Owners()[0]
	c, err := changelog.Propose(ctx, settle.Proposal{Ops: []tree.Op{tree.Set(d.workspacePath(), "floor", "60%")}, Author: owner})
	if err != nil {
		d.logf("       proposal refused: %v", err)
		return
	}
	d.logf("FAULT  the platform's next reply to a write is lost while %s commits", owner)
	d.fleet.Platform.SetFaults(stand.PlatformFaults{LoseReplies: 1})
	revision, err := changelog.Commit(ctx, c.ID)
	if err == nil {
		d.logf("       the commit read its own change back: revision %d", revision)
		return
	}
	d.logf("       %s is told: %v", owner, err)
	resolution, err := changelog.Resolve(ctx, c.ID)
	d.logf("       asked again: %s, revision %d (error: %v)", resolution.Outcome, resolution.Revision, err)
}

// workspacePath returns the settings path of the first workspace.
func (d *Demo) workspacePath() tree.Path {
	catalog, err := d.fleet.Doc.Catalog()
	if err != nil {
		return "/"
	}
	return tree.Path("/workspace/" + string(catalog.Workspaces()[0]))
}
