package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/loadtester"
	"github.com/dandeliongrade/dandeliongrade/internal/config/checker"
	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name:     "config",
		Usage:    "work with settings files",
		Commands: []*cli.Command{configCheckCommand()},
	}
}

func configCheckCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "report all errors in settings files",
		ArgsUsage:   "FILE...",
		Description: "Example: dandeliongrade config check examples/*.jsonc",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if !cmd.Args().Present() {
				return &usageError{errors.Errorf("give at least one file; see %s --help", cmd.FullName())}
			}
			return checkFiles(cmd)
		},
	}
}

func checkFiles(cmd *cli.Command) error {
	var all checker.ErrorList
	for _, file := range cmd.Args().Slice() {
		if errs := loader.Check(file, loadtester.DefaultConfig()); len(errs) > 0 {
			all = append(all, errs...)
			continue
		}
		fmt.Fprintf(cmd.Root().Writer, "%s: ok\n", file)
	}
	return all.Err()
}
