package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/gateway/runner"
	"github.com/dandeliongrade/dandeliongrade/internal/link/connector"
	"github.com/dandeliongrade/dandeliongrade/platform/callers"
	"github.com/dandeliongrade/dandeliongrade/platform/contracts"
	"github.com/dandeliongrade/dandeliongrade/platform/store"
)

func gatewayCommand() *cli.Command {
	return platformRole[*loader.Gateway]{
		name:     "gateway",
		usage:    "accept transient jobs from callers on the users' platform and dispatch their tasks",
		defaults: loader.DefaultGateway,
		instance: func(s *loader.Gateway) string { return string(s.Name) },
		open:     openGateway,
	}.command()
}

func openGateway(settings *loader.Gateway, log *zap.Logger, clock identifier.Clock) (listeningProcess[*loader.Gateway], error) {
	var none listeningProcess[*loader.Gateway]
	contracts.Apply(settings.Contracts, &settings.Policy)
	client, err := store.New(settings.Store)
	if err != nil {
		return none, err
	}
	ports, err := runner.Listen(settings)
	if err != nil {
		return none, err
	}
	r := runner.New(settings, log, clock, runner.Dependencies{Store: client, Dial: connector.DialTCP})
	serve := func(ctx context.Context) error {
		return r.Serve(ctx, ports, &callers.Server{Jobs: r, Log: log}, &callers.Readiness{Ready: r.Ready})
	}
	return listeningProcess[*loader.Gateway]{serve: serve, reload: r.Reload}, nil
}
