package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/admin"
)

func targetCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "targets", Usage: "list the targets of a service with health, state and reason", ArgsUsage: "SERVICE", Action: listTargets,
			Description: example("targets reservas"),
		},
		targetCommand("eject", "take a target out of service by hand, within the floor", sendTargetAction),
		targetCommand("return", "return an ejected target to service by hand", sendTargetAction),
		targetCommand("drain", "let a target finish its work and give it no new work; a change of the settings", sendCommit),
		targetCommand("undrain", "end the drain of a target; a change of the settings", sendCommit),
	}
}

// targetCommand returns a command that takes a service and a target and requests
// the action of the same name.
func targetCommand(name, usage string, sendRequest func(context.Context, *cli.Command, apiRequest) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "SERVICE TARGET", Flags: []cli.Flag{reasonFlag()},
		Description: example(name + " reservas reservas-3 --reason \"disk replaced\""),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, 2)
			if err != nil {
				return err
			}
			path := "/services/" + escapeSegment(args[0]) + "/targets/" + escapeSegment(args[1]) + "/" + name
			return sendRequest(ctx, c, post(path, admin.ReasonBody{Reason: c.String("reason")}))
		},
	}
}

func sendTargetAction(ctx context.Context, c *cli.Command, r apiRequest) error {
	var reply admin.TargetActionReply
	if err := send(ctx, c, r, &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table {
		t := newTable("service", "target", "action", "operator")
		t.add(reply.Service, reply.Target, reply.Action, reply.Operator)
		return t
	})
}

func listTargets(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, 1)
	if err != nil {
		return err
	}
	var reply admin.TargetsReply
	if err := send(ctx, c, get("/services/"+escapeSegment(args[0])+"/targets", nil), &reply); err != nil {
		return err
	}
	return printReply(c, reply, func() *table {
		t := newTable("target", "data centre", "health", "state", "weight", "in flight", "since", "reason")
		for _, x := range reply.Targets {
			t.add(x.Target, x.DataCentre, x.Health, x.State, fmt.Sprintf("%.2f", x.Weight), x.InFlight, formatTime(x.Since), x.Reason)
		}
		return t
	})
}
