package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/backend/emulator"
	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
)

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:      "backend",
		Usage:     "run a stand-in for a backend server",
		ArgsUsage: "SETTINGS",
		Description: "Example: dandeliongrade backend examples/backend-1.jsonc\n" +
			"List the tasks that it has started: curl http://127.0.0.1:7301/v1/log",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file, err := settingsArg(cmd)
			if err != nil {
				return err
			}
			settings := loader.DefaultStandInBackend()
			if err := loader.Load(file, settings); err != nil {
				return &usageError{err}
			}
			ln, err := listener.Listen(settings.Listen)
			if err != nil {
				return err
			}
			return emulator.New(*settings).Run(ctx, ln)
		},
	}
}
