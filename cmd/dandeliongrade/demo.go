package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/demonstrator"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run all roles in one process and submit a job of 130 tasks",
		Description: "Example: dandeliongrade demo --agents 11",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "entries", Usage: "number of entries, 1 to 8", Value: 2},
			&cli.IntFlag{Name: "agents", Usage: "number of agents, 1 to 32, each with a backend server", Value: 3},
			&cli.IntFlag{Name: "tasks", Usage: "number of tasks in the job, 1 to 130", Value: 130},
			&cli.BoolFlag{Name: "platform", Usage: "run gateways and sidecars on stand-ins for the users' platform"},
			&cli.BoolFlag{Name: "log", Usage: "write the log of the roles to standard error"},
		},
		Action: demo,
	}
}

func demo(ctx context.Context, cmd *cli.Command) error {
	for flag, upper := range map[string]int{"entries": 8, "agents": 32, "tasks": 130} {
		if n := cmd.Int(flag); n < 1 || n > upper {
			return &usageError{errors.Errorf("--%s %d is out of range; choose from 1 to %d", flag, n, upper)}
		}
	}
	if cmd.Args().Present() {
		return &usageError{errors.Errorf("unexpected argument %q; see %s --help", cmd.Args().First(), cmd.FullName())}
	}
	out := io.Discard
	if cmd.Bool("log") {
		out = os.Stderr
	}
	if cmd.Bool("platform") {
		return demoPlatform(ctx, cmd, logger.New(out, "demo", "demo"))
	}
	cfg := demonstrator.DefaultCellConfig(logger.New(out, "demo", "demo"), time.Now)
	cfg.Entries, cfg.Agents = cmd.Int("entries"), cmd.Int("agents")
	cell, err := demonstrator.Start(ctx, cfg)
	if err != nil {
		return err
	}
	summary, err := cell.SubmitTwice(ctx, cmd.Int("tasks"))
	if closeErr := cell.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	summary.Print(cmd.Root().Writer)
	if !summary.Complete || summary.StartedTwice > 0 {
		return errors.New("the demo failed; run it with --log to see why")
	}
	return nil
}
