package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/member/announcer"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version of the program and of its link protocol",
		Description: "Example: dandeliongrade version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintf(cmd.Root().Writer, "dandeliongrade %s, link protocol %d\n", version, announcer.ProtocolVersion)
			return err
		},
	}
}
