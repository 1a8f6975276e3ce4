package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/tree"
)

func checkCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "check-daemon", Usage: "check a file of process settings and print the effective ones", ArgsUsage: "FILE", Action: checkDaemon,
			Description: example("check-daemon examples/cortavientos/daemon.json"),
		},
		{
			Name: "check-settings", Usage: "check a settings document and list its services", ArgsUsage: "FILE", Action: checkSettings,
			Description: example("check-settings examples/cortavientos/settings.json"),
		},
	}
}

func checkDaemon(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 1)
	if err != nil {
		return err
	}
	settings, err := config.Load(args[0])
	if err != nil {
		return err
	}
	return printJSON(c, settings)
}

// serviceInfo describes a service in the output of check-settings.
type serviceInfo struct {
	Service   string `json:"service"`
	Workspace string `json:"workspace"`
	Region    string `json:"region"`
	Targets   int    `json:"targets"`
	Routes    int    `json:"routes"`
}

func checkSettings(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, 1)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return newUsageError("%v", err)
	}
	doc, err := tree.ParseFile(data)
	if err != nil {
		return err
	}
	catalog, err := doc.Catalog()
	if err != nil {
		return err
	}
	list := []serviceInfo{}
	for _, s := range catalog.Services() {
		list = append(list, serviceInfo{
			Service: string(s.ID), Workspace: string(s.Workspace), Region: string(s.Region),
			Targets: len(s.Targets), Routes: len(s.Routes),
		})
	}
	return printReply(c, list, func() *table {
		t := newTable("service", "workspace", "region", "targets", "routes")
		for _, s := range list {
			t.add(s.Service, s.Workspace, s.Region, s.Targets, s.Routes)
		}
		return t
	})
}
