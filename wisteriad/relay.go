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

// settingsEnvVar is the environment variable that holds the path of the settings
// file on the platform.
const settingsEnvVar = "WISTERIARELAY_CONFIG"

func newRelayCommand(hangups <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "relay by host and path on the platform",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check the settings file, print what is in force with it, and end"},
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Sources: cli.EnvVars(settingsEnvVar), Usage: "process settings file, in JSON with comments"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := node.LoadSettings(c.String("settings"), node.WithPlatformFields(wire.TranslateSettings))
			if err != nil {
				return err
			}
			if c.Bool("check") {
				return printSettings(c.Root().Writer, settings)
			}
			return runRelay(ctx, settings, c.String("settings"), hangups)
		},
	}
}

// printSettings writes the settings in force as JSON.
func printSettings(w io.Writer, settings *node.Settings) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(settings)
}

// logFlushTimeout limits the time to write the last log lines at exit.
const logFlushTimeout = 200 * time.Millisecond

// memoryLimitRatio is the ratio of the VM's memory that is set as the soft memory
// limit of the Go runtime. The garbage collector runs more often near the limit.
const memoryLimitRatio = 0.6

func runRelay(ctx context.Context, settings *node.Settings, file string, hangups <-chan os.Signal) error {
	if m := settings.MemoryBytes(); m > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(m)))
	}
	out := logs.NewWriter(os.Stdout, settings.LogLinesPerSecond)
	defer out.Close(logFlushTimeout)
	logger := log.With(log.NewLogfmtLogger(out), "time", log.DefaultTimestampUTC)
	n, err := node.New(settings, wire.NewPlatform(settings.StoreAddress), node.WithLogger(logger), node.WithDroppedLines(out.Dropped))
	if err != nil {
		return err
	}
	// A full channel drops further signals, so SIGTERM does not share one with SIGHUP.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	if err := n.Start(ctx); err != nil {
		return err
	}
	n.WatchSettings(ctx, file, hangups)
	<-stop
	return n.Stop(ctx)
}
