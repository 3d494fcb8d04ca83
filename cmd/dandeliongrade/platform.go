package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/platform/faker"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:      "platform",
		Usage:     "run a stand-in for the platform's table service and object store",
		ArgsUsage: "SETTINGS",
		Description: "Example: dandeliongrade platform examples/platform.jsonc\n" +
			"Inject faults: curl -X PUT -d '{\"down\": true, \"delay_ms\": 0, \"lose_replies\": 0}' http://127.0.0.1:7000/v1/faults",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file, err := settingsArg(cmd)
			if err != nil {
				return err
			}
			settings := loader.DefaultStandInPlatform()
			if err := loader.Load(file, settings); err != nil {
				return &usageError{err}
			}
			ln, err := listener.Listen(settings.Listen)
			if err != nil {
				return err
			}
			return (&faker.Server{Store: &faker.Store{}}).Run(ctx, ln)
		},
	}
}
