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
		changeCommand("show", "show a change", func(id string) apiRequest { return get("/changes/"+escapeSegment(id), nil) }),
		changeCommand("approve", "approve a change as an owner", postChangeAction("approve")),
		{
			Name: "reject", Usage: "close a change as an owner", ArgsUsage: "CHANGE", Flags: []cli.Flag{reasonFlag()}, Description: example("reject 3f9a --reason \"after the season\""),
			Action: func(ctx context.Context, c *cli.Command) error {
				args, err := arguments(c, 1)
				if err != nil {
					return err
				}
				return sendChange(ctx, c, post("/changes/"+escapeSegment(args[0])+"/reject", admin.ReasonBody{Reason: c.String("reason")}))
			},
		},
		changeCommand("withdraw", "close a change as its author", postChangeAction("withdraw")),
		changeCommand("rebase", "move a change that lost to the head", postChangeAction("rebase")),
		commitCommand("commit", "make a change the next revision; repeating it never applies it twice"),
		commitCommand("resolve", "ask what became of a commit without a reply"),
	}
}

func reasonFlag() cli.Flag {
	return &cli.StringFlag{Name: "reason", Usage: "`TEXT` that explains the decision"}
}

// postChangeAction returns a function that builds the request for an action on a
// change.
func postChangeAction(name string) func(string) apiRequest {
	return func(id string) apiRequest { return post("/changes/"+escapeSegment(id)+"/"+name, nil) }
}

// changeCommand returns a command that takes the id of a change, sends a request
// about it and prints the resulting state of the change.
func changeCommand(name, usage string, buildRequest func(id string) apiRequest) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "CHANGE", Description: example(name + " xk3vq2pjd7wnc4ma"),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, 1)
			if err != nil {
				return err
			}
			return sendChange(ctx, c, buildRequest(args[0]))
		},
	}
}

// commitCommand returns a command that takes the id of a change and prints the
// outcome of its commit.
func commitCommand(name, usage string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "CHANGE", Description: example(name + " xk3vq2pjd7wnc4ma"),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, 1)
			if err != nil {
				return err
			}
			return sendCommit(ctx, c, postChangeAction(name)(args[0]))
		},
	}
}

func sendChange(ctx context.Context, c *cli.Command, r apiRequest) error {
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
		t.add(ch.ID, ch.State, ch.Base, revision, ch.Author, approvers(ch), ch.Note, truncate(formatOps(ch.Ops)))
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

// sendCommit sends a request and prints the outcome of the commit. It returns an
// error unless the change has taken effect, so that the exit code reflects the outcome.
func sendCommit(ctx context.Context, c *cli.Command, r apiRequest) error {
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
		return &outcomeUnknownError{detail: reply.Detail + "; ask with: wisteriactl resolve " + reply.Change}
	case reply.Outcome == settle.OutcomeNotAccepted:
		return &refusedError{detail: "the change is not accepted; commit it again, or rebase it first"}
	case reply.Outcome == admin.AwaitsApproval:
		return &refusedError{detail: reply.Detail}
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
	setUintParam(query, c, "limit")
	var reply admin.ChangesReply
	if err := send(ctx, c, get("/changes", query), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table { return changeTable(reply.Changes...) })
}

// propose proposes a change. The id is generated here and not by the daemon, so
// that the operator can look up or repeat a proposal whose reply was lost.
func propose(ctx context.Context, c *cli.Command) error {
	ops, err := readOps(c)
	if err != nil {
		return err
	}
	body := admin.ProposeBody{ID: c.String("id"), Base: settle.Revision(c.Uint64("base")), Ops: ops, Note: c.String("note")}
	if body.ID == "" {
		body.ID = strings.ToLower(rand.Text()[:changeIDLength])
	}
	err = sendChange(ctx, c, post("/changes", body))
	var unknown *outcomeUnknownError
	if errors.As(err, &unknown) {
		unknown.detail += "; look with: wisteriactl show " + body.ID
	}
	return err
}

// changeIDLength keeps change ids short enough to type; 16 characters hold 80
// random bits.
const changeIDLength = 16

// readOps returns the ops of a proposal, either from the flags or from a file.
func readOps(c *cli.Command) ([]tree.Op, error) {
	ops, err := flagOps(c)
	if err != nil {
		return nil, err
	}
	switch {
	case c.NArg() > 1 || c.NArg() == 1 && len(ops) > 0 || c.NArg() == 0 && len(ops) == 0:
		return nil, newUsageError("propose takes either --declare, --set and --unset, or one file of ops")
	case len(ops) > 0:
		return ops, nil
	}
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return nil, newUsageError("%v", err)
	}
	if data, err = hujson.Standardize(data); err != nil {
		return nil, newUsageError("%s: %v", c.Args().First(), err)
	}
	if ops, err = tree.DecodeOps(data); err != nil {
		return nil, newUsageError("%s: %v", c.Args().First(), err)
	}
	return ops, nil
}

// flagOps returns the ops that the flags specify: first all --declare, then all
// --set, then all --unset.
func flagOps(c *cli.Command) ([]tree.Op, error) {
	var ops []tree.Op
	for _, path := range c.StringSlice("declare") {
		ops = append(ops, tree.Declare(tree.Path(path)))
	}
	for _, text := range c.StringSlice("set") {
		path, rest, _ := strings.Cut(text, " ")
		key, value, found := strings.Cut(rest, "=")
		if !found {
			return nil, newUsageError(`--set %q; allowed: "PATH KEY=VALUE"`, text)
		}
		ops = append(ops, tree.Op{Path: tree.Path(path), Key: strings.TrimSpace(key), Value: jsonValue(value)})
	}
	for _, text := range c.StringSlice("unset") {
		path, key, _ := strings.Cut(text, " ")
		ops = append(ops, tree.Op{Path: tree.Path(path), Key: strings.TrimSpace(key), Unset: true})
	}
	return ops, nil
}

// jsonValue returns valid JSON unchanged and encodes any other text as a JSON string.
func jsonValue(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	data, _ := json.Marshal(text)
	return data
}
