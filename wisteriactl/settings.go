package main

import (
	"context"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/tree"
)

func settingsCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "bootstrap", Usage: "make a settings file revision 1 if there are no settings yet", ArgsUsage: "FILE", Action: bootstrap,
			Description: example("bootstrap examples/cortavientos/settings.json"),
		},
		{Name: "head", Usage: "show the newest revision and the one in force at the daemon", Action: showHead},
		{
			Name: "get", Usage: "show an effective value and where it comes from", ArgsUsage: "PATH KEY", Action: getValue,
			Flags:       []cli.Flag{&cli.StringFlag{Name: "target", Usage: "value for one `TARGET` of the service at the path"}, revisionFlag()},
			Description: example("get /workspace/cortavientos/service/reservas floor", "get --target reservas-1 /workspace/cortavientos/service/reservas slots"),
		},
		{
			Name: "document", Usage: "print a whole settings document as JSON", Action: showDocument, Flags: []cli.Flag{revisionFlag()},
			Description: example("document --revision 7 > settings.json"),
		},
		{Name: "keys", Usage: "list all settings keys", Action: listKeys, Description: example("keys", "--output json keys")},
		{
			Name: "history", Usage: "list accepted revisions, newest first", Action: showHistory,
			Flags:       []cli.Flag{&cli.Uint64Flag{Name: "before", Usage: "start below this `REVISION`"}, limitFlag()},
			Description: example("history --limit 5"),
		},
		{
			Name: "diff", Usage: "show what differs between two revisions; TO may be omitted for the head", ArgsUsage: "FROM [TO]", Action: showDiff,
			Description: example("diff 3", "diff 3 5"),
		},
		{
			Name: "rollback", Usage: "propose the change that leads back to an earlier revision", ArgsUsage: "REVISION", Action: proposeRollback,
			Flags: []cli.Flag{noteFlag()}, Description: example("rollback 3 --note \"floor was too high\""),
		},
	}
}

func revisionFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "revision", Usage: "read this `REVISION` in place of the newest"}
}

func limitFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "limit", Value: 20, Usage: "at most `N` entries"}
}

func noteFlag() cli.Flag {
	return &cli.StringFlag{Name: "note", Usage: "`TEXT` for the other owner and the history"}
}

// setUintParam copies a numeric flag to the query parameter of the same name. The
// parameter is omitted if the flag is 0.
func setUintParam(query url.Values, c *cli.Command, name string) {
	if n := c.Uint64(name); n > 0 {
		query.Set(name, strconv.FormatUint(n, 10))
	}
}

func bootstrap(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return newUsageError("%v", err)
	}
	var reply admin.BootstrapReply
	if err := send(ctx, c, post("/settings/bootstrap", data), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table {
		t := newTable("revision", "written")
		t.add(reply.Revision, reply.Written)
		return t
	})
}

func showHead(ctx context.Context, c *cli.Command) error {
	var reply admin.HeadReply
	if err := send(ctx, c, get("/settings/head", nil), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table {
		t := newTable("revision", "in force", "source")
		t.add(reply.Revision, reply.Applied, reply.Source)
		return t
	})
}

func getValue(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 2)
	if err != nil {
		return err
	}
	query := url.Values{"path": {args[0]}, "key": {args[1]}}
	if target := c.String("target"); target != "" {
		query.Set("target", target)
	}
	setUintParam(query, c, "revision")
	var reply admin.ValueReply
	if err := send(ctx, c, get("/settings/value", query), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table {
		t := newTable("key", "value", "origin", "revision", "source")
		t.add(reply.Key, truncate(string(reply.Value)), formatOrigin(reply.Origin), reply.Revision, reply.Source)
		return t
	})
}

func showDocument(ctx context.Context, c *cli.Command) error {
	query := url.Values{}
	setUintParam(query, c, "revision")
	var reply admin.DocumentReply
	if err := send(ctx, c, get("/settings/document", query), &reply); err != nil {
		return err
	}
	return printJSON(c, reply.Document)
}

// keyInfo describes a settings key in JSON output.
type keyInfo struct {
	Key         string   `json:"key"`
	Levels      []string `json:"levels"`
	Default     string   `json:"default"`
	Allowed     string   `json:"allowed"`
	Description string   `json:"description"`
}

func listKeys(_ context.Context, c *cli.Command) error {
	var list []keyInfo
	for _, k := range tree.Keys() {
		info := keyInfo{Key: k.Name, Default: k.Default, Allowed: k.Allowed, Description: k.Description}
		for _, l := range k.Levels {
			info.Levels = append(info.Levels, l.String())
		}
		list = append(list, info)
	}
	return printReply(c, list, func() *table {
		t := newTable("key", "default", "levels", "allowed", "description")
		for _, k := range list {
			t.add(k.Key, k.Default, strings.Join(k.Levels, ","), k.Allowed, k.Description)
		}
		return t
	})
}

func showHistory(ctx context.Context, c *cli.Command) error {
	query := url.Values{}
	setUintParam(query, c, "before")
	setUintParam(query, c, "limit")
	var reply admin.HistoryReply
	if err := send(ctx, c, get("/settings/history", query), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table {
		t := newTable("revision", "at", "author", "approved by", "change", "note", "ops")
		for _, d := range reply.Revisions {
			t.add(d.Revision, formatTime(d.At), d.Author, strings.Join(d.Approvals, ","), d.Change, d.Note, truncate(formatOps(d.Ops)))
		}
		return t
	})
}

func showDiff(ctx context.Context, c *cli.Command) error {
	if c.NArg() < 1 || c.NArg() > 2 {
		return newUsageError("diff takes %s", c.ArgsUsage)
	}
	query := url.Values{"from": {c.Args().Get(0)}}
	if to := c.Args().Get(1); to != "" {
		query.Set("to", to)
	}
	var reply admin.DiffReply
	if err := send(ctx, c, get("/settings/diff", query), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table {
		t := newTable("path", "key", "before", "after")
		for _, d := range reply.Differences {
			t.add(d.Path, d.Key, truncate(string(d.Before)), truncate(string(d.After)))
		}
		return t
	})
}

func proposeRollback(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1)
	if err != nil {
		return err
	}
	to, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return newUsageError("revision %q is not a number", args[0])
	}
	return sendChange(ctx, c, post("/settings/rollback", admin.RollbackBody{To: settle.Revision(to), Note: c.String("note")}))
}
