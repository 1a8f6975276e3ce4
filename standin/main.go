// Command standin runs test doubles of the systems around wisteriarelay, the
// platform and the targets, and a demo of a whole fleet in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"wisteriarelay.example/standin/demo"
)

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for the platform and the targets, and a demo",
		Commands: []*cli.Command{demoCommand(), platformCommand(), targetCommand(), certsCommand(), faultCommand()},
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a fleet on loopback in one process and print what callers see as faults come and go",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Value: "examples/cortavientos/settings.json", Usage: "settings tree of an example deployment"},
			&cli.BoolFlag{Name: "hold", Usage: "keep the fleet running without the script until interrupted, and print how to reach it"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the daemons' logs to standard error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			logger := log.NewNopLogger()
			if c.Bool("verbose") {
				logger = log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "time", log.DefaultTimestamp)
				logger = level.NewFilter(logger, level.AllowInfo())
			}
			if c.Bool("hold") {
				ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
				defer stop()
				return demo.Hold(ctx, c.String("settings"), os.Stdout, logger)
			}
			return demo.Run(ctx, c.String("settings"), os.Stdout, logger)
		},
	}
}
