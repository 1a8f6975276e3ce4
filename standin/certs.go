package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/fault"
	"wisteriarelay.example/core/fleet"
	"wisteriarelay.example/core/inner"
)

func certsCommand() *cli.Command {
	return &cli.Command{
		Name:      "certs",
		Usage:     "write certificates of a new authority for the inner protocol, for tries on one machine",
		ArgsUsage: "VM [VM ...]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Value: ".", Usage: "folder to write to"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return fault.New(fault.ConfigInvalid, "name at least one VM")
			}
			return writeCerts(c.String("dir"), c.Args().Slice())
		},
	}
}

// privateFileMode keeps other users from reading the private keys.
const privateFileMode = 0o600

// writeCerts creates a certificate authority and writes its certificate, and a key and
// a certificate for each VM, to a folder.
func writeCerts(dir string, vms []string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	authority, err := inner.NewAuthority()
	if err != nil {
		return err
	}
	for _, vm := range vms {
		files, err := authority.IssuePEM(fleet.VMID(vm))
		if err != nil {
			return err
		}
		for name, data := range map[string][]byte{vm + ".pem": files.Certificate, vm + ".key": files.Key, "fleet-ca.pem": files.Authority} {
			if err := os.WriteFile(filepath.Join(dir, name), data, privateFileMode); err != nil {
				return err
			}
		}
	}
	return nil
}
