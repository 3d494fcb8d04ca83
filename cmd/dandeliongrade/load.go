package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/loadtester"
	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "run an open-loop load test against a running cell and report what callers see",
		ArgsUsage:   "SETTINGS",
		Description: "Example: dandeliongrade load --json report.json examples/load.jsonc",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "json", Usage: "also write the report to `FILE`"},
		},
		Action: load,
	}
}

func load(ctx context.Context, cmd *cli.Command) error {
	file, err := settingsArg(cmd)
	if err != nil {
		return err
	}
	cfg := loadtester.DefaultConfig()
	if err := loader.Load(file, cfg); err != nil {
		return &usageError{err}
	}
	report, err := loadtester.Run(ctx, cfg, time.Now, os.Stderr)
	if err != nil {
		return err
	}
	report.Print(cmd.Root().Writer)
	if name := cmd.String("json"); name != "" {
		return writeReport(name, report)
	}
	return nil
}

func writeReport(name string, report *loadtester.Report) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create the report file; name a file in a directory that exists")
	}
	if err := report.WriteJSON(f); err != nil {
		return err
	}
	return errors.Wrap(f.Close(), "write the report")
}
