package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/member/registrar"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version of the program and of its link protocol",
		Description: "Example: dandeliongrade version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintf(cmd.Root().Writer, "dandeliongrade %s, link protocol %d\n", version(), registrar.ProtocolVersion)
			return err
		},
	}
}

// version returns the version that the program was built from.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
