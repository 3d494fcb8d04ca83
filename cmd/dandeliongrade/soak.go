package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/dandeliongrade/dandeliongrade/internal/bench/soaker"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run gateways and sidecars as processes under random faults and check what callers and workers see",
		Description: "All processes run on loopback addresses and leave their logs in the directory. The command fails if a " +
			"promise was broken. The same seed gives the same plan of faults.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds, run one after the other"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "duration of the run for each seed"},
			&cli.IntFlag{Name: "gateways", Value: 2, Usage: "number of gateways, 1 to 90"},
			&cli.IntFlag{Name: "workers", Value: 3, Usage: "number of workers, each with a sidecar, 1 to 90"},
			&cli.StringFlag{Name: "dir", Usage: "directory for settings and logs; a new one by default"},
		},
		Action: runSoaks,
	}
}

// maxProcesses bounds the processes of one kind. The port ranges of the kinds are 100
// apart.
const maxProcesses = 90

func runSoaks(ctx context.Context, cmd *cli.Command) error {
	if err := checkSoak(cmd); err != nil {
		return err
	}
	dir := cmd.String("dir")
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return errors.Wrap(err, "create a directory; give one with --dir")
		}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create the directory; give another one with --dir")
	}
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the path of this program")
	}
	brokenSeeds := 0
	for n := range cmd.Int("seeds") {
		seed := cmd.Uint64("seed") + uint64(n)
		report, err := runSoak(ctx, cmd, seed, filepath.Join(dir, fmt.Sprintf("seed-%d", seed)), program)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.Root().Writer, "seed %d: %s", seed, report)
		if len(report.Violations) > 0 {
			brokenSeeds++
		}
	}
	if brokenSeeds > 0 {
		return errors.Errorf("%d of %d seeds broke a promise; their logs are in %s", brokenSeeds, cmd.Int("seeds"), dir)
	}
	return nil
}

func checkSoak(cmd *cli.Command) error {
	gateways, workers := cmd.Int("gateways"), cmd.Int("workers")
	switch {
	case cmd.Int("seeds") < 1:
		return &usageError{errors.Errorf("--seeds %d runs nothing; give at least 1", cmd.Int("seeds"))}
	case cmd.Duration("for") < soaker.MinDuration:
		return &usageError{errors.Errorf("--for %s is too short; give at least %s", cmd.Duration("for"), soaker.MinDuration)}
	case gateways < 1 || gateways > maxProcesses || workers < 1 || workers > maxProcesses:
		return &usageError{errors.Errorf("%d gateways and %d workers are out of range; give 1 to %d of each", gateways, workers, maxProcesses)}
	}
	return nil
}

func runSoak(ctx context.Context, cmd *cli.Command, seed uint64, dir, program string) (*soaker.Report, error) {
	// Two soaks that share a directory would overwrite each other's settings.
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create the directory of a seed; give another one with --dir")
	}
	faults, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return nil, errors.Wrap(err, "create the log of faults; give another directory with --dir")
	}
	report, err := soaker.Run(ctx, soaker.Settings{
		Seed: seed, Duration: cmd.Duration("for"), Size: soaker.Size{Gateways: cmd.Int("gateways"), Workers: cmd.Int("workers")},
		IP: soakAddr(os.Getpid()), Dir: dir, Program: soaker.Program{Path: program}, FaultLog: faults,
	})
	if closeErr := faults.Close(); err == nil {
		err = errors.Wrap(closeErr, "write the log of faults")
	}
	return report, err
}

// soakAddr returns a loopback address that no other running soak on this machine uses, as
// it is derived from the process ID.
func soakAddr(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(128 + pid>>16&0x7f), byte(pid >> 8), byte(pid)})
}
