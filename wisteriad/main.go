// Command wisteriad is the proxy daemon of wisteriarelay: it forwards requests from
// callers to the targets of the services that are assigned to its VM.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/config"
	"wisteriarelay.example/core/daemon"
	"wisteriarelay.example/core/logs"
)

func main() {
	// A write to a closed standard output or error would otherwise end the process, with
	// all requests in progress, by SIGPIPE.
	signal.Ignore(syscall.SIGPIPE)
	// SIGHUP only says that the settings file has changed, and may come while the daemon
	// is still starting. It ends the process until it is handled.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := newCommand(hangups).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wisteriad:", err)
		os.Exit(1)
	}
}

// newCommand returns the command line. hangups receives SIGHUP.
func newCommand(hangups <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:                  "wisteriad",
		Usage:                 "carry requests from callers to targets",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{newRelayCommand(hangups)},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "process settings file, in JSON with comments"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := config.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return serve(ctx, settings, hangups)
		},
	}
}

// serve runs the daemon until a signal arrives. The first signal starts a graceful
// shutdown, which does not interrupt requests; a second one ends the wait for
// callers that may still have the daemon's address. SIGHUP changes nothing.
func serve(ctx context.Context, settings *config.Settings, hangups <-chan os.Signal) error {
	out := logs.NewWriter(os.Stderr, logs.DefaultRate)
	defer out.Close(logFlushTimeout)
	logger := newLogger(out, settings.LogLevel)
	d, err := daemon.New(settings, daemon.WithLogger(logger))
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := d.Start(ctx); err != nil {
		return err
	}
	go (&hangupLogger{logger, hangups}).run()
	<-signals
	h := &secondSignalHandler{daemon: d, signals: signals}
	go h.run()
	return d.Stop(ctx)
}

// secondSignalHandler shortens the shutdown when a second signal arrives.
type secondSignalHandler struct {
	daemon  *daemon.Daemon
	signals <-chan os.Signal
}

func (h *secondSignalHandler) run() {
	<-h.signals
	h.daemon.SkipCallerWait()
}

// hangupLogger logs each SIGHUP: the process settings change at a restart only.
type hangupLogger struct {
	logger  log.Logger
	hangups <-chan os.Signal
}

func (h *hangupLogger) run() {
	for range h.hangups {
		_ = level.Warn(h.logger).Log("msg", "SIGHUP ignored", "detail", "process settings change at a restart only")
	}
}

func newLogger(out io.Writer, levelName string) log.Logger {
	logger := log.NewLogfmtLogger(out)
	logger = log.With(logger, "time", log.DefaultTimestampUTC)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(levelName, level.InfoValue())))
}
