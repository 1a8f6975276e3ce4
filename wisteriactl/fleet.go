package main

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/admin"
	"wisteriarelay.example/core/proxy"
)

func fleetCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "rollout", Usage: "show which revision each daemon serves with", Action: showRollout, Description: example("rollout")},
		{
			Name: "dump", Usage: "print the state of a daemon as JSON", ArgsUsage: "[VM]", Action: dumpState,
			Flags:       []cli.Flag{&cli.StringFlag{Name: "part", Usage: "one `PART`, such as daemon, settings, services, members, orders or platform"}},
			Description: example("dump --part settings", "dump mdp-2 --part members"),
		},
		{
			Name: "addresses", Usage: "show the addresses that a caller of a service is given", ArgsUsage: "SERVICE", Action: listAddresses,
			Flags:       []cli.Flag{&cli.StringFlag{Name: "data-centre", Usage: "`NAME` of the caller's data centre"}, &cli.StringFlag{Name: "caller", Usage: "`KEY` that spreads callers over carriers"}},
			Description: example("addresses reservas --data-centre mdp"),
		},
	}
}

func showRollout(ctx context.Context, c *cli.Command) error {
	var reply admin.RolloutReply
	if err := send(ctx, c, get("/rollout", nil), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table {
		t := newTable("vm", "data centre", "revision", "head", "ready", "leaving", "state", "detail")
		for _, d := range reply.Daemons {
			t.add(d.VM, d.DataCentre, d.Revision, reply.Head, d.Ready, d.Leaving, d.State, d.Detail)
		}
		return t
	})
}

func dumpState(ctx context.Context, c *cli.Command) error {
	if c.NArg() > 1 {
		return newUsageError("dump takes at most one VM")
	}
	query := url.Values{}
	if vm := c.Args().First(); vm != "" {
		query.Set("vm", vm)
	}
	if part := c.String("part"); part != "" {
		query.Set("part", part)
	}
	var reply json.RawMessage
	if err := send(ctx, c, get("/state", query), &reply); err != nil {
		return err
	}
	return printJSON(c, reply)
}

func listAddresses(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1)
	if err != nil {
		return err
	}
	query := url.Values{"data-centre": {c.String("data-centre")}, "caller": {c.String("caller")}}
	var reply proxy.AddressList
	if err := send(ctx, c, get("/services/"+escapeSegment(args[0])+"/addresses", query), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table {
		t := newTable("vm", "data centre", "address", "ttl seconds")
		for _, a := range reply.Addresses {
			t.add(a.VM, a.DataCentre, a.Address, reply.TTLSeconds)
		}
		return t
	})
}
