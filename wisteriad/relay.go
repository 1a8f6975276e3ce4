package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/logs"
	"wisteriarelay.example/core/node"
	wire "wisteriarelay.example/platform"
)

// settingsVariable names the variable that holds the path of the settings file
// on the platform.
const settingsVariable = "WISTERIARELAY_CONFIG"

func newRelayCommand() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "relay by host and path on the platform",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check the settings file, print what is in force with it, and end"},
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Sources: cli.EnvVars(settingsVariable), Usage: "process settings file, in JSON with comments"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := node.Load(c.String("settings"))
			if err != nil {
				return err
			}
			if c.Bool("check") {
				return printSettings(c.Root().Writer, settings)
			}
			return relay(ctx, settings, c.String("settings"))
		},
	}
}

// printSettings prints the settings as they are in force, in JSON.
func printSettings(w io.Writer, settings *node.Settings) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(settings)
}

// logFlush is the longest wait for the last log lines to be written.
const logFlush = 200 * time.Millisecond

// memoryShare is the part of the machine's memory at which the collector works harder.
const memoryShare = 0.6

func relay(ctx context.Context, settings *node.Settings, file string) error {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB<<20)))
	}
	out := logs.NewWriter(os.Stdout, settings.LogLinesPerSecond)
	defer out.Close(logFlush)
	logger := log.With(log.NewLogfmtLogger(out), "time", log.DefaultTimestampUTC)
	n, err := node.New(settings, wire.New(settings.StoreAddress), node.WithLogger(logger), node.WithDroppedLines(out.Dropped))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	if err := n.Start(ctx); err != nil {
		return err
	}
	n.Watch(ctx, file)
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		n.ReloadFile(file)
	}
	return n.Stop(ctx)
}
