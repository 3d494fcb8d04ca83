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

// settingsVariable is the environment variable that holds the name of the settings file
// of a process on the users' platform.
const settingsVariable = "DANDELIONGRADE_CONFIG"

// platformRole is a role of a process on the users' platform, with settings of type S.
type platformRole[S loader.Settings] struct {
	name, usage string
	defaults    func() S
	// instance returns the name of the process, which is one of its settings.
	instance func(S) string
	// open opens the ports of the process.
	open func(settings S, log *zap.Logger, clock identifier.Clock) (listeningProcess[S], error)
}

// listeningProcess is a process whose ports are open and which does not serve yet.
type listeningProcess[S loader.Settings] struct {
	// serve runs the process until ctx ends.
	serve func(ctx context.Context) error
	// reload applies changed settings.
	reload func(S)
}

func (p platformRole[S]) command() *cli.Command {
	return &cli.Command{
		Name:        p.name,
		Usage:       p.usage,
		ArgsUsage:   "[SETTINGS]",
		Description: "Without an argument, the settings file is the one that the environment variable " + settingsVariable + " names.",
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
	process, err := p.open(settings, log, clock)
	if err != nil {
		return err
	}
	reload := func(src []byte) error {
		next := p.defaults()
		if errs := loader.Parse(file, src, next); len(errs) > 0 {
			return errs
		}
		process.reload(next)
		return nil
	}
	return withReload(ctx, file, log, reload, func() error { return process.serve(ctx) })
}

// loadPlatformSettings loads the settings file that the command line or the environment
// names, and returns the name of the file.
func loadPlatformSettings(cmd *cli.Command, settings loader.Settings) (string, error) {
	// SIGHUP must not end the process before withReload handles it.
	signal.Ignore(syscall.SIGHUP)
	file := os.Getenv(settingsVariable)
	if cmd.Args().Present() || file == "" {
		var err error
		if file, err = settingsArg(cmd); err != nil {
			return "", err
		}
	}
	if err := loader.Load(file, settings); err != nil {
		return "", &usageError{err}
	}
	return file, nil
}

// withReload calls run. Until run returns, it calls load each time the settings file has
// changed. The reloader outlives ctx, as run may still drain after ctx has ended.
func withReload(ctx context.Context, file string, log *zap.Logger, load func([]byte) error, run func() error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	reloaderDone := make(chan struct{})
	go func() {
		(&reloader.Reloader{File: file, Log: log, Load: load}).Run(ctx, signals)
		close(reloaderDone)
	}()
	err := run()
	stop()
	<-reloaderDone
	return err
}

// withLog calls run with a logger that writes to standard output and never blocks its
// callers.
func withLog(role, name string, run func(*zap.Logger) error) error {
	out := logger.NewAsyncWriter()
	ctx, stop := context.WithCancel(context.Background())
	writerDone := make(chan error, 1)
	go func() { writerDone <- out.Run(ctx, os.Stdout) }()
	log := logger.New(out, role, name)
	log.Info("started", zap.String("version", version()))
	err := run(log)
	log.Info("stopped", logger.Error(err))
	stop()
	if writeErr := <-writerDone; err == nil {
		err = writeErr
	}
	return err
}
