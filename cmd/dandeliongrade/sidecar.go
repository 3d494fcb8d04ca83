package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/internal/sidecar/runner"
	"github.com/dandeliongrade/dandeliongrade/platform/contracts"
	"github.com/dandeliongrade/dandeliongrade/platform/store"
	"github.com/dandeliongrade/dandeliongrade/platform/workers"
)

func sidecarCommand() *cli.Command {
	return platformRole[*loader.Sidecar]{
		name:     "sidecar",
		usage:    "run tasks on the worker of the same machine on the users' platform",
		defaults: loader.DefaultSidecar,
		instance: func(s *loader.Sidecar) string { return string(s.Name) },
		open:     openSidecar,
	}.command()
}

func openSidecar(settings *loader.Sidecar, log *zap.Logger, clock identifier.Clock) (listeningProcess[*loader.Sidecar], error) {
	var none listeningProcess[*loader.Sidecar]
	contracts.Apply(settings.Contracts, &settings.Policy)
	client, err := store.New(settings.Store)
	if err != nil {
		return none, err
	}
	worker, err := workers.New(settings.Worker)
	if err != nil {
		return none, err
	}
	ports, err := runner.Listen(settings)
	if err != nil {
		return none, err
	}
	r := runner.New(settings, log, clock, runner.Dependencies{Store: client, Worker: worker, Dial: connector.DialTCP})
	serve := func(ctx context.Context) error {
		return r.Serve(ctx, ports, &workers.ReportServer{Registry: r, Log: log})
	}
	return listeningProcess[*loader.Sidecar]{serve: serve, reload: r.Reload}, nil
}
