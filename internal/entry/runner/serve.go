package runner

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/front/server"
	"github.com/dandeliongrade/dandeliongrade/internal/report/exporter"
)

// Ports holds the listeners of an entry.
type Ports struct {
	Callers, Link, Admin net.Listener
}

// Listen opens the ports of an entry with the given settings.
func Listen(settings *loader.Entry) (Ports, error) {
	var ports Ports
	var err error
	if ports.Callers, err = listener.Listen(settings.Callers); err != nil {
		return ports, err
	}
	if ports.Link, err = listener.Listen(settings.Link); err != nil {
		return ports, err
	}
	ports.Admin, err = listener.Listen(settings.Admin)
	return ports, err
}

// Serve runs the entry together with its servers for callers and operators until ctx ends.
// The server for callers stops after the partitions are handed over, and the one for
// operators stops last.
func (r *Runner) Serve(ctx context.Context, ports Ports) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, stopCallers := context.WithCancel(background)
	defer stopCallers()
	callerServer := server.Server{Jobs: r, Clock: r.clock, Templates: r.settings.Templates, Workspaces: r.settings.Workspaces}
	callersEnded := make(chan error, 1)
	go func() { callersEnded <- callerServer.Run(callers, ports.Callers) }()
	adminEnded := make(chan error, 1)
	go func() { adminEnded <- exporter.Run(background, ports.Admin, r.endpoints()) }()

	var callerErr error
	err := r.Run(ctx, ports.Link, func() {
		stopCallers()
		callerErr = <-callersEnded
	})
	stop()
	if err == nil {
		err = <-adminEnded
	}
	if err == nil {
		err = callerErr
	}
	return errors.Wrap(err, "run an entry")
}
