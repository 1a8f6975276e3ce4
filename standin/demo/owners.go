package demo

import (
	"context"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/tree"
)

// race lets both owners change the same setting from the same revision.
func (d *Demo) race(ctx context.Context) {
	changelog := settle.NewChangelog(d.fleet.Platform.Table())
	owners := d.fleet.Doc.Owners()
	path := d.workspacePath()
	d.say("OWNERS %s and %s change the floor at the same moment", owners[0], owners[1])
	var ids []string
	for i, value := range []string{"55%", "65%"} {
		c, err := changelog.Propose(ctx, settle.Proposal{Ops: []tree.Op{tree.Set(path, "floor", value)}, Author: owners[i]})
		if err != nil {
			d.say("       proposal refused: %v", err)
			return
		}
		ids = append(ids, c.ID)
	}
	for i, id := range ids {
		revision, err := changelog.Commit(ctx, id)
		switch {
		case err == nil:
			d.say("       %s's change is revision %d", owners[i], revision)
		case fault.Is(err, fault.SettingsConflict):
			d.say("       %s is told: %v; the proposal is kept", owners[i], err)
		default:
			d.say("       %s is told: %v", owners[i], err)
		}
	}
}

// loseReply commits a change whose reply is lost.
func (d *Demo) loseReply(ctx context.Context) {
	changelog := settle.NewChangelog(d.fleet.Platform.Table())
	owner := d.fleet.Doc.Owners()[0]
	c, err := changelog.Propose(ctx, settle.Proposal{Ops: []tree.Op{tree.Set(d.workspacePath(), "floor", "60%")}, Author: owner})
	if err != nil {
		d.say("       proposal refused: %v", err)
		return
	}
	d.say("FAULT  the platform's next reply to a write is lost while %s commits", owner)
	d.fleet.Platform.SetFaults(stand.PlatformFaults{LoseReplies: 1})
	revision, err := changelog.Commit(ctx, c.ID)
	if err == nil {
		d.say("       the commit read its own change back: revision %d", revision)
		return
	}
	d.say("       %s is told: %v", owner, err)
	resolution, err := changelog.Resolve(ctx, c.ID)
	d.say("       asked again: %s, revision %d (error: %v)", resolution.Outcome, resolution.Revision, err)
}

// workspacePath returns the first workspace of the settings.
func (d *Demo) workspacePath() tree.Path {
	catalog, err := d.fleet.Doc.Catalog()
	if err != nil {
		return "/"
	}
	return tree.Path("/workspace/" + string(catalog.Workspaces()[0]))
}
