// Command wisteriactl is the command-line tool for operators. It is a client of
// the administration API, which every daemon serves.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := newCommand(out, errOut).Run(ctx, args)
	if err == nil {
		return exitDone
	}
	printError(errOut, err)
	return exitCode(err)
}

const description = `Exit codes: 0 done, 1 refused, 2 wrong usage, 3 not yet known.

Examples:
   export WISTERIA_ADMIN=http://10.10.1.1:7200 WISTERIA_OPERATOR_TOKEN=...
   wisteriactl rollout
   wisteriactl propose --set "/workspace/cortavientos floor=60%" --note "season starts"`

func newCommand(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:                      "wisteriactl",
		Usage:                     "operate a fleet of wisteriarelay daemons",
		Description:               description,
		EnableShellCompletion:     true,
		Suggest:                   true,
		DisableSliceFlagSeparator: true,
		Writer:                    out,
		ErrWriter:                 errOut,
		ExitErrHandler:            func(context.Context, *cli.Command, error) {},
		OnUsageError:              onUsageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Sources: cli.EnvVars("WISTERIA_ADMIN"), Value: "http://127.0.0.1:7200", Usage: "`URL` of the administration port of any daemon"},
			&cli.StringFlag{Name: "operator-token", Sources: cli.EnvVars("WISTERIA_OPERATOR_TOKEN"), Usage: "bearer `TOKEN` of the operator"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputTable, Usage: "`FORMAT` of the output: table or json"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if name := c.Args().First(); name != "" {
				return newUsageError("unknown command %q; see wisteriactl help", name)
			}
			return cli.ShowRootCommandHelp(c)
		},
		Commands: joinCommands(settingsCommands(), changeCommands(), targetCommands(), fleetCommands(), checkCommands()),
	}
}

// joinCommands returns the commands of all groups, each with the error handling
// and the flag parsing of the root command.
func joinCommands(groups ...[]*cli.Command) []*cli.Command {
	var all []*cli.Command
	for _, g := range groups {
		for _, c := range g {
			c.OnUsageError = onUsageError
			c.DisableSliceFlagSeparator = true
			all = append(all, c)
		}
	}
	return all
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return newUsageError("%v", err)
}

// arguments returns the arguments of a command, or a usage error if there are not
// exactly n.
func arguments(c *cli.Command, n int) ([]string, error) {
	if c.NArg() != n {
		return nil, newUsageError("%s takes %s; got %d argument(s)", c.Name, argsUsageText(c.ArgsUsage), c.NArg())
	}
	return c.Args().Slice(), nil
}

func argsUsageText(usage string) string {
	if usage == "" {
		return "no arguments"
	}
	return usage
}

// example returns a command description that lists example command lines.
func example(lines ...string) string {
	text := "Examples:"
	for _, l := range lines {
		text += fmt.Sprintf("\n   wisteriactl %s", l)
	}
	return text
}
