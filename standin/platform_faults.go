package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/stand"
)

const faultRequestTimeout = 5 * time.Second

func faultCommand() *cli.Command {
	return &cli.Command{
		Name:  "fault",
		Usage: "replace the faults of a running stand-in platform",
		Description: "Examples:\n   standin fault --platform http://127.0.0.1:7900 --down" +
			"\n   standin fault --platform http://127.0.0.1:7900 --lose-replies 1 --then-down" +
			"\n   standin fault --platform http://127.0.0.1:7900 --heal",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Required: true, Usage: "`URL` of the stand-in platform"},
			&cli.BoolFlag{Name: "down", Usage: "take table service, object store and VM list down"},
			&cli.BoolFlag{Name: "heal", Usage: "remove all faults"},
			&cli.IntFlag{Name: "lose-replies", Usage: "lose the replies of the next `N` writes, which take effect"},
			&cli.BoolFlag{Name: "then-down", Usage: "take the table down after the last lost reply"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			down, lose := c.Bool("down"), c.Int("lose-replies")
			faults := stand.PlatformFaults{TableDown: down, ObjectsDown: down, VMsDown: down, LoseReplies: lose, DownAfterLoss: c.Bool("then-down")}
			if c.Bool("heal") == (faults != stand.PlatformFaults{}) {
				return fmt.Errorf("fault takes either --heal, or --down or --lose-replies")
			}
			return putPlatformFaults(ctx, c.String("platform"), faults)
		},
	}
}

// putPlatformFaults replaces the faults of a platform through its HTTP API.
func putPlatformFaults(ctx context.Context, platform string, faults stand.PlatformFaults) error {
	ctx, cancel := context.WithTimeout(ctx, faultRequestTimeout)
	defer cancel()
	data, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	url := strings.TrimSuffix(platform, "/") + "/v1/faults"
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the platform returned status %s", resp.Status)
	}
	return nil
}
