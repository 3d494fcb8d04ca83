package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/config/reloader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/timekeeper"
	"github.com/dandeliongrade/dandeliongrade/internal/report/logger"
)

// settingsVariable names the settings file of a process on the users' platform.
const settingsVariable = "DANDELIONGRADE_CONFIG"

// platformRole is a role on the users' platform, with settings of type S.
type platformRole[S loader.Settings] struct {
	name, usage string
	defaults    func() S
	// instance returns the name of a process with the given settings.
	instance func(S) string
	// begin opens the ports of a process.
	begin func(settings S, log *zap.Logger, clock identifier.Clock) (running[S], error)
}

// running is a process whose ports are open.
type running[S loader.Settings] struct {
	// serve runs it until ctx ends.
	serve func(ctx context.Context) error
	// reload takes changed settings.
	reload func(S)
}

func (p platformRole[S]) command() *cli.Command {
	return &cli.Command{
		Name:        p.name,
		Usage:       p.usage,
		ArgsUsage:   "[SETTINGS]",
		Description: "Without an argument, the settings file is the one that the variable " + settingsVariable + " names.",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			settings := p.defaults()
			file, err := loadPlatformSettings(cmd, settings)
			if err != nil {
				return err
			}
			return withLog(p.name, p.instance(settings), func(log *zap.Logger) error {
				return p.run(ctx, file, settings, log)
			})
		},
	}
}

func (p platformRole[S]) run(ctx context.Context, file string, settings S, log *zap.Logger) error {
	clock, err := timekeeper.NewBootClock()
	if err != nil {
		return err
	}
	process, err := p.begin(settings, log, clock)
	if err != nil {
		return err
	}
	reload := func(src []byte) error {
		next := p.defaults()
		if faults := loader.Parse(file, src, next); len(faults) > 0 {
			return faults
		}
		process.reload(next)
		return nil
	}
	return withReload(ctx, file, log, reload, func() error { return process.serve(ctx) })
}

// loadPlatformSettings reads the settings file that the command line or the environment
// names, and returns its name.
func loadPlatformSettings(cmd *cli.Command, settings loader.Settings) (string, error) {
	// Until withReload listens, the signal must not end the process.
	signal.Ignore(syscall.SIGHUP)
	file := os.Getenv(settingsVariable)
	if cmd.Args().Present() || file == "" {
		var err error
		if file, err = one(cmd); err != nil {
			return "", err
		}
	}
	if err := loader.Load(file, settings); err != nil {
		return "", &usageError{err}
	}
	return file, nil
}

// withReload runs a role, and load whenever its settings file has changed.
func withReload(ctx context.Context, file string, log *zap.Logger, load func([]byte) error, run func() error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{})
	go func() {
		(&reloader.Reloader{File: file, Log: log, Load: load}).Run(ctx, signals)
		close(ended)
	}()
	err := run()
	stop()
	<-ended
	return err
}

// withLog runs a role with a log on standard output that never blocks it.
func withLog(role, name string, run func(*zap.Logger) error) error {
	out := logger.NewAsyncWriter()
	ctx, stop := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() { written <- out.Run(ctx, os.Stdout) }()
	log := logger.New(out, role, name)
	log.Info("started", zap.String("version", version()))
	err := run(log)
	log.Info("stopped", logger.Error(err))
	stop()
	if writeErr := <-written; err == nil {
		err = writeErr
	}
	return err
}
