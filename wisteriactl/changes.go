package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/tree"
)

func changeCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "propose", Usage: "propose a change; the ops come from flags, or from FILE as a JSON list with comments", ArgsUsage: "[FILE]", Action: propose,
			Flags: []cli.Flag{
				&cli.StringSliceFlag{Name: "declare", Usage: "declare a `PATH`"},
				&cli.StringSliceFlag{Name: "set", Usage: "`\"PATH KEY=VALUE\"`; a VALUE that is not JSON is taken as a string"},
				&cli.StringSliceFlag{Name: "unset", Usage: "`\"PATH KEY\"`, or a PATH to remove with all below it"},
				&cli.Uint64Flag{Name: "base", Usage: "`REVISION` against which the ops were written; 0 is the head"},
				&cli.StringFlag{Name: "id", Usage: "`ID` of the change; repeating a proposal with its id is safe"},
				noteFlag(),
			},
			Description: example(`propose --set "/workspace/cortavientos floor=60%" --note "season starts"`, `propose --unset "/workspace/cortavientos floor"`, "propose ops.json"),
		},
		{
			Name: "changes", Usage: "list changes", Action: listChanges,
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "state", Usage: "only changes in `STATE`: proposed, committed, rejected or withdrawn"},
				&cli.StringFlag{Name: "after", Usage: "start behind this `ID`"}, limitFlag(),
			},
			Description: example("changes --state proposed"),
		},
		oneChange("show", "show a change", func(id string) request { return get("/changes/"+segment(id), nil) }),
		oneChange("approve", "approve a change as an owner", step("approve")),
		{
			Name: "reject", Usage: "close a change as an owner", ArgsUsage: "CHANGE", Flags: []cli.Flag{reasonFlag()}, Description: example("reject 3f9a --reason \"after the season\""),
			Action: func(ctx context.Context, c *cli.Command) error {
				args, err := arguments(c, 1)
				if err != nil {
					return err
				}
				return sendChange(ctx, c, post("/changes/"+segment(args[0])+"/reject", admin.ReasonBody{Reason: c.String("reason")}))
			},
		},
		oneChange("withdraw", "close a change as its author", step("withdraw")),
		oneChange("rebase", "move a change that lost to the head", step("rebase")),
		oneCommit("commit", "make a change the next revision; repeating it never applies it twice"),
		oneCommit("resolve", "ask what became of a commit without a reply"),
	}
}

func reasonFlag() cli.Flag {
	return &cli.StringFlag{Name: "reason", Usage: "`TEXT` that explains the decision"}
}

func step(name string) func(string) request {
	return func(id string) request { return post("/changes/"+segment(id)+"/"+name, nil) }
}

// oneChange returns a command that names a change and prints what became of it.
func oneChange(name, usage string, request func(id string) request) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "CHANGE", Description: example(name + " xk3vq2pjd7wnc4ma"),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, 1)
			if err != nil {
				return err
			}
			return sendChange(ctx, c, request(args[0]))
		},
	}
}

// oneCommit returns a command whose reply is the outcome of a commit.
func oneCommit(name, usage string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "CHANGE", Description: example(name + " xk3vq2pjd7wnc4ma"),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, 1)
			if err != nil {
				return err
			}
			return sendCommit(ctx, c, step(name)(args[0]))
		},
	}
}

func sendChange(ctx context.Context, c *cli.Command, r request) error {
	var reply settle.Change
	if err := send(ctx, c, r, &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table { return changeTable(reply) })
}

func changeTable(list ...settle.Change) *table {
	t := newTable("change", "state", "base", "revision", "author", "approved by", "note", "ops")
	for _, ch := range list {
		revision := any("")
		if ch.Revision > 0 {
			revision = ch.Revision
		}
		t.add(ch.ID, ch.State, ch.Base, revision, ch.Author, approvers(ch), ch.Note, shorten(opsText(ch.Ops)))
	}
	return t
}

func approvers(c settle.Change) string {
	names := []string{}
	for _, a := range c.Approvals {
		names = append(names, a.Owner)
	}
	return strings.Join(names, ",")
}

// sendCommit prints the outcome of a commit and fails unless it is final.
func sendCommit(ctx context.Context, c *cli.Command, r request) error {
	var reply admin.CommitReply
	if err := send(ctx, c, r, &reply); err != nil {
		return err
	}
	err := printReply(c, reply, func() *table {
		t := newTable("change", "outcome", "revision")
		revision := any("")
		if reply.Revision > 0 {
			revision = reply.Revision
		}
		t.add(reply.Change, reply.Outcome, revision)
		return t
	})
	switch {
	case err != nil:
		return err
	case reply.Outcome == settle.OutcomeNotYetKnown:
		return &unknown{detail: reply.Detail + "; ask with: wisteriactl resolve " + reply.Change}
	case reply.Outcome == settle.OutcomeNotAccepted:
		return &refused{detail: "the change is not accepted; commit it again, or rebase it first"}
	case reply.Outcome == admin.AwaitsApproval:
		return &refused{detail: reply.Detail}
	}
	return nil
}

func listChanges(ctx context.Context, c *cli.Command) error {
	query := url.Values{}
	for _, name := range []string{"state", "after"} {
		if v := c.String(name); v != "" {
			query.Set(name, v)
		}
	}
	count(query, c, "limit")
	var reply admin.ChangesReply
	if err := send(ctx, c, get("/changes", query), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table { return changeTable(reply.Changes...) })
}

// propose names the change itself, so that a proposal without a reply can be repeated.
func propose(ctx context.Context, c *cli.Command) error {
	ops, err := readOps(c)
	if err != nil {
		return err
	}
	body := admin.ProposeBody{ID: c.String("id"), Base: settle.Revision(c.Uint64("base")), Ops: ops, Note: c.String("note")}
	if body.ID == "" {
		body.ID = strings.ToLower(rand.Text()[:idLength])
	}
	err = sendChange(ctx, c, post("/changes", body))
	var doubt *unknown
	if errors.As(err, &doubt) {
		doubt.detail += "; look with: wisteriactl show " + body.ID
	}
	return err
}

// idLength keeps ids short enough to type; 16 characters hold 80 random bits.
const idLength = 16

func readOps(c *cli.Command) ([]tree.Op, error) {
	ops, err := flagOps(c)
	if err != nil {
		return nil, err
	}
	switch {
	case c.NArg() > 1 || c.NArg() == 1 && len(ops) > 0 || c.NArg() == 0 && len(ops) == 0:
		return nil, wrongUsage("propose takes either --declare, --set and --unset, or one file of ops")
	case len(ops) > 0:
		return ops, nil
	}
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return nil, wrongUsage("%v", err)
	}
	if data, err = hujson.Standardize(data); err != nil {
		return nil, wrongUsage("%s: %v", c.Args().First(), err)
	}
	if ops, err = tree.DecodeOps(data); err != nil {
		return nil, wrongUsage("%s: %v", c.Args().First(), err)
	}
	return ops, nil
}

// flagOps returns the ops of the flags: declarations, then values, then removals.
func flagOps(c *cli.Command) ([]tree.Op, error) {
	var ops []tree.Op
	for _, path := range c.StringSlice("declare") {
		ops = append(ops, tree.Declare(tree.Path(path)))
	}
	for _, text := range c.StringSlice("set") {
		path, rest, _ := strings.Cut(text, " ")
		key, value, found := strings.Cut(rest, "=")
		if !found {
			return nil, wrongUsage(`--set %q; allowed: "PATH KEY=VALUE"`, text)
		}
		ops = append(ops, tree.Op{Path: tree.Path(path), Key: strings.TrimSpace(key), Value: jsonValue(value)})
	}
	for _, text := range c.StringSlice("unset") {
		path, key, _ := strings.Cut(text, " ")
		ops = append(ops, tree.Op{Path: tree.Path(path), Key: strings.TrimSpace(key), Unset: true})
	}
	return ops, nil
}

// jsonValue returns JSON as it is and any other text as a JSON string.
func jsonValue(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	data, _ := json.Marshal(text)
	return data
}
