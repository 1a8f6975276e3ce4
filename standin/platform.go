package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/settle"
	"wisteriarelay.example/core/stand"
	"wisteriarelay.example/core/tree"
)

const readHeaderTimeout = 10 * time.Second

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a platform in memory: table service, object store and VM list",
		// The fields of a VM are separated by commas within one flag.
		DisableSliceFlagSeparator: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7900", Usage: "address to listen on"},
			&cli.StringFlag{Name: "settings", Usage: "settings tree that becomes revision 1"},
			&cli.StringSliceFlag{Name: "vm", Usage: "a VM of the list, as id,region,data-centre,caller,inner,admin; may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			p := stand.NewPlatform()
			for _, text := range c.StringSlice("vm") {
				vm, err := parseVM(text)
				if err != nil {
					return err
				}
				if err := p.PutVM(ctx, vm); err != nil {
					return err
				}
			}
			if file := c.String("settings"); file != "" {
				if err := bootstrap(ctx, p, file); err != nil {
					return err
				}
			}
			return serve(ctx, c.String("listen"), p)
		},
	}
}

// bootstrap writes a settings file as revision 1, on behalf of the first owner that
// it names.
func bootstrap(ctx context.Context, p *stand.Platform, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	doc, err := tree.ParseFile(data)
	if err != nil {
		return err
	}
	owners := doc.Owners()
	if len(owners) == 0 {
		return fault.New(fault.SettingsInvalid, "%s: key owners is missing at /", file)
	}
	_, _, err = settle.NewChangelog(p.Table()).Bootstrap(ctx, doc, owners[0])
	return err
}

// parseVM parses a VM from its six comma-separated fields.
func parseVM(text string) (fleet.VM, error) {
	const fieldCount = 6
	fields := strings.Split(text, ",")
	if len(fields) != fieldCount {
		return fleet.VM{}, fault.New(fault.ConfigInvalid, "VM %q must have the form id,region,data-centre,caller,inner,admin", text)
	}
	return fleet.VM{
		ID:            fleet.VMID(fields[0]),
		Region:        fleet.Region(fields[1]),
		DataCentre:    fleet.DataCentre(fields[2]),
		CallerAddress: fields[3],
		PeerAddress:   fields[4],
		AdminAddress:  fields[5],
	}, nil
}

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "serve one stand-in target, healthy or with one fault",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8081", Usage: "address to listen on"},
			&cli.StringFlag{Name: "id", Value: "target-1", Usage: "name that stands in the answers"},
			&cli.IntFlag{Name: "slots", Value: 2, Usage: "requests that are worked on at once"},
			&cli.DurationFlag{Name: "work", Value: 20 * time.Millisecond, Usage: "time for one request"},
			&cli.StringFlag{Name: "fault", Usage: "one of " + strings.Join(targetFaultNames(), ", ")},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			t := stand.NewTarget(c.String("id"), stand.WithSlots(c.Int("slots")), stand.WithWorkDuration(c.Duration("work")))
			if name := c.String("fault"); name != "" {
				f, ok := targetFaults[name]
				if !ok {
					return fault.New(fault.ConfigInvalid, "fault %q is not known; allowed are %s", name, strings.Join(targetFaultNames(), ", "))
				}
				t.SetFaults(f)
			}
			return serve(ctx, c.String("listen"), t)
		},
	}
}

// serve serves HTTP on an address until the process gets SIGTERM or SIGINT.
func serve(ctx context.Context, address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "listening on", listener.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	cancelClose := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer cancelClose()
	if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
		return err
	}
	return nil
}
