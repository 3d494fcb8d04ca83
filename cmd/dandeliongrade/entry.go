package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/entry/runner"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "accept jobs from callers and dispatch their tasks",
		ArgsUsage:   "SETTINGS",
		Description: "Example: dandeliongrade entry examples/entry-1.jsonc",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file, err := settingsArg(cmd)
			if err != nil {
				return err
			}
			settings := loader.DefaultEntry()
			if err := loader.Load(file, settings); err != nil {
				return &usageError{err}
			}
			ports, err := runner.Listen(settings)
			if err != nil {
				return err
			}
			deps, err := runner.NewDependencies(settings)
			if err != nil {
				return err
			}
			log := logger.New(os.Stderr, "entry", string(settings.Name))
			return runner.New(settings, log, time.Now, deps).Serve(ctx, ports)
		},
	}
}
