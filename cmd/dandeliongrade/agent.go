package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/agent/runner"
	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "run tasks on the backend server of the same machine",
		ArgsUsage:   "SETTINGS",
		Description: "Example: dandeliongrade agent examples/agent-1.jsonc",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file, err := settingsArg(cmd)
			if err != nil {
				return err
			}
			settings := loader.DefaultAgent()
			if err := loader.Load(file, settings); err != nil {
				return &usageError{err}
			}
			admin, err := listener.Listen(settings.Admin)
			if err != nil {
				return err
			}
			deps, err := runner.NewDependencies(settings)
			if err != nil {
				return err
			}
			log := logger.New(os.Stderr, "agent", string(settings.Name))
			return runner.New(settings, log, time.Now, deps).Serve(ctx, admin)
		},
	}
}
